//! The calls of one service at one process: those that run and those that wait.

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

/// Calls of one service that run at once at first.
pub(super) const FIRST_LIMIT: u32 = 32;
/// Calls of one service that may always run at once.
pub(super) const LEAST_LIMIT: u32 = 4;
/// The most calls of one service that run at once.
pub(super) const MOST_LIMIT: u32 = 4096;
/// The most calls of one service that wait.
const WAITING_MAX: usize = 1024;
/// The longest that a call may have to wait for a service that answers fast.
const WAIT_MAX: Duration = Duration::from_secs(1);
/// The longest that it may have to wait for a slow one, as a multiple of the
/// time to the first byte.
const WAIT_FACTOR: f64 = 4.0;
/// The part of the time that is left for a call which it may have to wait: an
/// estimate that is wrong by as much again still leaves time for the work.
const WAIT_PART: f64 = 0.5;
/// How long the pace is counted before a new window begins.
const PACE_WINDOW: Duration = Duration::from_secs(2);
/// What was known before counts as much as this long in a new window.
const PACE_WEIGHT: Duration = Duration::from_secs(1);
/// The weight of the newest sample in the smoothed time of a call.
const SMOOTHING: f64 = 0.05;

#[derive(Clone, Debug)]
pub(super) struct Gate {
    pub(super) limit: concurrency::Limit,
    pub(super) queue: Queue,
    /// When each call that runs was admitted, and its cost.
    running: HashMap<Ticket, (Duration, u32)>,
    /// Smoothed time of a call for each unit of cost, in seconds.
    time: f64,
    /// Smoothed time to the first byte, in seconds.
    first_byte: f64,
    pace: Option<Pace>,
}

/// How much is served while calls wait.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Cost a second, before this window.
    before: f64,
    since: Duration,
    /// Cost served in this window.
    served: f64,
}

impl Pace {
    fn rate(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.since).as_secs_f64();
        let weight = PACE_WEIGHT.as_secs_f64();
        (self.served + self.before * weight) / (passed + weight)
    }
}

impl Gate {
    pub(super) fn new(limit: concurrency::Limit) -> Gate {
        Gate {
            limit,
            queue: Queue::new(WAITING_MAX),
            running: HashMap::default(),
            time: 0.0,
            first_byte: 0.0,
            pace: None,
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
        let free = self.running() < self.limit.get() && self.queue.is_empty();
        if !free {
            let wait = self.wait(now, &item);
            let work = Duration::from_secs_f64(self.time * f64::from(item.cost));
            let spare = item.deadline.remaining(now).saturating_sub(work);
            let slow = Duration::from_secs_f64(self.first_byte * WAIT_FACTOR);
            let patience = spare.mul_f64(WAIT_PART).min(WAIT_MAX.max(slow));
            if wait > patience {
                return refuse(Reason::Overload, wait - patience);
            }
        }
        let mut actions = Vec::new();
        if let Some(pushed) = self.queue.push(item) {
            let wait = self.wait(now, &pushed);
            let refusal = Refusal::new(Reason::QueueFull, wait);
            let ticket = pushed.ticket;
            actions.push(Action::Refuse { ticket, refusal });
        }
        self.fill(now, &mut actions);
        actions
    }

    pub(super) fn finish(&mut self, now: Duration, ticket: Ticket, sample: Sample) -> Vec<Action> {
        let running = self.running();
        if let Some((since, cost)) = self.running.remove(&ticket) {
            self.limit.record(now, running, sample);
            if let Sample::Answered(_) | Sample::Untimed = sample {
                let time = now.saturating_sub(since).as_secs_f64() / f64::from(cost);
                smooth(&mut self.time, time);
            }
            if let Sample::Answered(first_byte) = sample {
                smooth(&mut self.first_byte, first_byte.as_secs_f64());
            }
            self.count(now, cost);
        }
        let mut actions = Vec::new();
        self.fill(now, &mut actions);
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
        self.fill(now, &mut actions);
        actions
    }

    /// How long a call would wait until what is served before it is done.
    fn wait(&self, now: Duration, item: &Item) -> Duration {
        let rate = match &self.pace {
            Some(pace) => pace.rate(now),
            None => self.estimate(),
        };
        let wait = self.queue.cost_until_done(item) / rate;
        Duration::try_from_secs_f64(wait).unwrap_or_default()
    }

    /// The rate at which cost is served by Little's law, as long as it has not
    /// been counted.
    fn estimate(&self) -> f64 {
        self.rate_of(f64::from(self.limit.get()))
    }

    /// The rate of so many calls at once.
    pub(super) fn rate_of(&self, calls: f64) -> f64 {
        calls / self.time
    }

    fn count(&mut self, now: Duration, cost: u32) {
        let estimate = self.estimate();
        if self.queue.is_empty() || !estimate.is_finite() {
            self.pace = None;
            return;
        }
        let pace = self.pace.get_or_insert(Pace {
            before: estimate,
            since: now,
            served: 0.0,
        });
        pace.served += f64::from(cost);
        if now.saturating_sub(pace.since) >= PACE_WINDOW {
            *pace = Pace {
                before: pace.rate(now),
                since: now,
                served: 0.0,
            };
        }
    }

    fn fill(&mut self, now: Duration, actions: &mut Vec<Action>) {
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

fn smooth(value: &mut f64, sample: f64) {
    *value = match *value {
        0.0 => sample,
        old => old + (sample - old) * SMOOTHING,
    };
}
