//! Starts, kills, stops and replaces the entry and agent hosts of a fleet.

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

/// The number of daemons that are started in parallel.
const PARALLEL_STARTS: usize = 16;

/// The backend server of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Backend {
    /// The model engine with this index and address.
    Engine(usize, SocketAddr),
    /// The server of a plain service with this index and address.
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
    /// The name of the host.
    pub name: host::Name,
    /// Whether it is an entry or an agent.
    pub role: Role,
    /// The availability zone.
    pub zone: host::Zone,
    /// The region.
    pub region: host::Region,
    /// The service of its backend server, for agents.
    pub service: Option<SmolStr>,
    /// Its backend server, for agents.
    pub backend: Option<Backend>,
    /// The address at which it listens for peers.
    pub peers: SocketAddr,
    /// The address at which it serves HTTP.
    pub http: SocketAddr,
    /// The daemon process, none after the host was killed or stopped.
    pub process: Option<Process>,
    /// Whether it was asked to stop; updates of the routable entries leave it
    /// out.
    pub(super) stopping: bool,
}

impl Host {
    /// The resource usage of the daemon process.
    pub fn usage(&self) -> Usage {
        self.process
            .as_ref()
            .map(Process::usage)
            .unwrap_or_default()
    }

    /// The index of its model engine, none if it has no engine.
    pub fn engine(&self) -> Option<usize> {
        match self.backend {
            Some(Backend::Engine(index, _)) => Some(index),
            Some(Backend::Plain(..)) | None => None,
        }
    }
}

/// How a host stopped.
#[derive(Clone, Debug)]
pub struct StopOutcome {
    /// The address at which it served HTTP.
    pub http: SocketAddr,
    /// Whether it exited in time and successfully.
    pub in_time: bool,
    /// The last lines of its log, oldest first.
    pub log: Vec<String>,
}

/// A host whose process has exited by itself.
#[derive(Clone, Debug)]
pub struct EndedHost {
    /// The name of the host.
    pub name: host::Name,
    /// The last lines of its log, oldest first.
    pub log: Vec<String>,
}

/// The settings of a host to start.
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
    /// Starts every host of the plan. Spreads entries and the hosts of each
    /// service evenly over regions and availability zones.
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

    /// Kills the process of a host. The host stays in the membership list until
    /// [`Fleet::unlist`].
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if the host does not exist.
    pub async fn kill(&mut self, name: &host::Name) -> Result<(), Error> {
        let host = self.host_mut(name)?;
        if let Some(mut process) = host.process.take() {
            process.kill().await;
        }
        self.update_routable_entries();
        Ok(())
    }

    /// Asks a host to stop gracefully. The load balancer stops routing to it
    /// after half the leave grace period. [`Fleet::finish_stop`] waits for the
    /// exit.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if the host does not exist.
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

    /// The hosts whose process has exited by itself, with the last lines of its
    /// log.
    pub fn ended_hosts(&mut self) -> Vec<EndedHost> {
        let mut ended = Vec::new();
        for host in self.hosts.values_mut().filter(|host| !host.stopping) {
            if let Some(process) = &mut host.process
                && process.has_ended()
            {
                ended.push(EndedHost {
                    name: host.name.clone(),
                    log: process.log_lines(),
                });
            }
        }
        ended
    }

    /// Whether the process of a host has exited.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if the host does not exist.
    pub fn has_ended(&mut self, name: &host::Name) -> Result<bool, Error> {
        let process = &mut self.host_mut(name)?.process;
        Ok(process.as_mut().is_none_or(Process::has_ended))
    }

    /// Waits until a host that was asked to stop has exited, and kills it after
    /// `limit`.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if the host does not exist.
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

    /// Asks a host to stop gracefully; returns whether it exited successfully
    /// within `limit`.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if the host does not exist.
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
            // The load balancer stops routing to the entry with a delay, as if
            // it polled the readiness of the entry.
            tokio::time::sleep(balancer_delay).await;
            routable_entries.write().retain(|entry| *entry != address);
        };
        let wait = tokio::time::timeout(limit, process.wait());
        let (ended, ()) = tokio::join!(wait, stop_routing);
        self.update_routable_entries();
        Ok(ended.unwrap_or(false))
    }

    /// Sends a signal to the process of a host, for example `SIGSTOP`.
    ///
    /// # Errors
    ///
    /// [`Error::Host`] if the host does not exist.
    pub fn signal(&self, name: &host::Name, signal: Signal) -> Result<(), Error> {
        if let Some(process) = &self.host(name.as_str())?.process {
            process.signal(signal);
        }
        Ok(())
    }

    /// Kills a host if it runs, and starts it again under the same name with an
    /// empty engine.
    ///
    /// # Errors
    ///
    /// [`Error`] if the process does not start.
    pub async fn replace(&mut self, name: &host::Name) -> Result<(), Error> {
        self.kill(name).await?;
        if let Some(index) = self.host(name.as_str())?.engine() {
            let path = format!("/admin/engines/{index}/reset");
            self.post(self.engines, &path, json!({})).await?;
        }
        self.restart(name).await
    }

    /// Kills a host if it runs, and starts it again with the same backend
    /// server in its current state.
    ///
    /// # Errors
    ///
    /// [`Error`] if the process does not start.
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

    /// Starts one more agent host with a spare engine; returns its name, or
    /// none if no spare engine is left.
    ///
    /// # Errors
    ///
    /// [`Error`] if the process does not start.
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
