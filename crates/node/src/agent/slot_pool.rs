//! Grants the engine's places to entries.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use peer::FleetKey;
use peer::datagram::Socket;
use platform::engine::Report;
use snipewinch::grant::HolderId;
use snipewinch::grant::Issuer;
use snipewinch::grant::Message;
use snipewinch::route;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::Agent;
use crate::metrics::AgentMetrics;

/// How often the engine is asked for its state while it works.
const WATCH: Duration = Duration::from_millis(100);
/// How often while it does not answer or has nothing to do.
const WATCH_IDLE: Duration = Duration::from_millis(250);
/// Answers that may be missing before the engine counts as gone.
const MISSING_MAX: u32 = 3;
/// The pause after the socket could not be read.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// The places and what is known of the engine.
#[derive(Debug, Default)]
pub(super) struct SlotPool {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    giver: Issuer,
    /// Where each entry is answered.
    addresses: HashMap<HolderId, SocketAddr>,
    report: Option<Report>,
    /// Reports in a row that did not come.
    missing: u32,
    /// Whether the engine is about to load and must become empty.
    closed: bool,
    /// The oldest version of weights on which requests may start.
    floor: u64,
    slots: u32,
    /// When something was last taken in.
    now: Duration,
    link: Option<(Rc<Socket>, FleetKey)>,
    /// What entries were last told: whether places are given, and the version.
    told: (bool, u64),
}

impl SlotPool {
    /// The engine's last report; none if it does not answer.
    pub(super) fn report(&self) -> Option<Report> {
        self.state.borrow().report.clone()
    }

    /// Gives what can be given now.
    fn give(&self, now: Duration) {
        let mut state = self.state.borrow_mut();
        state.now = now;
        for taker in state.giver.grant(now) {
            state.tell(taker);
        }
    }

    /// Sets how the engine works and how long streams bear to pause.
    fn set_engine(&self, spec: &route::Engine, pause: Duration) {
        let mut state = self.state.borrow_mut();
        state
            .giver
            .set_engine(spec.to_spec(), spec.usual_prompt, pause);
    }

    /// Sets the oldest version of weights on which requests may start.
    fn set_floor(&self, floor: u64, aged: bool) {
        let mut state = self.state.borrow_mut();
        state.floor = floor;
        state.giver.set_min_version(floor, aged);
    }

    /// Sets the digest of what the configuration says of the engine.
    pub(super) fn set_terms(&self, digest: u32) {
        self.state.borrow_mut().giver.set_config_digest(digest);
    }

    /// Brings the figures up to date.
    pub(super) fn show(&self, gauges: &AgentMetrics) {
        let state = self.state.borrow();
        gauges.slots.set(state.giver.capacity() as i64);
        gauges.in_use.set(state.giver.in_use() as i64);
        gauges.waiting.set(state.giver.waiting() as i64);
        gauges.weights_version.set(state.told.1 as i64);
    }

    /// Stops granting places, or goes on.
    pub(super) fn close(&self, closed: bool) {
        let mut state = self.state.borrow_mut();
        state.closed = closed;
        state.offer();
    }

    /// Takes in a report, or that none came.
    pub(super) fn take(&self, now: Duration, report: Option<Report>, slots: u32) {
        let mut state = self.state.borrow_mut();
        state.now = now;
        state.slots = slots;
        match report {
            Some(report) => {
                state.missing = 0;
                state.report = Some(report);
            }
            None => {
                state.missing += 1;
                if state.missing == MISSING_MAX {
                    log::warn!("E7210 the engine does not answer");
                    state.report = None;
                }
            }
        }
        state.offer();
    }
}

impl State {
    fn offer(&mut self) {
        let Some(report) = &self.report else {
            self.giver.set_capacity(0, 0);
            self.announce((false, 0));
            return;
        };
        let version = version(report);
        let in_use = self.giver.in_use();
        let at_work = u64::from(report.running + report.waiting);
        // Requests that came without a place.
        let others = at_work.saturating_sub(in_use) as u32;
        let old = version == 0 || version < self.floor;
        let places = match self.closed || report.busy || old {
            true => 0,
            false => self.slots.saturating_sub(others),
        };
        self.giver.set_capacity(places, version);
        self.announce((places > 0, version));
    }

    /// Tells all entries when places are no longer given, or are given again.
    fn announce(&mut self, word: (bool, u64)) {
        if std::mem::replace(&mut self.told, word) != word {
            let takers: Vec<HolderId> = self.giver.holders().collect();
            takers.into_iter().for_each(|taker| self.tell(taker));
        }
    }

    fn tell(&self, taker: HolderId) {
        let (Some((socket, key)), Some(address)) = (&self.link, self.addresses.get(&taker)) else {
            return;
        };
        let word = self.giver.credit(self.now, taker);
        if let Err(error) = socket.send(key, &word, *address) {
            log::debug!("E7214 an entry at {address} was not answered: {error}");
        }
    }
}

/// The version of the weights that an engine holds whole; 0 if none.
pub(super) fn version(report: &Report) -> u64 {
    let loaded = report.held.iter().filter(|held| held.is_loaded());
    loaded.map(|held| held.version).max().unwrap_or(0)
}

/// Follows the engine's state.
pub(super) async fn watch(agent: Rc<Agent>) {
    loop {
        let report = match agent.engine.report().await {
            Ok(report) => Some(report),
            Err(error) => {
                log::debug!("E7211 the engine's state was not read: {error}");
                None
            }
        };
        agent
            .slot_pool
            .set_floor(agent.floor(), agent.publish_time_known());
        let spec = agent.spec();
        let slots = spec.as_ref().map_or(0, |spec| spec.slots);
        if let Some(spec) = &spec {
            agent.slot_pool.set_engine(spec, agent.pause());
        }
        let works = report
            .as_ref()
            .is_some_and(|one| one.running + one.waiting > 0);
        let before = agent.slot_pool.report();
        agent.slot_pool.take(agent.clock.now(), report, slots);
        let after = agent.slot_pool.report();
        agent.hasten(after.as_ref().map_or(0, version));
        if before.map(|one| (one.born_ms, one.orders, one.busy))
            != after.map(|one| (one.born_ms, one.orders, one.busy))
        {
            agent.news.notify_waiters();
        }
        sleep(if works { WATCH } else { WATCH_IDLE }).await;
    }
}

/// Hears what entries ask for and answers them.
pub(super) async fn talk(agent: Rc<Agent>, socket: Socket, key: FleetKey) {
    let socket = Rc::new(socket);
    agent.slot_pool.state.borrow_mut().link = Some((socket.clone(), key.clone()));
    loop {
        let wake = agent
            .slot_pool
            .state
            .borrow()
            .giver
            .next_wakeup(agent.clock.now());
        let wake = wake.unwrap_or(agent.clock.now() + WATCH_IDLE);
        let received = tokio::select! {
            received = socket.receive::<Message>(&key) => received,
            () = sleep_until(agent.clock.at(wake)) => {
                agent.slot_pool.give(agent.clock.now());
                continue;
            }
        };
        let (ask, from) = match received {
            Ok((Message::Demand(ask), from)) => (ask, from),
            Ok((Message::EngineConfig(terms), _)) => {
                agent.take_terms(*terms);
                continue;
            }
            Err(error) => {
                log::warn!("E7212 nothing was read from entries: {error}");
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        if let Some(named) = ask.published {
            agent.hear_named(named);
        }
        let now = agent.clock.now();
        let mut state = agent.slot_pool.state.borrow_mut();
        let state = &mut *state;
        state.now = now;
        state.addresses.insert(ask.holder, from);
        let lapsed = state.giver.expire(now);
        if lapsed > 0 {
            log::info!("E7213 {lapsed} places of silent entries are free again");
        }
        if !state.giver.receive(now, &ask) {
            continue;
        }
        let mut told = state.giver.grant(now);
        if state.giver.needs_reply(&ask) && !told.contains(&ask.holder) {
            told.push(ask.holder);
        }
        for taker in told {
            state.tell(taker);
        }
    }
}
