//! An adaptive concurrency limit, derived from latency.
//!
//! A [`Limit`] compares the recent latency with the latency of the same work
//! without a queue, the base latency. The limit grows by a few calls while the
//! latency stays near the base (the additive increase of Chiu and Jain,
//! "Analysis of the increase and decrease algorithms for congestion avoidance",
//! 1989) and shrinks in proportion once the latency shows a queue, as TCP Vegas
//! does before packets are lost (Brakmo and Peterson, "TCP Vegas: end to end
//! congestion avoidance on a global Internet", 1995). A refusal or a timeout
//! shrinks it at once.
//!
//! The base latency falls whenever the latency does. It rises only by a probe:
//! from time to time the limit is lowered until the queue is empty, and the
//! latency is measured then, as BBR does (Cardwell and others, "BBR:
//! congestion-based congestion control", 2016). A base latency that followed
//! every rise would include the latency of a standing queue.
//!
//! Record the time to the first byte, not the time to the end of the answer:
//! answers differ in length.

use std::time::Duration;

/// The multiple of the base latency up to which the limit does not shrink.
const LATENCY_TOLERANCE: f64 = 1.25;
/// The lower bound of the latency gradient, which is the factor of the limit
/// that one window aims at.
const GRADIENT_MIN: f64 = 0.5;
/// The factor by which a refusal or a timeout shrinks the limit.
const BACKOFF_FACTOR: f64 = 0.9;
/// The queue length that the limit aims at, as a multiple of its square root.
const QUEUE_FACTOR: f64 = 0.5;
/// The weight of the newest window in the limit.
const SMOOTHING: f64 = 0.2;
/// The weight of a window of lower latency in the base latency.
const BASE_SMOOTHING: f64 = 0.1;
/// The time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);
/// The time to the first probe, and to the next one while probes still find a
/// lower base latency.
const PROBE_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// The factor of the limit that a probe allows.
const PROBE_FACTOR: f64 = 0.4;
/// A probe that lowers the base latency by less than this factor has found it.
const PROBE_CONVERGED_FACTOR: f64 = 1.2;
/// The time after which a probe without enough samples is abandoned.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);
/// The minimum number of samples in a window.
const WINDOW_SAMPLES_MIN: u32 = 16;
/// The minimum length of a window.
const WINDOW_DURATION_MIN: Duration = Duration::from_millis(100);
/// The fraction of the limit that must be in use for the limit to grow.
const USED_FRACTION_MIN: f64 = 0.5;

/// The outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sample {
    /// It was answered, and its first byte arrived after this time.
    Answered(Duration),
    /// It was answered, but the first byte arrived with the end, so that the
    /// latency depends on the length of the answer and shows no queue.
    Untimed,
    /// It was refused for lack of capacity or timed out.
    Dropped,
    /// It ended in another way, unrelated to the load.
    Ignored,
}

/// The maximum number of calls that should run at once.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    min: f64,
    max: f64,
    limit: f64,
    /// The smoothed latency without a queue, in seconds; 0 before the first
    /// window.
    base_latency_s: f64,
    window: Window,
    last_backoff_at: Duration,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The limit adapts to the latency.
    Adapt {
        /// The time of the next probe.
        probe_at: Duration,
    },
    /// The limit is lowered to measure the base latency.
    Probe {
        /// Samples before this time are of calls that began before the probe.
        measure_from: Duration,
        /// The time at which the probe is abandoned.
        expires: Duration,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start: Duration,
    latency_sum_s: f64,
    samples: u32,
    running_max: u32,
}

impl Limit {
    /// Creates a limit that starts at `initial` and stays between `min` and
    /// `max`.
    pub fn new(initial: u32, min: u32, max: u32) -> Limit {
        let min = f64::from(min.max(1));
        let max = f64::from(max).max(min);
        Limit {
            min,
            max,
            limit: f64::from(initial).clamp(min, max),
            base_latency_s: 0.0,
            window: Window::default(),
            last_backoff_at: Duration::ZERO,
            phase: Phase::Adapt {
                probe_at: PROBE_RETRY_INTERVAL,
            },
        }
    }

    /// The maximum number of calls that should run at once now.
    pub fn get(&self) -> u32 {
        let limit = match self.phase {
            Phase::Adapt { .. } => self.limit,
            Phase::Probe { .. } => (self.limit * PROBE_FACTOR).max(self.min),
        };
        limit as u32
    }

    /// Sets the bounds of the limit.
    pub fn set_bounds(&mut self, min: u32, max: u32) {
        self.min = f64::from(min.max(1));
        self.max = f64::from(max).max(self.min);
        self.limit = self.limit.clamp(self.min, self.max);
    }

    /// Records the end of a call while `running` calls ran, itself included.
    pub fn record(&mut self, now: Duration, running: u32, sample: Sample) {
        match sample {
            Sample::Answered(latency) => self.record_latency(now, running, latency),
            Sample::Dropped => self.back_off(now),
            Sample::Ignored | Sample::Untimed => {}
        }
    }

    fn record_latency(&mut self, now: Duration, running: u32, latency: Duration) {
        match self.phase {
            Phase::Probe { measure_from, .. } if now < measure_from => return,
            Phase::Probe { expires, .. } if now >= expires => self.end_probe(now + PROBE_INTERVAL),
            Phase::Adapt { .. } | Phase::Probe { .. } => {}
        }
        let window = &mut self.window;
        if window.samples == 0 {
            window.start = now;
        }
        window.latency_sum_s += latency.as_secs_f64();
        window.samples += 1;
        window.running_max = window.running_max.max(running);
        let long_enough = now.saturating_sub(window.start) >= WINDOW_DURATION_MIN;
        if window.samples >= WINDOW_SAMPLES_MIN && long_enough {
            let window = std::mem::take(window);
            self.close_window(now, window);
        }
    }

    fn close_window(&mut self, now: Duration, window: Window) {
        let mean = (window.latency_sum_s / f64::from(window.samples)).max(f64::MIN_POSITIVE);
        match self.phase {
            Phase::Probe { .. } => {
                let had_queue = self.base_latency_s > mean * PROBE_CONVERGED_FACTOR;
                self.base_latency_s = mean;
                let wait = if had_queue {
                    PROBE_RETRY_INTERVAL
                } else {
                    PROBE_INTERVAL
                };
                self.end_probe(now + wait);
            }
            Phase::Adapt { probe_at } => {
                self.lower_base(mean);
                self.adapt(mean, window.running_max);
                if now >= probe_at {
                    self.start_probe(now, mean);
                }
            }
        }
    }

    fn lower_base(&mut self, mean: f64) {
        self.base_latency_s = match self.base_latency_s {
            0.0 => mean,
            base if mean < base => base + (mean - base) * BASE_SMOOTHING,
            base => base,
        };
    }

    fn adapt(&mut self, mean: f64, running_max: u32) {
        let gradient = (LATENCY_TOLERANCE * self.base_latency_s / mean).clamp(GRADIENT_MIN, 1.0);
        let queue = self.limit.sqrt() * QUEUE_FACTOR;
        let target = self.limit * gradient + queue;
        let underused = f64::from(running_max) < self.limit * USED_FRACTION_MIN;
        if target > self.limit && underused {
            return;
        }
        let next = self.limit + (target - self.limit) * SMOOTHING;
        self.limit = next.clamp(self.min, self.max);
    }

    fn start_probe(&mut self, now: Duration, mean: f64) {
        let measure_from = now + Duration::from_secs_f64(mean);
        self.phase = Phase::Probe {
            measure_from,
            expires: measure_from + PROBE_TIMEOUT,
        };
    }

    fn end_probe(&mut self, probe_at: Duration) {
        self.window = Window::default();
        self.phase = Phase::Adapt { probe_at };
    }

    /// Shrinks the limit at most once per [`WINDOW_DURATION_MIN`]: calls that
    /// are dropped together have one cause.
    fn back_off(&mut self, now: Duration) {
        let recent = now.saturating_sub(self.last_backoff_at) < WINDOW_DURATION_MIN;
        if recent && self.last_backoff_at != Duration::ZERO {
            return;
        }
        self.last_backoff_at = now;
        self.limit = (self.limit * BACKOFF_FACTOR).max(self.min);
    }
}

#[cfg(test)]
mod tests;
