//! Chooses the host for a call.

use std::time::Duration;

use super::Key;
use super::LOCALITIES;
use super::Locality;
use super::Reason;
use super::Refusal;
use super::Request;
use super::Service;
use super::Table;
use super::affinity;
use super::host_state::HostState;
use crate::mix;
use crate::mix::Rng;

/// The load of a nearer host below which farther hosts are not considered.
const SPILLOVER_LOAD: f64 = 0.8;
/// How far the load of a farther host must be below that of the nearer one.
const SPILLOVER_MARGIN: f64 = 0.25;
/// How far the load of a host chosen by prompt prefix may be above the average,
/// as a fraction of the average.
const AFFINITY_SLACK: f64 = 0.25;
/// The largest number of calls on a host, as a multiple of its capacity.
const LOAD_MAX: f64 = 3.0;
/// Random draws before the candidates are searched in order.
const DRAWS_MAX: usize = 8;
/// The shortest Retry-After of a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The longest Retry-After of a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Which hosts may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Candidates {
    /// Hosts that are not suspect, ejected or refusing calls.
    Ready,
    /// Those as well; used if no ready host can take the call.
    Any,
}

#[derive(Clone, Copy, Debug)]
struct Choice {
    key: Key,
    load: f64,
    by_prefix: bool,
}

impl Table {
    /// Chooses the host for a call.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no host can take the call; nothing has been
    /// sent in that case.
    pub fn pick(
        &mut self,
        now: Duration,
        request: &Request<'_>,
    ) -> std::result::Result<Key, Refusal> {
        let Some(service) = self.services.get(request.service) else {
            return Err(refusal(Reason::NoHost, Duration::ZERO));
        };
        let mut rng = Rng::new(request.seed);
        let found = [Candidates::Ready, Candidates::Any]
            .into_iter()
            .find_map(|candidates| self.nearest(now, request, service, candidates, &mut rng));
        let Some((choice, locality)) = found else {
            return Err(self.refusal_for(request, service));
        };
        let state = &self.hosts[choice.key];
        let wait = state.expected_wait(now);
        let late = request.wait_max.is_some_and(|wait_max| wait > wait_max);
        if late || state.estimated_calls(now) >= state.capacity() * LOAD_MAX {
            return Err(refusal(Reason::Busy, wait));
        }
        self.counts.picked[locality as usize] += 1;
        self.counts.by_prefix += u64::from(choice.by_prefix);
        Ok(choice.key)
    }

    /// The best host of the nearest locality, or of a farther one if that is
    /// clearly less loaded.
    fn nearest(
        &self,
        now: Duration,
        request: &Request<'_>,
        service: &Service,
        candidates: Candidates,
        rng: &mut Rng,
    ) -> Option<(Choice, Locality)> {
        let mut best: Option<(Choice, Locality)> = None;
        for locality in LOCALITIES {
            let keys = &service.linked[locality as usize];
            let Some(choice) = self.choose(now, request, keys, candidates, rng) else {
                continue;
            };
            best = match best {
                Some((nearer, _)) if choice.load + SPILLOVER_MARGIN >= nearer.load => best,
                _ => Some((choice, locality)),
            };
            if best.is_some_and(|(choice, _)| choice.load < SPILLOVER_LOAD) {
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
        candidates: Candidates,
        rng: &mut Rng,
    ) -> Option<Choice> {
        if !request.prefixes.is_empty()
            && let Some(choice) = self.by_prefix(now, request, keys, candidates)
        {
            return Some(choice);
        }
        let first = self.draw_host(now, request, keys, candidates, rng, None)?;
        let second = self.draw_host(now, request, keys, candidates, rng, Some(first));
        let first = self.choice_of(now, first);
        let second = second.map(|key| self.choice_of(now, key));
        Some(match second {
            Some(second) if second.load < first.load => second,
            _ => first,
        })
    }

    fn choice_of(&self, now: Duration, key: Key) -> Choice {
        Choice {
            key,
            load: self.hosts[key].load(now),
            by_prefix: false,
        }
    }

    /// A random candidate other than `excluded`.
    fn draw_host(
        &self,
        now: Duration,
        request: &Request<'_>,
        keys: &[Key],
        candidates: Candidates,
        rng: &mut Rng,
        excluded: Option<Key>,
    ) -> Option<Key> {
        if keys.is_empty() {
            return None;
        }
        let is_candidate = |key: &Key| {
            Some(*key) != excluded
                && self.is_candidate(now, request, *key, &self.hosts[*key], candidates)
        };
        let drawn = (0..DRAWS_MAX).find_map(|_| {
            let key = keys[rng.below(keys.len())];
            is_candidate(&key).then_some(key)
        });
        if drawn.is_some() {
            return drawn;
        }
        let start = rng.below(keys.len());
        let (head, tail) = keys.split_at(start);
        tail.iter().chain(head).copied().find(is_candidate)
    }

    fn is_candidate(
        &self,
        now: Duration,
        request: &Request<'_>,
        key: Key,
        state: &HostState,
        candidates: Candidates,
    ) -> bool {
        !state.is_leaving()
            && (candidates == Candidates::Any || state.is_ready(now))
            && !request.tried.contains(&key)
            && state.satisfies(request.needs)
    }

    /// The host that likely holds the longest prefix of the call, or else the
    /// one to which rendezvous hashing assigns the shortest prefix. Only hosts
    /// within the bound of [`AFFINITY_SLACK`] are taken.
    fn by_prefix(
        &self,
        now: Duration,
        request: &Request<'_>,
        keys: &[Key],
        candidates: Candidates,
    ) -> Option<Choice> {
        let mut load_sum = 0.0;
        let mut count = 0.0;
        let is_candidate =
            |key: &Key| self.is_candidate(now, request, *key, &self.hosts[*key], candidates);
        for key in keys.iter().filter(|key| is_candidate(key)) {
            load_sum += self.hosts[*key].load(now);
            count += 1.0;
        }
        let bound = load_sum / count * (1.0 + AFFINITY_SLACK);
        let within_bound = |key: Key| {
            let state = &self.hosts[key];
            // An idle host is always within the bound.
            let load = state.load(now);
            (load <= bound || state.estimated_calls(now) < 1.0).then_some(Choice {
                key,
                load,
                by_prefix: true,
            })
        };
        let hinted = request
            .prefixes
            .iter()
            .flat_map(|&prefix| self.affinity.holders(now, prefix))
            .filter(|key| keys.contains(key) && is_candidate(key))
            .find_map(within_bound);
        if hinted.is_some() {
            return hinted;
        }
        let prefix = affinity::short_hash(*request.prefixes.last()?);
        keys.iter()
            .filter(|key| is_candidate(key))
            .filter_map(|&key| within_bound(key))
            .max_by_key(|choice| mix::combine(self.hosts[choice.key].name_hash, prefix))
    }

    fn refusal_for(&self, request: &Request<'_>, service: &Service) -> Refusal {
        let mut reason = Reason::Unreachable;
        for &key in service.linked.iter().flatten() {
            let state = &self.hosts[key];
            let found = match () {
                () if state.is_leaving() => Reason::Leaving,
                () if !state.satisfies(request.needs) => Reason::NotLoaded,
                () => Reason::AllTried,
            };
            reason = more_specific(reason, found);
        }
        refusal(reason, Duration::ZERO)
    }
}

/// The more specific of two reasons, for the caller.
fn more_specific(a: Reason, b: Reason) -> Reason {
    let specificity = |reason| match reason {
        Reason::NoHost | Reason::Unreachable => 0,
        Reason::Leaving => 1,
        Reason::NotLoaded => 2,
        Reason::AllTried | Reason::Busy => 3,
    };
    match specificity(b) > specificity(a) {
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
