//! Orders to the engine, which may be accepted after they were given up.
//!
//! An order without an answer may be accepted at any later time, with the chunks
//! that are staged then, while its precondition holds: the engine has accepted no
//! other order since. No chunk of another version may be staged until that is ruled
//! out, so an order is repeated, under the same precondition, until the engine has
//! accepted one.

use std::ops::Range;

use bytes::Bytes;
use platform::engine;
use platform::engine::Outcome;
use platform::engine::Report;
use tokio::time::sleep;

use super::Loader;
use super::POLL_INTERVAL;
use super::Timestamp;
use super::VERIFICATION_AGE_MAX;
use crate::agent::chunks::KnownVersion;

/// A state of the engine in which orders are accepted that expect it. It ends with
/// the next order that the engine accepts and with its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Revision {
    /// When the engine started.
    pub(super) started_ms: u64,
    /// The number of orders that it had accepted.
    pub(super) accepted_orders: u64,
}

impl Revision {
    pub(super) fn of(report: &Report) -> Revision {
        Revision {
            started_ms: report.started_ms,
            accepted_orders: report.accepted_orders,
        }
    }
}

/// The order that an earlier process of the agent may have left behind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Inherited {
    /// The staged chunks, which could tell, were not read yet.
    Unknown,
    /// An order may be accepted in this state of the engine.
    Possible {
        revision: Revision,
        /// The version that it would load; 0 if that is not known.
        version: u64,
    },
    /// No order is left.
    Excluded,
}

impl Inherited {
    /// Whether an engine with this report may accept such an order for another version
    /// than `staged`.
    pub(super) fn conflicts(self, report: &Report, staged: u64) -> bool {
        match self {
            Inherited::Unknown => true,
            Inherited::Possible { revision, version } => {
                version != staged && revision == Revision::of(report)
            }
            Inherited::Excluded => false,
        }
    }
}

impl Loader {
    /// Orders the engine to load a version whose chunks are staged, or the given
    /// layers of it. Returns whether it has accepted an order; if not, it will not
    /// accept this one any more.
    pub(super) async fn order_load(
        &self,
        known: &KnownVersion,
        all: &[Bytes],
        layers: Option<Range<u32>>,
        expected: Revision,
        staged_at: Timestamp,
    ) -> bool {
        let version = known.target.version;
        let engine = &self.agent.engine;
        let mut verified_at = staged_at;
        // Whether an order has had no answer, so that it may be accepted later.
        let mut is_unconfirmed = false;
        loop {
            if self.verify_in_time(known, all, &mut verified_at).await {
                let load = engine::Load {
                    model: &known.target.model,
                    version,
                    layers: layers.clone(),
                    accepted_orders: expected.accepted_orders,
                    truncates: true,
                };
                match engine.load(load).await {
                    Ok(Outcome::Started | Outcome::AlreadyLoaded) => {
                        log::info!("E7233 engine accepted the order to load version {version}");
                        return true;
                    }
                    Ok(Outcome::Conflict) => log::info!(
                        "E7234 engine rejected the order as its state has changed; retrying"
                    ),
                    Err(error) => {
                        is_unconfirmed |= error.may_take_effect();
                        log::warn!(
                            "E7235 order to load version {version} was not confirmed: {error}"
                        );
                    }
                }
            } else if !is_unconfirmed {
                return false;
            }
            sleep(POLL_INTERVAL).await;
            // Only a report that was requested after the order can tell.
            match engine.report().await.map(|report| Revision::of(&report)) {
                Ok(now) if now.started_ms != expected.started_ms => return false,
                Ok(now) if now != expected => return true,
                Ok(_) if !is_unconfirmed => return false,
                Ok(_) | Err(_) => {}
            }
        }
    }

    /// Verifies the staged chunks if they were staged or verified too long ago; false
    /// if that failed.
    async fn verify_in_time(
        &self,
        known: &KnownVersion,
        all: &[Bytes],
        verified_at: &mut Timestamp,
    ) -> bool {
        while verified_at.age_max(&self.agent.clock) > VERIFICATION_AGE_MAX {
            let started = Timestamp::now(&self.agent.clock);
            if !self.verify_staged(known, all).await {
                return false;
            }
            *verified_at = started;
        }
        true
    }
}
