//! How many slots an agent may grant while requests do not arrive at its engine.
//!
//! An engine behind a full link looks idle, so its slots are granted at once, and
//! what is sent for them is held up. The agent sees how many requests its engine has
//! and how many slots entries hold; what lies between is on the way. If that stays
//! much, further slots would only hold up more requests, which other engines could
//! serve.

use std::time::Duration;

/// The fraction of the slots that may be on the way for any time: requests that have
/// just been sent, and answers that have just ended.
const SLOTS_FRACTION: u32 = 4;
/// The fewest slots that may, and how many may while slots are withheld.
const SLOTS_MIN: u32 = 2;
/// How long more slots may be on the way: many round trips between any two regions.
const TIME_MAX: Duration = Duration::from_millis(300);
/// How long slots are withheld after too many were on the way.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// The slots that are granted and not in use at the engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Transit {
    /// Since when there are too many.
    since: Option<Duration>,
    /// Until when slots are withheld.
    until: Option<Duration>,
}

impl Transit {
    /// How many of `slots` may be granted in all, if entries hold `in_use` and the
    /// engine has `at_engine` requests.
    pub fn capacity(&mut self, now: Duration, slots: u32, in_use: u64, at_engine: u64) -> u32 {
        let allowed = u64::from((slots / SLOTS_FRACTION).max(SLOTS_MIN));
        match in_use > at_engine.saturating_add(allowed) {
            true => {
                let since = *self.since.get_or_insert(now);
                if now.saturating_sub(since) > TIME_MAX {
                    self.until = Some(now + RECOVERY_TIME);
                }
            }
            false => self.since = None,
        }
        match self.until {
            Some(until) if now < until => {
                let most = at_engine.saturating_add(SLOTS_MIN.into());
                most.min(slots.into()) as u32
            }
            Some(_) | None => slots,
        }
    }
}
