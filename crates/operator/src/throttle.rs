//! Slows down guessing of operators' keys.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Wrong keys from one address within the window.
const WRONG_MAX: u32 = 5;
/// Wrong keys from all addresses within the window.
const WRONG_ALL_MAX: u32 = 50;
/// How long a wrong key counts.
pub(crate) const WINDOW: Duration = Duration::from_secs(60);
/// Addresses that are remembered.
const ADDRESSES_MAX: usize = 1024;

#[derive(Clone, Copy, Debug, Default)]
struct Wrong {
    count: u32,
    since: Duration,
}

impl Wrong {
    fn allows(&self, now: Duration, max: u32) -> bool {
        now >= self.since + WINDOW || self.count < max
    }

    fn add(&mut self, now: Duration) {
        if self.count == 0 || now >= self.since + WINDOW {
            *self = Wrong {
                count: 0,
                since: now,
            };
        }
        self.count += 1;
    }
}

/// Counts wrong keys.
#[derive(Debug, Default)]
pub(crate) struct Throttle {
    all: Wrong,
    by_address: HashMap<IpAddr, Wrong>,
}

impl Throttle {
    /// Whether a key from this address is looked at now.
    pub(crate) fn allows(&self, now: Duration, address: IpAddr) -> bool {
        let one = self.by_address.get(&address);
        self.all.allows(now, WRONG_ALL_MAX) && one.is_none_or(|wrong| wrong.allows(now, WRONG_MAX))
    }

    /// A key from this address was wrong.
    pub(crate) fn count_wrong(&mut self, now: Duration, address: IpAddr) {
        self.all.add(now);
        if self.by_address.len() >= ADDRESSES_MAX {
            self.by_address
                .retain(|_, wrong| now < wrong.since + WINDOW);
        }
        // With too many addresses at once only the count of all holds.
        if self.by_address.len() < ADDRESSES_MAX || self.by_address.contains_key(&address) {
            self.by_address.entry(address).or_default().add(now);
        }
    }
}
