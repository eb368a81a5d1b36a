//! The backend servers that an entry knows, with their agents, load and health.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use platform::boot::Settings;
use platform::engine::Report;
use platform::listing::BackendServer;
use platform::listing::State;
use slotmap::SlotMap;
use smol_str::SmolStr;
use snipewinch::cold;
use snipewinch::contact::Contact;
use snipewinch::cutover;
use snipewinch::grant::Holder;
use snipewinch::grant::HolderId;
use snipewinch::health::Health;
use snipewinch::host::Identity;
use snipewinch::pace;
use snipewinch::region;
use snipewinch::region::Region;
use snipewinch::route;
use snipewinch::server_limit::Server;

use crate::discovery::Update;

slotmap::new_key_type! {
    /// Identifies a backend server while it is listed at one address.
    pub(crate) struct Key;
}

/// How long a demand may go unanswered before requests bypass the agent: many
/// round trips between any two regions.
const AGENT_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long requests bypass an agent that does not answer before the next
/// demand is sent to it.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// How long an agent's report that it grants no slots is valid: an engine may
/// reload several times within it.
const CLOSED_AGE_MAX: Duration = Duration::from_secs(4);
/// The age up to which the delay of the first event in a credit is used.
const DELAY_AGE_MAX: Duration = Duration::from_millis(400);
/// The shortest time assumed for a request's way to a backend server.
const ROUND_TRIP_MIN: Duration = Duration::from_millis(10);
/// The weight of a new measurement that is shorter than the known time.
const ROUND_TRIP_DECAY: f64 = 0.1;
/// How long the load that a backend server reported is valid.
const LOAD_AGE_MAX: Duration = Duration::from_millis(500);

/// The load that a backend server reported, in requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    /// Requests of this entry in flight there when the report arrived.
    pub(crate) own: u32,
    /// When the report arrived.
    pub(crate) reported: Duration,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) id: SmolStr,
    /// Identifies its start among all servers.
    pub(crate) server: Server,
    /// When it started by its row, in milliseconds since the Unix epoch.
    started_ms: Option<u64>,
    pub(crate) address: SocketAddr,
    pub(crate) service: SmolStr,
    /// Its availability zone.
    zone: SmolStr,
    pub(crate) region: Region,
    /// Whether its availability zone is evacuated.
    pub(crate) is_evacuated: bool,
    /// 0 in the availability zone of this entry, 1 in its region, 2 elsewhere.
    pub(crate) distance: u8,
    pub(crate) slots: u32,
    /// Whether it gets no new requests.
    pub(crate) leaving: bool,
    /// Whether its entry is missing just after an outage. It gets requests only
    /// if none of its service is listed.
    pub(crate) is_missing: bool,
    /// The newest version of the weights that its row in the list shows as
    /// loaded.
    pub(crate) listed_version: u64,
    /// Requests of this entry in flight there.
    pub(crate) running: u32,
    /// Those of them under which another backend server has ended.
    pub(crate) suspected: u32,
    pub(crate) load: Option<Load>,
    pub(crate) pace: pace::Estimate,
    pub(crate) health: Health,
    /// How long connections to it took to open: the longest recent time.
    round_trip: Duration,
    /// The address of the agent on its host.
    pub(crate) agent: SocketAddr,
    pub(crate) holder: Holder,
    /// Until when requests bypass the agent.
    pub(crate) bypass_agent_until: Option<Duration>,
    /// Whether it can be reached while its agent is silent.
    pub(crate) contact: Contact,
    /// Until when it is cold.
    pub(crate) cold: cold::Until,
    /// How fast it takes requests while it is cold; none if servers of its service are
    /// not.
    pub(crate) cold_pace: Option<cold::Pace>,
    /// What this entry may send to it without a grant while it is cold.
    pub(crate) cold_share: cold::Share,
    /// When the agent was last sent the configuration of its engine.
    pub(crate) config_sent: Option<Duration>,
}

impl Backend {
    /// The version of the weights that it holds: from the agent's last credit
    /// if there is one, from the list otherwise.
    pub(crate) fn version(&self) -> u64 {
        self.holder.version(self.started_ms, self.listed_version)
    }

    /// Whether it may hold weights of a version or newer. One whose agent has
    /// not sent a credit yet may: only a demand to it shows which it holds.
    pub(crate) fn may_hold(&self, version: u64) -> bool {
        self.holder.last_credit().is_none() || self.version().max(self.listed_version) >= version
    }

    /// Whether its agent has recently reported that it grants no slots, as it
    /// does while the engine loads weights.
    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        let recent = self
            .holder
            .last_credit_at()
            .is_some_and(|at| now.saturating_sub(at) < CLOSED_AGE_MAX);
        recent && self.holder.last_credit().is_some_and(|credit| !credit.open)
    }

    /// Whether its agent answers. If a demand has gone unanswered for too long,
    /// requests bypass the agent for [`AGENT_RETRY_DELAY`].
    pub(crate) fn agent_answers(&mut self, now: Duration) -> bool {
        let unanswered = self.holder.unanswered_for(now);
        if unanswered > AGENT_ANSWER_TIMEOUT {
            self.contact.record_silence(now.saturating_sub(unanswered));
            if self.bypass_agent_until.is_none() {
                log::info!(
                    "E7050 agent of backend server {} does not answer, requests bypass it",
                    self.id
                );
            }
            self.bypass_agent_until = Some(now + AGENT_RETRY_DELAY);
            self.holder.abandon_demand();
        }
        match self.bypass_agent_until {
            Some(until) if now < until => false,
            Some(_) | None => true,
        }
    }

    /// How much longer it is cold; zero if it is not.
    pub(crate) fn cold_left(&self, now: Duration) -> Duration {
        match self.cold_pace {
            Some(_) => self.cold.left(now),
            None => Duration::ZERO,
        }
    }

    /// Whether a request may go there without a grant of its agent, as far as its start
    /// decides. One with a grant may: the agent spaces its grants.
    pub(crate) fn cold_admission(&self, now: Duration) -> cold::Admission {
        match self.cold_left(now) {
            Duration::ZERO => cold::Admission::Open,
            left => self.cold_share.admission(now, left),
        }
    }

    /// Applies what it says of itself while its agent is silent. A start that is not
    /// the listed one is new.
    pub(crate) fn record_report(&mut self, now: Duration, report: &Report) {
        let listed = self.started_ms.filter(|_| report.started_ms > 0);
        let is_new = listed.is_some_and(|listed| listed != report.started_ms);
        let duration = self.cold_pace.filter(|_| is_new).map(|pace| pace.duration);
        for left in [duration, report.cold_left].into_iter().flatten() {
            self.cold.record_heard(now, left);
        }
    }

    /// Records how long a connection took to open.
    pub(crate) fn record_connected(&mut self, took: Duration) {
        let decayed = self.round_trip.mul_f64(1.0 - ROUND_TRIP_DECAY);
        self.round_trip = took.max(decayed);
    }

    /// The longest time of a request's way to it and of an event back, with
    /// opening a connection.
    pub(crate) fn transfer(&self) -> Duration {
        self.round_trip.max(ROUND_TRIP_MIN) * 2
    }

    /// How long a request with a prompt of `tokens` takes to begin there: by the
    /// credit that granted it a slot, which counts its prompt already, and without
    /// a recent one as the last of a full engine.
    pub(crate) fn begin_delay(
        &self,
        now: Duration,
        engine: &route::Engine,
        tokens: u32,
    ) -> cutover::Delay {
        let spec = engine.to_spec();
        let is_fresh = |at| now.saturating_sub(at) <= DELAY_AGE_MAX;
        let credit = self.holder.last_credit();
        let recent = credit.filter(|_| self.holder.last_credit_at().is_some_and(is_fresh));
        let first_event = match recent {
            Some(credit) => Duration::from_millis(credit.delay_ms.into()),
            None => spec.full_wait(engine.usual_prompt.max(f64::from(tokens))),
        };
        let prompt = spec.prefill_time(f64::from(tokens));
        cutover::Delay::new(self.transfer(), first_event, prompt)
    }

    /// Its running and waiting requests for each slot, for services without
    /// agents.
    pub(crate) fn load_ratio(&self, now: Duration) -> f64 {
        let reported = self
            .load
            .filter(|load| now.saturating_sub(load.reported) <= LOAD_AGE_MAX)
            .map_or(0, |load| load.running + load.waiting);
        f64::from(self.running.max(reported)) / f64::from(self.slots.max(1))
    }

    /// Its requests by its last report, with those of this entry that came and went since.
    fn ahead(&self, now: Duration) -> u32 {
        let recent = self
            .load
            .filter(|load| now.saturating_sub(load.reported) <= LOAD_AGE_MAX);
        let reported = recent.map_or(0, |load| {
            (load.running + load.waiting + self.running).saturating_sub(load.own)
        });
        reported.max(self.running)
    }

    /// Whether a request that is sent now would run at once and it is known to be healthy.
    pub(crate) fn has_free_slot(&self, now: Duration) -> bool {
        self.ahead(now) < self.slots && self.health.admits(now)
    }

    /// The predicted time until the answer to a request that is sent now, with opening a
    /// connection. `usual` is the time of answers at all servers of the service.
    pub(crate) fn predicted_answer(&self, now: Duration, usual: Duration) -> Duration {
        let way = match self.round_trip.is_zero() && self.distance > 0 {
            true => ROUND_TRIP_MIN,
            false => self.round_trip,
        };
        self.pace.predict(now, usual, self.ahead(now), self.slots) + way * 2
    }

    /// Records how long an answer took from sending its request.
    pub(crate) fn record_answer_time(&mut self, now: Duration, took: Duration) {
        self.pace
            .record_answer(now, took.saturating_sub(self.round_trip));
    }
}

/// All listed backend servers.
#[derive(Debug)]
pub(crate) struct Backends {
    arena: SlotMap<Key, Backend>,
    ids: HashMap<SmolStr, Key>,
    identity: Identity,
    regions: BTreeMap<SmolStr, SmolStr>,
    index: region::Index,
    /// The evacuated availability zones.
    evacuated: BTreeSet<SmolStr>,
    peer_port: u16,
    holder_id: HolderId,
}

impl Backends {
    pub(crate) fn new(settings: &Settings, holder_id: HolderId) -> Backends {
        Backends {
            arena: SlotMap::with_key(),
            ids: HashMap::new(),
            identity: settings.identity.clone(),
            regions: settings.regions.clone(),
            index: region::Index::new(settings.regions.iter()),
            evacuated: BTreeSet::new(),
            peer_port: settings.peer_port,
            holder_id,
        }
    }

    pub(crate) fn get(&self, key: Key) -> Option<&Backend> {
        self.arena.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: Key) -> Option<&mut Backend> {
        self.arena.get_mut(key)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (Key, &mut Backend)> {
        self.arena.iter_mut()
    }

    /// The backend servers of a service that take new requests.
    pub(crate) fn of_service<'a>(
        &'a mut self,
        service: &'a str,
    ) -> impl Iterator<Item = (Key, &'a mut Backend)> {
        let may_serve = move |backend: &Backend| !backend.leaving && backend.service == service;
        let any_listed = self
            .arena
            .values()
            .any(|backend| may_serve(backend) && !backend.is_missing);
        let all = self.arena.iter_mut();
        all.filter(move |(_, backend)| may_serve(backend) && !(any_listed && backend.is_missing))
    }

    /// The same, as [`Self::of_service`] gives them.
    pub(crate) fn iter_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (Key, &'a Backend)> {
        let may_serve = move |backend: &Backend| !backend.leaving && backend.service == service;
        let any_listed = self
            .arena
            .values()
            .any(|backend| may_serve(backend) && !backend.is_missing);
        let all = self.arena.iter();
        all.filter(move |(_, backend)| may_serve(backend) && !(any_listed && backend.is_missing))
    }

    /// Sets the evacuated availability zones; true if others were before.
    pub(crate) fn set_evacuated(&mut self, zones: BTreeSet<SmolStr>) -> bool {
        if zones == self.evacuated {
            return false;
        }
        for backend in self.arena.values_mut() {
            backend.is_evacuated = zones.contains(&backend.zone);
        }
        self.evacuated = zones;
        true
    }

    /// Whether an availability zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// The backend server whose agent has an address.
    pub(crate) fn find_by_agent(&self, address: SocketAddr) -> Option<Key> {
        let mut all = self.arena.iter();
        all.find(|(_, backend)| backend.agent == address)
            .map(|(key, _)| key)
    }

    /// The identity of a backend server whose row does not tell when it started, so that
    /// a later start under its id cannot be told apart.
    pub(crate) fn unknown_start(&self, id: &str) -> Option<Server> {
        let backend = self.arena.get(*self.ids.get(id)?)?;
        backend.started_ms.is_none().then_some(backend.server)
    }

    /// Applies updates of the list; true if a known backend server holds another
    /// version by them.
    pub(crate) fn apply_updates(&mut self, now: Duration, updates: Vec<Update>) -> bool {
        let mut has_changed = false;
        for update in updates {
            match update {
                Update::Listed(id, entry) => has_changed |= self.upsert(now, id, entry),
                Update::Missing(id) => {
                    let key = self.ids.get(&id).copied();
                    if let Some(backend) = key.and_then(|key| self.arena.get_mut(key)) {
                        backend.is_missing = true;
                    }
                }
                Update::Removed(id) => {
                    if let Some(key) = self.ids.remove(&id) {
                        self.arena.remove(key);
                    }
                }
            }
        }
        has_changed
    }

    /// Adds a backend server, or updates it if its address is unchanged; true if
    /// it then holds another version.
    fn upsert(&mut self, now: Duration, id: SmolStr, entry: BackendServer) -> bool {
        let leaving = entry.state == State::Draining;
        let version = loaded_version(&entry);
        let known = self.ids.get(&id).and_then(|key| self.arena.get_mut(*key));
        match known {
            Some(backend) if backend.address == entry.address => {
                let held = backend.version();
                let server = Server::of(&id, entry.started_ms);
                if backend.server != server {
                    // Its weights are gone.
                    backend.holder.forget_credit();
                    if let Some(pace) = backend.cold_pace {
                        backend.cold.record_heard(now, pace.duration);
                    }
                }
                backend.cold.record_listed(now, entry.cold_left);
                backend.leaving = leaving;
                backend.is_missing = false;
                backend.server = server;
                backend.started_ms = entry.started_ms;
                backend.slots = entry.slots;
                backend.service = entry.service;
                backend.region = self.index.region(&entry.zone);
                backend.is_evacuated = self.evacuated.contains(&entry.zone);
                backend.zone = entry.zone;
                backend.listed_version = version;
                backend.version() != held
            }
            Some(_) | None => {
                let mut cold = cold::Until::default();
                cold.record_listed(now, entry.cold_left);
                let backend = Backend {
                    cold,
                    cold_pace: None,
                    cold_share: cold::Share::default(),
                    distance: self.distance(&entry.zone),
                    region: self.index.region(&entry.zone),
                    is_evacuated: self.evacuated.contains(&entry.zone),
                    zone: entry.zone,
                    agent: SocketAddr::new(entry.address.ip(), self.peer_port),
                    address: entry.address,
                    service: entry.service,
                    slots: entry.slots,
                    leaving,
                    is_missing: false,
                    listed_version: version,
                    running: 0,
                    suspected: 0,
                    load: None,
                    pace: pace::Estimate::default(),
                    server: Server::of(&id, entry.started_ms),
                    started_ms: entry.started_ms,
                    health: Health::default(),
                    round_trip: Duration::ZERO,
                    holder: Holder::new(self.holder_id),
                    bypass_agent_until: None,
                    contact: Contact::default(),
                    config_sent: None,
                    id: id.clone(),
                };
                let key = self.arena.insert(backend);
                if let Some(before) = self.ids.insert(id, key) {
                    self.arena.remove(before);
                }
                false
            }
        }
    }

    fn distance(&self, zone: &str) -> u8 {
        let region = self.regions.get(zone);
        match region {
            _ if self.identity.zone.as_str() == zone => 0,
            Some(region) if self.identity.region.as_str() == region => 1,
            Some(_) | None => 2,
        }
    }
}

fn loaded_version(entry: &BackendServer) -> u64 {
    let loaded = entry.model_states.iter().filter(|model| model.has_layers());
    loaded.map(|model| model.version).max().unwrap_or(0)
}
