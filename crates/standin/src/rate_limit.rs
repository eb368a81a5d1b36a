//! A shared rate limit without bursts.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// How much unused time a reservation may start in the past. It makes up for
/// late wake-ups without allowing a burst after an idle period.
const CATCH_UP_MAX: Duration = Duration::from_millis(4);

/// Bytes per second in one megabit per second.
pub const BYTES_PER_MBIT: f64 = 125_000.0;

/// A rate limit shared by all its users, in order of arrival.
#[derive(Debug)]
pub struct RateLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    next_free_at: Instant,
    bytes_per_second: f64,
}

impl RateLimiter {
    /// Creates a limiter with a rate in bytes per second; 0 means unlimited.
    pub fn new(bytes_per_second: f64) -> RateLimiter {
        RateLimiter {
            state: Mutex::new(State {
                next_free_at: Instant::now(),
                bytes_per_second,
            }),
        }
    }

    /// Sets the rate in bytes per second; 0 means unlimited.
    pub fn set_rate(&self, bytes_per_second: f64) {
        self.state.lock().bytes_per_second = bytes_per_second;
    }

    /// Reserves the next `bytes` of the rate and waits until they are due.
    pub async fn acquire(&self, bytes: usize) {
        let due = self.reserve(bytes);
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
    }

    /// Reserves the next `bytes` of the rate and returns the time at which the
    /// last of them is due.
    fn reserve(&self, bytes: usize) -> Instant {
        let mut state = self.state.lock();
        let now = Instant::now();
        if state.bytes_per_second <= 0.0 {
            return now;
        }
        let earliest_start = now.checked_sub(CATCH_UP_MAX).unwrap_or(now);
        let duration = Duration::from_secs_f64(bytes as f64 / state.bytes_per_second);
        state.next_free_at = state.next_free_at.max(earliest_start) + duration;
        state.next_free_at
    }
}
