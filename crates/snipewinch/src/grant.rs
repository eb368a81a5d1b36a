//! Slots of a backend server, granted to entries one by one.
//!
//! Entries that each pick a backend server from delayed load reports all pick
//! the same one. The agent on the host of the backend server therefore
//! grants its slots, and requests wait at the entries, where each can still go
//! to whichever slot is granted first (late binding: Ousterhout et al.,
//! "Sparrow", SOSP 2013).
//!
//! Both sides count the slots granted and released since the start of the
//! entry's process (credit-based flow control: Kung and Morris, IEEE Network
//! 1995). Each message carries the sender's totals, so a message that is lost,
//! repeated or late does no harm: the next one supersedes it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::cold;
use crate::cutover;
use crate::cutover::Verdict;
use crate::engine::Predictor;
use crate::engine::Spec;
use crate::engine_config::EngineConfig;
use crate::urgency;
use crate::urgency::Order;
use crate::urgency::Rank;
use crate::urgency::Want;
use crate::urgency::Wants;

/// How long a holder may send nothing before its slots are granted to others;
/// it sends a demand at least each [`RENEWAL_INTERVAL`] while it has any.
pub const LEASE: Duration = Duration::from_millis(1_800);
/// How often a holder that has slots, or waits for some, renews its demand.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// The minimum interval between demands that differ only in how many requests
/// wait.
const DEMAND_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// The fraction of the longest allowed gap between events that a pass may take
/// by prediction. The predictor knows neither the context lengths that slow
/// down steps nor the requests that come without a slot.
const PASS_FRACTION: f64 = 0.8;

/// The time from granting a slot until the request reaches the engine and its
/// first event the entry: a few network delays.
const ENTRY_ROUND_TRIP: Duration = Duration::from_millis(20);
/// How soon grants are decided again while the engine holds old weights.
const OLD_WEIGHTS_WAKEUP: Duration = Duration::from_millis(10);
/// How long agents tell entries when a version was published. Then it is old by
/// any bound.
const PUBLISHED_AGE_MAX_MS: u32 = 60_000;

/// Identifies the process of an entry, from its start to its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct HolderId(pub u64);

/// Identifies the process of an agent, from its start to its end.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct IssuerId(pub u64);

/// Tells an agent how many slots an entry needs, holds and has released.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// The entry.
    #[serde(rename = "t")]
    pub holder: HolderId,
    /// Increases with each message.
    #[serde(rename = "n")]
    pub sequence: u32,
    /// Requests that wait for a slot.
    #[serde(rename = "w")]
    pub waiting: u16,
    /// How many milliseconds the most urgent of them can wait and still be on
    /// time; negative if it is late.
    #[serde(rename = "s")]
    pub slack_ms: i32,
    /// The prompt tokens of the most urgent of them.
    #[serde(rename = "k", default)]
    pub tokens: u32,
    /// The priority of the most urgent of them; 0 is the most urgent, 255 if the entry
    /// does not say.
    #[serde(rename = "p", default = "unknown_priority")]
    pub priority: u8,
    /// A digest of the name of its customer; 0 if there is none.
    #[serde(rename = "c", default)]
    pub customer: u32,
    /// How much longer the backend server is cold by the list, in milliseconds: entries
    /// follow it closely, agents need not.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub cold_ms: u32,
    /// All of them by urgency, the most urgent first; none if the entry does not say.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub wants: Option<Wants>,
    /// Slots that the entry has released without using them.
    #[serde(rename = "u", default)]
    pub unused: u64,
    /// All slots that the entry knows to have been granted to it.
    #[serde(rename = "g")]
    pub granted: u64,
    /// How many of them it has released.
    #[serde(rename = "e")]
    pub released: u64,
    /// The newest published version of the weights that the entry knows:
    /// entries follow what operators publish closely, agents need not.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub published: Option<Published>,
    /// The version that replaced the one of the backend server, if that is another
    /// one: an agent that started later cannot know.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub first_newer: Option<Published>,
}

fn unknown_priority() -> u8 {
    urgency::UNKNOWN
}

impl Demand {
    /// What waits, by urgency.
    fn wants(&self) -> Wants {
        let first = Want {
            waiting: self.waiting,
            slack_ms: self.slack_ms,
            tokens: self.tokens,
            priority: self.priority,
            customer: self.customer,
        };
        let mut wants = Wants::default();
        wants[0] = Some(first);
        urgency::truncate(&self.wants.unwrap_or(wants), self.waiting)
    }
}

fn is_zero(millis: &u32) -> bool {
    *millis == 0
}

/// What an entry sends to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Demands slots, or releases some.
    #[serde(rename = "a")]
    Demand(Box<Demand>),
    /// The configuration of the agent's engine.
    #[serde(rename = "t")]
    EngineConfig(Box<EngineConfig>),
}

/// A version of the weights that operators have published.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Published {
    /// The version.
    #[serde(rename = "v")]
    pub version: u64,
    /// The most milliseconds since it was published; none if the sender started
    /// later and cannot know.
    #[serde(rename = "a", default)]
    pub age_ms: Option<u32>,
    /// How many milliseconds less it may be.
    #[serde(rename = "u", default)]
    pub uncertainty_ms: u32,
    /// How many processes have passed the age on.
    #[serde(rename = "h", default)]
    pub relays: u8,
    /// The newest version before it; none if the sender started later and cannot
    /// know.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub replaces: Option<u64>,
}

impl Published {
    /// The announcement of a version; without `age` if that is unknown.
    pub fn new(version: u64, age: Option<cutover::Age>) -> Published {
        // Rounded up, as a version must not seem younger than it is.
        let millis = |time: Duration| {
            time.as_nanos()
                .div_ceil(1_000_000)
                .min(u128::from(u32::MAX)) as u32
        };
        Published {
            version,
            age_ms: age.map(|age| millis(age.most)),
            uncertainty_ms: age.map_or(0, |age| millis(age.uncertainty)),
            relays: age.map_or(0, |age| age.relays),
            replaces: None,
        }
    }

    /// The announcement of a publication.
    pub fn of(publication: &cutover::Publication, now: Duration) -> Published {
        let age = publication.published.map(|published| published.age(now));
        Published {
            replaces: publication.replaces,
            ..Published::new(publication.version, age)
        }
    }

    /// Whether the version is so old, by any bound, that its age need not be told.
    fn is_old(&self) -> bool {
        self.age_ms > Some(PUBLISHED_AGE_MAX_MS)
    }

    /// The age of the version; none if the sender does not know it.
    pub fn age(&self) -> Option<cutover::Age> {
        let most = Duration::from_millis(self.age_ms?.into());
        Some(cutover::Age {
            most,
            uncertainty: Duration::from_millis(self.uncertainty_ms.into()).min(most),
            relays: self.relays,
        })
    }
}

/// Tells an entry how many slots an agent has granted to it, and the state of
/// the backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Credit {
    /// The entry.
    #[serde(rename = "t")]
    pub holder: HolderId,
    /// The agent.
    #[serde(rename = "i", default)]
    pub issuer: IssuerId,
    /// Increases with each credit of the agent; 0 if it does not say.
    #[serde(rename = "q", default)]
    pub sequence: u64,
    /// All slots granted to it.
    #[serde(rename = "g")]
    pub granted: u64,
    /// Slots that no entry has or waits for.
    #[serde(rename = "f")]
    pub free: u16,
    /// How long the first event of a typical request would take, in
    /// milliseconds.
    #[serde(rename = "d", default)]
    pub delay_ms: u16,
    /// The version of the weights that the backend server holds; 0 if none.
    #[serde(rename = "v")]
    pub version: u64,
    /// When the backend server started that holds it, in milliseconds since the
    /// Unix epoch; 0 if that is unknown.
    #[serde(rename = "b", default)]
    pub started_ms: u64,
    /// The oldest version on which requests may start, as far as the agent
    /// knows: an entry that has just started cannot know how long ago a version
    /// was published.
    #[serde(rename = "l", default)]
    pub min_version: u64,
    /// Whether the agent knows when the newest version was published; one that
    /// started later does not.
    #[serde(rename = "a", default)]
    pub publish_time_known: bool,
    /// How many entries send demands to the agent.
    #[serde(rename = "n", default)]
    pub holders: u16,
    /// How much longer the backend server is cold, in milliseconds; 0 if it is not.
    #[serde(rename = "x", default)]
    pub cold_ms: u32,
    /// The priority of the least urgent request for which the last slots were granted;
    /// 255 if they are for any.
    #[serde(rename = "m", default = "unknown_priority")]
    pub priority: u8,
    /// Whether the agent grants any slots for now.
    #[serde(rename = "o")]
    pub open: bool,
    /// The digest of the [`EngineConfig`] that the agent has; 0 if it has none.
    #[serde(rename = "c", default)]
    pub config_digest: u32,
    /// The newest published version of the weights, if the agent knows when it
    /// was published and that was not long ago: an entry that has just started
    /// cannot know.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub published: Option<Published>,
    /// The same of the version that replaced the one of the backend server, if
    /// that is another one.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub first_newer: Option<Published>,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    sequence: u32,
    /// The requests that wait, with slack from `last_demand_at` on.
    wants: Wants,
    /// The least urgent priority for which the last slots were granted.
    priority: u8,
    granted: u64,
    released: u64,
    unused: u64,
    tokens: f64,
    last_demand_at: Duration,
}

impl Account {
    fn in_use(&self) -> u64 {
        self.granted.saturating_sub(self.released)
    }

    fn waiting(&self) -> u64 {
        let wants = self.wants.iter().flatten();
        wants.map(|want| u64::from(want.waiting)).sum()
    }

    /// Until when the first of some requests can wait and still be on time, in
    /// milliseconds of the issuer's clock.
    fn due_ms(&self, want: &Want) -> i64 {
        self.last_demand_at.as_millis() as i64 + i64::from(want.slack_ms)
    }
}

/// The agent's side: grants the slots of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    id: IssuerId,
    /// Credits issued so far.
    sequence: u64,
    accounts: BTreeMap<HolderId, Account>,
    order: Order,
    capacity: u64,
    version: u64,
    started_ms: u64,
    min_version: u64,
    publish_time_known: bool,
    /// The newest published version, and the one that replaced the version of the
    /// backend server.
    newest: Option<cutover::Publication>,
    first_newer: Option<cutover::Publication>,
    /// The latest time at which requests may begin on the version that the
    /// backend server holds; `None` if it is the newest.
    begin_by: Option<Duration>,
    config_digest: u32,
    predictor: Predictor,
    /// How much slower the engine works than by its parameters.
    slowness: f64,
    typical_tokens: f64,
    max_gap: Duration,
    /// Holds back grants while the backend server is cold.
    cold: cold::Gate,
}

impl Issuer {
    /// Creates an issuer without slots.
    pub fn new() -> Issuer {
        Issuer::default()
    }

    /// Sets the identity of the agent's process.
    pub fn set_id(&mut self, id: IssuerId) {
        self.id = id;
    }

    /// Sets when the backend server started, in milliseconds since the Unix epoch; 0
    /// if that is unknown.
    pub fn set_started(&mut self, started_ms: u64) {
        self.started_ms = started_ms;
    }

    /// Sets how many slots there are, 0 while none may be granted, and which
    /// version of the weights the backend server holds.
    pub fn set_capacity(&mut self, capacity: u32, version: u64) {
        self.capacity = u64::from(capacity);
        self.version = version;
    }

    /// Sets the parameters of the engine, the prompt tokens of a typical
    /// request, and the longest gap between events for which a stream is on
    /// time.
    pub fn set_engine(&mut self, spec: Spec, typical_tokens: f64, max_gap: Duration) {
        self.predictor.set_spec(spec);
        self.typical_tokens = typical_tokens;
        self.max_gap = max_gap;
    }

    /// Sets the oldest version on which requests may start, and whether it is
    /// known when the newest was published.
    pub fn set_min_version(&mut self, min_version: u64, publish_time_known: bool) {
        self.min_version = min_version;
        self.publish_time_known = publish_time_known;
    }

    /// Sets the newest published version, the one that replaced the version of the
    /// backend server, each none if unknown, and the latest time at which requests
    /// may begin on the latter.
    pub fn set_cutover(
        &mut self,
        newest: Option<cutover::Publication>,
        first_newer: Option<cutover::Publication>,
        begin_by: Option<Duration>,
    ) {
        self.newest = newest;
        self.first_newer = first_newer;
        self.begin_by = begin_by;
    }

    /// Sets how much slower the engine works than by its parameters.
    pub fn set_slowness(&mut self, slowness: f64) {
        self.slowness = slowness;
    }

    /// Sets the digest of the [`EngineConfig`] in use.
    pub fn set_config_digest(&mut self, digest: u32) {
        self.config_digest = digest;
    }

    /// What holds back grants while the backend server is cold.
    pub fn cold(&mut self) -> &mut cold::Gate {
        &mut self.cold
    }

    /// Slots in total.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Slots that entries have.
    pub fn in_use(&self) -> u64 {
        self.accounts.values().map(Account::in_use).sum()
    }

    /// Requests that wait for a slot, at all entries.
    pub fn waiting(&self) -> u64 {
        self.accounts.values().map(Account::waiting).sum()
    }

    /// Whether the entry that sent `demand` must be answered: it waits, or does
    /// not know of all slots that it was granted.
    pub fn needs_reply(&self, demand: &Demand) -> bool {
        let account = self.accounts.get(&demand.holder);
        demand.waiting > 0 || account.is_some_and(|one| one.granted > demand.granted)
    }

    /// Applies the demand of an entry. Returns false if it is out of date.
    pub fn receive(&mut self, now: Duration, demand: &Demand) -> bool {
        let fresh = Account {
            sequence: 0,
            wants: Wants::default(),
            priority: urgency::UNKNOWN,
            granted: demand.granted,
            released: demand.released,
            unused: demand.unused,
            tokens: 0.0,
            last_demand_at: now,
        };
        let account = self.accounts.entry(demand.holder).or_insert(fresh);
        if demand.sequence <= account.sequence {
            return false;
        }
        account.sequence = demand.sequence;
        account.last_demand_at = now;
        account.granted = account.granted.max(demand.granted);
        account.released = account.released.max(demand.released);
        let unused = demand.unused.saturating_sub(account.unused);
        account.unused += unused;
        let tokens = account.tokens;
        account.tokens = f64::from(demand.tokens);
        self.predictor.withdraw(tokens * unused as f64);
        // The entry does not know yet of slots whose credits are in transit.
        let in_transit = account.granted - demand.granted;
        account.wants = demand.wants();
        urgency::skip(&mut account.wants, in_transit);
        true
    }

    /// Grants the slots that can be granted now and returns the entries that
    /// got some, in the order of [`Order`]. No slot is granted while the prompts that
    /// wait already make the next pass too long.
    pub fn grant(&mut self, now: Duration) -> Vec<HolderId> {
        let mut notified = Vec::new();
        loop {
            let in_use = self.in_use();
            self.predictor.advance(now, in_use);
            if !self.cold.admission(now).is_open() {
                self.cold.record_held_back(self.waiting());
                return notified;
            }
            let Some((holder, index, priority)) = self.next_holder(now, in_use) else {
                return notified;
            };
            let account = self.accounts.get_mut(&holder).expect("it was just found");
            let want = account.wants[index].as_mut().expect("it was just found");
            want.waiting -= 1;
            let tokens = f64::from(want.tokens);
            if want.waiting == 0 {
                account.wants[index] = None;
            }
            account.granted += 1;
            self.cold.record_grant(now);
            account.tokens = tokens;
            account.priority = match notified.contains(&holder) {
                true => account.priority.max(priority),
                false => priority,
            };
            self.predictor.admit(now, in_use, tokens);
            if !notified.contains(&holder) {
                notified.push(holder);
            }
        }
    }

    /// The entry that gets the next slot, if one can be granted now, and for which of
    /// its requests, with their priority; 255 for any.
    fn next_holder(&mut self, now: Duration, in_use: u64) -> Option<(HolderId, usize, u8)> {
        if in_use >= self.capacity {
            return None;
        }
        let ranked = self.ranked(now, in_use);
        let (rank, holder, index, want) = *ranked.iter().min_by_key(|one| one.0)?;
        let tokens = f64::from(want.tokens);
        let delay = cutover::Delay::new(
            ENTRY_ROUND_TRIP,
            self.first_event_delay(now, in_use, tokens),
            self.scale(self.predictor.prefill_time(tokens)),
        );
        if cutover::admit(now, self.begin_by, delay) == Verdict::Outdated {
            return None;
        }
        let pass = self.predictor.next_pass_time(in_use, tokens);
        let fits =
            self.predictor.has_no_pending_prompt() || pass <= self.max_pass_time(rank.is_late);
        if !fits {
            return None;
        }
        let mut priority = urgency::UNKNOWN;
        if !rank.is_late {
            priority = want.priority;
            let on_time = ranked.iter().filter(|one| !one.0.is_late);
            self.order
                .record_granted(want.priority, on_time.map(|one| one.3.priority));
        }
        Some((holder, index, priority))
    }

    /// All that waits, with its place in the order.
    fn ranked(&self, now: Duration, in_use: u64) -> Vec<(Rank, HolderId, usize, Want)> {
        let now_ms = now.as_millis() as i64;
        let wants = || {
            self.accounts.iter().flat_map(|(holder, account)| {
                let wants = account.wants.iter().enumerate();
                wants.filter_map(move |(index, want)| Some((holder, account, index, (*want)?)))
            })
        };
        // Entries that do not say how urgent their requests are may not lose by it.
        let margin = ENTRY_ROUND_TRIP + self.scale(self.predictor.decode_time(in_use));
        let is_known = wants().all(|(_, _, _, want)| want.priority != urgency::UNKNOWN);
        let ranked = wants().map(|(holder, account, index, want)| {
            let due_ms = account.due_ms(&want);
            let tokens = f64::from(want.tokens);
            let first = self.first_event_delay(now, in_use, tokens) + margin;
            let is_late = now_ms + first.as_millis() as i64 > due_ms;
            let priority = if is_known { want.priority } else { 0 };
            let rank = self.order.rank(priority, due_ms, is_late);
            (rank, *holder, index, want)
        });
        ranked.collect()
    }

    /// The time from `now` to the first event of a request with a prompt of
    /// `tokens`.
    fn first_event_delay(&self, now: Duration, in_use: u64, tokens: f64) -> Duration {
        self.scale(self.predictor.first_event_delay(now, in_use, tokens))
    }

    /// How long the engine takes for what takes `time` by its parameters.
    fn scale(&self, time: Duration) -> Duration {
        time.mul_f64(self.slowness.max(1.0))
    }

    /// How long a pass may take: what running streams allow, or half of it for
    /// requests that are late anyway.
    fn max_pass_time(&self, late: bool) -> Duration {
        let allowed = self.max_gap.mul_f64(PASS_FRACTION);
        match late {
            _ if self.max_gap.is_zero() => Duration::MAX,
            true => allowed / 2,
            false => allowed,
        }
    }

    /// When to call [`Issuer::grant`] again, if requests wait that do not fit
    /// into the next pass.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let waits = self.waiting() > 0 && self.in_use() < self.capacity;
        // Requests that may begin too late on old weights wait for newer ones.
        let earliest = match self.begin_by {
            Some(_) => now + OLD_WEIGHTS_WAKEUP,
            None => now,
        };
        let admitted = match self.cold.admission(now) {
            cold::Admission::Open => now,
            cold::Admission::Later(wait) => now + wait,
        };
        waits.then(|| self.predictor.pass_end().max(earliest).max(admitted))
    }

    /// The credit to send to an entry.
    pub fn credit(&mut self, now: Duration, holder: HolderId) -> Credit {
        self.sequence += 1;
        let in_use = self.in_use();
        let free = self.capacity.saturating_sub(in_use + self.waiting());
        let free = self.cold.free(now, free, self.waiting());
        let delay = self.first_event_delay(now, in_use, self.typical_tokens);
        let announce = |publication: Option<cutover::Publication>| {
            let known = publication.filter(|one| one.published.is_some());
            let announced = known.map(|one| Published::of(&one, now));
            announced.filter(|one| !one.is_old())
        };
        let first_newer = self.first_newer.filter(|first| {
            let newest = self.newest.map(|newest| newest.version);
            newest != Some(first.version)
        });
        Credit {
            published: announce(self.newest),
            first_newer: announce(first_newer),
            delay_ms: delay.as_millis().min(u128::from(u16::MAX)) as u16,
            holder,
            issuer: self.id,
            sequence: self.sequence,
            granted: self.accounts.get(&holder).map_or(0, |one| one.granted),
            free: free.min(u64::from(u16::MAX)) as u16,
            version: self.version,
            started_ms: self.started_ms,
            min_version: self.min_version,
            publish_time_known: self.publish_time_known,
            holders: self.accounts.len().min(usize::from(u16::MAX)) as u16,
            cold_ms: cold::to_millis(self.cold.left(now)),
            priority: self
                .accounts
                .get(&holder)
                .map_or(urgency::UNKNOWN, |one| one.priority),
            open: self.capacity > 0,
            config_digest: self.config_digest,
        }
    }

    /// Removes entries that sent nothing for [`LEASE`] and returns how many
    /// slots they had.
    pub fn expire(&mut self, now: Duration) -> u64 {
        let before = self.in_use();
        self.accounts
            .retain(|_, one| now.saturating_sub(one.last_demand_at) < LEASE);
        before - self.in_use()
    }

    /// The entries that send demands.
    pub fn holders(&self) -> impl Iterator<Item = HolderId> {
        self.accounts.keys().copied()
    }
}

/// The oldest version on which an entry may start requests. `local` is that
/// version by the entry's own clock, `initial` the version that was published
/// when it started, 0 if none.
///
/// Only processes that ran when `initial` was published know its age. If no
/// agent did, because all processes have restarted since, it counts as old.
pub fn min_version<'a>(local: u64, initial: u64, credits: impl Iterator<Item = &'a Credit>) -> u64 {
    let (mut reported, mut publish_time_known) = (0, false);
    for credit in credits {
        reported = reported.max(credit.min_version);
        publish_time_known |= credit.publish_time_known;
    }
    let unknown = if publish_time_known { 0 } else { initial };
    local.max(reported).max(unknown)
}

/// The entry's side: the slots that one agent has granted to it.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    id: HolderId,
    sequence: u32,
    granted: u64,
    released: u64,
    unused: u64,
    /// Slots granted and neither used nor released.
    idle: u64,
    demanded: u16,
    demanded_at: Duration,
    /// When the first demand that is still unanswered was sent.
    unanswered_since: Option<Duration>,
    last_credit_at: Option<Duration>,
    last_credit: Option<Credit>,
    /// The agents of the last credits, the current one first, and the sequence of
    /// its last credit.
    issuers: [Option<IssuerId>; 2],
    credit_sequence: u64,
    changed: bool,
    /// The priority of the most urgent request that the last demand named.
    told_priority: Option<u8>,
}

impl Holder {
    /// Creates a holder without slots.
    pub fn new(id: HolderId) -> Holder {
        Holder {
            id,
            sequence: 0,
            granted: 0,
            released: 0,
            unused: 0,
            idle: 0,
            demanded: 0,
            demanded_at: Duration::ZERO,
            unanswered_since: None,
            last_credit_at: None,
            last_credit: None,
            issuers: [None; 2],
            credit_sequence: 0,
            changed: false,
            told_priority: None,
        }
    }

    /// Whether a credit that has just arrived was overtaken by a later one.
    fn is_overtaken(&self, credit: &Credit) -> bool {
        match self.issuers {
            _ if credit.sequence == 0 => false,
            [Some(current), _] if current == credit.issuer => {
                credit.sequence < self.credit_sequence
            }
            [_, former] => former == Some(credit.issuer),
        }
    }

    /// Applies a credit of the agent and returns how many slots are new. One that
    /// was overtaken changes nothing.
    pub fn receive(&mut self, now: Duration, credit: &Credit) -> u64 {
        if self.is_overtaken(credit) {
            return 0;
        }
        if self.issuers[0] != Some(credit.issuer) {
            self.issuers = [Some(credit.issuer), self.issuers[0]];
        }
        self.credit_sequence = credit.sequence;
        self.last_credit_at = Some(now);
        self.unanswered_since = None;
        self.last_credit = Some(*credit);
        let new = credit.granted.saturating_sub(self.granted);
        self.granted += new;
        self.idle += new;
        self.demanded = self
            .demanded
            .saturating_sub(new.min(u64::from(u16::MAX)) as u16);
        new
    }

    /// Whether a slot that was granted last may serve a request of `priority`: one
    /// granted for a more urgent request, which another agent served meanwhile, goes
    /// back, as more urgent ones may wait at other entries. Without such a slot there is
    /// none to give back.
    pub fn admits(&self, priority: u32) -> bool {
        if self.idle == 0 {
            return true;
        }
        let granted_for = self
            .last_credit
            .map_or(urgency::UNKNOWN, |credit| credit.priority);
        granted_for == urgency::UNKNOWN || priority <= u32::from(granted_for)
    }

    /// Takes a granted slot into use. Returns false if there is none.
    pub fn acquire(&mut self) -> bool {
        let available = self.idle > 0;
        self.idle -= u64::from(available);
        available
    }

    /// Releases a slot that is in use.
    pub fn release(&mut self) {
        self.released += 1;
        self.changed = true;
    }

    /// Releases the granted slots that are not in use.
    pub fn release_unused(&mut self) {
        self.released += self.idle;
        self.unused += self.idle;
        self.changed |= self.idle > 0;
        self.idle = 0;
    }

    /// Slots that were granted and not released.
    pub fn in_use(&self) -> u64 {
        self.granted - self.released
    }

    /// The demand to send now, if any. `waiting` of the requests `wants` wait for a
    /// slot here.
    pub fn demand_wants(&mut self, now: Duration, waiting: u16, wants: &Wants) -> Option<Demand> {
        let wants = urgency::truncate(wants, waiting);
        let first = wants[0].unwrap_or_default();
        let priority = wants[0].map(|want| want.priority);
        // One that is more urgent than those demanded for is told at once.
        self.changed |= match (priority, self.told_priority) {
            (Some(priority), Some(told)) => priority < told,
            _ => false,
        };
        let demand = self.demand(now, waiting, first.slack_ms, first.tokens)?;
        self.told_priority = priority;
        // One group is what the other fields say.
        let is_one = wants[1].is_none();
        Some(Demand {
            priority: priority.unwrap_or(urgency::UNKNOWN),
            customer: first.customer,
            wants: (!is_one).then_some(wants),
            ..demand
        })
    }

    /// The demand to send now, if any. `waiting` requests wait for a slot here;
    /// the most urgent one has a prompt of `tokens` and can wait `slack_ms`
    /// more.
    pub fn demand(
        &mut self,
        now: Duration,
        waiting: u16,
        slack_ms: i32,
        tokens: u32,
    ) -> Option<Demand> {
        let due = now.saturating_sub(self.demanded_at) >= RENEWAL_INTERVAL;
        let renews = due && (self.in_use() > 0 || waiting > 0);
        // A change in whether any request waits is sent at once, a change in
        // how many wait only after `DEMAND_INTERVAL_MIN`.
        let recent = now.saturating_sub(self.demanded_at) < DEMAND_INTERVAL_MIN;
        let same = waiting == self.demanded || (recent && waiting > 0 && self.demanded > 0);
        if !self.changed && same && !renews {
            return None;
        }
        self.changed = false;
        self.demanded = waiting;
        self.demanded_at = now;
        self.sequence += 1;
        if waiting > 0 {
            self.unanswered_since.get_or_insert(now);
        }
        Some(Demand {
            holder: self.id,
            sequence: self.sequence,
            waiting,
            slack_ms,
            tokens,
            priority: unknown_priority(),
            customer: 0,
            cold_ms: 0,
            wants: None,
            unused: self.unused,
            granted: self.granted,
            released: self.released,
            published: None,
            first_newer: None,
        })
    }

    /// How long a demand has gone without an answer.
    pub fn unanswered_for(&self, now: Duration) -> Duration {
        let since = self.unanswered_since.unwrap_or(now);
        now.saturating_sub(since)
    }

    /// Treats the last demand as never sent, so that the time without an answer
    /// counts from the next one.
    pub fn abandon_demand(&mut self) {
        self.unanswered_since = None;
        self.demanded = 0;
    }

    /// Forgets the agent's last credit, as the backend server has started anew.
    /// Its slots stay.
    pub fn forget_credit(&mut self) {
        self.last_credit = None;
        self.last_credit_at = None;
    }

    /// The version of the weights that the backend server holds: the one that the
    /// agent has reported last, or without a report the listed one. `started_ms` is
    /// the listed start; of a report on an earlier one, whose weights are gone, the
    /// listed version bounds what still counts.
    pub fn version(&self, started_ms: Option<u64>, listed: u64) -> u64 {
        let Some(credit) = &self.last_credit else {
            return listed;
        };
        let is_earlier = credit.started_ms > 0 && started_ms > Some(credit.started_ms);
        match is_earlier {
            true => credit.version.min(listed),
            false => credit.version,
        }
    }

    /// When the agent last sent a credit.
    pub fn last_credit_at(&self) -> Option<Duration> {
        self.last_credit_at
    }

    /// The agent's last credit.
    pub fn last_credit(&self) -> Option<&Credit> {
        self.last_credit.as_ref()
    }
}
