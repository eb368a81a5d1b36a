//! A shared rate limit without bursts.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// How far the pace may catch up after a late wake-up.
const CATCH_UP: Duration = Duration::from_millis(4);

/// Bytes a second for one megabit a second.
pub const BYTES_PER_MBIT: f64 = 125_000.0;

/// A rate shared by all that take from it, first come first served.
#[derive(Debug)]
pub struct RateLimiter {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    next: Instant,
    bytes_per_second: f64,
}

impl RateLimiter {
    /// A pace in bytes a second; 0 means without limit.
    pub fn new(bytes_per_second: f64) -> RateLimiter {
        RateLimiter {
            state: Mutex::new(State {
                next: Instant::now(),
                bytes_per_second,
            }),
        }
    }

    /// Changes the rate; 0 means without limit.
    pub fn set_rate(&self, bytes_per_second: f64) {
        self.state.lock().bytes_per_second = bytes_per_second;
    }

    /// Waits until `bytes` have had their turn.
    pub async fn acquire(&self, bytes: usize) {
        let turn = self.reserve(bytes);
        if turn > Instant::now() {
            tokio::time::sleep_until(turn).await;
        }
    }

    fn reserve(&self, bytes: usize) -> Instant {
        let mut state = self.state.lock();
        let now = Instant::now();
        if state.bytes_per_second <= 0.0 {
            return now;
        }
        let earliest = now.checked_sub(CATCH_UP).unwrap_or(now);
        let span = Duration::from_secs_f64(bytes as f64 / state.bytes_per_second);
        state.next = state.next.max(earliest) + span;
        state.next
    }
}
