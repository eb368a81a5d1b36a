//! A whole fleet on loopback: stand-ins, entries and agents as real processes.

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
pub use hosts::Host;
pub use hosts::StopOutcome;
pub use plan::EngineSettings;
pub use plan::Plan;

/// The name under which every region reaches the platform.
const PLATFORM_HOST: &str = "platform";
/// The secret of the fleets that benches start.
const FLEET_KEY: &str = "bench-fleet-key-for-loopback-only";

/// Why an experiment can't go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The programs are missing.
    #[snafu(display("{source}"))]
    Binaries {
        /// Why.
        source: binaries::Error,
    },
    /// A program did not start.
    #[snafu(display("{source}"))]
    Process {
        /// Why.
        source: process::Error,
    },
    /// A stand-in or a daemon did not answer the bench.
    #[snafu(display("{source}"))]
    Http {
        /// Why.
        source: client::Error,
    },
    /// An answer was not what is expected.
    #[snafu(display("{what} answered {status}: {body}; look at its log"))]
    Answer {
        /// Who was asked for what.
        what: String,
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// A program's ready line lacks an address.
    #[snafu(display("the ready line has no {field}; build all programs from one source"))]
    ReadyLine {
        /// What is missing.
        field: &'static str,
    },
    /// Something awaited did not happen.
    #[snafu(display("waited too long for {what}; {seen}"))]
    Timeout {
        /// What was awaited.
        what: String,
        /// How it stands.
        seen: String,
    },
    /// The experiment names a host that the fleet does not have.
    #[snafu(display("there is no host {name}; name one that the plan starts"))]
    Host {
        /// The name.
        name: String,
    },
}

/// A running fleet; everything ends when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// What was asked for.
    pub plan: Plan,
    /// The platform.
    pub platform: SocketAddr,
    /// The administration of the links between regions, if relayed.
    pub relay: Option<SocketAddr>,
    /// The administration of the engines.
    pub engines: SocketAddr,
    /// The administration of the plain services.
    pub services: SocketAddr,
    /// The collector of traces.
    pub collector: Option<SocketAddr>,
    /// For requests of the experiment itself.
    pub client: Client,
    /// The entries that a balancer would send callers to now.
    pub routable_entries: Arc<RwLock<Vec<SocketAddr>>>,
    hosts: BTreeMap<host::Name, Host>,
    spare_engines: Vec<Backend>,
    /// Where each region reaches the platform.
    platform_by_region: BTreeMap<host::Region, SocketAddr>,
    binaries: Binaries,
    standins: Vec<Process>,
}

impl Fleet {
    /// Starts everything and announces every host in the membership list. No
    /// configuration is published yet.
    ///
    /// # Errors
    ///
    /// [`Error`] if a program does not come up.
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

    /// All hosts, by name.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// A host by name.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if there is none.
    pub fn host(&self, name: &str) -> Result<&Host, Error> {
        let key = host::Name::from(name);
        self.hosts.get(&key).context(HostSnafu { name })
    }

    /// The names of the hosts in a role.
    pub fn names(&self, role: host::Role) -> Vec<host::Name> {
        let hosts = self.hosts.values();
        hosts
            .filter(|host| host.role == role)
            .map(|host| host.name.clone())
            .collect()
    }

    /// The first operator's key, which the entries know by its digest.
    pub fn operator_key(&self) -> String {
        match self.plan.document.operators.first() {
            Some(operator) => deployment::key(&operator.name),
            None => deployment::key("operator"),
        }
    }

    /// What a program answers at an address, which must be a success.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not answer or refuses.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Error> {
        let answer = self.client.get(address, path).await.context(HttpSnafu)?;
        check_accepted(path, answer)
    }

    /// Posts JSON to a program, which must accept it.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not answer or refuses.
    pub async fn post(&self, address: SocketAddr, path: &str, body: Value) -> Result<Value, Error> {
        let answer = self.client.post(address, path, &body).await;
        check_accepted(path, answer.context(HttpSnafu)?)
    }

    /// Puts bytes to a program, which must accept them.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not answer or refuses.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<bytes::Bytes>,
    ) -> Result<Value, Error> {
        let answer = self.client.put(address, path, body).await;
        check_accepted(path, answer.context(HttpSnafu)?)
    }

    /// Stops every daemon gracefully, then the stand-ins.
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

/// How long one daemon may take to stop at the end of an experiment.
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
