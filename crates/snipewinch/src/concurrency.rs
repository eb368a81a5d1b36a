//! How many calls to run at once, found from their latency.
//!
//! A [`Limit`] compares the latency of late with what the same work takes
//! without a queue. The limit grows by a few calls while latency stays near
//! that base (the additive increase of Chiu and Jain, "Analysis of the increase
//! and decrease algorithms for congestion avoidance", 1989) and shrinks in
//! proportion once latency shows a queue, as TCP Vegas does before losses
//! (Brakmo and Peterson, "TCP Vegas: end to end congestion avoidance on a global
//! Internet", 1995). A refusal or a timeout shrinks it at once.
//!
//! The base falls whenever latency does. It rises only by a probe: from time to
//! time the limit is lowered until the queue is gone and latency is measured
//! then, as BBR does (Cardwell and others, "BBR: congestion-based congestion
//! control", 2016). A base that followed latency upwards would take a standing
//! queue for the work itself.
//!
//! Feed it the time to the first byte, not that of whole answers, whose lengths
//! differ.

use std::time::Duration;

/// Latency may rise to this multiple of the base before the limit shrinks.
const TOLERANCE: f64 = 1.25;
/// The most that one window shrinks the limit to.
const SHRINK_MIN: f64 = 0.5;
/// What a refusal or a timeout shrinks the limit to.
const BACKOFF: f64 = 0.9;
/// Calls that may wait, as a multiple of the limit's square root.
const ROOM: f64 = 0.5;
/// The weight of the newest window in the limit.
const SMOOTHING: f64 = 0.2;
/// How much of the way down the base moves in one window of lower latency.
const BASE_FALL: f64 = 0.1;
/// Time between probes.
const PROBE_EVERY: Duration = Duration::from_secs(30);
/// Time to the next probe while probes still find a lower base.
const PROBE_AGAIN: Duration = Duration::from_secs(2);
/// What a probe lowers the limit to.
const PROBE_PART: f64 = 0.4;
/// A probe that lowers the base by less than this factor has found it.
const PROBE_SURE: f64 = 1.2;
/// A probe without enough samples is given up after this long.
const PROBE_MAX: Duration = Duration::from_secs(3);
/// Samples in one window at least.
const WINDOW_SAMPLES: u32 = 16;
/// The shortest window.
const WINDOW: Duration = Duration::from_millis(100);
/// The limit does not grow while less than this part of it is used.
const USED_PART: f64 = 0.5;

/// What came of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sample {
    /// It was answered, and its first byte took this long.
    Answered(Duration),
    /// It was answered, but its first byte came at its end, so that its latency
    /// tells of its length and not of a queue.
    Untimed,
    /// It was refused for want of room or timed out.
    Dropped,
    /// It ended otherwise and tells nothing.
    Ignored,
}

/// The most calls that should run at once.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    least: f64,
    most: f64,
    limit: f64,
    /// Smoothed latency without a queue, in seconds; 0 before the first window.
    base: f64,
    window: Window,
    shrunk: Duration,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The limit follows latency.
    Follow {
        /// When to probe next.
        probe: Duration,
    },
    /// The limit is lowered to measure the base.
    Probe {
        /// Until then calls end that began before the probe.
        settled: Duration,
        /// When to give up.
        over: Duration,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    start: Duration,
    sum: f64,
    samples: u32,
    used: u32,
}

impl Limit {
    /// A limit that starts at `first` and stays from `least` to `most`.
    pub fn new(first: u32, least: u32, most: u32) -> Limit {
        let least = f64::from(least.max(1));
        let most = f64::from(most).max(least);
        Limit {
            least,
            most,
            limit: f64::from(first).clamp(least, most),
            base: 0.0,
            window: Window::default(),
            shrunk: Duration::ZERO,
            phase: Phase::Follow { probe: PROBE_AGAIN },
        }
    }

    /// The most calls that should run at once now.
    pub fn get(&self) -> u32 {
        let limit = match self.phase {
            Phase::Follow { .. } => self.limit,
            Phase::Probe { .. } => (self.limit * PROBE_PART).max(self.least),
        };
        limit as u32
    }

    /// Changes the bounds.
    pub fn bound(&mut self, least: u32, most: u32) {
        self.least = f64::from(least.max(1));
        self.most = f64::from(most).max(self.least);
        self.limit = self.limit.clamp(self.least, self.most);
    }

    /// A call has ended while `running` ran, itself included.
    pub fn sample(&mut self, now: Duration, running: u32, sample: Sample) {
        match sample {
            Sample::Answered(latency) => self.answered(now, running, latency),
            Sample::Dropped => self.dropped(now),
            Sample::Ignored | Sample::Untimed => {}
        }
    }

    fn answered(&mut self, now: Duration, running: u32, latency: Duration) {
        match self.phase {
            Phase::Probe { settled, .. } if now < settled => return,
            Phase::Probe { over, .. } if now >= over => self.follow(now + PROBE_EVERY),
            Phase::Follow { .. } | Phase::Probe { .. } => {}
        }
        let window = &mut self.window;
        if window.samples == 0 {
            window.start = now;
        }
        window.sum += latency.as_secs_f64();
        window.samples += 1;
        window.used = window.used.max(running);
        let long = now.saturating_sub(window.start) >= WINDOW;
        if window.samples >= WINDOW_SAMPLES && long {
            let window = std::mem::take(window);
            self.close(now, window);
        }
    }

    fn close(&mut self, now: Duration, window: Window) {
        let mean = (window.sum / f64::from(window.samples)).max(f64::MIN_POSITIVE);
        match self.phase {
            Phase::Probe { .. } => {
                let queued = self.base > mean * PROBE_SURE;
                self.base = mean;
                let wait = if queued { PROBE_AGAIN } else { PROBE_EVERY };
                self.follow(now + wait);
            }
            Phase::Follow { probe } => {
                self.fall(mean);
                self.adapt(mean, window.used);
                if now >= probe {
                    self.probe(now, mean);
                }
            }
        }
    }

    fn fall(&mut self, mean: f64) {
        self.base = match self.base {
            0.0 => mean,
            base if mean < base => base + (mean - base) * BASE_FALL,
            base => base,
        };
    }

    fn adapt(&mut self, mean: f64, used: u32) {
        let gradient = (TOLERANCE * self.base / mean).clamp(SHRINK_MIN, 1.0);
        let room = self.limit.sqrt() * ROOM;
        let target = self.limit * gradient + room;
        let idle = f64::from(used) < self.limit * USED_PART;
        if target > self.limit && idle {
            return;
        }
        let next = self.limit + (target - self.limit) * SMOOTHING;
        self.limit = next.clamp(self.least, self.most);
    }

    fn probe(&mut self, now: Duration, mean: f64) {
        let settled = now + Duration::from_secs_f64(mean);
        self.phase = Phase::Probe {
            settled,
            over: settled + PROBE_MAX,
        };
    }

    fn follow(&mut self, probe: Duration) {
        self.window = Window::default();
        self.phase = Phase::Follow { probe };
    }

    /// Shrinks once a window: calls that are dropped together have one cause.
    fn dropped(&mut self, now: Duration) {
        let soon = now.saturating_sub(self.shrunk) < WINDOW;
        if soon && self.shrunk != Duration::ZERO {
            return;
        }
        self.shrunk = now;
        self.limit = (self.limit * BACKOFF).max(self.least);
    }
}

#[cfg(test)]
mod tests;
