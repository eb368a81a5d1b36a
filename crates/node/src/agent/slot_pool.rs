//! Grants the engine's slots to entries and monitors the engine.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use peer::FleetKey;
use peer::datagram::Socket;
use platform::engine::Report;
use rand::RngExt;
use snipewinch::cold;
use snipewinch::cutover;
use snipewinch::grant::HolderId;
use snipewinch::grant::Issuer;
use snipewinch::grant::IssuerId;
use snipewinch::grant::Message;
use snipewinch::route;
use snipewinch::transit::Transit;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::Agent;
use crate::metrics::AgentMetrics;

/// How often the engine is polled while it has requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How often the engine is polled while it does not answer or is idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How often the engine's health is asked whether it is cold, where engines are at first.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
/// Failed reports in a row after which the engine counts as down.
const MISSED_REPORTS_MAX: u32 = 3;
/// The delay after a failed read from the socket.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The slots of the engine and its last report.
#[derive(Debug, Default)]
pub(super) struct SlotPool {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    issuer: Issuer,
    /// The address of each entry.
    addresses: HashMap<HolderId, SocketAddr>,
    report: Option<Report>,
    /// Reports in a row that failed.
    missed_reports: u32,
    /// Whether no slots are granted because the engine is about to load and has
    /// to drain.
    closed: bool,
    /// The oldest version of weights on which requests may start.
    min_version: u64,
    slots: u32,
    transit: Transit,
    /// Whether fewer slots are granted because requests do not arrive.
    is_limited: bool,
    /// When a message or report was last processed.
    now: Duration,
    link: Option<(Rc<Socket>, FleetKey)>,
    /// The status last sent to entries: whether slots are granted, and the
    /// loaded version.
    announced: (bool, u64),
    /// The start of the engine in its last report; 0 before the first.
    started_ms: u64,
}

impl SlotPool {
    /// The engine's last report; `None` if it does not answer.
    pub(super) fn report(&self) -> Option<Report> {
        self.state.borrow().report.clone()
    }

    /// Grants the slots that can be granted now and sends the credits to the
    /// entries.
    fn grant(&self, now: Duration) {
        let mut state = self.state.borrow_mut();
        state.now = now;
        for holder in state.issuer.grant(now) {
            state.send_credit(holder);
        }
    }

    /// Sets the parameters of the engine and the longest gap between events
    /// that its streams allow.
    fn set_engine(&self, spec: &route::Engine, max_gap: Duration) {
        let mut state = self.state.borrow_mut();
        state
            .issuer
            .set_engine(spec.to_spec(), spec.usual_prompt, max_gap);
    }

    /// Sets the oldest version of weights on which requests may start, and
    /// whether it is known when the newest was published.
    pub(super) fn set_min_version(&self, min_version: u64, publish_time_known: bool) {
        let mut state = self.state.borrow_mut();
        state.min_version = min_version;
        state
            .issuer
            .set_min_version(min_version, publish_time_known);
    }

    /// Sets what entries and the grants of slots need to know of the newest
    /// version.
    pub(super) fn set_cutover(
        &self,
        newest: Option<cutover::Publication>,
        first_newer: Option<cutover::Publication>,
        begin_by: Option<Duration>,
    ) {
        let mut state = self.state.borrow_mut();
        state.issuer.set_cutover(newest, first_newer, begin_by);
    }

    /// Sets the digest of the engine's configuration.
    pub(super) fn set_config_digest(&self, digest: u32) {
        self.state.borrow_mut().issuer.set_config_digest(digest);
    }

    /// Updates the gauges.
    pub(super) fn update_metrics(&self, metrics: &AgentMetrics) {
        let mut state = self.state.borrow_mut();
        metrics.slots.set(state.issuer.capacity() as i64);
        metrics.in_use.set(state.issuer.in_use() as i64);
        metrics.waiting.set(state.issuer.waiting() as i64);
        let now = state.now;
        let cold = state.issuer.cold();
        metrics.cold_ms.set(cold.left(now).as_millis() as i64);
        metrics.cold_held_back.set(cold.held_back() as i64);
        metrics.weights_version.set(state.announced.1 as i64);
    }

    /// Sets how fast slots are granted while the engine is cold; none if its service has
    /// no cold servers.
    fn set_cold_pace(&self, now: Duration, pace: Option<cold::Pace>) {
        let mut state = self.state.borrow_mut();
        state.issuer.cold().set_pace(now, pace);
    }

    /// Stops granting slots, or resumes it.
    pub(super) fn set_closed(&self, closed: bool) {
        let mut state = self.state.borrow_mut();
        state.closed = closed;
        state.update_capacity();
    }

    /// Applies a report of the engine; `None` if it failed. `slots` is the
    /// number of slots in the configuration.
    pub(super) fn apply_report(&self, now: Duration, report: Option<Report>, slots: u32) {
        let mut state = self.state.borrow_mut();
        state.now = now;
        state.slots = slots;
        match report {
            Some(report) => {
                state.missed_reports = 0;
                state.issuer.set_slowness(report.pace);
                state.observe_cold(&report);
                state.report = Some(report);
            }
            None => {
                state.missed_reports += 1;
                if state.missed_reports == MISSED_REPORTS_MAX {
                    log::warn!("E7210 engine does not answer, no slots are granted until it does");
                    state.report = None;
                }
            }
        }
        state.update_capacity();
    }
}

impl State {
    /// Recomputes how many slots may be granted.
    fn update_capacity(&mut self) {
        let Some(report) = &self.report else {
            self.issuer.set_capacity(0, 0);
            self.announce((false, 0));
            return;
        };
        let version = loaded_version(report);
        let started_ms = report.started_ms;
        let in_use = self.issuer.in_use();
        let engine_requests = u64::from(report.running + report.waiting);
        // Requests that reached the engine without a slot.
        let without_slot = engine_requests.saturating_sub(in_use) as u32;
        let outdated = version == 0 || version < self.min_version;
        let slots = self
            .transit
            .capacity(self.now, self.slots, in_use, engine_requests);
        let is_limited = slots < self.slots;
        if std::mem::replace(&mut self.is_limited, is_limited) != is_limited {
            match is_limited {
                true => log::warn!(
                    "E7215 entries hold {in_use} slots and the engine has {engine_requests} requests: requests are held up on the way, fewer slots are granted"
                ),
                false => log::info!("E7216 requests arrive at the engine again"),
            }
        }
        let capacity = match self.closed || report.busy || outdated {
            true => 0,
            false => slots.saturating_sub(without_slot),
        };
        self.issuer.set_capacity(capacity, version);
        self.issuer.set_started(started_ms);
        self.announce((capacity > 0, version));
    }

    /// Records what a report says of how long the engine is cold. One that has started
    /// since the last report is cold from now on, and so is one that has started not
    /// long ago by the clock of its host.
    fn observe_cold(&mut self, report: &Report) {
        let now = self.now;
        let before = std::mem::replace(&mut self.started_ms, report.started_ms);
        let duration = self.issuer.cold().pace().map(|pace| pace.duration);
        // The configuration may come after the first report.
        let from_start = duration.map(|duration| match (before, report.started_ms) {
            (_, 0) => Duration::ZERO,
            (1.., started_ms) if before != started_ms => duration,
            (_, started_ms) => duration.saturating_sub(since_epoch(started_ms)),
        });
        let sources = [(report.cold_left, "its health"), (from_start, "its start")];
        for (left, source) in sources {
            if let Some(left) = left {
                self.record_cold(now, left, source);
            }
        }
    }

    /// Records that the engine is cold for `left` by what `source` says, and tells
    /// entries if that is new.
    fn record_cold(&mut self, now: Duration, left: Duration, source: &str) {
        if self.issuer.cold().record_left(now, left) {
            log::info!(
                "E7150 engine is cold for {} ms by {source}, slots are granted one by one",
                left.as_millis()
            );
            self.send_credits();
        }
    }

    fn send_credits(&mut self) {
        let holders: Vec<HolderId> = self.issuer.holders().collect();
        holders
            .into_iter()
            .for_each(|holder| self.send_credit(holder));
    }

    /// Sends credits to all entries if the status has changed.
    fn announce(&mut self, status: (bool, u64)) {
        if std::mem::replace(&mut self.announced, status) != status {
            self.send_credits();
        }
    }

    fn send_credit(&mut self, holder: HolderId) {
        let (Some((socket, key)), Some(address)) = (&self.link, self.addresses.get(&holder)) else {
            return;
        };
        let credit = self.issuer.credit(self.now, holder);
        if let Err(error) = socket.send(key, &credit, *address) {
            log::debug!("E7214 sending a credit to the entry at {address} failed: {error}");
        }
    }
}

/// How long ago something was by the clock of this host; zero if it is to come.
fn since_epoch(at_ms: u64) -> Duration {
    let at = UNIX_EPOCH + Duration::from_millis(at_ms);
    SystemTime::now().duration_since(at).unwrap_or_default()
}

/// The newest version of weights that an engine has loaded; 0 if none. One whose first
/// layers are missing is not loaded.
pub(super) fn loaded_version(report: &Report) -> u64 {
    let loaded = report.model_states.iter().filter(|model| {
        let layers = report.layers_of(model);
        model.has_layers() && layers.is_none_or(|layers| layers.from == 0)
    });
    loaded.map(|model| model.version).max().unwrap_or(0)
}

/// Polls the engine's state.
pub(super) async fn poll_engine(agent: Rc<Agent>) {
    let mut health_due = Duration::ZERO;
    loop {
        let cold_pace = agent.cold_pace();
        let asked = agent.clock.now();
        let report = match agent.engine.report().await {
            Ok(report)
                if cold_pace.is_some()
                    && report.cold_left.is_none()
                    && agent.clock.now() >= health_due =>
            {
                health_due = agent.clock.now() + HEALTH_INTERVAL;
                Some(Report {
                    cold_left: agent.engine.cold_left().await.ok().flatten(),
                    ..report
                })
            }
            Ok(report) => Some(report),
            Err(error) => {
                log::debug!("E7211 reading the engine's state failed: {error}");
                None
            }
        };
        let spec = agent.engine_spec();
        let slots = spec.as_ref().map_or(0, |spec| spec.slots);
        agent.slot_pool.set_cold_pace(agent.clock.now(), cold_pace);
        if let Some(spec) = &spec {
            agent.slot_pool.set_engine(spec, agent.max_gap());
        }
        let has_requests = report
            .as_ref()
            .is_some_and(|one| one.running + one.waiting > 0);
        if let Some(report) = &report {
            let mut state = agent.slot_pool.state.borrow_mut();
            state.issuer.cold().record_seen(asked);
            drop(state);
            agent.observe_engine(report);
        }
        let before = agent.slot_pool.report();
        agent
            .slot_pool
            .apply_report(agent.clock.now(), report, slots);
        agent.update_cutover();
        let after = agent.slot_pool.report();
        agent.update_urgency(after.as_ref().map_or(0, loaded_version));
        if before.map(|one| (one.started_ms, one.accepted_orders, one.busy))
            != after.map(|one| (one.started_ms, one.accepted_orders, one.busy))
        {
            agent.changed.notify_waiters();
        }
        sleep(if has_requests {
            POLL_INTERVAL
        } else {
            IDLE_POLL_INTERVAL
        })
        .await;
    }
}

/// Receives demands from entries and answers them with credits.
pub(super) async fn serve_demands(agent: Rc<Agent>, socket: Socket, key: FleetKey) {
    let socket = Rc::new(socket);
    {
        let mut state = agent.slot_pool.state.borrow_mut();
        state.link = Some((socket.clone(), key.clone()));
        state.issuer.set_id(IssuerId(rand::rng().random()));
    }
    loop {
        let wake = agent
            .slot_pool
            .state
            .borrow()
            .issuer
            .next_wakeup(agent.clock.now());
        let wake = wake.unwrap_or(agent.clock.now() + IDLE_POLL_INTERVAL);
        let received = tokio::select! {
            received = socket.receive::<Message>(&key) => received,
            () = sleep_until(agent.clock.at(wake)) => {
                agent.slot_pool.grant(agent.clock.now());
                continue;
            }
        };
        let (demand, from) = match received {
            Ok((Message::Demand(demand), from)) => (*demand, from),
            Ok((Message::EngineConfig(config), _)) => {
                agent.apply_engine_config(*config);
                continue;
            }
            Err(error) => {
                log::warn!("E7212 reading messages from entries failed: {error}");
                sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        let announced = [demand.first_newer, demand.published];
        for published in announced.into_iter().flatten() {
            agent.record_published(published);
            agent.update_cutover();
        }
        let now = agent.clock.now();
        let mut state = agent.slot_pool.state.borrow_mut();
        let state = &mut *state;
        state.now = now;
        state.addresses.insert(demand.holder, from);
        if demand.cold_ms > 0 {
            let left = Duration::from_millis(demand.cold_ms.into());
            state.record_cold(now, left, "the list");
        }
        let expired = state.issuer.expire(now);
        if expired > 0 {
            log::info!("E7213 reclaimed {expired} slots of entries that sent no demand in time");
        }
        if !state.issuer.receive(now, &demand) {
            continue;
        }
        let mut recipients = state.issuer.grant(now);
        if state.issuer.needs_reply(&demand) && !recipients.contains(&demand.holder) {
            recipients.push(demand.holder);
        }
        for holder in recipients {
            state.send_credit(holder);
        }
    }
}
