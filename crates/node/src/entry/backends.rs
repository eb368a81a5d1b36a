//! The backend servers as an entry sees them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use platform::boot::Settings;
use platform::listing::Entry;
use platform::listing::State;
use slotmap::SlotMap;
use smol_str::SmolStr;
use snipewinch::grant::Holder;
use snipewinch::grant::HolderId;
use snipewinch::health::Health;
use snipewinch::host::Identity;

use crate::discovery::Update;

slotmap::new_key_type! {
    /// Names a backend server from when it is listed until it is forgotten.
    pub(crate) struct Key;
}

/// How long an agent may leave an ask unanswered before its places are used
/// without it: many round trips between any two regions.
const SILENCE_MAX: Duration = Duration::from_millis(300);
/// For how long a silent agent is done without before it is asked again.
const SILENCE_REST: Duration = Duration::from_millis(1_000);
/// How long the word of an agent is believed that it gives no places: some
/// reloads of an engine.
const CLOSED_AGE_MAX: Duration = Duration::from_secs(4);
/// How long the load that a backend server told is believed.
const LOAD_AGE_MAX: Duration = Duration::from_millis(500);

/// What a backend server told of its load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) at: Duration,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) id: SmolStr,
    pub(crate) address: SocketAddr,
    pub(crate) service: SmolStr,
    /// 0 in the own availability zone, 1 in the own region, 2 elsewhere.
    pub(crate) distance: u8,
    pub(crate) slots: u32,
    pub(crate) leaving: bool,
    /// The newest whole version of weights that its entry lists.
    pub(crate) listed_version: u64,
    /// Requests of this entry under way there.
    pub(crate) running: u32,
    pub(crate) load: Option<Load>,
    pub(crate) health: Health,
    /// Where the agent on its host listens.
    pub(crate) agent: SocketAddr,
    pub(crate) taker: Holder,
    /// Until when the agent is done without.
    pub(crate) without_agent_until: Option<Duration>,
    /// When the agent was last told what the configuration says of its engine.
    pub(crate) told_terms: Option<Duration>,
}

impl Backend {
    /// The version of the weights that it holds, by its agent's word if there
    /// is one.
    pub(crate) fn version(&self) -> u64 {
        let said = self.taker.last_credit().map(|give| give.version);
        said.unwrap_or(self.listed_version)
    }

    /// Whether it may hold weights of a version or newer. One whose agent has
    /// not spoken yet may: it has to be asked for the entry to learn of it.
    pub(crate) fn may_hold(&self, version: u64) -> bool {
        self.taker.last_credit().is_none() || self.version().max(self.listed_version) >= version
    }

    /// Whether its agent has said lately that it gives no places, as while the
    /// engine loads.
    pub(crate) fn is_closed(&self, now: Duration) -> bool {
        let lately = self
            .taker
            .last_heard()
            .is_some_and(|at| now.saturating_sub(at) < CLOSED_AGE_MAX);
        lately && self.taker.last_credit().is_some_and(|give| !give.open)
    }

    /// Whether its agent answers.
    pub(crate) fn has_agent(&mut self, now: Duration) -> bool {
        if self.taker.unanswered_for(now) > SILENCE_MAX {
            if self.without_agent_until.is_none() {
                log::info!("E7050 the agent of backend server {} is silent", self.id);
            }
            self.without_agent_until = Some(now + SILENCE_REST);
            self.taker.abandon_demand();
        }
        match self.without_agent_until {
            Some(until) if now < until => false,
            Some(_) | None => true,
        }
    }

    /// How busy it is, for services without agents: the lower the better.
    pub(crate) fn busyness(&self, now: Duration) -> f64 {
        let told = self
            .load
            .filter(|load| now.saturating_sub(load.at) <= LOAD_AGE_MAX)
            .map_or(0, |load| load.running + load.waiting);
        f64::from(self.running.max(told)) / f64::from(self.slots.max(1))
    }
}

/// All backend servers.
#[derive(Debug)]
pub(crate) struct Backends {
    arena: SlotMap<Key, Backend>,
    ids: HashMap<SmolStr, Key>,
    identity: Identity,
    regions: BTreeMap<SmolStr, SmolStr>,
    peer_port: u16,
    taker: HolderId,
}

impl Backends {
    pub(crate) fn new(settings: &Settings, taker: HolderId) -> Backends {
        Backends {
            arena: SlotMap::with_key(),
            ids: HashMap::new(),
            identity: settings.identity.clone(),
            regions: settings.regions.clone(),
            peer_port: settings.peer_port,
            taker,
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

    /// Those of a service that take new work.
    pub(crate) fn of_service<'a>(
        &'a mut self,
        service: &'a str,
    ) -> impl Iterator<Item = (Key, &'a mut Backend)> {
        let all = self.arena.iter_mut();
        all.filter(move |(_, one)| !one.leaving && one.service == service)
    }

    /// The backend server whose agent is at an address.
    pub(crate) fn by_agent(&self, address: SocketAddr) -> Option<Key> {
        let mut all = self.arena.iter();
        all.find(|(_, one)| one.agent == address)
            .map(|(key, _)| key)
    }

    /// Takes in news of the list.
    pub(crate) fn take(&mut self, news: Vec<Update>) {
        for one in news {
            match one {
                Update::Listed(id, entry) => self.list(id, entry),
                Update::Removed(id) => {
                    if let Some(key) = self.ids.remove(&id) {
                        self.arena.remove(key);
                    }
                }
            }
        }
    }

    fn list(&mut self, id: SmolStr, entry: Entry) {
        let leaving = entry.state == State::Leaving;
        let version = whole_version(&entry);
        let known = self.ids.get(&id).and_then(|key| self.arena.get_mut(*key));
        match known {
            Some(backend) if backend.address == entry.address => {
                backend.leaving = leaving;
                backend.slots = entry.slots;
                backend.service = entry.service;
                backend.listed_version = version;
            }
            Some(_) | None => {
                let backend = Backend {
                    distance: self.distance(&entry.zone),
                    agent: SocketAddr::new(entry.address.ip(), self.peer_port),
                    address: entry.address,
                    service: entry.service,
                    slots: entry.slots,
                    leaving,
                    listed_version: version,
                    running: 0,
                    load: None,
                    health: Health::default(),
                    taker: Holder::new(self.taker),
                    without_agent_until: None,
                    told_terms: None,
                    id: id.clone(),
                };
                let key = self.arena.insert(backend);
                if let Some(before) = self.ids.insert(id, key) {
                    self.arena.remove(before);
                }
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

fn whole_version(entry: &Entry) -> u64 {
    let loaded = entry.held.iter().filter(|held| held.is_loaded());
    loaded.map(|held| held.version).max().unwrap_or(0)
}
