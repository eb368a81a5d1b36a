//! Asks engines whose agents are silent whether they can be reached, while requests
//! wait that could go there.

use std::net::SocketAddr;
use std::time::Duration;

use platform::engine::Engine;
use platform::http::Transport;
use smol_str::SmolStr;
use snipewinch::contact::HEARD_AGE_MAX;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Dispatcher;
use super::Key;
use super::Slot;
use super::may_use_without_agent;
use crate::entry::Entry;

/// How often it is decided which engines to ask.
const INTERVAL: Duration = Duration::from_millis(100);
/// The most engines that are asked at once.
const ENGINES_AT_ONCE_MAX: usize = 2;

/// An engine to ask for its state.
#[derive(Clone, Copy, Debug)]
struct Target {
    key: Key,
    address: SocketAddr,
}

impl Slot {
    /// Records that bytes came from the backend server.
    pub(crate) fn record_heard(&self, now: Duration) {
        self.dispatcher.record_heard(self.key, now);
    }
}

impl Dispatcher {
    fn record_heard(&self, key: Key, now: Duration) {
        if let Some(backend) = self.state.borrow_mut().backends.get_mut(key) {
            backend.contact.record_heard(now);
        }
    }

    /// The engines to ask now, those first that were asked longest ago.
    fn take_probes(&self) -> Vec<Target> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut due = Vec::new();
        let services = state.services.iter();
        for (service, service_state) in services.filter(|(_, one)| !one.queue.is_empty()) {
            for (key, backend) in state.backends.of_service(service) {
                let begin_by = service_state.versions.begin_by(backend);
                if let Some(asked) = backend.contact.probe_due(now)
                    && may_use_without_agent(backend, now, begin_by)
                {
                    due.push((asked, key, backend.address));
                }
            }
        }
        due.sort_by_key(|(asked, ..)| *asked);
        due.truncate(ENGINES_AT_ONCE_MAX);
        let targets = due
            .into_iter()
            .map(|(_, key, address)| Target { key, address });
        let targets: Vec<Target> = targets.collect();
        for target in &targets {
            if let Some(backend) = state.backends.get_mut(target.key) {
                backend.contact.record_probe(now);
            }
        }
        targets
    }

    /// Records that an engine has answered, which requests may go to.
    fn record_probed(&self, key: Key) {
        let service: Option<SmolStr> = {
            let state = self.state.borrow();
            state.backends.get(key).map(|one| one.service.clone())
        };
        self.record_heard(key, self.clock.now());
        if let Some(service) = service {
            self.process_queue(&service);
        }
    }
}

/// Asks engines for their state.
pub(crate) struct Prober {
    transport: Transport,
    /// When it was last decided which engines to ask.
    decided: Duration,
}

impl Prober {
    pub(crate) fn open() -> Prober {
        Prober {
            transport: Transport::open(),
            decided: Duration::ZERO,
        }
    }

    /// Asks the engines that are to be asked now, at most once per [`INTERVAL`].
    pub(crate) fn tick(&mut self, entry: &Entry) {
        let now = entry.clock.now();
        if now < self.decided + INTERVAL {
            return;
        }
        self.decided = now;
        for target in entry.dispatcher.take_probes() {
            let engine = Engine::open(self.transport.clone(), target.address);
            let dispatcher = entry.dispatcher.clone();
            entry.metrics.engine_probes.inc();
            spawn_local(async move {
                if let Ok(Ok(_)) = timeout(HEARD_AGE_MAX, engine.report()).await {
                    dispatcher.record_probed(target.key);
                }
            });
        }
    }
}
