//! Asks engines whose agents are silent whether they can be reached, while requests
//! wait that could go there.

use std::net::SocketAddr;
use std::time::Duration;

use platform::engine::Engine;
use platform::engine::Report;
use platform::http::Transport;
use smol_str::SmolStr;
use snipewinch::contact::ANSWER_TIME_MAX;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Dispatcher;
use super::Key;
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
    asked: Duration,
    /// Whether its service has cold servers.
    may_be_cold: bool,
}

impl Dispatcher {
    /// The engines to ask now, those first that were asked longest ago.
    fn take_probes(&self) -> Vec<Target> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut due = Vec::new();
        let services = state.services.iter();
        let services = services.filter(|(_, one)| !one.queue.is_empty());
        let services: Vec<SmolStr> = services.map(|(service, _)| service.clone()).collect();
        for service in services {
            for key in state.servers_in_place(&service, now) {
                let (Some(backend), Some(service_state)) =
                    (state.backends.get_mut(key), state.services.get(&service))
                else {
                    continue;
                };
                let begin_by = service_state.versions.begin_by(backend);
                if backend.contact.may_ask(now) && may_use_without_agent(backend, now, begin_by) {
                    let may_be_cold = backend.cold_pace.is_some();
                    due.push((backend.contact.asked(), key, backend.address, may_be_cold));
                }
            }
        }
        due.sort_by_key(|(asked, ..)| *asked);
        due.truncate(ENGINES_AT_ONCE_MAX);
        let targets = due
            .into_iter()
            .map(|(_, key, address, may_be_cold)| Target {
                may_be_cold,
                key,
                address,
                asked: now,
            });
        let targets: Vec<Target> = targets.collect();
        for target in &targets {
            if let Some(backend) = state.backends.get_mut(target.key) {
                backend.contact.record_asked(now);
            }
        }
        targets
    }

    /// Records that an engine has answered, so that requests may go to it.
    fn record_state(&self, target: Target, report: &Report) {
        let now = self.clock.now();
        let service: Option<SmolStr> = {
            let mut state = self.state.borrow_mut();
            state.backends.get_mut(target.key).map(|backend| {
                backend.record_report(now, report);
                backend.contact.record_answered(target.asked, now);
                backend.service.clone()
            })
        };
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
                let answers = async {
                    let report = engine.report().await?;
                    let cold_left = match target.may_be_cold && report.cold_left.is_none() {
                        true => engine.cold_left().await?,
                        false => report.cold_left,
                    };
                    Ok::<_, platform::engine::Error>(Report {
                        cold_left,
                        ..report
                    })
                };
                if let Ok(Ok(report)) = timeout(ANSWER_TIME_MAX, answers).await {
                    dispatcher.record_state(target, &report);
                }
            });
        }
    }
}
