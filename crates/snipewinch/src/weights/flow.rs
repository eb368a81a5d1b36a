//! Congestion control for chunk transfers over links that live calls share.
//!
//! A receiver-side form of LEDBAT (RFC 6817): the request rate grows while the
//! measured queueing delay is below a target and shrinks while it is above, so
//! that a transfer uses idle capacity and yields when live calls fill the link.
//! The receiver controls the rate, so the sender keeps no state for each
//! receiver.

use std::collections::VecDeque;
use std::time::Duration;

/// The smallest target delay, used where the links of hosts are unlimited.
const TARGET_DELAY_MIN: Duration = Duration::from_millis(15);
/// The largest target delay, the limit of RFC 6817.
const TARGET_DELAY_MAX: Duration = Duration::from_millis(100);
/// Chunks that a request may wait behind on the links of its two hosts: one at
/// each end.
const CHUNKS_AHEAD: f64 = 2.0;
/// The largest relative change of the rate by one delay sample.
const GAIN: f64 = 0.08;
/// Delay samples whose minimum is the current delay, so that a single late
/// answer does not count as a queue.
const FILTER_SAMPLES: usize = 4;
/// The interval over which one minimum of the base delay is taken.
const BASE_INTERVAL: Duration = Duration::from_secs(10);
/// Intervals whose smallest minimum is the base delay.
const BASE_INTERVALS: usize = 6;
/// The initial rate on a link of unknown speed.
const INITIAL_RATE_BYTES_PER_S: f64 = 250_000.0;
/// The lowest rate to which live calls reduce a transfer, as a fraction of its
/// maximum rate, or of the initial rate if the maximum is unknown.
const RATE_FRACTION_MIN: f64 = 0.1;

/// Controls the request rate of the transfers from one peer.
#[derive(Clone, Debug)]
pub struct Controller {
    rate_bytes_per_s: f64,
    max_bytes_per_s: Option<f64>,
    target_delay: Duration,
    next_request_at: Duration,
    recent_delays: VecDeque<Duration>,
    base_delays: VecDeque<Duration>,
    interval_end: Duration,
}

/// Returns the target queueing delay, up to which a delay is no sign of live
/// calls: the delay that chunks of `chunk_bytes` cause by themselves on hosts'
/// links of `bytes_per_s` (`None` if unlimited), plus `TARGET_DELAY_MIN` and at
/// most `TARGET_DELAY_MAX`.
pub fn target_delay(chunk_bytes: u32, bytes_per_s: Option<f64>) -> Duration {
    let chunk = bytes_per_s.map_or(0.0, |rate| f64::from(chunk_bytes) / rate);
    let chunks = Duration::try_from_secs_f64(CHUNKS_AHEAD * chunk).unwrap_or(TARGET_DELAY_MAX);
    (TARGET_DELAY_MIN + chunks).min(TARGET_DELAY_MAX)
}

impl Controller {
    /// Creates a controller that requests at most `max_bytes_per_s`, `None` if
    /// the link's rate is unknown, and aims at a queueing delay of
    /// `target_delay`.
    pub fn new(max_bytes_per_s: Option<f64>, target_delay: Duration) -> Controller {
        Controller {
            rate_bytes_per_s: max_bytes_per_s.unwrap_or(INITIAL_RATE_BYTES_PER_S),
            max_bytes_per_s,
            target_delay,
            next_request_at: Duration::ZERO,
            recent_delays: VecDeque::new(),
            base_delays: VecDeque::new(),
            interval_end: Duration::ZERO,
        }
    }

    /// Changes the maximum rate, in bytes per second.
    pub fn set_max(&mut self, max_bytes_per_s: Option<f64>) {
        if self.max_bytes_per_s == max_bytes_per_s {
            return;
        }
        self.max_bytes_per_s = max_bytes_per_s;
        if let Some(max_bytes_per_s) = max_bytes_per_s {
            self.rate_bytes_per_s = self
                .rate_bytes_per_s
                .clamp(max_bytes_per_s * RATE_FRACTION_MIN, max_bytes_per_s);
        }
    }

    /// Returns the current rate, in bytes per second.
    pub fn rate(&self) -> f64 {
        self.rate_bytes_per_s
    }

    /// Returns the time from which the next request may be sent.
    pub fn next_request_at(&self) -> Duration {
        self.next_request_at
    }

    /// Records a request for `bytes` sent at `now`.
    pub fn record_request(&mut self, now: Duration, bytes: u32) {
        let span = Duration::from_secs_f64(f64::from(bytes) / self.rate_bytes_per_s);
        self.next_request_at = self.next_request_at.max(now) + span;
    }

    /// Records the delay of an answer, without the time that the request waited
    /// in the upload queue of the sender.
    pub fn record_delay(&mut self, now: Duration, delay: Duration) {
        self.record_base(now, delay);
        self.recent_delays.push_back(delay);
        if self.recent_delays.len() > FILTER_SAMPLES {
            self.recent_delays.pop_front();
        }
        let base = self.base_delays.iter().min().copied().unwrap_or(delay);
        let current = self.recent_delays.iter().min().copied().unwrap_or(delay);
        let queueing = current.saturating_sub(base).as_secs_f64();
        let target = self.target_delay.as_secs_f64();
        let error = ((target - queueing) / target).clamp(-1.0, 1.0);
        self.rate_bytes_per_s *= 1.0 + GAIN * error;
        let min = self
            .max_bytes_per_s
            .map_or(INITIAL_RATE_BYTES_PER_S, |max_bytes_per_s| max_bytes_per_s)
            * RATE_FRACTION_MIN;
        self.rate_bytes_per_s = self.rate_bytes_per_s.max(min);
        if let Some(max_bytes_per_s) = self.max_bytes_per_s {
            self.rate_bytes_per_s = self.rate_bytes_per_s.min(max_bytes_per_s);
        }
    }

    fn record_base(&mut self, now: Duration, delay: Duration) {
        if now >= self.interval_end {
            self.interval_end = now + BASE_INTERVAL;
            self.base_delays.push_back(delay);
            if self.base_delays.len() > BASE_INTERVALS {
                self.base_delays.pop_front();
            }
        }
        if let Some(last) = self.base_delays.back_mut() {
            *last = delay.min(*last);
        }
    }
}
