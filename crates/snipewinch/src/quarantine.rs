//! Finds what ends the servers that work on it, and blocks it.
//!
//! One input may end each server that works on it, and retries and further
//! callers carry it from server to server ("query of death": Beyer et al.,
//! "Site Reliability Engineering", 2016, chapter 22). Work carries several
//! keys: the shared parts of a prompt, and the whole request, which may come
//! again. Which of them ends servers has to be found. This is a group test (Dorfman
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
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

mod cleared;
mod key;
mod pending;
mod suspect;

use cleared::Cleared;
pub use key::Key;
pub use key::Request;
use pending::Pending;
use pending::Work;
use suspect::Counted;
use suspect::Suspect;

pub use crate::server_limit::Server;

/// The ends of servers after which a key that nothing clears is blocked.
const ENDS_TO_BLOCK: usize = 3;
/// The ends of servers after which work is not sent to a further server.
const ENDS_TO_SUSPECT: usize = 2;
/// The ends after which a request is blocked for a while that has no part with
/// other requests in common: nothing else about it can be the cause.
const ENDS_TO_BLOCK_REQUEST: usize = 2;
/// How long it is blocked by these, at the least; at each entry for another time
/// up to twice as long. It is then tried once.
const TRIAL_DELAY: Duration = Duration::from_secs(30);
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
/// How often keys under suspicion are checked for ends that no longer count.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The most keys under suspicion.
const SUSPECTS_MAX: usize = 1_024;
/// The most cleared parts that are remembered.
const CLEARED_PARTS_MAX: usize = 4_096;
/// The most cleared requests that are remembered. Few come again, but all that
/// come through are among them for a while.
const CLEARED_REQUESTS_MAX: usize = 2_048;
/// The most keys of one end that are published.
const KEYS_PER_END_MAX: usize = 16;
/// The most keys of one end that the entry which saw it suspects.
const KEYS_PER_OWN_END_MAX: usize = 256;
/// The most ends that one entry publishes.
const PUBLISHED_ENDS_MAX: usize = 16;
/// The most cleared keys that one entry publishes.
const PUBLISHED_CLEARED_MAX: usize = 64;

/// The end of a server, with keys that are under suspicion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct End {
    /// The server.
    #[serde(rename = "s")]
    pub server: Server,
    /// Keys of the work that the server had just begun and that nothing clears.
    #[serde(rename = "k")]
    pub keys: Vec<Key>,
    /// How often it was renewed, as requests with the keys still come.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub renewals: u16,
}

fn is_zero(number: &u16) -> bool {
    *number == 0
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

/// What an entry knows of the keys that end servers.
#[derive(Clone, Debug)]
pub struct Ledger {
    seed: u64,
    suspects: HashMap<Key, Suspect>,
    /// When their ends were last checked.
    swept_at: Duration,
    /// When work with parts and requests came through, here or elsewhere.
    cleared_parts: Cleared,
    cleared_requests: Cleared,
    pending: VecDeque<Pending>,
    own: Evidence,
    /// When this entry learned of each end of `own.ends`, in that order, or last
    /// renewed it.
    own_ends_at: Vec<Duration>,
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
            suspects: HashMap::new(),
            swept_at: Duration::ZERO,
            cleared_parts: Cleared::with_max(CLEARED_PARTS_MAX),
            cleared_requests: Cleared::with_max(CLEARED_REQUESTS_MAX),
            pending: VecDeque::new(),
            own: Evidence::default(),
            own_ends_at: Vec::new(),
            own_cleared_at: VecDeque::new(),
            others: HashMap::new(),
            is_changed: false,
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
    }

    /// Records that work was refused because a key is blocked. What is known of
    /// a request lasts as long as it comes again.
    pub fn record_refusal(&mut self, now: Duration, key: Key) {
        let found = self.suspects.get_mut(&key).filter(|_| key.is_request());
        let Some(found) = found else {
            return;
        };
        found.renew(now);
        let own = self.own.ends.iter_mut().zip(&mut self.own_ends_at);
        for (end, at) in own.filter(|(end, _)| end.keys.contains(&key)) {
            self.is_changed |= suspect::renew(now, at, &mut end.renewals);
        }
    }

    /// Records that a server ended by itself under work that it had just begun,
    /// which was sent to it at `sent`.
    pub fn record_end(&mut self, now: Duration, sent: Duration, server: Server, keys: &[Key]) {
        let cleared = |key: &Key| self.is_cleared(now, *key);
        let keys: Vec<Key> = keys.iter().copied().filter(|key| !cleared(key)).collect();
        let work = Work { sent, keys };
        let pending = self.pending.iter_mut().find(|one| one.server == server);
        match pending {
            Some(pending) => pending.works.push(work),
            None => self.pending.push_back(Pending {
                at: now,
                server,
                works: vec![work],
            }),
        }
    }

    /// Takes over ends that stand alone, and of those at the same moment what was
    /// sent after the first of them. To be called some times a second, and soon
    /// after each end.
    pub fn settle(&mut self, now: Duration) {
        while let Some(count) = self.settled_group(now) {
            let group: Vec<Pending> = self.pending.drain(..count).collect();
            let first = group.first().map(|one| one.at).filter(|_| count > 1);
            for pending in group {
                let at = pending.at;
                self.take_over(at, pending.into_end(first));
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
            self.suspect(now, end, published_keys(end));
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
            self.suspect(now, &end, published_keys(&end));
            self.publish_end(now, end);
        }
    }

    /// Whether work with `keys` may be sent to a server.
    pub fn verdict(&self, now: Duration, keys: &[Key]) -> Verdict {
        self.judge(now, keys, |key| self.ends(now, key))
    }

    /// The verdict if all ends that are not settled yet stand alone.
    pub fn verdict_to_come(&self, now: Duration, keys: &[Key]) -> Verdict {
        self.judge(now, keys, |key| {
            self.ends(now, key) + self.pending_ends(key)
        })
    }

    fn judge(&self, now: Duration, keys: &[Key], ends: impl Fn(Key) -> usize) -> Verdict {
        let mut suspect = Verdict::Clear;
        if self.suspects.is_empty() && self.pending.is_empty() {
            return suspect;
        }
        let has_parts = keys.iter().any(|key| !key.is_request());
        for key in keys.iter().filter(|key| !self.is_cleared(now, **key)) {
            match ends(*key) {
                0 if self.pending.is_empty() => {}
                _ if self.is_explained(now, *key, keys) => {}
                ends if self.blocks(*key, ends) => return Verdict::Blocked(*key),
                ends if !has_parts && self.blocks_request(now, *key, ends) => {
                    return Verdict::Blocked(*key);
                }
                _ if self.ends(now, *key) + self.pending_ends(*key) >= ENDS_TO_SUSPECT => {
                    suspect = Verdict::Suspect(*key);
                }
                _ => {}
            }
        }
        suspect
    }

    /// Whether a server has ended under work with one of `keys`, and nothing
    /// clears or explains it.
    pub fn is_suspected(&self, now: Duration, keys: &[Key]) -> bool {
        if self.suspects.is_empty() && self.pending.is_empty() {
            return false;
        }
        let mut uncleared = keys.iter().filter(|key| !self.is_cleared(now, **key));
        uncleared.any(|key| {
            self.ends(now, *key) + self.pending_ends(*key) > 0
                && !self.is_explained(now, *key, keys)
        })
    }

    /// All blocked keys; of those under which the same servers ended, one.
    pub fn blocked(&self, now: Duration) -> Vec<Blocked> {
        let counted = self.strong_keys().map(|key| Blocked {
            key,
            ends: self.ends(now, key),
        });
        counted
            .filter(|one| self.blocks(one.key, one.ends) && !self.is_cleared(now, one.key))
            .filter(|one| !self.is_listed_elsewhere(now, one.key))
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
        match key.is_request() {
            true => self.cleared_requests.insert(now, key),
            false => self.cleared_parts.insert(now, key),
        }
        if let Some(suspect) = self.suspects.get_mut(&key) {
            suspect.cleared_until = now + CLEARED_TIME;
            suspect.is_known = false;
        }
    }

    /// Until when ends under a key do not count.
    fn cleared_until(&self, key: Key) -> Option<Duration> {
        let cleared = match key.is_request() {
            true => &self.cleared_requests,
            false => &self.cleared_parts,
        };
        cleared.times.get(&key).map(|at| *at + CLEARED_TIME)
    }

    fn is_cleared(&self, now: Duration, key: Key) -> bool {
        self.cleared_until(key).is_some_and(|until| now < until)
    }

    /// How many servers have ended under a key.
    fn ends(&self, now: Duration, key: Key) -> usize {
        let suspect = self.suspects.get(&key);
        let expiry = self.expiry(key);
        suspect.map_or(0, |suspect| suspect.ends(now, expiry))
    }

    /// Whether a key that is not among `keys` explains the ends under `key`. Work
    /// without that one may then be sound: it is sent, and clears the key if it
    /// comes through.
    fn is_explained(&self, now: Duration, key: Key, keys: &[Key]) -> bool {
        let is_suspect = self.suspects.contains_key(&key);
        is_suspect
            && self
                .strong_keys()
                .any(|other| !keys.contains(&other) && self.explains(now, other, key))
    }

    /// The keys that may be blocked, and some others.
    fn strong_keys(&self) -> impl Iterator<Item = Key> {
        let all = self.suspects.iter();
        all.filter(|(_, one)| one.is_known || one.ends.len() >= ENDS_TO_BLOCK)
            .map(|(key, _)| *key)
    }

    /// Whether a key is blocked and most ends under another one, which has no
    /// more, are also ends under it.
    fn explains(&self, now: Duration, key: Key, other: Key) -> bool {
        let (Some(suspect), Some(explained)) = (self.suspects.get(&key), self.suspects.get(&other))
        else {
            return false;
        };
        let strength = suspect.ends(now, self.expiry(key));
        if !self.blocks(key, strength) || self.is_cleared(now, key) {
            return false;
        }
        let ends: Vec<Server> = explained.counting(now, self.expiry(other)).collect();
        let covered = ends.iter().filter(|end| suspect.has_end(**end)).count();
        !ends.is_empty()
            && covered as f64 >= ends.len() as f64 * EXPLAINED_FRACTION
            && strength >= ends.len()
    }

    /// Whether a blocked key is not listed beside one that explains it.
    fn is_listed_elsewhere(&self, now: Duration, key: Key) -> bool {
        let mut others = self.strong_keys().filter(|other| *other != key);
        others.any(|other| {
            self.explains(now, other, key) && (other < key || !self.explains(now, key, other))
        })
    }

    fn pending_ends(&self, key: Key) -> usize {
        let pending = self.pending.iter();
        pending.filter(|one| one.has(key)).count()
    }

    fn blocks(&self, key: Key, ends: usize) -> bool {
        let is_known = self.suspects.get(&key).is_some_and(|one| one.is_known);
        ends >= ENDS_TO_BLOCK || (is_known && ends > 0)
    }

    /// Whether a request without parts is blocked until it is tried again.
    fn blocks_request(&self, now: Duration, key: Key, ends: usize) -> bool {
        let last = self.suspects.get(&key).and_then(|one| one.ends.last());
        let delay = TRIAL_DELAY.mul_f64(1.0 + key.draw(self.seed));
        let is_trial_due = last.is_none_or(|end| now >= end.at + delay);
        key.is_request() && ends >= ENDS_TO_BLOCK_REQUEST && !is_trial_due
    }

    /// How long an end counts against a key at this entry.
    fn expiry(&self, key: Key) -> Duration {
        END_AGE_MAX.mul_f64(1.0 + key.draw(self.seed))
    }

    /// Counts an end that this entry saw, and publishes it with the keys under
    /// which most servers ended.
    fn take_over(&mut self, now: Duration, mut end: End) {
        end.keys.retain(|key| !self.is_cleared(now, *key));
        end.keys.sort_unstable();
        end.keys.dedup();
        end.keys.sort_by_key(|key| Reverse(self.ends(now, *key)));
        end.keys.truncate(KEYS_PER_OWN_END_MAX);
        if !end.keys.is_empty() {
            self.suspect(now, &end, &end.keys);
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
            self.own_ends_at.remove(0);
        }
        self.own.ends.push(end);
        self.own_ends_at.push(now);
        self.is_changed = true;
    }

    fn suspect(&mut self, now: Duration, end: &End, keys: &[Key]) {
        for key in keys {
            if !self.suspects.contains_key(key) && self.suspects.len() >= SUSPECTS_MAX {
                self.forget_weakest_suspects();
            }
            let cleared_until = self.cleared_until(*key);
            let suspect = self.suspects.entry(*key).or_insert_with(|| Suspect {
                cleared_until: cleared_until.unwrap_or_default(),
                ..Suspect::default()
            });
            if suspect.has_end(end.server) {
                suspect.take_renewal(now, end.server, end.renewals);
                continue;
            }
            if suspect.ends.len() >= ENDS_PER_KEY_MAX {
                suspect.ends.remove(0);
            }
            suspect.ends.push(Counted {
                server: end.server,
                at: now,
                renewals: end.renewals,
            });
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
        let is_expired = |at: &Duration| *at + END_AGE_MAX < now;
        while let Some(index) = self.own_ends_at.iter().position(is_expired) {
            self.own_ends_at.remove(index);
            self.own.ends.remove(index);
            self.is_changed = true;
        }
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let expiry_max = END_AGE_MAX * 2;
        for suspect in self.suspects.values_mut() {
            suspect.ends.retain(|one| now < one.at + expiry_max);
        }
        self.suspects
            .retain(|_, suspect| suspect.is_known || !suspect.ends.is_empty());
    }

    /// Drops a quarter of the keys under suspicion: those with the fewest ends,
    /// the longest ago.
    fn forget_weakest_suspects(&mut self) {
        let mut ranked: Vec<(usize, Option<Duration>, Key)> = self
            .suspects
            .iter()
            .map(|(key, one)| (one.ends.len(), one.ends.last().map(|end| end.at), *key))
            .collect();
        ranked.sort_unstable();
        for (_, _, key) in &ranked[..ranked.len().div_ceil(4)] {
            self.suspects.remove(key);
        }
    }
}

/// The keys of an end that another process published, within their bound.
fn published_keys(end: &End) -> &[Key] {
    &end.keys[..end.keys.len().min(KEYS_PER_END_MAX)]
}
