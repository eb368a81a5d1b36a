//! A token bucket whose rate changes.

use std::time::Duration;

/// The time in which an empty bucket fills up, which bounds the burst.
const BURST: Duration = Duration::from_secs(2);
/// The wait that is reported while the rate is zero.
const WAIT_MAX: Duration = Duration::from_secs(3600);

/// Admits calls at a rate; starts full.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    tokens: Option<f64>,
    refilled_at: Duration,
}

impl Bucket {
    /// Takes a token, or returns the time until there is one. `rate` is in
    /// tokens per second and applies to the time since the last call.
    pub(super) fn take(&mut self, now: Duration, rate: f64) -> Result<(), Duration> {
        let capacity = (rate * BURST.as_secs_f64()).max(1.0);
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let tokens = match self.tokens {
            Some(tokens) => (tokens + elapsed * rate).min(capacity),
            None => capacity,
        };
        self.refilled_at = now;
        if tokens >= 1.0 {
            self.tokens = Some(tokens - 1.0);
            return Ok(());
        }
        self.tokens = Some(tokens);
        let wait = (1.0 - tokens) / rate;
        Err(Duration::try_from_secs_f64(wait).map_or(WAIT_MAX, |wait| wait.min(WAIT_MAX)))
    }
}
