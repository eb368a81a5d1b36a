//! Places at backend servers: who waits for one and who gets it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use peer::FleetKey;
use peer::datagram::Socket;
use platform::boot::Settings;
use rand::RngExt;
use smol_str::SmolStr;
use snipewinch::dispatch;
use snipewinch::dispatch::Candidate;
use snipewinch::dispatch::Queue;
use snipewinch::dispatch::Ticket;
use snipewinch::dispatch::Waiter;
use snipewinch::engine_config::EngineConfig;
use snipewinch::grant;
use snipewinch::grant::Credit;
use snipewinch::grant::Demand;
use snipewinch::grant::HolderId;
use snipewinch::grant::Message;
use snipewinch::health::Outcome;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use super::backends::Backend;
use super::backends::Backends;
use super::backends::Key;
use super::backends::Load;
use crate::clock::Clock;
use crate::discovery::Update;
use crate::operator::Publication;

/// Requests that an entry has at once at an engine whose agent is silent. All
/// entries together then stay near the places of an engine.
const WITHOUT_AGENT_MAX: u32 = 1;

/// How soon an agent is told again what the configuration says of its engine.
const TERMS_GAP: Duration = Duration::from_millis(1_000);
/// For how long the same agents are asked while no place is free.
const SEED_AGE: Duration = Duration::from_millis(100);

/// A request that wants a place.
#[derive(Clone, Debug)]
pub(crate) struct Want {
    pub(crate) service: SmolStr,
    /// Whether agents grant the places.
    pub(crate) engine: bool,
    /// Backend servers that it was sent to before.
    pub(crate) tried: Vec<Key>,
    pub(crate) waiter: Waiter,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// No backend server of the service is known that could take it.
    Nobody,
    /// It waited as long as it pays to.
    Busy,
}

/// Where a request that waits learns of its place.
type Answered = oneshot::Receiver<Result<Place, Refusal>>;

struct Waiting {
    want: Want,
    answer: oneshot::Sender<Result<Place, Refusal>>,
}

#[derive(Default)]
struct Service {
    /// The oldest version of weights on which a request may start.
    floor: u64,
    /// The newest version that is named.
    named: Option<Publication>,
    /// What agents must know of the configuration, and its digest.
    terms: Option<(EngineConfig, u32)>,
    queue: Queue,
    waiting: HashMap<Ticket, Waiting>,
}

struct State {
    /// Sets the choices of this entry apart from those of others.
    seed: u64,
    backends: Backends,
    services: HashMap<SmolStr, Service>,
    link: Option<(Rc<Socket>, FleetKey)>,
}

/// Hands out places; clones share them.
#[derive(Clone)]
pub(crate) struct Desk {
    clock: Clock,
    state: Rc<RefCell<State>>,
    queued: Rc<Notify>,
}

/// A place at a backend server; it is handed back when dropped.
pub(crate) struct Place {
    desk: Desk,
    granted: bool,
    pub(crate) key: Key,
    pub(crate) id: SmolStr,
    pub(crate) address: std::net::SocketAddr,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.desk.state.borrow_mut();
        let service = state.backends.get_mut(self.key).map(|backend| {
            backend.running -= 1;
            if self.granted {
                backend.taker.release();
            }
            backend.service.clone()
        });
        drop(state);
        if let Some(service) = service {
            self.desk.pump(&service);
        }
    }
}

impl Desk {
    pub(crate) fn open(clock: Clock, settings: &Settings) -> Desk {
        let taker = HolderId(rand::rng().random());
        let state = State {
            seed: rand::rng().random(),
            backends: Backends::new(settings, taker),
            services: HashMap::new(),
            link: None,
        };
        Desk {
            clock,
            state: Rc::new(RefCell::new(state)),
            queued: Rc::default(),
        }
    }

    /// Sets by what agents are asked.
    pub(crate) fn link(&self, socket: Rc<Socket>, key: FleetKey) {
        self.state.borrow_mut().link = Some((socket, key));
    }

    /// Takes in news of the list of backend servers.
    pub(crate) fn news(&self, news: Vec<Update>) {
        let mut state = self.state.borrow_mut();
        state.backends.take(news);
        let services: Vec<SmolStr> = state.services.keys().cloned().collect();
        drop(state);
        services.iter().for_each(|service| self.pump(service));
    }

    /// Waits for a place.
    pub(crate) async fn place(&self, want: Want) -> Result<Place, Refusal> {
        match want.engine {
            true => self.queue(want).await,
            false => self.pick(&want).ok_or(Refusal::Nobody),
        }
    }

    async fn queue(&self, want: Want) -> Result<Place, Refusal> {
        let service = want.service.clone();
        let (ticket, answered) = self.enter(want)?;
        let _leave = Leave {
            desk: self,
            service: &service,
            ticket,
        };
        self.pump(&service);
        self.queued.notify_one();
        answered.await.unwrap_or(Err(Refusal::Busy))
    }

    /// Puts a request into the queue of its service.
    fn enter(&self, want: Want) -> Result<(Ticket, Answered), Refusal> {
        let mut state = self.state.borrow_mut();
        if !state.can_serve(&want) {
            return Err(Refusal::Nobody);
        }
        let (answer, answered) = oneshot::channel();
        let service = state.services.entry(want.service.clone()).or_default();
        let ticket = service.queue.push(want.waiter);
        service.waiting.insert(ticket, Waiting { want, answer });
        Ok((ticket, answered))
    }

    /// A place at a service without agents, the nearest and least busy.
    fn pick(&self, want: &Want) -> Option<Place> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let mut draw = rand::rng();
        let mut all: Vec<_> = state
            .backends
            .of_service(&want.service)
            .filter(|(key, _)| !want.tried.contains(key))
            .map(|(key, one)| {
                let busy = one.busyness(now);
                // A server of another zone is worth the way only for a whole
                // queue less.
                let away = if one.distance > 0 { 1.0 } else { 0.0 };
                let score = busy + away + draw.random_range(0.0..0.1);
                (!one.health.admits(now), score, key)
            })
            .collect();
        all.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        let (_, _, key) = all.first()?;
        Some(self.occupy(&mut state, *key, false))
    }

    fn occupy(&self, state: &mut State, key: Key, granted: bool) -> Place {
        let now = self.clock.now();
        let backend = state
            .backends
            .get_mut(key)
            .expect("the caller has found it");
        backend.running += 1;
        backend.health.record_sent(now);
        Place {
            desk: self.clone(),
            granted,
            key,
            id: backend.id.clone(),
            address: backend.address,
        }
    }

    /// An agent has said something.
    pub(crate) fn hear(&self, from: std::net::SocketAddr, give: &Credit) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(key) = state.backends.by_agent(from) else {
            return;
        };
        let backend = state.backends.get_mut(key).expect("it was just found");
        if backend.without_agent_until.take().is_some() {
            log::info!(
                "E7051 the agent of backend server {} answers again",
                backend.id
            );
        }
        backend.taker.receive(now, give);
        let service = backend.service.clone();
        state.tell_terms(key, now, give);
        drop(state);
        self.pump(&service);
    }

    /// Another server answers at a backend server's address: the one that is
    /// listed there is gone, and gets nothing until its entry changes.
    pub(crate) fn misdirected(&self, key: Key) {
        let mut state = self.state.borrow_mut();
        if let Some(backend) = state.backends.get_mut(key) {
            log::info!(
                "E7054 another server has the address of backend server {}",
                backend.id
            );
            backend.leaving = true;
        }
    }

    /// Sets what the agents of a service are told of the configuration.
    pub(crate) fn set_terms(&self, service: &SmolStr, terms: EngineConfig) {
        let digest = terms.digest();
        let mut state = self.state.borrow_mut();
        let desk = state.services.entry(service.clone()).or_default();
        desk.terms = Some((terms, digest));
    }

    /// Sets the oldest version of weights on which requests may start: `own` by
    /// the clock of this process, `found` the version named at its start. Agents
    /// are told of the newest that is `named`.
    pub(crate) fn set_versions(
        &self,
        service: &SmolStr,
        own: u64,
        found: u64,
        named: Option<Publication>,
    ) {
        let mut state = self.state.borrow_mut();
        let words: Vec<Credit> = state
            .backends
            .of_service(service)
            .filter_map(|(_, one)| one.taker.last_credit().copied())
            .collect();
        let desk = state.services.entry(service.clone()).or_default();
        desk.floor = grant::min_version(own, found, words.iter());
        desk.named = named;
    }

    /// A request saw how a backend server does.
    pub(crate) fn saw(&self, key: Key, outcome: Outcome, load: Option<(u32, u32)>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let Some(backend) = state.backends.get_mut(key) else {
            return;
        };
        if let Some((running, waiting)) = load {
            backend.load = Some(Load {
                running,
                waiting,
                at: now,
            });
        }
        if outcome == Outcome::Failed && backend.is_closed(now) {
            // The engine cuts what it runs when it loads.
            return;
        }
        if backend.health.record_outcome(now, outcome) {
            log::warn!("E7052 backend server {} rests after failures", backend.id);
        }
    }

    /// Looks after all that depends on time.
    pub(crate) fn tick(&self) {
        let services: Vec<SmolStr> = {
            let state = self.state.borrow();
            state.services.keys().cloned().collect()
        };
        services.iter().for_each(|service| self.pump(service));
    }

    /// The id of a backend server, for logs.
    pub(crate) fn name(&self, key: Key) -> SmolStr {
        let state = self.state.borrow();
        state
            .backends
            .get(key)
            .map_or("that is gone".into(), |one| one.id.clone())
    }

    /// How many entries there are, by the word of agents; none if none spoke.
    pub(crate) fn entries(&self) -> Option<u16> {
        let mut state = self.state.borrow_mut();
        let words = state
            .backends
            .iter_mut()
            .filter_map(|(_, one)| one.taker.last_credit().copied());
        words.map(|give| give.holders).max()
    }

    /// Resolves when a request begins to wait.
    pub(crate) async fn queued(&self) {
        self.queued.notified().await;
    }

    /// Whether any request waits.
    pub(crate) fn is_waiting(&self) -> bool {
        let state = self.state.borrow();
        state.services.values().any(|one| !one.queue.is_empty())
    }

    /// Refuses, places and asks, as far as it goes now.
    fn pump(&self, service: &str) {
        let now = self.clock.now();
        let mut answers = Vec::new();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.expire(service, now, &mut answers);
        self.assign(state, service, now, &mut answers);
        state.ask(service, now);
        // A place whose request is gone is handed back as it is dropped, which
        // must not find the state borrowed.
        let mut unclaimed = Vec::new();
        for (waiting, answer) in answers {
            unclaimed.extend(waiting.answer.send(answer).err());
        }
        drop_later(unclaimed);
    }

    fn assign(
        &self,
        state: &mut State,
        service: &str,
        now: Duration,
        answers: &mut Vec<(Waiting, Result<Place, Refusal>)>,
    ) {
        let keys: Vec<Key> = state
            .backends
            .of_service(service)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            while let Some(ticket) = state.fit(service, key, now) {
                let backend = state.backends.get_mut(key).expect("it was just found");
                let granted = backend.taker.acquire();
                if !granted && !may_do_without_agent(backend, now) {
                    break;
                }
                let waiting = state.take(service, ticket);
                if let Some(desk) = state.services.get_mut(service) {
                    desk.queue.record_start(now);
                }
                let place = self.occupy(state, key, granted);
                answers.extend(waiting.map(|waiting| (waiting, Ok(place))));
            }
            if let Some(backend) = state.backends.get_mut(key) {
                backend.taker.release_unused();
            }
        }
    }
}

/// Whether a request may go to an engine that nobody grants places of.
fn may_do_without_agent(backend: &mut Backend, now: Duration) -> bool {
    !backend.has_agent(now)
        && !backend.is_closed(now)
        && backend.running < WITHOUT_AGENT_MAX
        && backend.health.admits(now)
        && backend.version() > 0
}

impl State {
    /// Whether any backend server could take a request, now or soon.
    fn can_serve(&mut self, want: &Want) -> bool {
        let floor = self
            .services
            .get(&want.service)
            .map_or(0, |desk| desk.floor);
        let mut all = self.backends.of_service(&want.service);
        all.any(|(key, one)| !want.tried.contains(&key) && one.may_hold(floor))
    }

    /// Tells an agent what the configuration says of its engine, if it knows
    /// something else.
    fn tell_terms(&mut self, key: Key, now: Duration, give: &Credit) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        let desk = self.services.get(&backend.service);
        let (Some((socket, fleet_key)), Some((terms, digest))) =
            (&self.link, desk.and_then(|desk| desk.terms.as_ref()))
        else {
            return;
        };
        let recent = |told| now.saturating_sub(told) < TERMS_GAP;
        if *digest == give.config_digest || backend.told_terms.is_some_and(recent) {
            return;
        }
        backend.told_terms = Some(now);
        let message = Message::EngineConfig(Box::new(terms.clone()));
        if let Err(error) = socket.send(fleet_key, &message, backend.agent) {
            log::debug!("E7053 terms for {} were not sent: {error}", backend.agent);
        }
    }

    /// The request that a place at a backend server goes to.
    fn fit(&self, service: &str, key: Key, now: Duration) -> Option<Ticket> {
        let desk = self.services.get(service)?;
        let backend = self.backends.get(key)?;
        let version = backend.version();
        let said = backend
            .taker
            .last_credit()
            .map_or(0, |give| give.min_version);
        if version < desk.floor.max(said) {
            return None;
        }
        desk.queue.best(now, |ticket| {
            let waiting = desk.waiting.get(&ticket);
            waiting.is_some_and(|one| !one.want.tried.contains(&key))
        })
    }

    fn take(&mut self, service: &str, ticket: Ticket) -> Option<Waiting> {
        let desk = self.services.get_mut(service)?;
        desk.queue.remove(ticket);
        desk.waiting.remove(&ticket)
    }

    fn expire(
        &mut self,
        service: &str,
        now: Duration,
        answers: &mut Vec<(Waiting, Result<Place, Refusal>)>,
    ) {
        let Some(desk) = self.services.get(service) else {
            return;
        };
        let mut expired = desk.queue.expired(now);
        expired.extend(desk.queue.to_shed(now));
        for ticket in expired {
            let waiting = self.take(service, ticket);
            answers.extend(waiting.map(|waiting| (waiting, Err(Refusal::Busy))));
        }
    }

    /// Asks agents for places for those that still wait, hands back, renews.
    fn ask(&mut self, service: &str, now: Duration) {
        let Some((socket, fleet_key)) = self.link.clone() else {
            return;
        };
        let desk = self.services.entry(service.into()).or_default();
        let waiting = desk.queue.len();
        let (slack_ms, tokens) = desk.queue.most_urgent(now).unwrap_or_default();
        let oldest = desk
            .queue
            .oldest()
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let floor = desk.floor;
        let published = desk.named.map(|named| named.to_published(now));
        let mut keys = Vec::new();
        let mut candidates = Vec::new();
        for (key, one) in self.backends.of_service(service) {
            let usable = one.has_agent(now) && one.health.admits(now);
            if usable && one.may_hold(floor.max(1)) {
                keys.push(key);
                candidates.push(Candidate {
                    distance: one.distance,
                    free: one.taker.last_credit().map_or(0, |give| give.free),
                    delay: one.taker.last_credit().map_or(Duration::ZERO, |give| {
                        Duration::from_millis(give.delay_ms.into())
                    }),
                    hint_age: one.taker.last_heard().map(|at| now.saturating_sub(at)),
                });
            }
        }
        let seed = self.seed ^ (now.as_millis() / SEED_AGE.as_millis()) as u64;
        let asks = dispatch::plan(waiting, oldest, &candidates, seed);
        let asks: HashMap<Key, u16> = keys.into_iter().zip(asks).collect();
        for (key, one) in self.backends.iter_mut() {
            if one.service != service {
                continue;
            }
            let wanted = asks.get(&key).copied().unwrap_or(0);
            let Some(ask) = one.taker.demand(now, wanted, slack_ms, tokens) else {
                continue;
            };
            let message = Message::Demand(Demand { published, ..ask });
            if let Err(error) = socket.send(&fleet_key, &message, one.agent) {
                log::debug!("E7053 an ask to {} was not sent: {error}", one.agent);
            }
        }
    }
}

/// Takes a request off the queue if it stops waiting.
struct Leave<'a> {
    desk: &'a Desk,
    service: &'a str,
    ticket: Ticket,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let mut state = self.desk.state.borrow_mut();
        let _waiting = state.take(self.service, self.ticket);
    }
}

fn drop_later(unclaimed: Vec<Result<Place, Refusal>>) {
    if !unclaimed.is_empty() {
        tokio::task::spawn_local(async move { drop(unclaimed) });
    }
}
