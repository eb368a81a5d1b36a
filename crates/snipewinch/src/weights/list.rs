//! When an agent reads the list of a version's chunks from the origin.
//!
//! Agents of a region stand in the order of [`plan::rank`](super::plan::rank).
//! If all of them asked an origin that does not answer, their requests would
//! meet it together when it is back; if none asked often, its link would be idle
//! then.

use std::time::Duration;

/// How much later than its predecessor an agent reads a new list. By then most
/// have it from another agent, which takes a new link and a few round trips.
const STAGGER: Duration = Duration::from_millis(100);
/// Agents of a region that ask often while the origin does not answer. The
/// second one asks in case the first one is gone.
const ASKERS: usize = 2;
/// The mean delay between two requests of those.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest mean delay between two requests of the others, which get the list
/// from the askers.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);

/// How long an agent before which `rank` others of its region stand waits for
/// the list from another agent before it reads it, after so many failures in a
/// row; `jitter` is between 0 and 1.
pub fn read_delay(rank: usize, failures: u32, jitter: f64) -> Duration {
    let mean = match failures {
        0 => return STAGGER * rank as u32,
        _ if rank < ASKERS => ASK_INTERVAL,
        failures => (ASK_INTERVAL * 2_u32.saturating_pow(failures.min(8))).min(RETRY_DELAY_MAX),
    };
    mean.mul_f64(0.5 + jitter)
}
