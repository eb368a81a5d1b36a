//! Sends orders to the engine, one at a time.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use backend::Server;
use backend::order::OrderClient;
use snipewinch::Digest;
use snipewinch::weights::load;
use snipewinch::weights::load::Action;
use snipewinch::weights::load::Kind;
use snipewinch::weights::load::Loader;
use snipewinch::weights::load::Outcome;
use snipewinch::weights::load::Readiness;
use snipewinch::weights::load::Target;
use snipewinch::weights::plan::Candidate;
use snipewinch::weights::rollout;
use tokio::time::timeout;

use super::Shared;
use super::targets;

/// The interval of checks whether running calls have ended and whether this
/// host may reload.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum number of predecessors in the rollout to which links are kept
/// while this host waits for them.
const AWAITED_PREDECESSORS_MAX: usize = 2;

/// Runs until the process exits; returns at once if no backend server is
/// configured.
pub(super) async fn run(shared: Shared) {
    let Some(backend) = &shared.context.config.backend else {
        return;
    };
    let authority = backend.trim_start_matches("http://");
    let mut driver = Driver {
        orders: OrderClient::open(Server::open(authority)),
        loader: Loader::new(shared.context.identity.incarnation),
        targets: Vec::new(),
        complete_since: HashMap::new(),
        shared,
    };
    loop {
        let pause = driver.advance().await;
        let _ = timeout(pause, driver.shared.engine_wakeup.notified()).await;
    }
}

struct Driver {
    shared: Shared,
    orders: OrderClient,
    loader: Loader,
    targets: Vec<Target>,
    /// When each manifest was first found complete on this host since the
    /// targets last changed.
    complete_since: HashMap<Digest, Duration>,
}

impl Driver {
    /// Takes the loader's next action and returns how long to wait before
    /// another.
    async fn advance(&mut self) -> Duration {
        let in_force = self.shared.context.configuration.borrow().clone();
        let service = self.shared.context.config.service.clone();
        let targets = targets(&in_force.document, service.as_deref());
        if targets.is_empty() && self.targets.is_empty() {
            return Duration::from_secs(1);
        }
        if targets != self.targets {
            self.complete_since.clear();
            self.targets.clone_from(&targets);
            self.loader.set_targets(targets, None);
        }
        let readiness = self.readiness();
        let readiness_of =
            |target: &Target| readiness.get(&target.manifest).copied().unwrap_or_default();
        let now = self.shared.context.now();
        let running = self.shared.context.hub.running() as usize;
        let action = self.loader.next_action(now, &readiness_of, running);
        self.publish_confirmed(&readiness_of);
        match action {
            Action::Wait(until) => match self.shared.awaited.lock().is_empty() {
                true => until.saturating_sub(now).max(POLL_INTERVAL),
                false => POLL_INTERVAL,
            },
            Action::Drain => POLL_INTERVAL,
            Action::ReadState => {
                self.read_state().await;
                Duration::ZERO
            }
            Action::Send { fence, order } => {
                self.send_order(fence, order).await;
                Duration::ZERO
            }
        }
    }

    async fn read_state(&mut self) {
        let state = match self.orders.state().await {
            Ok(state) => Some(state),
            Err(error) => {
                log::warn!("E3105 the engine's state could not be read: {error}");
                None
            }
        };
        self.loader.record_state(self.shared.context.now(), state);
    }

    async fn send_order(&mut self, fence: u64, order: load::Order) {
        let Some(wire_order) = self.wire_order(&order) else {
            self.loader
                .record_outcome(self.shared.context.now(), Outcome::Unknown);
            return;
        };
        log::info!("E3101 sending order {fence} to the engine: {order:?}");
        let outcome = self.orders.send(fence, &wire_order).await;
        match &outcome {
            Outcome::Done(_) => log::info!("E3102 the engine has carried out order {fence}"),
            Outcome::Unknown => log::warn!("E3103 order {fence} failed, or its answer was lost"),
            Outcome::Fenced { fence: seen } => {
                log::warn!(
                    "E3104 the engine refused order {fence}: it has seen fencing number {seen}"
                );
            }
        }
        self.loader
            .record_outcome(self.shared.context.now(), outcome);
    }

    fn wire_order(&self, order: &load::Order) -> Option<backend::order::Order> {
        match order {
            load::Order::Load(target) => self.wire_load(target),
            load::Order::Unload { model, version } => Some(backend::order::Order::Unload {
                model: model.clone(),
                version: version.clone(),
            }),
            load::Order::Role(role) => Some(backend::order::Order::Role { role: *role }),
        }
    }

    fn wire_load(&self, target: &Target) -> Option<backend::order::Order> {
        let swarm = self.shared.swarm.lock();
        let size = swarm.manifest(&target.manifest)?.size;
        let manifest = target.manifest;
        let address = loopback_address(*self.shared.context.http_address.get()?);
        let source = format!("http://{address}/weights/{manifest}");
        let version = target.version.clone();
        Some(match &target.kind {
            Kind::Model => backend::order::Order::Load {
                model: target.name.clone(),
                version,
                manifest,
                size,
                source,
            },
            Kind::Adapter { of } => backend::order::Order::Adapter {
                model: of.clone(),
                adapter: target.name.clone(),
                version,
                manifest,
                size,
                source,
            },
        })
    }

    /// The readiness of each target, by manifest. Also updates the
    /// predecessors that this host waits for.
    fn readiness(&mut self) -> HashMap<Digest, Readiness> {
        let now = self.shared.context.now();
        let mut awaited = Vec::new();
        let mut readiness = HashMap::new();
        for target in &self.targets {
            let swarm = self.shared.swarm.lock();
            let is_complete = swarm.has_all_chunks(&target.manifest);
            let manifest = swarm.manifest(&target.manifest).filter(|_| is_complete);
            let weights_digest = manifest.map(|one| one.weights_digest);
            drop(swarm);
            let may_reload = match weights_digest {
                None => false,
                Some(_) => {
                    let since = *self.complete_since.entry(target.manifest).or_insert(now);
                    let held = self.loader.holds(target, weights_digest);
                    held || self.may_reload(target, now - since, &mut awaited)
                }
            };
            readiness.insert(
                target.manifest,
                Readiness {
                    weights_digest,
                    may_reload,
                },
            );
        }
        *self.shared.awaited.lock() = awaited;
        readiness
    }

    /// Whether the rollout allows this host to load a target that has been
    /// complete for `waited`. If not, adds the nearest predecessors to
    /// `awaited`.
    fn may_reload(&self, target: &Target, waited: Duration, awaited: &mut Vec<Candidate>) -> bool {
        let context = &self.shared.context;
        let Some(service) = &context.config.service else {
            return true;
        };
        let view = context.view.borrow().clone();
        let percent = context
            .configuration
            .borrow()
            .document
            .rollout
            .width_percent;
        let host = &context.config.host;
        let predecessors = rollout::predecessors(&view, host, service, &target.manifest, percent);
        let peers = self.shared.peers.lock();
        let statuses: Vec<rollout::Status> = predecessors
            .iter()
            .map(|one| match peers.get(&one.host) {
                None => rollout::Status::Absent,
                Some(peer) => {
                    let confirmed = peer
                        .confirmed
                        .iter()
                        .any(|one| one.model == target.name && one.version == target.version);
                    match confirmed {
                        true => rollout::Status::Confirmed,
                        false => rollout::Status::Pending,
                    }
                }
            })
            .collect();
        let may_reload = rollout::may_reload(&statuses, waited);
        if !may_reload {
            awaited.extend(predecessors.into_iter().take(AWAITED_PREDECESSORS_MAX));
        }
        may_reload
    }

    /// If the confirmed versions have changed, publishes them to the rest of
    /// the process and, by heartbeats, to peers.
    fn publish_confirmed(&self, readiness_of: &dyn Fn(&Target) -> Readiness) {
        let confirmed = self.loader.confirmed(readiness_of);
        let context = &self.shared.context;
        let changed = context.confirmed.send_if_modified(|before| {
            let changed = *before != confirmed;
            before.clone_from(&confirmed);
            changed
        });
        if !changed {
            return;
        }
        context
            .hub
            .update_summary(|summary| summary.confirmed.clone_from(&confirmed));
        for target in &self.targets {
            let holds = self
                .loader
                .holds(target, readiness_of(target).weights_digest);
            if holds {
                log::info!(
                    "E3106 the engine holds {} in version {}",
                    target.name,
                    target.version
                );
            }
            // The channel is open for as long as the process runs.
            let _ = self.shared.loaded.send((target.manifest, holds));
        }
    }
}

/// The address at which the engine on this host reaches this process: loopback
/// if the listener is bound to all interfaces.
fn loopback_address(address: SocketAddr) -> SocketAddr {
    match address.ip().is_unspecified() {
        true => SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), address.port()),
        false => address,
    }
}
