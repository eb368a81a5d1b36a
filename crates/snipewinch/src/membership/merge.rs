//! The one rule by which three sources make one state.
//!
//! For a host, of the newest incarnation that any source names:
//!
//! 1. leaving, if the process said so itself, or the list says so and the
//!    process did not start after the list first said it, or the list no longer
//!    has a host that it had;
//! 2. else live, if a link to it is up and not suspected;
//! 3. else suspect, if this process suspects it, or a peer says so and the host
//!    has not denied it with a higher count;
//! 4. else live.
//!
//! A process of which nothing was seen or heard for a while, on a host that the
//! list names, has perhaps been replaced: the address is the list's again, and
//! if its last word was that it leaves it counts as suspect, so that links are
//! tried to whoever stands there now.
//!
//! Own eyes go before hearsay, and the word of the host itself before both.
//! Nothing that is *not* said removes a host while the list can't be read.

use std::time::Duration;

use super::Member;
use super::Place;
use super::State;
use super::Word;
use crate::host;

/// After how long without a link or news the list's word on a host counts for
/// more than that of the process that was there.
pub(super) const REPLACED: Duration = Duration::from_secs(10);

/// A host on the list.
#[derive(Clone, Debug)]
pub(super) struct Listed {
    pub(super) member: Member,
    /// The incarnation known when the list first said that the host leaves.
    pub(super) leaving_since: Option<u64>,
    /// When the list's word on that last changed, on the list's clock; 0 if it
    /// has always been the same.
    pub(super) changed_ms: u64,
    /// The list had the host and a newer one has it no more.
    pub(super) gone: bool,
}

impl Listed {
    /// What peers are told of the list's word.
    pub(super) fn word(&self) -> Option<Word> {
        let word = Word {
            as_of_ms: self.changed_ms,
            leaving: self.leaving_since.is_some(),
        };
        (self.changed_ms > 0).then_some(word)
    }
}

/// What links and peers say of the newest process on a host.
#[derive(Clone, Debug)]
pub(super) struct Told {
    pub(super) incarnation: u64,
    pub(super) denials: u32,
    pub(super) state: State,
    pub(super) place: Place,
    /// The address may be used: it was told within this process's region.
    pub(super) address_known: bool,
}

/// All that is known of a host.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    pub(super) listed: Option<Listed>,
    pub(super) told: Option<Told>,
    /// Links that are up.
    pub(super) links: u32,
    /// Links that are up and not suspected.
    pub(super) sound: u32,
    /// Kept from being live again until then, for flapping.
    pub(super) held_until: Duration,
    /// When something was last known of the host other than from the list.
    pub(super) evidence_at: Duration,
}

impl Record {
    /// The host as the view shows it; none if nothing says that it is there.
    pub(super) fn member(&self, host: &host::Name, now: Duration) -> Option<Member> {
        let state = self.state(now);
        let listed = self.listed.as_ref();
        match (listed, &self.told) {
            // What the list no longer has stays only while it is linked.
            (Some(listed), _) if listed.gone && self.links == 0 => None,
            (Some(listed), None) => Some(Member {
                state,
                ..listed.member.clone()
            }),
            (listed, Some(told)) => {
                let place = &told.place;
                let address = match listed {
                    Some(listed) if !told.address_known || self.replaced(now) => {
                        listed.member.address
                    }
                    _ => place.address,
                };
                // Without the list's address for this region, a process of
                // another region can't be dialed.
                if listed.is_none() && !told.address_known && self.links == 0 {
                    return None;
                }
                Some(Member {
                    host: host.clone(),
                    role: place.role,
                    zone: place.zone.clone(),
                    region: place.region.clone(),
                    service: place.service.clone(),
                    address,
                    state,
                    incarnation: told.incarnation,
                })
            }
            (None, None) => None,
        }
    }

    pub(super) fn state(&self, now: Duration) -> State {
        let told = self.told.as_ref().map(|told| told.state);
        match told {
            _ if self.listed_leaving() => State::Leaving,
            Some(State::Leaving) if self.replaced(now) => State::Suspect,
            Some(State::Leaving) => State::Leaving,
            _ if now < self.held_until => State::Suspect,
            _ if self.sound > 0 => State::Live,
            _ if self.links > 0 => State::Suspect,
            Some(State::Suspect) => State::Suspect,
            Some(State::Live) | None => State::Live,
        }
    }

    /// Whether another process may stand there than the one that was heard.
    fn replaced(&self, now: Duration) -> bool {
        let listed = self.listed.as_ref();
        let named = listed.is_some_and(|l| !l.gone && l.leaving_since.is_none());
        named && self.links == 0 && now >= self.evidence_at + REPLACED
    }

    fn listed_leaving(&self) -> bool {
        let Some(listed) = &self.listed else {
            return false;
        };
        let incarnation = self.told.as_ref().map_or(0, |told| told.incarnation);
        match listed.leaving_since {
            Some(since) => incarnation <= since,
            None => listed.gone,
        }
    }
}
