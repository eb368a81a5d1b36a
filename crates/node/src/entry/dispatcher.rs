//! Queues requests and sends them to slots of backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use peer::FleetKey;
use peer::datagram::Socket;
use platform::boot::Settings;
use rand::RngExt;
use smol_str::SmolStr;
use snipewinch::cold;
use snipewinch::cutover;
use snipewinch::dispatch;
use snipewinch::dispatch::Candidate;
use snipewinch::dispatch::Queue;
use snipewinch::dispatch::Ticket;
use snipewinch::dispatch::Waiter;
use snipewinch::engine_config::EngineConfig;
use snipewinch::grant::Credit;
use snipewinch::grant::Demand;
use snipewinch::grant::HolderId;
use snipewinch::grant::Message;
use snipewinch::grant::Published;
use snipewinch::health::Outcome;
use snipewinch::lateness::Lateness;
use snipewinch::pace;
use snipewinch::placement::Exclusion;
use snipewinch::placement::Facts;
use snipewinch::region::Mask;
use snipewinch::server_limit::Admission;
use snipewinch::server_limit::Board;
use snipewinch::server_limit::Server;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::backends::Backend;
use super::backends::Backends;
use super::backends::Key;
use super::backends::Load;
use crate::clock::Clock;
use crate::discovery::Update;

mod cold_start;
mod direct;
mod limited;
mod placing;
mod probe;
mod weights;

use placing::Place;
pub(crate) use probe::Prober;
pub(crate) use weights::Versions;
pub(crate) use weights::Weights;

/// Requests that an entry may have in flight at an engine whose agent does not
/// answer: all entries together then stay near the slots of an engine.
const BYPASS_REQUESTS_MAX: u32 = 1;

/// The minimum interval between two sendings of the configuration of its engine
/// to an agent.
const CONFIG_RESEND_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long demands go to the same agents while no slot is free.
const DEMAND_ROTATION_INTERVAL: Duration = Duration::from_millis(100);

/// How long a request waits for a backend server whose limit lets it through
/// soon.
const LIMIT_WAIT_MAX: Duration = Duration::from_millis(250);

/// A request for a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) service: SmolStr,
    /// Whether the service runs model engines, whose agents grant slots.
    pub(crate) has_engine: bool,
    /// Whether a backend server has ended under it. Two such requests do not
    /// share a server, so that its next end tells which of them is the cause.
    pub(crate) is_suspected: bool,
    /// Whether it is a second attempt beside a slow one, which only takes a slot that no
    /// other request wants.
    pub(crate) is_second: bool,
    /// Backend servers to which the request was sent before.
    pub(crate) tried: Vec<Key>,
    /// The regions to which it may go.
    pub(crate) regions: Mask,
    /// The name of its route.
    pub(crate) route: SmolStr,
    /// The name of its customer.
    pub(crate) customer: Option<SmolStr>,
    pub(crate) waiter: Waiter,
}

impl SlotRequest {
    /// Whether it may be sent to a backend server.
    fn admits(&self, key: Key, backend: &Backend) -> bool {
        let is_apart = !self.is_suspected || backend.suspected == 0;
        is_apart && !self.tried.contains(&key)
    }
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// No known backend server of the service could take it.
    NoServer,
    /// No slot became free in the time that it may wait, or too many requests
    /// wait.
    Busy,
    /// All backend servers that could take it rest, the first for this long.
    Resting(Duration),
    /// No backend server is in a region to which it may go.
    Region,
    /// All backend servers that could take it are in evacuated availability zones.
    Evacuated,
}

/// Receives the slot of a waiting request, or its refusal.
type SlotReceiver = oneshot::Receiver<Result<Slot, Refusal>>;

/// A waiting request.
struct Waiting {
    request: SlotRequest,
    sender: oneshot::Sender<Result<Slot, Refusal>>,
}

/// The state of one service.
#[derive(Default)]
struct Service {
    /// The oldest version of weights on which a request may start.
    min_version: u64,
    versions: Versions,
    /// The configuration that agents of the service must have, and its digest.
    engine_config: Option<(EngineConfig, u32)>,
    /// How fast requests may go to its cold servers; none if it has none.
    cold_pace: Option<cold::Pace>,
    queue: Queue,
    waiting: HashMap<Ticket, Waiting>,
}

struct State {
    /// Makes this entry choose other agents than other entries do.
    seed: u64,
    backends: Backends,
    services: HashMap<SmolStr, Service>,
    limits: Board,
    /// How late this process acts.
    lateness: Lateness,
    /// How often a request was not sent to a cold server without a grant.
    cold_held_back: u64,
    /// The socket for messages to agents and the key that protects them.
    agent_link: Option<(Rc<Socket>, FleetKey)>,
}

/// Assigns slots to requests; clones share one state.
#[derive(Clone)]
pub(crate) struct Dispatcher {
    clock: Clock,
    state: Rc<RefCell<State>>,
    /// Notified when a request begins to wait.
    queued: Rc<Notify>,
    /// Notified when more is known of published versions, or of the one that a
    /// backend server holds.
    versions_changed: Rc<Notify>,
}

/// A slot at a backend server, released on drop.
pub(crate) struct Slot {
    dispatcher: Dispatcher,
    /// Whether an agent granted it.
    granted: bool,
    is_suspected: bool,
    pub(crate) key: Key,
    pub(crate) id: SmolStr,
    /// The start of the backend server.
    pub(crate) server: Server,
    pub(crate) address: std::net::SocketAddr,
    /// The service of the backend server.
    pub(crate) service: SmolStr,
    pub(crate) weights: Weights,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.dispatcher.state.borrow_mut();
        let service = state.backends.get_mut(self.key).map(|backend| {
            backend.running -= 1;
            backend.suspected -= u32::from(self.is_suspected);
            if self.granted {
                backend.holder.release();
            }
            backend.service.clone()
        });
        drop(state);
        if let Some(service) = service {
            self.dispatcher.process_queue(&service);
        }
    }
}

impl Dispatcher {
    pub(crate) fn open(clock: Clock, settings: &Settings) -> Dispatcher {
        let holder = HolderId(rand::rng().random());
        let state = State {
            seed: rand::rng().random(),
            backends: Backends::new(settings, holder),
            services: HashMap::new(),
            limits: Board::open(settings.identity.host.as_str().into()),
            lateness: Lateness::default(),
            cold_held_back: 0,
            agent_link: None,
        };
        Dispatcher {
            clock,
            state: Rc::new(RefCell::new(state)),
            queued: Rc::default(),
            versions_changed: Rc::default(),
        }
    }

    /// Sets the socket and key with which messages are sent to agents.
    pub(crate) fn connect_agents(&self, socket: Rc<Socket>, key: FleetKey) {
        self.state.borrow_mut().agent_link = Some((socket, key));
    }

    /// Applies updates of the list of backend servers.
    pub(crate) fn apply_updates(&self, updates: Vec<Update>) {
        let mut state = self.state.borrow_mut();
        for update in &updates {
            if let Update::Removed(id) = update
                && let Some(server) = state.backends.unknown_start(id)
            {
                state.limits.forget_wishes(server);
            }
        }
        let changed = state.backends.apply_updates(self.clock.now(), updates);
        state.update_cold_paces();
        if changed {
            self.versions_changed.notify_waiters();
        }
        let services: Vec<SmolStr> = state.services.keys().cloned().collect();
        drop(state);
        services
            .iter()
            .for_each(|service| self.process_queue(service));
    }

    /// Waits for a slot, or picks one at once if no agents grant them.
    pub(crate) async fn acquire_slot(&self, request: SlotRequest) -> Result<Slot, Refusal> {
        match request.has_engine {
            true => self.wait_for_slot(request).await,
            false => self.acquire_direct(&request).await,
        }
    }

    /// Queues a request until it gets a slot or is refused.
    async fn wait_for_slot(&self, request: SlotRequest) -> Result<Slot, Refusal> {
        let service = request.service.clone();
        let (ticket, receiver) = self.enqueue(request)?;
        let _guard = QueueGuard {
            dispatcher: self,
            service: &service,
            ticket,
        };
        self.process_queue(&service);
        self.queued.notify_one();
        receiver.await.unwrap_or(Err(Refusal::Busy))
    }

    /// Adds a request to the queue of its service.
    fn enqueue(&self, request: SlotRequest) -> Result<(Ticket, SlotReceiver), Refusal> {
        let mut state = self.state.borrow_mut();
        state.check_servable(&request, self.clock.now())?;
        let (sender, receiver) = oneshot::channel();
        let service = state.services.entry(request.service.clone()).or_default();
        let ticket = service.queue.push(request.waiter);
        service.waiting.insert(ticket, Waiting { request, sender });
        Ok((ticket, receiver))
    }

    /// Counts a request as in flight at a backend server.
    fn occupy(&self, state: &mut State, key: Key, request: &SlotRequest, granted: bool) -> Slot {
        let now = self.clock.now();
        let backend = state
            .backends
            .get_mut(key)
            .expect("the caller has just found the backend server");
        backend.running += 1;
        backend.suspected += u32::from(request.is_suspected);
        backend.health.record_sent(now);
        state.limits.record_sent(now, backend.server);
        if !granted {
            backend.cold_share.record_sent(now);
        }
        let held = backend.version();
        let service_state = state.services.get(&request.service);
        let weights = Weights {
            held,
            replaced_by: service_state.and_then(|one| one.versions.replacement(held)),
        };
        Slot {
            service: backend.service.clone(),
            weights,
            dispatcher: self.clone(),
            granted,
            is_suspected: request.is_suspected,
            key,
            id: backend.id.clone(),
            server: backend.server,
            address: backend.address,
        }
    }

    /// Applies a credit that an agent has sent. Returns the service of its
    /// backend server, if that is listed.
    pub(crate) fn receive_credit(
        &self,
        from: std::net::SocketAddr,
        credit: &Credit,
    ) -> Option<SmolStr> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let key = state.backends.find_by_agent(from)?;
        let backend = state.backends.get_mut(key).expect("it was just found");
        backend.contact.record_agent();
        if backend.bypass_agent_until.take().is_some() {
            log::info!("E7051 agent of backend server {} answers again", backend.id);
        }
        let held = backend.version();
        backend.holder.receive(now, credit);
        backend
            .cold
            .record_heard(now, Duration::from_millis(credit.cold_ms.into()));
        if backend.version() != held {
            self.versions_changed.notify_waiters();
        }
        let service = backend.service.clone();
        state.send_engine_config(key, now, credit);
        drop(state);
        self.process_queue(&service);
        Some(service)
    }

    /// Records how long a connection to a backend server took to open.
    pub(crate) fn record_connected(&self, key: Key, took: Duration) {
        if let Some(backend) = self.state.borrow_mut().backends.get_mut(key) {
            backend.record_connected(took);
        }
    }

    /// Records that another server answers at a backend server's address. The
    /// listed one is gone and gets no requests until its row in the list
    /// changes.
    pub(crate) fn record_misdirected(&self, key: Key) {
        let mut state = self.state.borrow_mut();
        if let Some(backend) = state.backends.get_mut(key) {
            log::info!(
                "E7054 another server answers at the address of backend server {}, which gets no requests until its list entry changes",
                backend.id
            );
            backend.leaving = true;
        }
    }

    /// Sets the engine configuration that is sent to the agents of a service.
    pub(crate) fn set_engine_config(&self, service: &SmolStr, engine_config: EngineConfig) {
        let digest = engine_config.digest();
        let mut state = self.state.borrow_mut();
        let service_state = state.services.entry(service.clone()).or_default();
        service_state.engine_config = Some((engine_config, digest));
    }

    /// Records how long an answer of a backend server took from sending its request.
    pub(crate) fn record_answer_time(&self, key: Key, took: Duration) {
        let now = self.clock.now();
        if let Some(backend) = self.state.borrow_mut().backends.get_mut(key) {
            backend.record_answer_time(now, took);
        }
    }

    /// How many backend servers say that work takes longer there than usual now.
    pub(crate) fn slowed_servers(&self) -> usize {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let all = state.backends.iter_mut();
        all.filter(|(_, backend)| backend.pace.is_slowed(now))
            .count()
    }

    /// Records the outcome of a request at a backend server and the load that
    /// the server reported.
    pub(crate) fn record_outcome(&self, key: Key, outcome: Outcome, load: Option<pace::Load>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(backend) = state.backends.get_mut(key) else {
            return;
        };
        if let Some(load) = load {
            backend.pace.record_told(now, &load);
            backend.load = Some(Load {
                running: load.running,
                waiting: load.waiting,
                own: backend.running,
                reported: now,
            });
        }
        if matches!(outcome, Outcome::Failed | Outcome::Unreached) && backend.is_closed(now) {
            // An engine that loads weights aborts its requests, which says
            // nothing about its health.
            return;
        }
        if backend.health.record_outcome(now, outcome) {
            log::warn!("E7052 backend server {} ejected after failures", backend.id);
        }
    }

    /// Processes the queues of all services, as waiting times and demands
    /// depend on the time.
    pub(crate) fn tick(&self) {
        let services: Vec<SmolStr> = {
            let state = self.state.borrow();
            state.services.keys().cloned().collect()
        };
        services
            .iter()
            .for_each(|service| self.process_queue(service));
    }

    /// Whether a backend server is listed and not leaving.
    pub(crate) fn is_serving(&self, key: Key) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        state.backends.get(key).is_some_and(|one| {
            !one.leaving && state.limits.admission(now, one.server) != Admission::Leaving
        })
    }

    /// The id of a backend server, for logs.
    pub(crate) fn backend_name(&self, key: Key) -> SmolStr {
        let state = self.state.borrow();
        state
            .backends
            .get(key)
            .map_or("(no longer listed)".into(), |backend| backend.id.clone())
    }

    /// The largest number of entries that an agent has reported; none if none
    /// has.
    pub(crate) fn entry_count(&self) -> Option<u16> {
        let mut state = self.state.borrow_mut();
        let credits = state
            .backends
            .iter_mut()
            .filter_map(|(_, backend)| backend.holder.last_credit().copied());
        credits.map(|credit| credit.holders).max()
    }

    /// Waits until a request begins to wait.
    pub(crate) async fn wait_queued(&self) {
        self.queued.notified().await;
    }

    /// Whether requests of a service wait.
    pub(crate) fn is_service_waiting(&self, service: &str) -> bool {
        let state = self.state.borrow();
        let service_state = state.services.get(service);
        service_state.is_some_and(|one| !one.queue.is_empty())
    }

    /// Whether any request waits.
    pub(crate) fn is_waiting(&self) -> bool {
        let state = self.state.borrow();
        state
            .services
            .values()
            .any(|service_state| !service_state.queue.is_empty())
    }

    /// Refuses expired requests, assigns the granted slots and sends demands
    /// for the requests that still wait.
    fn process_queue(&self, service: &str) {
        let now = self.clock.now();
        let mut results = Vec::new();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.refuse_expired(service, now, &mut results);
        self.assign_slots(state, service, now, &mut results);
        state.send_demands(service, now);
        // Dropping a slot whose request is gone releases it and borrows the
        // state, which is still borrowed here.
        let mut unclaimed = Vec::new();
        for (waiting, result) in results {
            unclaimed.extend(waiting.sender.send(result).err());
        }
        drop_deferred(unclaimed);
    }

    /// Assigns slots to waiting requests and releases the granted slots that
    /// none of them can use.
    fn assign_slots(
        &self,
        state: &mut State,
        service: &str,
        now: Duration,
        results: &mut Vec<(Waiting, Result<Slot, Refusal>)>,
    ) {
        let keys: Vec<Key> = state
            .backends
            .of_service(service)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            while let Some(ticket) = state.best_request(service, key, now) {
                let backend = state.backends.get_mut(key).expect("it was just found");
                let waiter = state.services.get(service);
                let waiter = waiter.and_then(|one| one.waiting.get(&ticket));
                let admits = waiter.is_none_or(|one| {
                    let waiter = &one.request.waiter;
                    waiter.resumes || backend.holder.admits(waiter.priority)
                });
                if !admits {
                    break;
                }
                let granted = backend.holder.acquire();
                let begin_by = state
                    .services
                    .get(service)
                    .and_then(|one| one.versions.begin_by(backend));
                let may_start = granted
                    || (may_bypass_agent(backend, now, begin_by)
                        && state.admits_ungranted(key, now));
                if !may_start {
                    break;
                }
                let waiting = state.dequeue(service, ticket);
                if let Some(service_state) = state.services.get_mut(service) {
                    service_state.queue.record_start(now);
                }
                results.extend(waiting.map(|waiting| {
                    let slot = self.occupy(state, key, &waiting.request, granted);
                    (waiting, Ok(slot))
                }));
            }
            if let Some(backend) = state.backends.get_mut(key) {
                backend.holder.release_unused();
            }
        }
    }
}

/// Whether a request may go to an engine without a slot granted by its agent: one
/// that has answered since the agent is silent.
fn may_bypass_agent(backend: &mut Backend, now: Duration, begin_by: Option<Duration>) -> bool {
    may_use_without_agent(backend, now, begin_by) && backend.contact.is_reached(now)
}

/// Whether an engine could be used without its agent, which is silent, if it can
/// be reached. What is sent to a host that does not answer may be read much later,
/// so none goes to one with older weights than the newest.
fn may_use_without_agent(backend: &mut Backend, now: Duration, begin_by: Option<Duration>) -> bool {
    !backend.agent_answers(now)
        && begin_by.is_none()
        && !backend.is_closed(now)
        && backend.running < BYPASS_REQUESTS_MAX
        && backend.health.admits(now)
        && backend.version() > 0
}

impl State {
    /// Checks that a backend server could take a request before it expires,
    /// besides those that wait.
    fn check_servable(&mut self, request: &SlotRequest, now: Duration) -> Result<(), Refusal> {
        let min_version = self
            .services
            .get(&request.service)
            .map_or(0, |service_state| service_state.min_version);
        let queued = match request.waiter.resumes {
            // It goes before those that wait.
            true => 0,
            false => self
                .services
                .get(&request.service)
                .map_or(0, |service_state| service_state.queue.len()),
        };
        let span = request.waiter.expires.saturating_sub(now);
        let mut permits = 0.0;
        let mut refusal = Refusal::NoServer;
        let mut place = Place::of(request);
        for (key, backend) in self.backends.iter_service(&request.service) {
            let server = self.standing(now, key, backend);
            // What keeps a suspected request apart passes, and which weights a server
            // can hold is asked below.
            let facts = Facts {
                apart: request.tried.contains(&key),
                weights: cutover::Verdict::Current,
                ..self.facts(&server, request)
            };
            place.record(&facts);
            if facts.apart || !facts.is_in_place() || !backend.may_hold(min_version) {
                continue;
            }
            refusal = match (facts.check(), refusal) {
                (Err(Exclusion::Leaving), refusal) => refusal,
                (Err(Exclusion::Resting(left)), Refusal::NoServer) => Refusal::Resting(left),
                (Err(Exclusion::Resting(left)), Refusal::Resting(known)) => {
                    Refusal::Resting(left.min(known))
                }
                (_, _) => Refusal::Busy,
            };
            permits += self.limits.permits_within(now, backend.server, span);
        }
        match permits >= queued as f64 + 1.0 {
            true => Ok(()),
            false => Err(place.explain(refusal)),
        }
    }

    /// Sends an agent the configuration of its engine if its credit shows that
    /// it has another one.
    fn send_engine_config(&mut self, key: Key, now: Duration, credit: &Credit) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        let service_state = self.services.get(&backend.service);
        let (Some((socket, fleet_key)), Some((engine_config, digest))) = (
            &self.agent_link,
            service_state.and_then(|service_state| service_state.engine_config.as_ref()),
        ) else {
            return;
        };
        let recent = |sent| now.saturating_sub(sent) < CONFIG_RESEND_INTERVAL;
        if *digest == credit.config_digest || backend.config_sent.is_some_and(recent) {
            return;
        }
        backend.config_sent = Some(now);
        let message = Message::EngineConfig(Box::new(engine_config.clone()));
        if let Err(error) = socket.send(fleet_key, &message, backend.agent) {
            log::debug!(
                "E7053 failed to send the engine configuration to {}: {error}",
                backend.agent
            );
        }
    }

    /// The waiting request that should get the next slot of a backend server.
    fn best_request(&self, service: &str, key: Key, now: Duration) -> Option<Ticket> {
        let service_state = self.services.get(service)?;
        if service_state.queue.is_empty() {
            return None;
        }
        let backend = self.backends.get(key)?;
        let version = backend.version();
        let reported = backend
            .holder
            .last_credit()
            .map(|credit| credit.min_version)
            .filter(|reported| !service_state.versions.knows_age_of(*reported))
            .unwrap_or(0);
        if version < service_state.min_version.max(reported) {
            return None;
        }
        let server = self.standing(now, key, backend);
        server.for_regions(Mask::ALL).check().ok()?;
        service_state.queue.best(now, |ticket| {
            let waiting = service_state.waiting.get(&ticket);
            waiting
                .is_some_and(|Waiting { request, .. }| self.facts(&server, request).check().is_ok())
        })
    }

    /// Removes a request from the queue of its service.
    fn dequeue(&mut self, service: &str, ticket: Ticket) -> Option<Waiting> {
        let service_state = self.services.get_mut(service)?;
        service_state.queue.remove(ticket);
        service_state.waiting.remove(&ticket)
    }

    /// Refuses requests whose waiting time is over, one late request if too many
    /// wait, and all for which all backend servers rest or are in another place than
    /// those to which they may go.
    fn refuse_expired(
        &mut self,
        service: &str,
        now: Duration,
        results: &mut Vec<(Waiting, Result<Slot, Refusal>)>,
    ) {
        let groups = self.groups(service).into_iter();
        let shortages: Vec<(Mask, Refusal)> = groups
            .filter_map(|group| {
                let refusal = self.shortage(service, group.regions, now)?;
                Some((group.regions, refusal))
            })
            .collect();
        let Some(service_state) = self.services.get(service) else {
            return;
        };
        let refusal_of = |request: &SlotRequest| {
            let mut shortages = shortages.iter();
            let (_, refusal) = shortages.find(|(regions, _)| *regions == request.regions)?;
            Some(*refusal)
        };
        let mut refused: Vec<(Ticket, Refusal)> = Vec::new();
        if !shortages.is_empty() {
            let waiting = service_state.waiting.iter();
            refused.extend(
                waiting.filter_map(|(ticket, one)| Some((*ticket, refusal_of(&one.request)?))),
            );
        }
        if refused.len() < service_state.waiting.len() {
            let expired = service_state.queue.expired(now).into_iter();
            let expired = expired.chain(service_state.queue.to_shed(now));
            refused.extend(expired.map(|ticket| (ticket, Refusal::Busy)));
        }
        for (ticket, refusal) in refused {
            let waiting = self.dequeue(service, ticket);
            results.extend(waiting.map(|waiting| (waiting, Err(refusal))));
        }
    }

    /// Sends agents demands for the requests that still wait. Demands also
    /// report released slots and renew the lease of those in use.
    fn send_demands(&mut self, service: &str, now: Duration) {
        let Some((socket, fleet_key)) = self.agent_link.clone() else {
            return;
        };
        let groups = self.groups(service);
        // An agent that is silent is noted, which changes its backend server.
        let silent: HashSet<Key> = self
            .backends
            .of_service(service)
            .filter_map(|(key, backend)| (!backend.agent_answers(now)).then_some(key))
            .collect();
        self.services.entry(service.into()).or_default();
        let service_state = &self.services[service];
        let wants = service_state.queue.wants(now);
        let min_version = service_state.min_version;
        let versions = &service_state.versions;
        let published = versions
            .newest
            .map(|newest| Published::of(&newest.to_cutover(), now));
        let mut keys = Vec::new();
        let mut regions = Vec::new();
        let mut candidates = Vec::new();
        for (key, backend) in self.backends.iter_service(service) {
            let server = self.standing(now, key, backend);
            let is_open = match server.for_regions(Mask::ALL).check() {
                Ok(()) => true,
                Err(Exclusion::Limited(Some(wait)) | Exclusion::Cold(wait)) => {
                    wait <= LIMIT_WAIT_MAX
                }
                Err(_) => false,
            };
            let usable = !silent.contains(&key) && backend.health.admits(now) && is_open;
            if usable && backend.may_hold(min_version.max(1)) {
                keys.push(key);
                regions.push(backend.region);
                let begin_by = versions.begin_by(backend);
                candidates.push(Candidate {
                    is_last_choice: cutover::is_last_choice(now, begin_by),
                    distance: backend.distance,
                    free: backend.holder.last_credit().map_or(0, |credit| credit.free),
                    delay: backend
                        .holder
                        .last_credit()
                        .map_or(Duration::ZERO, |credit| {
                            Duration::from_millis(credit.delay_ms.into())
                        }),
                    hint_age: backend
                        .holder
                        .last_credit_at()
                        .map(|at| now.saturating_sub(at)),
                });
            }
        }
        let seed = self.seed ^ (now.as_millis() / DEMAND_ROTATION_INTERVAL.as_millis()) as u64;
        let mut demands: HashMap<Key, u16> = HashMap::new();
        for group in groups {
            let allowed = (0..keys.len()).filter(|index| group.regions.contains(regions[*index]));
            let allowed: Vec<usize> = allowed.collect();
            let candidates: Vec<Candidate> = allowed.iter().map(|one| candidates[*one]).collect();
            let oldest = now.saturating_sub(group.arrived);
            let planned = dispatch::plan(group.waiting, oldest, &candidates, seed);
            for (index, demanded) in allowed.into_iter().zip(planned) {
                let sum = demands.entry(keys[index]).or_default();
                *sum = sum.saturating_add(demanded);
            }
        }
        for (key, backend) in self.backends.iter_mut() {
            if backend.service != service {
                continue;
            }
            let demanded = demands.get(&key).copied().unwrap_or(0);
            let Some(demand) = backend.holder.demand_wants(now, demanded, &wants) else {
                continue;
            };
            let versions = &self.services[service].versions;
            let message = Message::Demand(Box::new(Demand {
                published,
                first_newer: versions.first_newer(now, backend.version()),
                cold_ms: match backend.cold_pace {
                    Some(_) => cold::to_millis(backend.cold.listed_left(now)),
                    None => 0,
                },
                ..demand
            }));
            if let Err(error) = socket.send(&fleet_key, &message, backend.agent) {
                log::debug!(
                    "E7053 failed to send a demand to {}: {error}",
                    backend.agent
                );
            }
        }
    }
}

/// Removes a request from the queue when its caller no longer waits.
struct QueueGuard<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a str,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.dispatcher.state.borrow_mut();
        let _waiting = state.dequeue(self.service, self.ticket);
    }
}

/// Drops the slots that no request takes after the current borrow of the state
/// has ended.
fn drop_deferred(unclaimed: Vec<Result<Slot, Refusal>>) {
    if !unclaimed.is_empty() {
        tokio::task::spawn_local(async move { drop(unclaimed) });
    }
}
