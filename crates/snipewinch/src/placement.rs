//! Whether a request may go to a backend server, and if not, why.
//!
//! Every way to a server asks this: demands for slots, slots that were granted, direct
//! picks, retries, further attempts, streams that go on elsewhere, and a connection
//! that has just been opened.

use std::time::Duration;

use crate::cold;
use crate::cutover;
use crate::server_limit::Admission;

/// Why a request may not go to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// Its route or its customer does not allow the server's region.
    Region,
    /// The server's availability zone is evacuated.
    Evacuated,
    /// The server leaves.
    Leaving,
    /// It wants no request of this entry for this long.
    Resting(Duration),
    /// It holds weights on which the request may not begin.
    OldWeights,
    /// It is cold and takes the next request after this time.
    Cold(Duration),
    /// It names a limit, of which this entry may use the next request after this time;
    /// none if only other entries may.
    Limited(Option<Duration>),
    /// The request was sent to it before, or may not share it with others.
    Apart,
}

impl Exclusion {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Exclusion::Region => "region",
            Exclusion::Evacuated => "evacuated",
            Exclusion::Leaving => "leaving",
            Exclusion::Resting(_) => "resting",
            Exclusion::OldWeights => "old_weights",
            Exclusion::Cold(_) => "cold",
            Exclusion::Limited(_) => "limited",
            Exclusion::Apart => "apart",
        }
    }

    /// Whether it can end while a request waits. One that can't is no reason to wait.
    pub fn is_passing(self) -> bool {
        matches!(
            self,
            Exclusion::Cold(_) | Exclusion::Limited(_) | Exclusion::OldWeights
        )
    }
}

/// What is known of a request and a server.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// Whether the route and the customer allow the server's region.
    pub region_allowed: bool,
    /// Whether the server's availability zone is evacuated.
    pub evacuated: bool,
    /// Whether the list, or the server itself, says that it leaves.
    pub leaving: bool,
    /// Whether the request must not share the server, or was sent to it before.
    pub apart: bool,
    /// What the limits and wishes of the server allow.
    pub limit: Admission,
    /// What its recent start allows.
    pub cold: cold::Admission,
    /// What its weights allow.
    pub weights: cutover::Verdict,
}

impl Facts {
    /// Whether the server is where the request may go.
    pub fn is_in_place(&self) -> bool {
        self.region_allowed && !self.evacuated
    }

    /// The reason why the request may not go to the server now, the most lasting one
    /// if there are several.
    ///
    /// # Errors
    ///
    /// The [`Exclusion`].
    pub fn check(&self) -> Result<(), Exclusion> {
        match (self.limit, self.cold) {
            _ if !self.region_allowed => Err(Exclusion::Region),
            _ if self.evacuated => Err(Exclusion::Evacuated),
            (Admission::Leaving, _) => Err(Exclusion::Leaving),
            _ if self.leaving => Err(Exclusion::Leaving),
            _ if self.apart => Err(Exclusion::Apart),
            (Admission::Resting(left), _) => Err(Exclusion::Resting(left)),
            (Admission::Elsewhere, _) => Err(Exclusion::Limited(None)),
            _ if self.weights == cutover::Verdict::Outdated => Err(Exclusion::OldWeights),
            (Admission::Later(wait), _) => Err(Exclusion::Limited(Some(wait))),
            (_, cold::Admission::Later(wait)) => Err(Exclusion::Cold(wait)),
            (Admission::Unlimited | Admission::Granted, _) => Ok(()),
        }
    }

    /// The same for a request that holds a slot of the server, and its share of what
    /// the server's limits and start allow.
    ///
    /// # Errors
    ///
    /// The [`Exclusion`].
    pub fn check_held(&self) -> Result<(), Exclusion> {
        let limit = match self.limit {
            Admission::Leaving | Admission::Resting(_) => self.limit,
            Admission::Unlimited
            | Admission::Granted
            | Admission::Later(_)
            | Admission::Elsewhere => Admission::Unlimited,
        };
        let held = Facts {
            apart: false,
            limit,
            cold: cold::Admission::Open,
            weights: cutover::Verdict::Current,
            ..*self
        };
        held.check()
    }
}
