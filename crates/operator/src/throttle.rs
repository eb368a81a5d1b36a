//! Rate limit on failed sign-ins, against guessing of operator keys.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// The number of failed sign-ins from one address within [`WINDOW`] after which
/// further attempts are refused.
const ADDRESS_FAILURES_MAX: u32 = 5;
/// The number of failed sign-ins from all addresses within [`WINDOW`] after
/// which further attempts are refused.
const TOTAL_FAILURES_MAX: u32 = 50;
/// The length of the window in which failures are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(60);
/// The most addresses that are counted separately.
const ADDRESSES_MAX: usize = 1024;

/// The failures in a window that starts with the first of them.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    window_start: Duration,
}

impl Failures {
    fn allows(&self, now: Duration, max: u32) -> bool {
        now >= self.window_start + WINDOW || self.count < max
    }

    fn record(&mut self, now: Duration) {
        if self.count == 0 || now >= self.window_start + WINDOW {
            *self = Failures {
                count: 0,
                window_start: now,
            };
        }
        self.count += 1;
    }
}

/// Counts failed sign-ins, in total and by address.
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    total: Failures,
    by_address: HashMap<IpAddr, Failures>,
}

impl Throttle {
    /// Returns whether a key from this address may be checked now.
    pub(crate) fn allows(&self, now: Duration, address: IpAddr) -> bool {
        let by_this_address = self.by_address.get(&address);
        self.total.allows(now, TOTAL_FAILURES_MAX)
            && by_this_address.is_none_or(|failures| failures.allows(now, ADDRESS_FAILURES_MAX))
    }

    /// Records that a key from this address was wrong.
    pub(crate) fn record_failure(&mut self, now: Duration, address: IpAddr) {
        self.total.record(now);
        if self.by_address.len() >= ADDRESSES_MAX {
            self.by_address
                .retain(|_, failures| now < failures.window_start + WINDOW);
        }
        // While the table is full of unexpired addresses, failures from further
        // addresses count only towards the total.
        if self.by_address.len() < ADDRESSES_MAX || self.by_address.contains_key(&address) {
            self.by_address.entry(address).or_default().record(now);
        }
    }
}
