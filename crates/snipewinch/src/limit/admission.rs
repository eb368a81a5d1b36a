//! Admission control for the calls of one service at one entry host.

use std::collections::HashMap;
use std::time::Duration;

use super::Action;
use super::Reason;
use super::Refusal;
use super::Sample;
use super::Ticket;
use super::queue::Item;
use super::queue::Queue;
use crate::concurrency;

/// The initial concurrency limit of a service.
pub(super) const LIMIT_INITIAL: u32 = 32;
/// The minimum concurrency limit of a service.
pub(super) const LIMIT_MIN: u32 = 4;
/// The maximum concurrency limit of a service.
pub(super) const LIMIT_MAX: u32 = 4096;
/// The maximum number of waiting calls of a service.
const WAITING_MAX: usize = 1024;
/// The maximum wait of a call for a service that answers fast.
const WAIT_MAX: Duration = Duration::from_secs(1);
/// The maximum wait of a call for a service that answers slowly, as a multiple
/// of the time to the first byte.
const SLOW_WAIT_MAX_FACTOR: f64 = 4.0;
/// The fraction of a call's spare time that it may wait: when the wait takes
/// twice the estimate, there is still time for the work.
const WAIT_FRACTION: f64 = 0.5;
/// The length of a window in which the service rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// The weight of the previous rate in a new window, as a length of time.
const RATE_PRIOR: Duration = Duration::from_secs(1);
/// The weight of the newest sample in the smoothed times.
const SMOOTHING: f64 = 0.05;

#[derive(Clone, Debug)]
pub(super) struct Controller {
    pub(super) limit: concurrency::Limit,
    pub(super) queue: Queue,
    /// The time of admission and the cost of each running call.
    running: HashMap<Ticket, (Duration, u32)>,
    /// The smoothed time of a call per unit of cost, in seconds.
    time_per_cost_s: f64,
    /// The smoothed time to the first byte, in seconds.
    first_byte_s: f64,
    meter: Option<Meter>,
}

/// Measures the cost that is served per second while calls wait.
#[derive(Clone, Copy, Debug)]
struct Meter {
    /// The rate before this window, in cost per second.
    prior_rate: f64,
    start: Duration,
    /// The cost served in this window.
    served: f64,
}

impl Meter {
    fn rate(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.start).as_secs_f64();
        let weight = RATE_PRIOR.as_secs_f64();
        (self.served + self.prior_rate * weight) / (elapsed + weight)
    }
}

impl Controller {
    pub(super) fn new(limit: concurrency::Limit) -> Controller {
        Controller {
            limit,
            queue: Queue::new(WAITING_MAX),
            running: HashMap::default(),
            time_per_cost_s: 0.0,
            first_byte_s: 0.0,
            meter: None,
        }
    }

    pub(super) fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn arrive(&mut self, now: Duration, item: Item) -> Vec<Action> {
        let ticket = item.ticket;
        let refuse = |reason, wait| {
            let refusal = Refusal::new(reason, wait);
            vec![Action::Refuse { ticket, refusal }]
        };
        if item.deadline.has_passed(now) {
            return refuse(Reason::Deadline, Duration::ZERO);
        }
        let immediate = self.running() < self.limit.get() && self.queue.is_empty();
        if !immediate {
            let wait = self.estimated_wait(now, &item);
            let work = Duration::from_secs_f64(self.time_per_cost_s * f64::from(item.cost));
            let spare = item.deadline.remaining(now).saturating_sub(work);
            let slow = Duration::from_secs_f64(self.first_byte_s * SLOW_WAIT_MAX_FACTOR);
            let wait_max = spare.mul_f64(WAIT_FRACTION).min(WAIT_MAX.max(slow));
            if wait > wait_max {
                return refuse(Reason::Overload, wait - wait_max);
            }
        }
        let mut actions = Vec::new();
        if let Some(evicted) = self.queue.push(item) {
            let wait = self.estimated_wait(now, &evicted);
            let refusal = Refusal::new(Reason::QueueFull, wait);
            let ticket = evicted.ticket;
            actions.push(Action::Refuse { ticket, refusal });
        }
        self.admit(now, &mut actions);
        actions
    }

    pub(super) fn finish(&mut self, now: Duration, ticket: Ticket, sample: Sample) -> Vec<Action> {
        let running = self.running();
        if let Some((admitted_at, cost)) = self.running.remove(&ticket) {
            self.limit.record(now, running, sample);
            if let Sample::Answered(_) | Sample::Untimed = sample {
                let time = now.saturating_sub(admitted_at).as_secs_f64() / f64::from(cost);
                smooth(&mut self.time_per_cost_s, time);
            }
            if let Sample::Answered(first_byte) = sample {
                smooth(&mut self.first_byte_s, first_byte.as_secs_f64());
            }
            self.record_served(now, cost);
        }
        let mut actions = Vec::new();
        self.admit(now, &mut actions);
        actions
    }

    pub(super) fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions: Vec<Action> = self
            .queue
            .expire(now)
            .into_iter()
            .map(|item| Action::Refuse {
                ticket: item.ticket,
                refusal: Refusal::new(Reason::Deadline, Duration::ZERO),
            })
            .collect();
        self.admit(now, &mut actions);
        actions
    }

    /// The estimated time until a call is done, from the cost that is served
    /// until then.
    fn estimated_wait(&self, now: Duration, item: &Item) -> Duration {
        let rate = match &self.meter {
            Some(meter) => meter.rate(now),
            None => self.estimated_rate(),
        };
        let wait = self.queue.cost_until_done(item) / rate;
        Duration::try_from_secs_f64(wait).unwrap_or_default()
    }

    /// The service rate at the current limit, used until one has been measured.
    fn estimated_rate(&self) -> f64 {
        self.rate_at(f64::from(self.limit.get()))
    }

    /// The service rate with `calls` running, by Little's law, in cost per
    /// second.
    pub(super) fn rate_at(&self, calls: f64) -> f64 {
        calls / self.time_per_cost_s
    }

    fn record_served(&mut self, now: Duration, cost: u32) {
        let estimate = self.estimated_rate();
        if self.queue.is_empty() || !estimate.is_finite() {
            self.meter = None;
            return;
        }
        let meter = self.meter.get_or_insert(Meter {
            prior_rate: estimate,
            start: now,
            served: 0.0,
        });
        meter.served += f64::from(cost);
        if now.saturating_sub(meter.start) >= RATE_WINDOW {
            *meter = Meter {
                prior_rate: meter.rate(now),
                start: now,
                served: 0.0,
            };
        }
    }

    /// Admits waiting calls up to the limit.
    fn admit(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.running() < self.limit.get() {
            let Some(item) = self.queue.pop() else {
                return;
            };
            let ticket = item.ticket;
            if item.deadline.has_passed(now) {
                let refusal = Refusal::new(Reason::Deadline, Duration::ZERO);
                actions.push(Action::Refuse { ticket, refusal });
                continue;
            }
            self.running.insert(ticket, (now, item.cost));
            actions.push(Action::Admit { ticket });
        }
    }
}

/// Updates an exponential moving average; 0 means that there is no sample yet.
fn smooth(value: &mut f64, sample: f64) {
    *value = match *value {
        0.0 => sample,
        old => old + (sample - old) * SMOOTHING,
    };
}
