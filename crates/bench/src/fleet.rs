//! A fleet on loopback: stand-ins, entries and agents, each in its own process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::RwLock;
use serde_json::Value;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use snipewinch::host;
use standin::client;
use standin::client::Client;

use crate::binaries;
use crate::binaries::Binaries;
use crate::deployment;
use crate::process;
use crate::process::Process;

mod counts;
mod faults;
mod hosts;
mod operate;
mod plan;
mod topology;

pub use counts::Links;
pub use hosts::Backend;
pub use hosts::EndedHost;
pub use hosts::Host;
pub use hosts::StopOutcome;
pub use plan::EngineSettings;
pub use plan::Plan;

/// The host name of the platform in the routes of the relay.
const PLATFORM_HOST: &str = "platform";
/// The fleet key of the fleets that experiments start.
const FLEET_KEY: &str = "bench-fleet-key-for-loopback-only";

/// Why a fleet did not start or a request to it failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The binaries are not available.
    #[snafu(display("{source}"))]
    Binaries {
        /// The cause.
        source: binaries::Error,
    },
    /// A process did not start.
    #[snafu(display("{source}"))]
    Process {
        /// The cause.
        source: process::Error,
    },
    /// A stand-in or a daemon did not answer an HTTP request.
    #[snafu(display("{source}"))]
    Http {
        /// The cause.
        source: client::Error,
    },
    /// An answer had an error status or an unexpected body.
    #[snafu(display("{what} answered {status}: {body}; see the log of the process"))]
    Answer {
        /// The path of the request, or what was asked for.
        what: String,
        /// The HTTP status, 0 if there was no request.
        status: u16,
        /// The body of the answer.
        body: String,
    },
    /// The ready line of a process lacks an address.
    #[snafu(display(
        "the ready line has no valid field `{field}`; build all binaries from the same source"
    ))]
    ReadyLine {
        /// The missing or invalid field.
        field: &'static str,
    },
    /// A condition was not met in time.
    #[snafu(display("timed out waiting for {what}; {seen}"))]
    Timeout {
        /// The condition.
        what: String,
        /// The last observed state.
        seen: String,
    },
    /// The fleet has no host of that name.
    #[snafu(display("host {name} does not exist; use the name of a host of the plan"))]
    Host {
        /// The name of the host.
        name: String,
    },
}

/// A running fleet; dropping it kills all its processes.
#[derive(Debug)]
pub struct Fleet {
    /// The plan from which the fleet was started.
    pub plan: Plan,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The admin address of the relay that carries the links between regions,
    /// if the plan has one.
    pub relay: Option<SocketAddr>,
    /// The admin address of the engines.
    pub engines: SocketAddr,
    /// The admin address of the plain services.
    pub services: SocketAddr,
    /// The address of the trace collector, if the plan has one.
    pub collector: Option<SocketAddr>,
    /// The HTTP client for requests of the experiment itself.
    pub client: Client,
    /// The HTTP addresses of the entries that a load balancer would currently
    /// route callers to.
    pub routable_entries: Arc<RwLock<Vec<SocketAddr>>>,
    hosts: BTreeMap<host::Name, Host>,
    spare_engines: Vec<Backend>,
    /// The relayed address of the platform in each region other than its own.
    platform_by_region: BTreeMap<host::Region, SocketAddr>,
    binaries: Binaries,
    standins: Vec<Process>,
}

impl Fleet {
    /// Starts all processes and adds every host to the membership list.
    /// Publishes no configuration.
    ///
    /// # Errors
    ///
    /// [`Error`] if a process does not start.
    pub async fn open(plan: Plan) -> Result<Fleet, Error> {
        let binaries = Binaries::open().context(BinariesSnafu)?;
        let mut standins = Vec::new();
        let platform =
            start_standin(&binaries, &mut standins, "platform", plan.platform_flags()).await?;
        let platform = address(&platform, "platform")?;
        let engines =
            start_standin(&binaries, &mut standins, "engines", plan.engine_flags()).await?;
        let services =
            start_standin(&binaries, &mut standins, "services", plan.service_flags()).await?;
        let relay = match plan.relayed {
            true => {
                let ready = start_standin(&binaries, &mut standins, "relay", Vec::new()).await?;
                Some(address(&ready, "admin")?)
            }
            false => None,
        };
        let collector = match plan.traced {
            true => {
                let ready =
                    start_standin(&binaries, &mut standins, "collector", Vec::new()).await?;
                Some(address(&ready, "collector")?)
            }
            false => None,
        };
        let engine_backends = backends(&engines, "engines", Backend::Engine)?;
        let service_backends = backends(&services, "services", Backend::Plain)?;
        let mut fleet = Fleet {
            platform,
            relay,
            engines: address(&engines, "admin")?,
            services: address(&services, "admin")?,
            collector,
            client: Client::new(),
            routable_entries: Arc::default(),
            hosts: BTreeMap::new(),
            spare_engines: Vec::new(),
            platform_by_region: BTreeMap::new(),
            binaries,
            standins,
            plan,
        };
        fleet.create_links().await?;
        fleet.start_hosts(engine_backends, service_backends).await?;
        Ok(fleet)
    }

    /// All hosts, in the order of their names.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Returns the host of that name.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if the host does not exist.
    pub fn host(&self, name: &str) -> Result<&Host, Error> {
        let key = host::Name::from(name);
        self.hosts.get(&key).context(HostSnafu { name })
    }

    /// The names of all hosts of a role.
    pub fn names(&self, role: host::Role) -> Vec<host::Name> {
        let hosts = self.hosts.values();
        hosts
            .filter(|host| host.role == role)
            .map(|host| host.name.clone())
            .collect()
    }

    /// The key of the first operator. The entries are started with its digest.
    pub fn operator_key(&self) -> String {
        match self.plan.document.operators.first() {
            Some(operator) => deployment::key(&operator.name),
            None => deployment::key("operator"),
        }
    }

    /// Sends a GET request and returns the JSON body.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no answer or its status is no success.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Error> {
        let answer = self.client.get(address, path).await.context(HttpSnafu)?;
        check_accepted(path, answer)
    }

    /// Sends a POST request with a JSON body and returns the JSON answer.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no answer or its status is no success.
    pub async fn post(&self, address: SocketAddr, path: &str, body: Value) -> Result<Value, Error> {
        let answer = self.client.post(address, path, &body).await;
        check_accepted(path, answer.context(HttpSnafu)?)
    }

    /// Sends a PUT request and returns the JSON answer.
    ///
    /// # Errors
    ///
    /// [`Error`] if there is no answer or its status is no success.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<bytes::Bytes>,
    ) -> Result<Value, Error> {
        let answer = self.client.put(address, path, body).await;
        check_accepted(path, answer.context(HttpSnafu)?)
    }

    /// Stops every daemon gracefully, then kills the stand-ins.
    pub async fn shutdown(mut self) {
        for host in self.hosts.values() {
            if let Some(process) = &host.process {
                process.signal(nix::sys::signal::Signal::SIGTERM);
            }
        }
        for host in self.hosts.values_mut() {
            if let Some(process) = &mut host.process {
                let _ = tokio::time::timeout(SHUTDOWN_LIMIT, process.wait()).await;
            }
        }
        for standin in &mut self.standins {
            standin.kill().await;
        }
    }
}

/// How long each daemon may take to stop before it is killed.
const SHUTDOWN_LIMIT: std::time::Duration = std::time::Duration::from_secs(5);

fn check_accepted(what: &str, answer: client::Response) -> Result<Value, Error> {
    if answer.status.is_success() {
        return Ok(answer.json());
    }
    AnswerSnafu {
        what,
        status: answer.status.as_u16(),
        body: String::from_utf8_lossy(&answer.body),
    }
    .fail()
}

async fn start_standin(
    binaries: &Binaries,
    standins: &mut Vec<Process>,
    kind: &str,
    flags: Vec<String>,
) -> Result<Value, Error> {
    let mut arguments = vec!["--until-stdin-closes".to_owned(), kind.to_owned()];
    arguments.extend(flags);
    let (process, ready) = Process::spawn(kind, &binaries.standin, &arguments)
        .await
        .context(ProcessSnafu)?;
    standins.push(process);
    Ok(ready)
}

fn address(ready: &Value, field: &'static str) -> Result<SocketAddr, Error> {
    let text = ready[field].as_str().context(ReadyLineSnafu { field })?;
    text.parse().ok().context(ReadyLineSnafu { field })
}

fn backends(
    ready: &Value,
    field: &'static str,
    kind: impl Fn(usize, SocketAddr) -> Backend,
) -> Result<Vec<Backend>, Error> {
    let list = ready[field].as_array().context(ReadyLineSnafu { field })?;
    list.iter()
        .enumerate()
        .map(|(index, value)| {
            let text = value.as_str().context(ReadyLineSnafu { field })?;
            let address = text.parse().ok().context(ReadyLineSnafu { field })?;
            Ok(kind(index, address))
        })
        .collect()
}
