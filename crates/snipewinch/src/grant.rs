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

use crate::engine::Model;
use crate::engine::Spec;
use crate::terms::Terms;

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
    pub taker: HolderId,
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
    pub given: u64,
    /// How many of them it has handed back.
    #[serde(rename = "e")]
    pub ended: u64,
    /// The newest version of the weights that the entry knows to be named:
    /// entries follow the operators closely, agents need not.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub named: Option<Published>,
}

/// What an entry sends to an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// It asks for places, or hands some back.
    #[serde(rename = "a")]
    Demand(Demand),
    /// It tells what the configuration says of the agent's engine.
    #[serde(rename = "t")]
    Terms(Box<Terms>),
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
    pub taker: HolderId,
    /// All places given to it.
    #[serde(rename = "g")]
    pub given: u64,
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
    pub floor: u64,
    /// Whether the agent knows when the newest version was named; one that
    /// started later does not.
    #[serde(rename = "a", default)]
    pub aged: bool,
    /// How many entries the agent hears from.
    #[serde(rename = "n", default)]
    pub takers: u16,
    /// Whether places are given at all for now.
    #[serde(rename = "o")]
    pub open: bool,
    /// The digest of the terms that the agent knows; 0 if it knows none.
    #[serde(rename = "c", default)]
    pub terms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    sequence: u32,
    waiting: u16,
    /// Until when the most urgent request can wait and be on time, in
    /// milliseconds of the giver's clock.
    due_ms: i64,
    given: u64,
    ended: u64,
    unused: u64,
    tokens: f64,
    heard: Duration,
}

impl Account {
    fn in_use(&self) -> u64 {
        self.given.saturating_sub(self.ended)
    }
}

/// The agent's side.
#[derive(Clone, Debug, Default)]
pub struct Issuer {
    accounts: BTreeMap<HolderId, Account>,
    places: u64,
    version: u64,
    floor: u64,
    aged: bool,
    terms: u32,
    model: Model,
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
    pub fn offer(&mut self, places: u32, version: u64) {
        self.places = u64::from(places);
        self.version = version;
    }

    /// Sets how the engine works, the prompt tokens of a usual request, and the
    /// longest pause between events for which a stream is on time.
    pub fn set_engine(&mut self, spec: Spec, usual_tokens: f64, pause: Duration) {
        self.model.set_spec(spec);
        self.usual_tokens = usual_tokens;
        self.pause = pause;
    }

    /// Sets the oldest version on which requests may start, and whether it is
    /// known when the newest was named.
    pub fn set_floor(&mut self, floor: u64, aged: bool) {
        self.floor = floor;
        self.aged = aged;
    }

    /// Sets the digest of the terms by which places are given.
    pub fn set_terms(&mut self, digest: u32) {
        self.terms = digest;
    }

    /// Places that there are.
    pub fn places(&self) -> u64 {
        self.places
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
    pub fn owes_word(&self, ask: &Demand) -> bool {
        let account = self.accounts.get(&ask.taker);
        ask.waiting > 0 || account.is_some_and(|one| one.given > ask.given)
    }

    /// Takes in what an entry says. False if it is out of date.
    pub fn hear(&mut self, now: Duration, ask: &Demand) -> bool {
        let fresh = Account {
            sequence: 0,
            waiting: 0,
            due_ms: 0,
            given: ask.given,
            ended: ask.ended,
            unused: ask.unused,
            tokens: 0.0,
            heard: now,
        };
        let account = self.accounts.entry(ask.taker).or_insert(fresh);
        if ask.sequence <= account.sequence {
            return false;
        }
        account.sequence = ask.sequence;
        account.heard = now;
        account.given = account.given.max(ask.given);
        account.ended = account.ended.max(ask.ended);
        let unused = ask.unused.saturating_sub(account.unused);
        account.unused += unused;
        let tokens = account.tokens;
        account.tokens = f64::from(ask.tokens);
        self.model.withdraw(tokens * unused as f64);
        // What was given and has not been heard of yet is on its way.
        let on_its_way = account.given - ask.given;
        account.waiting = ask
            .waiting
            .saturating_sub(on_its_way.min(u64::from(u16::MAX)) as u16);
        account.due_ms = now.as_millis() as i64 + i64::from(ask.slack_ms);
        true
    }

    /// Gives what can be given; answers to whom. Requests that can still be on
    /// time here go first, the most urgent first among them; then those that
    /// are late, the latest come first. None is given while the prompts that
    /// wait already make the next pass too long.
    pub fn give(&mut self, now: Duration) -> Vec<HolderId> {
        let mut told = Vec::new();
        loop {
            let in_use = self.in_use();
            self.model.advance(now, in_use);
            let Some(taker) = self.next(now, in_use) else {
                return told;
            };
            let account = self.accounts.get_mut(&taker).expect("it was just found");
            account.waiting -= 1;
            account.given += 1;
            self.model.admit(now, in_use, account.tokens);
            if !told.contains(&taker) {
                told.push(taker);
            }
        }
    }

    /// Who is given the next place, if there is one now.
    fn next(&self, now: Duration, in_use: u64) -> Option<HolderId> {
        if in_use >= self.places {
            return None;
        }
        let now_ms = now.as_millis() as i64;
        let waiting = self.accounts.iter().filter(|(_, one)| one.waiting > 0);
        let rank = |one: &Account| {
            let first = self.model.first_event(now, in_use, one.tokens);
            match now_ms + first.as_millis() as i64 <= one.due_ms {
                true => (false, one.due_ms),
                false => (true, -one.due_ms),
            }
        };
        let (taker, account) = waiting.min_by_key(|(_, one)| rank(one))?;
        let pass = self.model.next_pass(in_use, account.tokens);
        let fits = self.model.reads_nothing() || pass <= self.longest_pass(rank(account).0);
        fits.then_some(*taker)
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
    pub fn wake(&self, now: Duration) -> Option<Duration> {
        let waits = self.waiting() > 0 && self.in_use() < self.places;
        waits.then(|| self.model.pass_end().max(now))
    }

    /// What to tell an entry.
    pub fn word(&self, now: Duration, taker: HolderId) -> Credit {
        let in_use = self.in_use();
        let free = self.places.saturating_sub(in_use + self.waiting());
        let delay = self.model.first_event(now, in_use, self.usual_tokens);
        Credit {
            delay_ms: delay.as_millis().min(u128::from(u16::MAX)) as u16,
            taker,
            given: self.accounts.get(&taker).map_or(0, |one| one.given),
            free: free.min(u64::from(u16::MAX)) as u16,
            version: self.version,
            floor: self.floor,
            aged: self.aged,
            takers: self.accounts.len().min(usize::from(u16::MAX)) as u16,
            open: self.places > 0,
            terms: self.terms,
        }
    }

    /// Forgets entries that were silent for [`LEASE`]; answers how many places
    /// they had.
    pub fn expire(&mut self, now: Duration) -> u64 {
        let before = self.in_use();
        self.accounts
            .retain(|_, one| now.saturating_sub(one.heard) < LEASE);
        before - self.in_use()
    }

    /// The entries that it hears from.
    pub fn takers(&self) -> impl Iterator<Item = HolderId> {
        self.accounts.keys().copied()
    }
}

/// The oldest version on which an entry may have requests start: `own` by its
/// own clock, `found` the version that was named when it started, 0 if none.
///
/// For how long the latter has been named only those can say who saw it named.
/// If no agent did, it counts as old: after a restart of all processes none is
/// left who knows better.
pub fn floor<'a>(own: u64, found: u64, words: impl Iterator<Item = &'a Credit>) -> u64 {
    let (mut said, mut aged) = (0, false);
    for word in words {
        said = said.max(word.floor);
        aged |= word.aged;
    }
    let unknown = if aged { 0 } else { found };
    own.max(said).max(unknown)
}

/// The entry's side: what one agent has given it.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    id: HolderId,
    sequence: u32,
    given: u64,
    ended: u64,
    unused: u64,
    /// Places given and neither used nor handed back.
    spare: u64,
    asked: u16,
    asked_at: Duration,
    /// When the first ask went out that has not been answered.
    unanswered: Option<Duration>,
    heard: Option<Duration>,
    last: Option<Credit>,
    changed: bool,
}

impl Holder {
    /// A taker that has nothing.
    pub fn new(id: HolderId) -> Holder {
        Holder {
            id,
            sequence: 0,
            given: 0,
            ended: 0,
            unused: 0,
            spare: 0,
            asked: 0,
            asked_at: Duration::ZERO,
            unanswered: None,
            heard: None,
            last: None,
            changed: false,
        }
    }

    /// Takes in what the agent says; answers how many places are new.
    pub fn hear(&mut self, now: Duration, give: &Credit) -> u64 {
        self.heard = Some(now);
        self.unanswered = None;
        self.last = Some(*give);
        let new = give.given.saturating_sub(self.given);
        self.given += new;
        self.spare += new;
        self.asked = self
            .asked
            .saturating_sub(new.min(u64::from(u16::MAX)) as u16);
        new
    }

    /// Uses a place that was given; false if there is none.
    pub fn take(&mut self) -> bool {
        let found = self.spare > 0;
        self.spare -= u64::from(found);
        found
    }

    /// Hands a place back that is in use.
    pub fn end(&mut self) {
        self.ended += 1;
        self.changed = true;
    }

    /// Hands back what was given and is not in use.
    pub fn end_spare(&mut self) {
        self.ended += self.spare;
        self.unused += self.spare;
        self.changed |= self.spare > 0;
        self.spare = 0;
    }

    /// Places that were given and not handed back.
    pub fn in_use(&self) -> u64 {
        self.given - self.ended
    }

    /// What to send now, if anything: `waiting` requests wait for a place here
    /// and the most urgent, with so many prompt tokens, can wait `slack_ms` more.
    pub fn ask(
        &mut self,
        now: Duration,
        waiting: u16,
        slack_ms: i32,
        tokens: u32,
    ) -> Option<Demand> {
        let due = now.saturating_sub(self.asked_at) >= RENEWAL;
        let renews = due && (self.in_use() > 0 || waiting > 0);
        // How many wait matters less than whether any does.
        let recent = now.saturating_sub(self.asked_at) < ASK_GAP;
        let same = waiting == self.asked || (recent && waiting > 0 && self.asked > 0);
        if !self.changed && same && !renews {
            return None;
        }
        self.changed = false;
        self.asked = waiting;
        self.asked_at = now;
        self.sequence += 1;
        if waiting > 0 {
            self.unanswered.get_or_insert(now);
        }
        Some(Demand {
            taker: self.id,
            sequence: self.sequence,
            waiting,
            slack_ms,
            tokens,
            unused: self.unused,
            given: self.given,
            ended: self.ended,
            named: None,
        })
    }

    /// For how long an ask has gone without an answer.
    pub fn silence(&self, now: Duration) -> Duration {
        let since = self.unanswered.unwrap_or(now);
        now.saturating_sub(since)
    }

    /// Counts the last ask as never sent, so that the silence starts anew with
    /// the next one.
    pub fn give_up_ask(&mut self) {
        self.unanswered = None;
        self.asked = 0;
    }

    /// When the agent last said something.
    pub fn heard(&self) -> Option<Duration> {
        self.heard
    }

    /// What the agent last said.
    pub fn last(&self) -> Option<&Credit> {
        self.last.as_ref()
    }
}
