//! The entry and agent hosts of a fleet: started, killed, stopped, replaced.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::TryStreamExt;
use futures_util::stream;
use nix::sys::signal::Signal;
use serde_json::json;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use snafu::OptionExt;
use snafu::ResultExt;
use snipewinch::Digest;
use snipewinch::host;
use snipewinch::host::Role;
use snipewinch::membership;

use super::Error;
use super::FLEET_KEY;
use super::Fleet;
use super::HostSnafu;
use super::ProcessSnafu;
use super::address;
use super::plan::flags;
use crate::process::Process;
use crate::process::Usage;

/// Programs that are started side by side.
const PARALLEL_STARTS: usize = 16;

/// What stands beside an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Backend {
    /// The model engine of this index.
    Engine(usize, SocketAddr),
    /// The plain service of this index.
    Plain(usize, SocketAddr),
}

impl Backend {
    fn address(self) -> SocketAddr {
        match self {
            Backend::Engine(_, address) | Backend::Plain(_, address) => address,
        }
    }
}

/// One host of a fleet.
#[derive(Debug)]
pub struct Host {
    /// Its name.
    pub name: host::Name,
    /// Which program runs there.
    pub role: Role,
    /// Its availability zone.
    pub zone: host::Zone,
    /// Its region.
    pub region: host::Region,
    /// The service beside it, for agents.
    pub service: Option<SmolStr>,
    /// What stands beside it, for agents.
    pub backend: Option<Backend>,
    /// Where it listens for peers.
    pub peers: SocketAddr,
    /// Where it serves HTTP.
    pub http: SocketAddr,
    /// The program, unless it was killed.
    pub process: Option<Process>,
    /// It was asked to stop, and the balancer knows.
    pub(super) stopping: bool,
}

impl Host {
    /// What the program has used of the machine.
    pub fn usage(&self) -> Usage {
        self.process
            .as_ref()
            .map(Process::usage)
            .unwrap_or_default()
    }

    /// The index of its engine.
    pub fn engine(&self) -> Option<usize> {
        match self.backend {
            Some(Backend::Engine(index, _)) => Some(index),
            Some(Backend::Plain(..)) | None => None,
        }
    }
}

/// A host that stopped.
#[derive(Clone, Debug)]
pub struct StopOutcome {
    /// Where callers reached it.
    pub http: SocketAddr,
    /// Whether it ended in time and without an error.
    pub in_time: bool,
    /// The last lines of its log.
    pub log: Vec<String>,
}

/// Where a host is to stand and what for.
#[derive(Clone, Debug)]
struct HostSpec {
    name: host::Name,
    role: Role,
    zone: host::Zone,
    region: host::Region,
    service: Option<SmolStr>,
    backend: Option<Backend>,
}

impl Fleet {
    /// Starts every host of the plan, spread evenly over the zones.
    pub(super) async fn start_hosts(
        &mut self,
        engines: Vec<Backend>,
        plain: Vec<Backend>,
    ) -> Result<(), Error> {
        let mut engines = engines.into_iter();
        let mut plain = plain.into_iter();
        let mut specs = Vec::new();
        for index in 0..self.plan.deployment.entries {
            let name = format_smolstr!("entry-{index}");
            specs.push(self.host_spec(name, index, Role::Entry, None, None));
        }
        for service in &self.plan.deployment.services {
            for index in 0..service.runners {
                let backend = match self.plan.is_engine(&service.name) {
                    true => engines.next(),
                    false => plain.next(),
                };
                let name = format_smolstr!("{}-{index}", service.name);
                let service = Some(service.name.clone());
                specs.push(self.host_spec(name, index, Role::Agent, service, backend));
            }
        }
        self.spare_engines = engines.collect();
        let started = stream::iter(specs)
            .map(|spec| self.start_host(spec))
            .buffer_unordered(PARALLEL_STARTS);
        let started: Vec<Host> = started.try_collect().await?;
        for host in &started {
            self.announce(host, membership::State::Live).await?;
        }
        for host in started {
            self.hosts.insert(host.name.clone(), host);
        }
        self.update_routable_entries();
        Ok(())
    }

    fn host_spec(
        &self,
        name: SmolStr,
        index: usize,
        role: Role,
        service: Option<SmolStr>,
        backend: Option<Backend>,
    ) -> HostSpec {
        let regions = &self.plan.deployment.regions;
        let region = &regions[index % regions.len()];
        let zone = &region.zones[(index / regions.len()) % region.zones.len()];
        HostSpec {
            name: host::Name(name),
            role,
            zone: host::Zone(zone.clone()),
            region: host::Region(region.name.clone()),
            service,
            backend,
        }
    }

    async fn start_host(&self, spec: HostSpec) -> Result<Host, Error> {
        let arguments = self.daemon_flags(&spec);
        let program = &self.binaries.snipewinchd;
        let (process, ready) = Process::spawn(spec.name.as_str(), program, &arguments)
            .await
            .context(ProcessSnafu)?;
        Ok(Host {
            name: spec.name,
            role: spec.role,
            zone: spec.zone,
            region: spec.region,
            service: spec.service,
            backend: spec.backend,
            peers: address(&ready, "peers")?,
            http: address(&ready, "http")?,
            process: Some(process),
            stopping: false,
        })
    }

    fn daemon_flags(&self, spec: &HostSpec) -> Vec<String> {
        let platform = self.platform_by_region.get(&spec.region);
        let platform = format!("http://{}", platform.unwrap_or(&self.platform));
        let role = match spec.role {
            Role::Entry => "entry",
            Role::Agent => "agent",
        };
        let mut list = flags(&[
            ("--role", role.to_owned()),
            ("--host", spec.name.to_string()),
            ("--zone", spec.zone.to_string()),
            ("--region", spec.region.to_string()),
            ("--platform", platform),
            ("--fleet-key", FLEET_KEY.to_owned()),
            ("--log-level", self.plan.log_level.to_owned()),
            ("--leave-grace-ms", self.plan.leave_grace_ms.to_string()),
        ]);
        if let Some(collector) = self.collector {
            list.extend(flags(&[("--collector", format!("http://{collector}"))]));
        }
        match (&spec.service, spec.backend) {
            (Some(service), Some(backend)) => list.extend(flags(&[
                ("--service", service.to_string()),
                ("--backend", format!("http://{}", backend.address())),
                ("--upload-mbit", self.plan.upload_mbit.to_string()),
                ("--chunk-memory-mib", self.plan.chunk_memory_mib.to_string()),
                (
                    "--region-mbit",
                    (self.plan.deployment.region_mbit as u64).to_string(),
                ),
                (
                    "--origin-region",
                    self.plan.deployment.store_region.to_string(),
                ),
                (
                    "--weights-policy",
                    self.plan
                        .weights_policy
                        .clone()
                        .unwrap_or_else(|| "swarm".to_owned()),
                ),
            ])),
            _ => {
                let digest = Digest::of(self.operator_key().as_bytes());
                list.extend(flags(&[(
                    "--first-operator-key-digest",
                    digest.to_string(),
                )]));
            }
        }
        list
    }

    fn host_mut(&mut self, name: &host::Name) -> Result<&mut Host, Error> {
        let key = name.as_str();
        self.hosts.get_mut(name).context(HostSnafu { name: key })
    }

    /// Kills a host; the list still names it until [`Fleet::unlist`].
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if there is none.
    pub async fn kill(&mut self, name: &host::Name) -> Result<(), Error> {
        let host = self.host_mut(name)?;
        if let Some(mut process) = host.process.take() {
            process.kill().await;
        }
        self.update_routable_entries();
        Ok(())
    }

    /// Asks a host to stop gracefully and lets the balancer notice a little
    /// later; [`Fleet::finish_stop`] waits for it.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if there is none.
    pub fn begin_stop(&mut self, name: &host::Name) -> Result<(), Error> {
        self.signal(name, Signal::SIGTERM)?;
        let host = self.host_mut(name)?;
        host.stopping = true;
        let address = host.http;
        let balancer_delay = Duration::from_millis(self.plan.leave_grace_ms / 2);
        let routable_entries = self.routable_entries.clone();
        tokio::spawn(async move {
            tokio::time::sleep(balancer_delay).await;
            routable_entries.write().retain(|entry| *entry != address);
        });
        Ok(())
    }

    /// Whether a host's program has ended.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if there is none.
    pub fn has_ended(&mut self, name: &host::Name) -> Result<bool, Error> {
        let process = &mut self.host_mut(name)?.process;
        Ok(process.as_mut().is_none_or(Process::has_ended))
    }

    /// Waits for a host that was asked to stop.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if there is none.
    pub async fn finish_stop(
        &mut self,
        name: &host::Name,
        limit: Duration,
    ) -> Result<StopOutcome, Error> {
        let host = self.host_mut(name)?;
        let http = host.http;
        let Some(mut process) = host.process.take() else {
            return Ok(StopOutcome {
                http,
                in_time: true,
                log: Vec::new(),
            });
        };
        let ended = tokio::time::timeout(limit, process.wait()).await;
        self.update_routable_entries();
        Ok(StopOutcome {
            http,
            in_time: ended.unwrap_or(false),
            log: process.log_lines(),
        })
    }

    /// Asks a host to stop gracefully; whether it did within `limit`.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if there is none.
    pub async fn stop(&mut self, name: &host::Name, limit: Duration) -> Result<bool, Error> {
        let host = self.host_mut(name)?;
        let address = host.http;
        let Some(mut process) = host.process.take() else {
            return Ok(true);
        };
        process.signal(Signal::SIGTERM);
        let balancer_delay = Duration::from_millis(self.plan.leave_grace_ms / 2);
        let routable_entries = self.routable_entries.clone();
        let stop_routing = async {
            // The balancer notices a little later, as by readiness.
            tokio::time::sleep(balancer_delay).await;
            routable_entries.write().retain(|entry| *entry != address);
        };
        let wait = tokio::time::timeout(limit, process.wait());
        let (ended, ()) = tokio::join!(wait, stop_routing);
        self.update_routable_entries();
        Ok(ended.unwrap_or(false))
    }

    /// Sends a signal to a host, such as `SIGSTOP` and `SIGCONT`.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if there is none.
    pub fn signal(&self, name: &host::Name, signal: Signal) -> Result<(), Error> {
        if let Some(process) = &self.host(name.as_str())?.process {
            process.signal(signal);
        }
        Ok(())
    }

    /// Starts a host that was killed or stopped again, empty, under its name.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not come up.
    pub async fn replace(&mut self, name: &host::Name) -> Result<(), Error> {
        self.kill(name).await?;
        if let Some(index) = self.host(name.as_str())?.engine() {
            let path = format!("/admin/engines/{index}/reset");
            self.post(self.engines, &path, json!({})).await?;
        }
        self.restart(name).await
    }

    /// Starts a host's program again beside the same backend server.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not come up.
    pub async fn restart(&mut self, name: &host::Name) -> Result<(), Error> {
        self.kill(name).await?;
        let old = self.host(name.as_str())?;
        let spec = HostSpec {
            name: old.name.clone(),
            role: old.role,
            zone: old.zone.clone(),
            region: old.region.clone(),
            service: old.service.clone(),
            backend: old.backend,
        };
        self.start_and_announce(spec).await
    }

    /// Starts one more engine host beside a spare engine; none when all spare
    /// engines are taken.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not come up.
    pub async fn add_engine_host(&mut self) -> Result<Option<host::Name>, Error> {
        let Some(backend) = self.spare_engines.pop() else {
            return Ok(None);
        };
        let services = &self.plan.deployment.services;
        let service = services.iter().find(|s| self.plan.is_engine(&s.name));
        let service = service.map(|service| service.name.clone());
        let index = self.hosts.len();
        let name = format_smolstr!("joined-{index}");
        let spec = self.host_spec(name, index, Role::Agent, service, Some(backend));
        let name = spec.name.clone();
        self.start_and_announce(spec).await?;
        Ok(Some(name))
    }

    async fn start_and_announce(&mut self, spec: HostSpec) -> Result<(), Error> {
        let host = self.start_host(spec).await?;
        self.announce(&host, membership::State::Live).await?;
        self.hosts.insert(host.name.clone(), host);
        self.update_routable_entries();
        Ok(())
    }
}
