//! Slows down guessing of operators' keys.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Wrong keys from one address within the window.
const ADDRESS_FAILURES_MAX: u32 = 5;
/// Wrong keys from all addresses within the window.
const TOTAL_FAILURES_MAX: u32 = 50;
/// How long a wrong key counts.
pub(crate) const WINDOW: Duration = Duration::from_secs(60);
/// Addresses that are remembered.
const ADDRESSES_MAX: usize = 1024;

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

/// Counts wrong keys.
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    total: Failures,
    by_address: HashMap<IpAddr, Failures>,
}

impl Throttle {
    /// Whether a key from this address is looked at now.
    pub(crate) fn allows(&self, now: Duration, address: IpAddr) -> bool {
        let by_this_address = self.by_address.get(&address);
        self.total.allows(now, TOTAL_FAILURES_MAX)
            && by_this_address.is_none_or(|failures| failures.allows(now, ADDRESS_FAILURES_MAX))
    }

    /// A key from this address was wrong.
    pub(crate) fn record_failure(&mut self, now: Duration, address: IpAddr) {
        self.total.record(now);
        if self.by_address.len() >= ADDRESSES_MAX {
            self.by_address
                .retain(|_, failures| now < failures.window_start + WINDOW);
        }
        // With too many addresses at once only the count of all holds.
        if self.by_address.len() < ADDRESSES_MAX || self.by_address.contains_key(&address) {
            self.by_address.entry(address).or_default().record(now);
        }
    }
}
