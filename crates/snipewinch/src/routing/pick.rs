//! The choice of one host for one call.

use std::time::Duration;

use super::Key;
use super::Reason;
use super::Refusal;
use super::Request;
use super::Service;
use super::TIERS;
use super::Table;
use super::Tier;
use super::affinity;
use super::node::Node;
use crate::mix;
use crate::mix::Rng;

/// Below this load a nearer host is kept whatever farther ones offer.
const SPILL_LOAD: f64 = 0.8;
/// How much less loaded a farther host must be.
const SPILL_MARGIN: f64 = 0.25;
/// How far above the average load prompt-prefix affinity may push a host.
const AFFINITY_SLACK: f64 = 0.25;
/// Calls that a host is given at most, as a multiple of its capacity.
const LOAD_MAX: f64 = 3.0;
/// Draws before a host is looked for one by one.
const DRAWS: usize = 8;
/// The shortest Retry-After.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The longest Retry-After.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Who may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Among {
    /// Hosts against which nothing speaks.
    Ready,
    /// Also suspect and ejected ones, since nobody else can.
    Any,
}

#[derive(Clone, Copy, Debug)]
struct Choice {
    key: Key,
    load: f64,
    by_prefix: bool,
}

impl Table {
    /// The host that shall answer a call.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if there is none; nothing has then been sent.
    pub fn pick(
        &mut self,
        now: Duration,
        request: &Request<'_>,
    ) -> std::result::Result<Key, Refusal> {
        let Some(service) = self.services.get(request.service) else {
            return Err(refusal(Reason::NoHost, Duration::ZERO));
        };
        let mut draw = Rng::new(request.seed);
        let found = [Among::Ready, Among::Any]
            .into_iter()
            .find_map(|among| self.nearest(now, request, service, among, &mut draw));
        let Some((choice, tier)) = found else {
            return Err(self.refuse(request, service));
        };
        let node = &self.nodes[choice.key];
        let wait = node.wait(now);
        let late = request.wait_max.is_some_and(|wait_max| wait > wait_max);
        if late || node.calls(now) >= node.capacity() * LOAD_MAX {
            return Err(refusal(Reason::Busy, wait));
        }
        self.counts.picked[tier as usize] += 1;
        self.counts.by_prefix += u64::from(choice.by_prefix);
        Ok(choice.key)
    }

    /// The best host of the nearest tier that has room.
    fn nearest(
        &self,
        now: Duration,
        request: &Request<'_>,
        service: &Service,
        among: Among,
        draw: &mut Rng,
    ) -> Option<(Choice, Tier)> {
        let mut best: Option<(Choice, Tier)> = None;
        for tier in TIERS {
            let keys = &service.linked[tier as usize];
            let Some(choice) = self.choose(now, request, keys, among, draw) else {
                continue;
            };
            best = match best {
                Some((near, _)) if choice.load + SPILL_MARGIN >= near.load => best,
                _ => Some((choice, tier)),
            };
            if best.is_some_and(|(choice, _)| choice.load < SPILL_LOAD) {
                break;
            }
        }
        best
    }

    fn choose(
        &self,
        now: Duration,
        request: &Request<'_>,
        keys: &[Key],
        among: Among,
        draw: &mut Rng,
    ) -> Option<Choice> {
        if !request.prefixes.is_empty()
            && let Some(choice) = self.by_prefix(now, request, keys, among)
        {
            return Some(choice);
        }
        let first = self.any(now, request, keys, among, draw, None)?;
        let second = self.any(now, request, keys, among, draw, Some(first));
        let first = self.choice(now, first);
        let second = second.map(|key| self.choice(now, key));
        Some(match second {
            Some(second) if second.load < first.load => second,
            _ => first,
        })
    }

    fn choice(&self, now: Duration, key: Key) -> Choice {
        Choice {
            key,
            load: self.nodes[key].load(now),
            by_prefix: false,
        }
    }

    /// A random host that may be chosen, other than `not`.
    fn any(
        &self,
        now: Duration,
        request: &Request<'_>,
        keys: &[Key],
        among: Among,
        draw: &mut Rng,
        not: Option<Key>,
    ) -> Option<Key> {
        if keys.is_empty() {
            return None;
        }
        let fits = |key: &Key| {
            Some(*key) != not && self.fits(now, request, *key, &self.nodes[*key], among)
        };
        let drawn = (0..DRAWS).find_map(|_| {
            let key = keys[draw.below(keys.len())];
            fits(&key).then_some(key)
        });
        if drawn.is_some() {
            return drawn;
        }
        let start = draw.below(keys.len());
        let (head, tail) = keys.split_at(start);
        tail.iter().chain(head).copied().find(fits)
    }

    fn fits(
        &self,
        now: Duration,
        request: &Request<'_>,
        key: Key,
        node: &Node,
        among: Among,
    ) -> bool {
        !node.is_leaving()
            && (among == Among::Any || node.is_ready(now))
            && !request.tried.contains(&key)
            && node.satisfies(request.needs)
    }

    /// The host that likely holds the call's longest prefix, or else the one
    /// that the prefix hashes to, if its load is near the average.
    fn by_prefix(
        &self,
        now: Duration,
        request: &Request<'_>,
        keys: &[Key],
        among: Among,
    ) -> Option<Choice> {
        let mut sum = 0.0;
        let mut count = 0.0;
        let fitting = |key: &Key| self.fits(now, request, *key, &self.nodes[*key], among);
        for key in keys.iter().filter(|key| fitting(key)) {
            sum += self.nodes[*key].load(now);
            count += 1.0;
        }
        let bound = sum / count * (1.0 + AFFINITY_SLACK);
        let within = |key: Key| {
            let node = &self.nodes[key];
            // A host with nothing to do is never too loaded.
            let load = node.load(now);
            (load <= bound || node.calls(now) < 1.0).then_some(Choice {
                key,
                load,
                by_prefix: true,
            })
        };
        let hinted = request
            .prefixes
            .iter()
            .flat_map(|&prefix| self.affinity.holders(now, prefix))
            .filter(|key| keys.contains(key) && fitting(key))
            .find_map(within);
        if hinted.is_some() {
            return hinted;
        }
        let prefix = affinity::short(*request.prefixes.last()?);
        keys.iter()
            .filter(|key| fitting(key))
            .filter_map(|&key| within(key))
            .max_by_key(|choice| mix::combine(self.nodes[choice.key].hash, prefix))
    }

    fn refuse(&self, request: &Request<'_>, service: &Service) -> Refusal {
        let mut reason = Reason::Unreachable;
        for &key in service.linked.iter().flatten() {
            let node = &self.nodes[key];
            let seen = match () {
                () if node.is_leaving() => Reason::Leaving,
                () if !node.satisfies(request.needs) => Reason::NotLoaded,
                () => Reason::AllTried,
            };
            reason = weightier(reason, seen);
        }
        refusal(reason, Duration::ZERO)
    }
}

/// Of two reasons the one that tells the caller more.
fn weightier(a: Reason, b: Reason) -> Reason {
    let rank = |reason| match reason {
        Reason::NoHost | Reason::Unreachable => 0,
        Reason::Leaving => 1,
        Reason::NotLoaded => 2,
        Reason::AllTried | Reason::Busy => 3,
    };
    match rank(b) > rank(a) {
        true => b,
        false => a,
    }
}

fn refusal(reason: Reason, wait: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
    }
}
