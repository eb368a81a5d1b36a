//! Who may reload now, decided without a leader.
//!
//! The backend servers of a service stand in one order, by rendezvous hash of
//! the manifest, and are dealt into as many chains as may reload at once. Each
//! waits until the one before it in its chain has confirmed the version, so
//! that no more reload at once than there are chains, and each watches one
//! other host however many there are.

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

/// How long to wait for a host that is up and does not confirm.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_secs(60);
/// The purpose of the order among other uses of the hash.
const PURPOSE: &[u8] = b"rollout";

/// How many backend servers of a service may reload at once.
pub fn width(count: usize, percent: u8) -> usize {
    (count * usize::from(percent.min(100)) / 100).max(1)
}

/// How long after a version is named this host may take its backend server out
/// to load it, so that not all do so at once. The turns of all hosts that serve
/// together are spread evenly over `window`; none waits for another.
pub fn reload_delay(
    view: &View,
    me: &host::Name,
    service: &SmolStr,
    manifest: &Digest,
    window: Duration,
) -> Duration {
    let own = weight(manifest, PURPOSE, me);
    let others = view
        .members
        .iter()
        .filter(|one| one.role == Role::Agent && one.service.as_ref() == Some(service))
        .filter(|one| one.state != State::Leaving && one.host != *me);
    let (mut ahead, mut count) = (0_u32, 1_u32);
    for other in others {
        ahead += u32::from(weight(manifest, PURPOSE, &other.host) > own);
        count += 1;
    }
    window.mul_f64(f64::from(ahead) / f64::from(count))
}

/// The hosts before `me` in its chain, the nearest first.
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
    order.sort_by_cached_key(|one| Reverse(weight(manifest, PURPOSE, &one.host)));
    let Some(own) = order.iter().position(|one| one.host == *me) else {
        return Vec::new();
    };
    let width = width(order.len(), percent);
    (0..own)
        .rev()
        .filter(|place| (own - place) % width == 0)
        .map(|place| Candidate {
            host: order[place].host.clone(),
            address: order[place].address,
        })
        .collect()
}

/// What is seen of a host further ahead in the chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// Its engine has confirmed the version.
    Confirmed,
    /// It is up and its engine has not.
    Pending,
    /// There is no link to it.
    Absent,
}

/// How long a host without a link is waited for: its link may be coming.
pub const ABSENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether this host may reload, after `waited` for its turn, given what is
/// seen of those before it, the nearest first.
///
/// A host that is not there does not answer calls either, so it holds up the
/// chain no longer than it takes to be sure.
pub fn may_reload(seen: &[Status], waited: Duration) -> bool {
    for one in seen {
        match one {
            Status::Confirmed => return true,
            Status::Pending => return waited >= CONFIRM_TIMEOUT,
            Status::Absent if waited < ABSENT_TIMEOUT => return false,
            Status::Absent => {}
        }
    }
    true
}
