//! Merges the membership list, links and gossip into one state for each host.
//!
//! The newest incarnation that any source reports on a host is
//!
//! 1. leaving, if it announced so itself, or if the list says so and it did not
//!    start after the list first said so, or if a newer list no longer has the
//!    host;
//! 2. else suspect, while flap damping holds it back;
//! 3. else live, if a link to it is up and not suspected;
//! 4. else suspect, if this process suspects it, or if a peer does and the host
//!    has not refuted it with a higher count;
//! 5. else live.
//!
//! The process on a listed host that had neither a link nor an update for a
//! while may have been replaced: the list's address is used again, and a
//! process that announced that it leaves counts as suspect, so that links are
//! tried to the process that runs there now.
//!
//! This process's own links take precedence over gossip, and the announcement
//! of the host itself over both. While the list cannot be read, no host on the
//! last one is removed because a source does not mention it.

use std::time::Duration;

use super::Endpoint;
use super::ListStatus;
use super::Member;
use super::State;
use crate::host;

/// How long a listed host may have neither a link nor an update before the list
/// takes precedence over the last known process on it.
pub(super) const REPLACED_AFTER: Duration = Duration::from_secs(10);

/// A host on the list.
#[derive(Clone, Debug)]
pub(super) struct Listing {
    pub(super) member: Member,
    /// The incarnation known when the list first said that the host is leaving;
    /// `u64::MAX` if none was. Later incarnations are not covered by the list.
    pub(super) leaving_incarnation: Option<u64>,
    /// When the list's leaving status last changed, on the list's clock; 0 if
    /// it never has.
    pub(super) changed_ms: u64,
    /// An older list had the host and the newest one does not.
    pub(super) removed: bool,
}

impl Listing {
    /// The list's status of the host as gossiped; none if it never changed.
    pub(super) fn status(&self) -> Option<ListStatus> {
        let status = ListStatus {
            as_of_ms: self.changed_ms,
            leaving: self.leaving_incarnation.is_some(),
        };
        (self.changed_ms > 0).then_some(status)
    }
}

/// What links and gossip report on the newest process on a host.
#[derive(Clone, Debug)]
pub(super) struct Process {
    pub(super) incarnation: u64,
    pub(super) refutations: u32,
    pub(super) state: State,
    pub(super) endpoint: Endpoint,
    /// The address was reported within this process's region and may be used.
    pub(super) address_usable: bool,
}

/// All that is known about a host.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    pub(super) listing: Option<Listing>,
    pub(super) process: Option<Process>,
    /// Links that are up.
    pub(super) links: u32,
    /// Links that are up and not suspected.
    pub(super) healthy_links: u32,
    /// Suspect until then because of flap damping.
    pub(super) damped_until: Duration,
    /// When a link or an update last gave evidence of the host.
    pub(super) last_observed: Duration,
}

impl Record {
    /// Returns the host as the view shows it; none if it is gone or cannot be
    /// reached.
    pub(super) fn member(&self, host: &host::Name, now: Duration) -> Option<Member> {
        let state = self.state(now);
        let listing = self.listing.as_ref();
        match (listing, &self.process) {
            // A host that left the list stays only while it has a link.
            (Some(listing), _) if listing.removed && self.links == 0 => None,
            (Some(listing), None) => Some(Member {
                state,
                ..listing.member.clone()
            }),
            (listing, Some(process)) => {
                let endpoint = &process.endpoint;
                let address = match listing {
                    Some(listing) if !process.address_usable || self.may_be_replaced(now) => {
                        listing.member.address
                    }
                    _ => endpoint.address,
                };
                // A process in another region cannot be dialed without the
                // list's address for this region.
                if listing.is_none() && !process.address_usable && self.links == 0 {
                    return None;
                }
                Some(Member {
                    host: host.clone(),
                    role: endpoint.role,
                    zone: endpoint.zone.clone(),
                    region: endpoint.region.clone(),
                    service: endpoint.service.clone(),
                    address,
                    state,
                    incarnation: process.incarnation,
                })
            }
            (None, None) => None,
        }
    }

    pub(super) fn state(&self, now: Duration) -> State {
        let reported = self.process.as_ref().map(|process| process.state);
        match reported {
            _ if self.listed_leaving() => State::Leaving,
            Some(State::Leaving) if self.may_be_replaced(now) => State::Suspect,
            Some(State::Leaving) => State::Leaving,
            _ if now < self.damped_until => State::Suspect,
            _ if self.healthy_links > 0 => State::Live,
            _ if self.links > 0 => State::Suspect,
            Some(State::Suspect) => State::Suspect,
            Some(State::Live) | None => State::Live,
        }
    }

    /// Whether another process may run on the host than the last known one.
    fn may_be_replaced(&self, now: Duration) -> bool {
        let listing = self.listing.as_ref();
        let listed = listing.is_some_and(|l| !l.removed && l.leaving_incarnation.is_none());
        listed && self.links == 0 && now >= self.last_observed + REPLACED_AFTER
    }

    fn listed_leaving(&self) -> bool {
        let Some(listing) = &self.listing else {
            return false;
        };
        let incarnation = self
            .process
            .as_ref()
            .map_or(0, |process| process.incarnation);
        match listing.leaving_incarnation {
            Some(leaving_incarnation) => incarnation <= leaving_incarnation,
            None => listing.removed,
        }
    }
}
