//! Gives the engine its orders, one at a time.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use backend::Server;
use backend::order::Orders;
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

/// How often to look whether calls have ended or a turn has come.
const LOOK: Duration = Duration::from_millis(20);
/// Hosts ahead in the rollout to which links are kept while waiting.
const WATCHED: usize = 2;

/// Runs until the process ends; ends at once where no engine stands.
pub(super) async fn run(shared: Shared) {
    let Some(backend) = &shared.node.config.backend else {
        return;
    };
    let authority = backend.trim_start_matches("http://");
    let mut driver = Driver {
        orders: Orders::open(Server::open(authority)),
        loader: Loader::new(shared.node.identity.incarnation),
        targets: Vec::new(),
        whole_since: HashMap::new(),
        shared,
    };
    loop {
        let pause = driver.advance().await;
        let _ = timeout(pause, driver.shared.news.notified()).await;
    }
}

struct Driver {
    shared: Shared,
    orders: Orders,
    loader: Loader,
    targets: Vec<Target>,
    /// Since when each target waits for its turn.
    whole_since: HashMap<Digest, Duration>,
}

impl Driver {
    /// Takes one step; answers how long to wait for the next.
    async fn advance(&mut self) -> Duration {
        let in_force = self.shared.node.configuration.borrow().clone();
        let service = self.shared.node.config.service.clone();
        let targets = targets(&in_force.document, service.as_deref());
        if targets.is_empty() && self.targets.is_empty() {
            return Duration::from_secs(1);
        }
        if targets != self.targets {
            self.whole_since.clear();
            self.targets.clone_from(&targets);
            self.loader.set_targets(targets, None);
        }
        let ready = self.ready();
        let look = |target: &Target| ready.get(&target.manifest).copied().unwrap_or_default();
        let now = self.shared.node.now();
        let running = self.shared.node.hub.running() as usize;
        let step = self.loader.next_action(now, &look, running);
        self.publish(&look);
        match step {
            Action::Wait(until) => match self.shared.watched.lock().is_empty() {
                true => until.saturating_sub(now).max(LOOK),
                false => LOOK,
            },
            Action::Drain => LOOK,
            Action::ReadState => {
                self.read().await;
                Duration::ZERO
            }
            Action::Send { fence, order } => {
                self.give(fence, order).await;
                Duration::ZERO
            }
        }
    }

    async fn read(&mut self) {
        let state = match self.orders.state().await {
            Ok(state) => Some(state),
            Err(error) => {
                log::warn!("E3105 the engine's state was not read: {error}");
                None
            }
        };
        self.loader.record_state(self.shared.node.now(), state);
    }

    async fn give(&mut self, fence: u64, order: load::Order) {
        let Some(wire) = self.wire(&order) else {
            self.loader
                .record_outcome(self.shared.node.now(), Outcome::Unknown);
            return;
        };
        log::info!("E3101 order {fence} to the engine: {order:?}");
        let outcome = self.orders.give(fence, &wire).await;
        match &outcome {
            Outcome::Done(_) => log::info!("E3102 order {fence} is carried out"),
            Outcome::Unknown => log::warn!("E3103 order {fence} failed or its answer was lost"),
            Outcome::Fenced { fence: seen } => {
                log::warn!("E3104 the engine has seen {seen} and refuses order {fence}");
            }
        }
        self.loader.record_outcome(self.shared.node.now(), outcome);
    }

    fn wire(&self, order: &load::Order) -> Option<backend::order::Order> {
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
        let address = local(*self.shared.node.http_address.get()?);
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

    /// What is known of each target, by manifest.
    fn ready(&mut self) -> HashMap<Digest, Readiness> {
        let now = self.shared.node.now();
        let mut watched = Vec::new();
        let mut ready = HashMap::new();
        for target in &self.targets {
            let swarm = self.shared.swarm.lock();
            let here = swarm.has_all_chunks(&target.manifest);
            let manifest = swarm.manifest(&target.manifest).filter(|_| here);
            let weights_digest = manifest.map(|one| one.weights_digest);
            drop(swarm);
            let may_reload = match weights_digest {
                None => false,
                Some(_) => {
                    let since = *self.whole_since.entry(target.manifest).or_insert(now);
                    let held = self.loader.holds(target, weights_digest);
                    held || self.may_reload(target, now - since, &mut watched)
                }
            };
            ready.insert(
                target.manifest,
                Readiness {
                    weights_digest,
                    may_reload,
                },
            );
        }
        *self.shared.watched.lock() = watched;
        ready
    }

    /// Whether it is this host's turn to load a target.
    fn may_reload(&self, target: &Target, waited: Duration, watched: &mut Vec<Candidate>) -> bool {
        let node = &self.shared.node;
        let Some(service) = &node.config.service else {
            return true;
        };
        let view = node.view.borrow().clone();
        let percent = node.configuration.borrow().document.rollout.width_percent;
        let host = &node.config.host;
        let before = rollout::predecessors(&view, host, service, &target.manifest, percent);
        let peers = self.shared.peers.lock();
        let seen: Vec<rollout::Status> = before
            .iter()
            .map(|one| match peers.get(&one.host) {
                None => rollout::Status::Absent,
                Some(seen) => {
                    let confirmed = seen
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
        let turn = rollout::may_reload(&seen, waited);
        if !turn {
            watched.extend(before.into_iter().take(WATCHED));
        }
        turn
    }

    /// Tells the rest of the process, and the peers, what may be served.
    fn publish(&self, look: &dyn Fn(&Target) -> Readiness) {
        let confirmed = self.loader.confirmed(look);
        let node = &self.shared.node;
        let changed = node.confirmed.send_if_modified(|before| {
            let changed = *before != confirmed;
            before.clone_from(&confirmed);
            changed
        });
        if !changed {
            return;
        }
        node.hub
            .change_summary(|summary| summary.confirmed.clone_from(&confirmed));
        for target in &self.targets {
            let holds = self.loader.holds(target, look(target).weights_digest);
            if holds {
                log::info!("E3106 the engine holds {} {}", target.name, target.version);
            }
            // The channel is open as long as the process runs.
            let _ = self.shared.loaded.send((target.manifest, holds));
        }
    }
}

/// The address under which the engine on this host reaches this process.
fn local(address: SocketAddr) -> SocketAddr {
    match address.ip().is_unspecified() {
        true => SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), address.port()),
        false => address,
    }
}
