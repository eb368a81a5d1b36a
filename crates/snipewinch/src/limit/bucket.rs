//! A token bucket whose rate changes.

use std::time::Duration;

/// How much of its rate a bucket saves up.
const BURST: Duration = Duration::from_secs(2);
/// The wait that is named while there is no rate at all.
const FOREVER: Duration = Duration::from_secs(3600);

/// Lets calls pass at a rate; starts full.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    tokens: Option<f64>,
    filled: Duration,
}

impl Bucket {
    /// Takes a token, or says when there will be one. `rate` is in tokens a
    /// second and holds since the last call.
    pub(super) fn take(&mut self, now: Duration, rate: f64) -> Result<(), Duration> {
        let most = (rate * BURST.as_secs_f64()).max(1.0);
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        let tokens = match self.tokens {
            Some(tokens) => (tokens + passed * rate).min(most),
            None => most,
        };
        self.filled = now;
        if tokens >= 1.0 {
            self.tokens = Some(tokens - 1.0);
            return Ok(());
        }
        self.tokens = Some(tokens);
        let wait = (1.0 - tokens) / rate;
        Err(Duration::try_from_secs_f64(wait).map_or(FOREVER, |wait| wait.min(FOREVER)))
    }
}
