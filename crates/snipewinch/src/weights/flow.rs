//! How fast to take chunks over a link that live calls share.
//!
//! A receiver's form of LEDBAT (RFC 6817): the rate grows while the measured
//! queueing delay is below a target and shrinks while it is above, so that a
//! transfer takes what is idle and gives way when live calls fill the link.
//! The receiver steers, as the sender keeps nothing for each reader.

use std::collections::VecDeque;
use std::time::Duration;

/// The least queueing delay at which the rate stays as it is.
const TARGET_MIN: Duration = Duration::from_millis(15);
/// The most; RFC 6817 allows no more.
const TARGET_MAX: Duration = Duration::from_millis(100);
/// Chunks that may pass before a request on the links of its two hosts: one at
/// each end.
const CHUNKS_BEFORE: f64 = 2.0;
/// The share by which one sample changes the rate at most.
const GAIN: f64 = 0.08;
/// Samples of which the least counts: single late ones are not a queue.
const FILTER_SAMPLES: usize = 4;
/// How long the least delay is remembered in one bucket.
const BASE_BUCKET: Duration = Duration::from_secs(10);
/// Buckets of the least delay.
const BASE_BUCKETS: usize = 6;
/// The rate of a link of unknown speed at the start, in bytes a second.
const START_BYTES_S: f64 = 250_000.0;
/// The rate below which live calls do not press a transfer, as a share of the
/// most.
const FLOOR: f64 = 0.1;

/// The rate of one transfer.
#[derive(Clone, Debug)]
pub struct Flow {
    rate: f64,
    max: Option<f64>,
    target: Duration,
    next: Duration,
    recent: VecDeque<Duration>,
    base: VecDeque<Duration>,
    bucket_ends: Duration,
}

/// The queueing delay that is no sign of live calls: what chunks of
/// `chunk_bytes` cause on hosts' links of `bytes_per_s`, none if they are
/// unlimited.
pub fn target(chunk_bytes: u32, bytes_per_s: Option<f64>) -> Duration {
    let chunk = bytes_per_s.map_or(0.0, |rate| f64::from(chunk_bytes) / rate);
    let chunks = Duration::try_from_secs_f64(CHUNKS_BEFORE * chunk).unwrap_or(TARGET_MAX);
    (TARGET_MIN + chunks).min(TARGET_MAX)
}

impl Flow {
    /// A transfer of at most `max` bytes a second, none if the link's rate is
    /// unknown, that bears a queueing delay of `target`.
    pub fn new(max: Option<f64>, target: Duration) -> Flow {
        Flow {
            rate: max.unwrap_or(START_BYTES_S),
            max,
            target,
            next: Duration::ZERO,
            recent: VecDeque::new(),
            base: VecDeque::new(),
            bucket_ends: Duration::ZERO,
        }
    }

    /// Changes the most that the transfer may take.
    pub fn limit(&mut self, max: Option<f64>) {
        if self.max == max {
            return;
        }
        self.max = max;
        if let Some(max) = max {
            self.rate = self.rate.clamp(max * FLOOR, max);
        }
    }

    /// The rate now, in bytes a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// When the next request may go.
    pub fn next(&self) -> Duration {
        self.next
    }

    /// Notes that `bytes` were asked for.
    pub fn spend(&mut self, now: Duration, bytes: u32) {
        let span = Duration::from_secs_f64(f64::from(bytes) / self.rate);
        self.next = self.next.max(now) + span;
    }

    /// Notes how long an answer took, without the time it waited at its
    /// sender.
    pub fn sample(&mut self, now: Duration, delay: Duration) {
        self.note_base(now, delay);
        self.recent.push_back(delay);
        if self.recent.len() > FILTER_SAMPLES {
            self.recent.pop_front();
        }
        let base = self.base.iter().min().copied().unwrap_or(delay);
        let current = self.recent.iter().min().copied().unwrap_or(delay);
        let queueing = current.saturating_sub(base).as_secs_f64();
        let target = self.target.as_secs_f64();
        let off = ((target - queueing) / target).clamp(-1.0, 1.0);
        self.rate *= 1.0 + GAIN * off;
        let floor = self.max.map_or(START_BYTES_S, |max| max) * FLOOR;
        self.rate = self.rate.max(floor);
        if let Some(max) = self.max {
            self.rate = self.rate.min(max);
        }
    }

    fn note_base(&mut self, now: Duration, delay: Duration) {
        if now >= self.bucket_ends {
            self.bucket_ends = now + BASE_BUCKET;
            self.base.push_back(delay);
            if self.base.len() > BASE_BUCKETS {
                self.base.pop_front();
            }
        }
        if let Some(last) = self.base.back_mut() {
            *last = delay.min(*last);
        }
    }
}
