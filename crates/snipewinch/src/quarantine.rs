//! Finds what ends the servers that work on it, and blocks it.
//!
//! One input may end each server that works on it, and retries and further
//! callers carry it from server to server ("query of death": Beyer et al.,
//! "Site Reliability Engineering", 2016, chapter 22). Work carries several
//! keys, such as the shared parts of a prompt, and no two pieces of work are
//! alike, so one of the keys has to be found. This is a group test (Dorfman
//! 1943): when a server ends, each key of the work that it had just begun is
//! under suspicion, and work that comes through clears its keys. A key is
//! blocked once several servers have ended under it while none of its work has
//! come through anywhere, unless another key explains these ends.
//!
//! Every entry keeps a [`Ledger`] and publishes its [`Evidence`], which the
//! others merge. Merging is idempotent and needs no order, and a verdict is
//! revised as soon as a key is cleared.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::mix;

/// The ends of servers after which a key that nothing clears is blocked.
const ENDS_TO_BLOCK: usize = 3;
/// The ends of servers after which work is not sent to a further server.
const ENDS_TO_SUSPECT: usize = 2;
/// The fraction of the ends under a key that another key must share to explain
/// them. The other key lacks ends whose report is late or was dropped.
const EXPLAINED_FRACTION: f64 = 2.0 / 3.0;
/// How long work that came through clears its keys.
const CLEARED_TIME: Duration = Duration::from_secs(60);
/// How long the end of a server counts against a key. A blocked key is then
/// tried again, at each entry at another time within as long again.
const END_AGE_MAX: Duration = Duration::from_secs(600);
/// Servers that end within this time of each other have a common cause, such as
/// a power failure, which says nothing about keys.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(10);
/// The most ends that are kept for a key.
const ENDS_PER_KEY_MAX: usize = 32;
/// The most keys under suspicion.
const SUSPECTS_MAX: usize = 1_024;
/// The most cleared keys that are remembered.
const CLEARED_MAX: usize = 4_096;
/// The most keys of one end that are published.
const KEYS_PER_END_MAX: usize = 16;
/// The most keys of one end that the entry which saw it suspects.
const KEYS_PER_OWN_END_MAX: usize = 256;
/// The most ends that one entry publishes.
const PUBLISHED_ENDS_MAX: usize = 16;
/// The most cleared keys that one entry publishes.
const PUBLISHED_CLEARED_MAX: usize = 64;

/// Identifies something that work has in common with other work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Key(u64);

impl Key {
    /// The key of `id` within a scope, such as a service.
    pub fn of(scope: &str, id: &str) -> Key {
        Key(mix::combine(mix::hash(scope), mix::hash(id)))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one run of a server, from its start to its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Server(u64);

impl Server {
    /// The server with an id that no other run of a server has.
    pub fn of(id: &str) -> Server {
        Server(mix::hash(id))
    }
}

/// The end of a server, with keys that are under suspicion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// The server.
    #[serde(rename = "s")]
    pub server: Server,
    /// Keys of the work that the server had just begun and that nothing clears.
    #[serde(rename = "k")]
    pub keys: Vec<Key>,
}

/// What one entry knows at first hand.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Servers that ended.
    #[serde(rename = "e", default)]
    pub ends: Vec<End>,
    /// Keys under suspicion that work has come through with.
    #[serde(rename = "c", default)]
    pub cleared: Vec<Key>,
}

/// Whether work may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// It must not be sent to a further server after one has ended under it.
    Suspect(Key),
    /// It must not be sent to any server.
    Blocked(Key),
}

/// A key that is blocked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Blocked {
    /// The key.
    pub key: Key,
    /// How many servers have ended under it.
    pub ends: usize,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// The servers that ended, and when this entry learned of it.
    ends: Vec<(Server, Duration)>,
    /// Whether it was blocked before; one more end then blocks it again.
    is_known: bool,
    /// Until when ends do not count, as work with it came through.
    cleared_until: Duration,
}

impl Suspect {
    /// The ends that count and are younger than `age_max`.
    fn counting(&self, now: Duration, age_max: Duration) -> impl Iterator<Item = Server> {
        let counting = self.ends.iter().filter(|(_, at)| *at >= self.cleared_until);
        counting
            .filter(move |(_, at)| now < *at + age_max)
            .map(|(server, _)| *server)
    }

    /// How many ends count that are younger than `age_max`.
    fn ends(&self, now: Duration, age_max: Duration) -> usize {
        self.counting(now, age_max).count()
    }

    fn has_end(&self, server: Server) -> bool {
        self.ends.iter().any(|(found, _)| *found == server)
    }
}

/// An end that may still turn out to be one of several at the same moment.
#[derive(Clone, Debug)]
struct Pending {
    at: Duration,
    end: End,
}

/// What an entry knows of the keys that end servers.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    seed: u64,
    suspects: HashMap<Key, Suspect>,
    /// When work with a key last came through, here or elsewhere.
    cleared: HashMap<Key, Duration>,
    pending: VecDeque<Pending>,
    own: Evidence,
    /// When this entry learned of each end of `own.ends`, in that order.
    own_ends_at: VecDeque<Duration>,
    /// When this entry last cleared each key of `own.cleared`, in that order.
    own_cleared_at: VecDeque<Duration>,
    /// The evidence of the others, as last merged.
    others: HashMap<SmolStr, Evidence>,
    is_changed: bool,
}

impl Ledger {
    /// Creates a ledger. `seed` differs between entries, so that they try a
    /// blocked key again at different times.
    pub fn open(seed: u64) -> Ledger {
        Ledger {
            seed,
            ..Ledger::default()
        }
    }

    /// Records that work with `keys` has come through.
    pub fn record_progress(&mut self, now: Duration, keys: &[Key]) {
        for key in keys {
            self.clear(now, *key);
            if self.suspects.contains_key(key) && !self.is_cleared_by_others(*key) {
                self.publish_cleared(now, *key);
            }
        }
        if self.cleared.len() > CLEARED_MAX {
            self.forget_oldest_cleared();
        }
    }

    /// Records that a server ended by itself under work that it had just begun.
    pub fn record_end(&mut self, now: Duration, server: Server, keys: &[Key]) {
        let cleared = |key: &Key| self.is_cleared(now, *key);
        let mut keys: Vec<Key> = keys.iter().copied().filter(|key| !cleared(key)).collect();
        let pending = self.pending.iter_mut().find(|one| one.end.server == server);
        match pending {
            Some(pending) => pending.end.keys.append(&mut keys),
            None => {
                let end = End { server, keys };
                self.pending.push_back(Pending { at: now, end });
            }
        }
    }

    /// Takes over ends that stand alone. To be called some times a second, and
    /// soon after each end.
    pub fn settle(&mut self, now: Duration) {
        while let Some(count) = self.settled_group(now) {
            let group: Vec<Pending> = self.pending.drain(..count).collect();
            if let [alone] = &group[..] {
                self.take_over(alone.at, alone.end.clone());
            }
        }
        self.forget_expired(now);
    }

    /// Merges the evidence of another entry, which replaces what it published
    /// before.
    pub fn merge(&mut self, now: Duration, publisher: &str, evidence: Evidence) {
        let before = self
            .others
            .insert(publisher.into(), evidence.clone())
            .unwrap_or_default();
        for end in &evidence.ends {
            self.suspect(now, end.server, published_keys(end));
        }
        let news = evidence.cleared.iter();
        for key in news.filter(|key| !before.cleared.contains(key)) {
            self.clear(now, *key);
        }
        self.contradict(now, &evidence);
    }

    /// Continues with the evidence that this entry published before it was
    /// restarted, or before the store lost it.
    pub fn restore(&mut self, now: Duration, evidence: Evidence) {
        for end in evidence.ends {
            self.suspect(now, end.server, published_keys(&end));
            self.publish_end(now, end);
        }
    }

    /// Whether work with `keys` may be sent to a server.
    pub fn verdict(&self, now: Duration, keys: &[Key]) -> Verdict {
        let mut suspect = Verdict::Clear;
        if self.suspects.is_empty() && self.pending.is_empty() {
            return suspect;
        }
        for key in keys.iter().filter(|key| !self.is_cleared(now, **key)) {
            match self.ends(now, *key) {
                0 if self.pending.is_empty() => {}
                _ if self.is_explained(now, *key, keys) => {}
                ends if self.blocks(*key, ends) => return Verdict::Blocked(*key),
                ends if ends + self.pending_ends(*key) >= ENDS_TO_SUSPECT => {
                    suspect = Verdict::Suspect(*key);
                }
                _ => {}
            }
        }
        suspect
    }

    /// All blocked keys.
    pub fn blocked(&self, now: Duration) -> Vec<Blocked> {
        let keys = self.suspects.keys().copied();
        let counted = keys.map(|key| Blocked {
            key,
            ends: self.ends(now, key),
        });
        counted
            .filter(|one| self.blocks(one.key, one.ends) && !self.is_cleared(now, one.key))
            .filter(|one| !self.is_explained(now, one.key, &[one.key]))
            .collect()
    }

    /// The evidence of this entry, if it has changed since it was last taken.
    pub fn take_evidence(&mut self) -> Option<Evidence> {
        std::mem::take(&mut self.is_changed).then(|| self.own.clone())
    }

    /// Whether there is evidence that is not yet published.
    pub fn has_news(&self) -> bool {
        self.is_changed
    }

    /// Has the evidence published again unless `published` is all of it:
    /// publishing failed, or the store lost it.
    pub fn republish(&mut self, published: Option<&Evidence>) {
        let nothing = Evidence::default();
        self.is_changed |= self.own != *published.unwrap_or(&nothing);
    }

    /// How many of the first pending ends followed each other closely, once no
    /// further one can belong to them.
    fn settled_group(&self, now: Duration) -> Option<usize> {
        let mut last = self.pending.front()?.at;
        let mut count = 0;
        for pending in &self.pending {
            if pending.at > last + COMMON_CAUSE_WINDOW {
                break;
            }
            last = pending.at;
            count += 1;
        }
        (last + COMMON_CAUSE_WINDOW < now).then_some(count)
    }

    /// Has no end count against a key that was learned of until its clearance
    /// expires.
    fn clear(&mut self, now: Duration, key: Key) {
        self.cleared.insert(key, now);
        if let Some(suspect) = self.suspects.get_mut(&key) {
            suspect.cleared_until = now + CLEARED_TIME;
            suspect.is_known = false;
        }
    }

    fn is_cleared(&self, now: Duration, key: Key) -> bool {
        let at = self.cleared.get(&key);
        at.is_some_and(|at| now < *at + CLEARED_TIME)
    }

    /// How many servers have ended under a key.
    fn ends(&self, now: Duration, key: Key) -> usize {
        let suspect = self.suspects.get(&key);
        let expiry = self.expiry(key);
        suspect.map_or(0, |suspect| suspect.ends(now, expiry))
    }

    /// Whether most ends under a key are also ends under one key that is not
    /// among `keys` and has as many. Work without that one may then be sound: it is sent, and
    /// clears the key if it comes through.
    fn is_explained(&self, now: Duration, key: Key, keys: &[Key]) -> bool {
        let Some(suspect) = self.suspects.get(&key) else {
            return false;
        };
        let expiry = self.expiry(key);
        let ends: Vec<Server> = suspect.counting(now, expiry).collect();
        let mut others = self.suspects.iter();
        !ends.is_empty()
            && others.any(|(other, one)| {
                let covered = ends.iter().filter(|end| one.has_end(**end)).count();
                let covers = covered as f64 >= ends.len() as f64 * EXPLAINED_FRACTION;
                let is_stronger = one.ends(now, self.expiry(*other)) >= ends.len();
                covers && is_stronger && !keys.contains(other) && !self.is_cleared(now, *other)
            })
    }

    fn pending_ends(&self, key: Key) -> usize {
        let pending = self.pending.iter();
        pending.filter(|one| one.end.keys.contains(&key)).count()
    }

    fn blocks(&self, key: Key, ends: usize) -> bool {
        let is_known = self.suspects.get(&key).is_some_and(|one| one.is_known);
        ends >= ENDS_TO_BLOCK || (is_known && ends > 0)
    }

    /// How long an end counts against a key at this entry.
    fn expiry(&self, key: Key) -> Duration {
        let draw = mix::combine(self.seed, key.0) as f64 / u64::MAX as f64;
        END_AGE_MAX.mul_f64(1.0 + draw)
    }

    /// Counts an end that this entry saw, and publishes it with the keys under
    /// which most servers ended.
    fn take_over(&mut self, now: Duration, mut end: End) {
        end.keys.retain(|key| {
            let cleared = self.cleared.get(key);
            cleared.is_none_or(|at| now >= *at + CLEARED_TIME)
        });
        end.keys.sort_unstable();
        end.keys.dedup();
        end.keys.sort_by_key(|key| Reverse(self.ends(now, *key)));
        end.keys.truncate(KEYS_PER_OWN_END_MAX);
        if !end.keys.is_empty() {
            self.suspect(now, end.server, &end.keys);
            end.keys.truncate(KEYS_PER_END_MAX);
            self.publish_end(now, end);
        }
    }

    fn publish_end(&mut self, now: Duration, end: End) {
        let mut published = self.own.ends.iter_mut();
        if let Some(one) = published.find(|one| one.server == end.server) {
            let before = one.keys.len();
            let news = end.keys.iter().filter(|key| !one.keys.contains(key));
            let news: Vec<Key> = news
                .take(KEYS_PER_END_MAX.saturating_sub(before))
                .copied()
                .collect();
            one.keys.extend(news);
            self.is_changed |= one.keys.len() > before;
            return;
        }
        if self.own.ends.len() >= PUBLISHED_ENDS_MAX {
            self.own.ends.remove(0);
            self.own_ends_at.pop_front();
        }
        self.own.ends.push(end);
        self.own_ends_at.push_back(now);
        self.is_changed = true;
    }

    fn suspect(&mut self, now: Duration, ended: Server, keys: &[Key]) {
        for key in keys {
            if !self.suspects.contains_key(key) && self.suspects.len() >= SUSPECTS_MAX {
                self.forget_weakest_suspect();
            }
            let cleared_until = self.cleared.get(key).map(|at| *at + CLEARED_TIME);
            let suspect = self.suspects.entry(*key).or_insert_with(|| Suspect {
                cleared_until: cleared_until.unwrap_or_default(),
                ..Suspect::default()
            });
            let is_counted = suspect.ends.iter().any(|(server, _)| *server == ended);
            if is_counted {
                continue;
            }
            if suspect.ends.len() >= ENDS_PER_KEY_MAX {
                suspect.ends.remove(0);
            }
            suspect.ends.push((ended, now));
            suspect.is_known |= suspect.ends(now, END_AGE_MAX * 2) >= ENDS_TO_BLOCK;
        }
    }

    /// Publishes that keys which another entry suspects have come through here.
    fn contradict(&mut self, now: Duration, evidence: &Evidence) {
        let keys: Vec<Key> = evidence
            .ends
            .iter()
            .flat_map(|end| end.keys.iter().copied())
            .filter(|key| self.is_cleared(now, *key) && !self.is_cleared_by_others(*key))
            .collect();
        for key in keys {
            self.publish_cleared(now, key);
        }
    }

    fn is_cleared_by_others(&self, key: Key) -> bool {
        let mut others = self.others.values();
        others.any(|evidence| evidence.cleared.contains(&key))
    }

    fn publish_cleared(&mut self, now: Duration, key: Key) {
        if self.own.cleared.contains(&key) {
            return;
        }
        if self.own.cleared.len() >= PUBLISHED_CLEARED_MAX {
            self.own.cleared.remove(0);
            self.own_cleared_at.pop_front();
        }
        self.own.cleared.push(key);
        self.own_cleared_at.push_back(now);
        self.is_changed = true;
    }

    /// Drops what no longer counts. A cleared key is withdrawn before it
    /// expires, so that publishing it again is news to the others.
    fn forget_expired(&mut self, now: Duration) {
        while let Some(at) = self.own_cleared_at.front()
            && *at + CLEARED_TIME / 2 < now
        {
            self.own_cleared_at.pop_front();
            self.own.cleared.remove(0);
            self.is_changed = true;
        }
        while let Some(at) = self.own_ends_at.front()
            && *at + END_AGE_MAX < now
        {
            self.own_ends_at.pop_front();
            self.own.ends.remove(0);
            self.is_changed = true;
        }
        let expiry_max = END_AGE_MAX * 2;
        for suspect in self.suspects.values_mut() {
            suspect.ends.retain(|(_, at)| now < *at + expiry_max);
        }
        self.suspects
            .retain(|_, suspect| suspect.is_known || !suspect.ends.is_empty());
    }

    fn forget_weakest_suspect(&mut self) {
        let weakest = self.suspects.iter().min_by_key(|(key, suspect)| {
            (
                suspect.ends.len(),
                suspect.ends.last().map(|one| one.1),
                **key,
            )
        });
        if let Some(key) = weakest.map(|(key, _)| *key) {
            self.suspects.remove(&key);
        }
    }

    fn forget_oldest_cleared(&mut self) {
        let mut times: Vec<Duration> = self.cleared.values().copied().collect();
        times.sort_unstable();
        let limit = times[times.len() / 4];
        self.cleared.retain(|_, at| *at > limit);
    }
}

/// The keys of an end that another process published, within their bound.
fn published_keys(end: &End) -> &[Key] {
    &end.keys[..end.keys.len().min(KEYS_PER_END_MAX)]
}
