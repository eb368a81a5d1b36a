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
/// The longest that a call may have to wait.
const WAIT_MAX: Duration = Duration::from_secs(5);
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
}

impl Gate {
    pub(super) fn new(limit: concurrency::Limit) -> Gate {
        Gate {
            limit,
            queue: Queue::new(WAITING_MAX),
            running: HashMap::default(),
            time: 0.0,
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
        if item.deadline.is_over(now) {
            return refuse(Reason::Deadline, Duration::ZERO);
        }
        let free = self.running() < self.limit.get() && self.queue.is_empty();
        if !free {
            let wait = self.wait(&item);
            let work = Duration::from_secs_f64(self.time * f64::from(item.cost));
            let patience = item.deadline.left(now).saturating_sub(work).min(WAIT_MAX);
            if wait > patience {
                return refuse(Reason::Overload, wait - patience);
            }
        }
        let mut actions = Vec::new();
        if let Some(pushed) = self.queue.push(item) {
            let wait = self.wait(&pushed);
            let refusal = Refusal::new(Reason::Full, wait);
            let ticket = pushed.ticket;
            actions.push(Action::Refuse { ticket, refusal });
        }
        self.fill(now, &mut actions);
        actions
    }

    pub(super) fn finish(&mut self, now: Duration, ticket: Ticket, sample: Sample) -> Vec<Action> {
        let running = self.running();
        if let Some((since, cost)) = self.running.remove(&ticket) {
            self.limit.sample(now, running, sample);
            if let Sample::Answered(_) = sample {
                let time = now.saturating_sub(since).as_secs_f64() / f64::from(cost);
                self.time = match self.time {
                    0.0 => time,
                    old => old + (time - old) * SMOOTHING,
                };
            }
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

    /// How long a call would wait: what its customer has waiting, at the
    /// customer's part of the rate.
    fn wait(&self, item: &Item) -> Duration {
        let rate = f64::from(self.limit.get()) / self.time;
        let ahead = self.queue.ahead(item);
        let wait = ahead / rate;
        Duration::try_from_secs_f64(wait).unwrap_or_default()
    }

    fn fill(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.running() < self.limit.get() {
            let Some(item) = self.queue.pop() else {
                return;
            };
            let ticket = item.ticket;
            if item.deadline.is_over(now) {
                let refusal = Refusal::new(Reason::Deadline, Duration::ZERO);
                actions.push(Action::Refuse { ticket, refusal });
                continue;
            }
            self.running.insert(ticket, (now, item.cost));
            actions.push(Action::Admit { ticket });
        }
    }
}
