//! Places of a backend server, granted to entries one by one.
//!
//! Entries that choose apart from each other on reports that lag rush to the
//! same backend server. So the agent beside it grants its places, and requests
//! wait at the entries, where each can still go to whichever place is granted
//! first (late binding: Ousterhout et al., "Sparrow", SOSP 2013).
//!
//! Both sides count from the start of the entry's process what was given and
//! what has ended (credit-based flow control: Kung and Morris, IEEE Network
//! 1995). Each message carries the sender's totals, so that one which is lost,
//! repeated or late does no harm: the next one makes up for it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::Predictor;
use crate::engine::Spec;
use crate::engine_config::EngineConfig;

/// How long a taker may be silent before its places are given to others; it
/// says something at least each [`RENEWAL`] while it has any.
pub const LEASE: Duration = Duration::from_millis(1_800);
/// How often a taker that has places, or waits for some, says so.
pub const RENEWAL: Duration = Duration::from_millis(400);

/// How soon an agent is told again that another number of requests waits.
const ASK_GAP: Duration = Duration::from_millis(50);
/// The part of the longest bearable pause that a pass may take by the model,
/// which sees neither the context that slows steps down nor requests that come
/// without a place.
const PASS_PART: f64 = 0.8;

/// Names the process of an entry, from its start to its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct HolderId(pub u64);

/// What an entry says to an agent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// The entry.
    #[serde(rename = "t")]
    pub holder: HolderId,
    /// Grows with each message.
    #[serde(rename = "n")]
    pub sequence: u32,
    /// Requests that wait for a place.
    #[serde(rename = "w")]
    pub waiting: u16,
    /// For how many milliseconds the most urgent of them can wait and be on
    /// time; negative if it is late.
    #[serde(rename = "s")]
    pub slack_ms: i32,
    /// The prompt tokens of the most urgent of them.
    #[serde(rename = "k", default)]
    pub tokens: u32,
    /// How many places it has handed back without using them.
    #[serde(rename = "u", default)]
    pub unused: u64,
    /// All places that the entry knows to have been given.
    #[serde(rename = "g")]
    pub granted: u64,
    /// How many of them it has handed back.
    #[serde(rename = "e")]
    pub released: u64,
    /// The newest version of the weights that the entry knows to be named:
    /// entries follow the operators closely, agents need not.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub published: Option<Published>,
}

/// What an entry sends to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// It asks for places, or hands some back.
    #[serde(rename = "a")]
    Demand(Demand),
    /// It tells what the configuration says of the agent's engine.
    #[serde(rename = "t")]
    EngineConfig(Box<EngineConfig>),
}

/// A version of weights that operators have named.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Published {
    /// The version.
    #[serde(rename = "v")]
    pub version: u64,
    /// For how many milliseconds it has been named; none if the sender started
    /// later and can't know.
    #[serde(rename = "a", default)]
    pub age_ms: Option<u32>,
}

/// What an agent says to an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Credit {
    /// The entry.
    #[serde(rename = "t")]
    pub holder: HolderId,
    /// All places given to it.
    #[serde(rename = "g")]
    pub granted: u64,
    /// Places that nobody has or waits for.
    #[serde(rename = "f")]
    pub free: u16,
    /// How long the first event of a usual request would take, in
    /// milliseconds.
    #[serde(rename = "d", default)]
    pub delay_ms: u16,
    /// The version of the weights that the backend server holds; 0 if none.
    #[serde(rename = "v")]
    pub version: u64,
    /// The oldest version on which requests may start, as far as the agent
    /// knows: an entry that has just started can't know for how long a version
    /// has been named.
    #[serde(rename = "l", default)]
    pub min_version: u64,
    /// Whether the agent knows when the newest version was named; one that
    /// started later does not.
    #[serde(rename = "a", default)]
    pub publish_time_known: bool,
    /// How many entries the agent hears from.
    #[serde(rename = "n", default)]
    pub holders: u16,
    /// Whether places are given at all for now.
    #[serde(rename = "o")]
    pub open: bool,
    /// The digest of the terms that the agent knows; 0 if it knows none.
    #[serde(rename = "c", default)]
    pub config_digest: u32,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    sequence: u32,
    waiting: u16,
    /// Until when the most urgent request can wait and be on time, in
    /// milliseconds of the giver's clock.
    due_ms: i64,
    granted: u64,
    released: u64,
    unused: u64,
    tokens: f64,
    last_heard: Duration,
}

impl Account {
    fn in_use(&self) -> u64 {
        self.granted.saturating_sub(self.released)
    }
}

/// The agent's side.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    accounts: BTreeMap<HolderId, Account>,
    capacity: u64,
    version: u64,
    min_version: u64,
    publish_time_known: bool,
    config_digest: u32,
    predictor: Predictor,
    usual_tokens: f64,
    pause: Duration,
}

impl Issuer {
    /// A giver of no places.
    pub fn new() -> Issuer {
        Issuer::default()
    }

    /// Sets how many places there are, 0 while none may be given, and which
    /// weights the backend server holds.
    pub fn set_capacity(&mut self, capacity: u32, version: u64) {
        self.capacity = u64::from(capacity);
        self.version = version;
    }

    /// Sets how the engine works, the prompt tokens of a usual request, and the
    /// longest pause between events for which a stream is on time.
    pub fn set_engine(&mut self, spec: Spec, usual_tokens: f64, pause: Duration) {
        self.predictor.set_spec(spec);
        self.usual_tokens = usual_tokens;
        self.pause = pause;
    }

    /// Sets the oldest version on which requests may start, and whether it is
    /// known when the newest was named.
    pub fn set_min_version(&mut self, min_version: u64, publish_time_known: bool) {
        self.min_version = min_version;
        self.publish_time_known = publish_time_known;
    }

    /// Sets the digest of the terms by which places are given.
    pub fn set_config_digest(&mut self, digest: u32) {
        self.config_digest = digest;
    }

    /// Places that there are.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Places that are in use.
    pub fn in_use(&self) -> u64 {
        self.accounts.values().map(Account::in_use).sum()
    }

    /// Requests that wait for a place, at all entries.
    pub fn waiting(&self) -> u64 {
        self.accounts
            .values()
            .map(|one| u64::from(one.waiting))
            .sum()
    }

    /// Whether an entry that said this must be answered: it waits, or has not
    /// heard of all that it was given.
    pub fn needs_reply(&self, demand: &Demand) -> bool {
        let account = self.accounts.get(&demand.holder);
        demand.waiting > 0 || account.is_some_and(|one| one.granted > demand.granted)
    }

    /// Takes in what an entry says. False if it is out of date.
    pub fn receive(&mut self, now: Duration, demand: &Demand) -> bool {
        let fresh = Account {
            sequence: 0,
            waiting: 0,
            due_ms: 0,
            granted: demand.granted,
            released: demand.released,
            unused: demand.unused,
            tokens: 0.0,
            last_heard: now,
        };
        let account = self.accounts.entry(demand.holder).or_insert(fresh);
        if demand.sequence <= account.sequence {
            return false;
        }
        account.sequence = demand.sequence;
        account.last_heard = now;
        account.granted = account.granted.max(demand.granted);
        account.released = account.released.max(demand.released);
        let unused = demand.unused.saturating_sub(account.unused);
        account.unused += unused;
        let tokens = account.tokens;
        account.tokens = f64::from(demand.tokens);
        self.predictor.withdraw(tokens * unused as f64);
        // What was given and has not been heard of yet is on its way.
        let on_its_way = account.granted - demand.granted;
        account.waiting = demand
            .waiting
            .saturating_sub(on_its_way.min(u64::from(u16::MAX)) as u16);
        account.due_ms = now.as_millis() as i64 + i64::from(demand.slack_ms);
        true
    }

    /// Gives what can be given; answers to whom. Requests that can still be on
    /// time here go first, the most urgent first among them; then those that
    /// are late, the latest come first. None is given while the prompts that
    /// wait already make the next pass too long.
    pub fn grant(&mut self, now: Duration) -> Vec<HolderId> {
        let mut told = Vec::new();
        loop {
            let in_use = self.in_use();
            self.predictor.advance(now, in_use);
            let Some(holder) = self.next(now, in_use) else {
                return told;
            };
            let account = self.accounts.get_mut(&holder).expect("it was just found");
            account.waiting -= 1;
            account.granted += 1;
            self.predictor.admit(now, in_use, account.tokens);
            if !told.contains(&holder) {
                told.push(holder);
            }
        }
    }

    /// Who is given the next place, if there is one now.
    fn next(&self, now: Duration, in_use: u64) -> Option<HolderId> {
        if in_use >= self.capacity {
            return None;
        }
        let now_ms = now.as_millis() as i64;
        let waiting = self.accounts.iter().filter(|(_, one)| one.waiting > 0);
        let rank = |one: &Account| {
            let first = self.predictor.first_event_delay(now, in_use, one.tokens);
            match now_ms + first.as_millis() as i64 <= one.due_ms {
                true => (false, one.due_ms),
                false => (true, -one.due_ms),
            }
        };
        let (holder, account) = waiting.min_by_key(|(_, one)| rank(one))?;
        let pass = self.predictor.next_pass_time(in_use, account.tokens);
        let fits =
            self.predictor.has_no_pending_prompt() || pass <= self.longest_pass(rank(account).0);
        fits.then_some(*holder)
    }

    /// How long a pass may take: what streams bear, or for requests that are
    /// late anyway, half of it.
    fn longest_pass(&self, late: bool) -> Duration {
        let bearable = self.pause.mul_f64(PASS_PART);
        match late {
            _ if self.pause.is_zero() => Duration::MAX,
            true => bearable / 2,
            false => bearable,
        }
    }

    /// When to look again, if requests wait that a pass has no room for now.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let waits = self.waiting() > 0 && self.in_use() < self.capacity;
        waits.then(|| self.predictor.pass_end().max(now))
    }

    /// What to tell an entry.
    pub fn credit(&self, now: Duration, holder: HolderId) -> Credit {
        let in_use = self.in_use();
        let free = self.capacity.saturating_sub(in_use + self.waiting());
        let delay = self
            .predictor
            .first_event_delay(now, in_use, self.usual_tokens);
        Credit {
            delay_ms: delay.as_millis().min(u128::from(u16::MAX)) as u16,
            holder,
            granted: self.accounts.get(&holder).map_or(0, |one| one.granted),
            free: free.min(u64::from(u16::MAX)) as u16,
            version: self.version,
            min_version: self.min_version,
            publish_time_known: self.publish_time_known,
            holders: self.accounts.len().min(usize::from(u16::MAX)) as u16,
            open: self.capacity > 0,
            config_digest: self.config_digest,
        }
    }

    /// Forgets entries that were silent for [`LEASE`]; answers how many places
    /// they had.
    pub fn expire(&mut self, now: Duration) -> u64 {
        let before = self.in_use();
        self.accounts
            .retain(|_, one| now.saturating_sub(one.last_heard) < LEASE);
        before - self.in_use()
    }

    /// The entries that it hears from.
    pub fn holders(&self) -> impl Iterator<Item = HolderId> {
        self.accounts.keys().copied()
    }
}

/// The oldest version on which an entry may have requests start: `own` by its
/// own clock, `found` the version that was named when it started, 0 if none.
///
/// For how long the latter has been named only those can say who saw it named.
/// If no agent did, it counts as old: after a restart of all processes none is
/// left who knows better.
pub fn min_version<'a>(own: u64, found: u64, credits: impl Iterator<Item = &'a Credit>) -> u64 {
    let (mut said, mut publish_time_known) = (0, false);
    for credit in credits {
        said = said.max(credit.min_version);
        publish_time_known |= credit.publish_time_known;
    }
    let unknown = if publish_time_known { 0 } else { found };
    own.max(said).max(unknown)
}

/// The entry's side: what one agent has given it.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    id: HolderId,
    sequence: u32,
    granted: u64,
    released: u64,
    unused: u64,
    /// Places given and neither used nor handed back.
    idle: u64,
    demanded: u16,
    demanded_at: Duration,
    /// When the first ask went out that has not been answered.
    unanswered_since: Option<Duration>,
    last_heard: Option<Duration>,
    last_credit: Option<Credit>,
    changed: bool,
}

impl Holder {
    /// A taker that has nothing.
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
            last_heard: None,
            last_credit: None,
            changed: false,
        }
    }

    /// Takes in what the agent says; answers how many places are new.
    pub fn receive(&mut self, now: Duration, credit: &Credit) -> u64 {
        self.last_heard = Some(now);
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

    /// Uses a place that was given; false if there is none.
    pub fn acquire(&mut self) -> bool {
        let found = self.idle > 0;
        self.idle -= u64::from(found);
        found
    }

    /// Hands a place back that is in use.
    pub fn release(&mut self) {
        self.released += 1;
        self.changed = true;
    }

    /// Hands back what was given and is not in use.
    pub fn release_unused(&mut self) {
        self.released += self.idle;
        self.unused += self.idle;
        self.changed |= self.idle > 0;
        self.idle = 0;
    }

    /// Places that were given and not handed back.
    pub fn in_use(&self) -> u64 {
        self.granted - self.released
    }

    /// What to send now, if anything: `waiting` requests wait for a place here
    /// and the most urgent, with so many prompt tokens, can wait `slack_ms` more.
    pub fn demand(
        &mut self,
        now: Duration,
        waiting: u16,
        slack_ms: i32,
        tokens: u32,
    ) -> Option<Demand> {
        let due = now.saturating_sub(self.demanded_at) >= RENEWAL;
        let renews = due && (self.in_use() > 0 || waiting > 0);
        // How many wait matters less than whether any does.
        let recent = now.saturating_sub(self.demanded_at) < ASK_GAP;
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
            unused: self.unused,
            granted: self.granted,
            released: self.released,
            published: None,
        })
    }

    /// For how long an ask has gone without an answer.
    pub fn unanswered_for(&self, now: Duration) -> Duration {
        let since = self.unanswered_since.unwrap_or(now);
        now.saturating_sub(since)
    }

    /// Counts the last ask as never sent, so that the silence starts anew with
    /// the next one.
    pub fn abandon_demand(&mut self) {
        self.unanswered_since = None;
        self.demanded = 0;
    }

    /// When the agent last said something.
    pub fn last_heard(&self) -> Option<Duration> {
        self.last_heard
    }

    /// What the agent last said.
    pub fn last_credit(&self) -> Option<&Credit> {
        self.last_credit.as_ref()
    }
}
