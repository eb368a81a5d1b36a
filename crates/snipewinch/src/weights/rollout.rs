//! Decides without a leader which hosts may reload now.
//!
//! The backend servers of a service are ordered by rendezvous hash of the
//! manifest and split round-robin into as many chains as may reload at once.
//! Each waits until its predecessor in the chain has confirmed the version, so
//! no more reload at once than there are chains, and each watches one other
//! host however many there are.

use std::cmp::Reverse;
use std::time::Duration;

use smol_str::SmolStr;

use crate::Digest;
use crate::host;
use crate::host::Role;
use crate::membership::Member;
use crate::membership::State;
use crate::membership::View;
use crate::weights::plan::Candidate;
use crate::weights::plan::weight;

/// How long to wait for a predecessor that is up and does not confirm.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(60);
/// Separates this order from other uses of the same hash.
const HASH_DOMAIN: &[u8] = b"rollout";

/// How many backend servers of a service may reload at once.
pub fn width(count: usize, percent: u8) -> usize {
    (count * usize::from(percent.min(100)) / 100).max(1)
}

/// How long a host that has returned may wait for its turn once all chunks are
/// there.
pub const RETURN_WINDOW: Duration = Duration::from_secs(1);

/// How far a version has come, as one host sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Progress {
    /// How long ago it was published; `None` if that is not known.
    pub published: Option<Duration>,
    /// How long ago all its chunks were first on this host.
    pub complete: Duration,
    /// How long the process has been running.
    pub uptime: Duration,
}

impl Progress {
    /// Over how long the reloads of the service are spread from when all chunks
    /// are there, if the last one starts `bound` after the version is published.
    ///
    /// A process that started after that doesn't know which turns are over. Its
    /// backend server has waited for it already.
    pub fn window(self, bound: Duration) -> Duration {
        match self.published {
            None => RETURN_WINDOW,
            Some(published) => {
                let window = bound.saturating_sub(published.saturating_sub(self.complete));
                match published >= self.uptime {
                    true => window.min(RETURN_WINDOW),
                    false => window,
                }
            }
        }
    }

    /// The same if the last reload also has to start `left` from now. That is
    /// sooner if the engine skips a version: what it holds may be used for the
    /// bound after the skipped version was published, and not after this one.
    pub fn window_within(self, bound: Duration, left: Duration) -> Duration {
        self.window(bound).min(self.complete + left)
    }
}

/// How long after all chunks of a version are on this host it may take its
/// backend server out of service to load them, so that not all do so at once.
/// The delays of all hosts of the service are spread evenly over `window`; no
/// host waits for another.
pub fn reload_delay(
    view: &View,
    me: &host::Name,
    service: &SmolStr,
    manifest: &Digest,
    window: Duration,
) -> Duration {
    let own = weight(manifest, HASH_DOMAIN, me);
    let others = view
        .members
        .iter()
        .filter(|one| one.role == Role::Agent && one.service.as_ref() == Some(service))
        .filter(|one| one.state != State::Leaving && one.host != *me);
    let (mut ahead, mut count) = (0_u32, 1_u32);
    for other in others {
        ahead += u32::from(weight(manifest, HASH_DOMAIN, &other.host) > own);
        count += 1;
    }
    window.mul_f64(f64::from(ahead) / f64::from(count))
}

/// The predecessors of `me` in its chain, the nearest first.
pub fn predecessors(
    view: &View,
    me: &host::Name,
    service: &SmolStr,
    manifest: &Digest,
    percent: u8,
) -> Vec<Candidate> {
    let mut order: Vec<&Member> = view
        .members
        .iter()
        .filter(|one| one.role == Role::Agent && one.service.as_ref() == Some(service))
        .filter(|one| one.state != State::Leaving || one.host == *me)
        .collect();
    order.sort_by_cached_key(|one| Reverse(weight(manifest, HASH_DOMAIN, &one.host)));
    let Some(own) = order.iter().position(|one| one.host == *me) else {
        return Vec::new();
    };
    let width = width(order.len(), percent);
    (0..own)
        .rev()
        .filter(|index| (own - index) % width == 0)
        .map(|index| Candidate {
            host: order[index].host.clone(),
            address: order[index].address,
        })
        .collect()
}

/// The status of a predecessor in the chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Its engine has confirmed the version.
    Confirmed,
    /// It is up and its engine has not confirmed the version.
    Pending,
    /// There is no link to it.
    Absent,
}

/// How long to wait for a predecessor without a link: the link may still be
/// established.
pub const ABSENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether this host may reload after it `waited`, given the statuses of its
/// predecessors, the nearest first.
///
/// An absent host does not answer calls either, so it delays the chain only
/// until its absence is certain.
pub fn may_reload(statuses: &[Status], waited: Duration) -> bool {
    for status in statuses {
        match status {
            Status::Confirmed => return true,
            Status::Pending => return waited >= CONFIRM_TIMEOUT,
            Status::Absent if waited < ABSENT_TIMEOUT => return false,
            Status::Absent => {}
        }
    }
    true
}
