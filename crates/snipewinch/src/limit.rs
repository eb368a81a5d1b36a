//! Each customer's share of the fleet.
//!
//! A [`Limiter`] stands before the calls of one entry host and decides which of
//! them go on, which wait and which are refused at once:
//!
//! - A customer's fixed rate, which holds for the whole fleet, is divided over
//!   the entry hosts in proportion to the demand that each sees. No host
//!   coordinates this: hosts [`demand`] the average demand by gossip with a few
//!   neighbours. Each host then takes `own demand / (average * hosts)` of the
//!   rate. The count of hosts comes from the membership list, so that the parts
//!   of a fleet that is cut in two still add up to no more than the whole rate.
//! - Where capacity is short, calls wait in a [`queue::Queue`], one for each
//!   service, which serves customers in proportion to their shares.
//! - How many calls of a service run at once is found from their latency
//!   ([`concurrency::Limit`]), between this host's part of the fleet's capacity
//!   and a little more. The part is what the fleet owes the customers whose calls
//!   arrive here. Left to latency alone, entry hosts that share backend servers
//!   end up with unequal parts.
//! - A call that would wait longer than its deadline allows is refused when it
//!   arrives, which costs least.
//!
//! Every ticket that arrives is answered by exactly one [`Action`], unless it is
//! cancelled before.
//!
//! ```
//! use std::time::Duration;
//!
//! use snipewinch::deadline::Deadline;
//! use snipewinch::limit::Action;
//! use snipewinch::limit::Arrival;
//! use snipewinch::limit::Limiter;
//! use snipewinch::limit::Sample;
//!
//! let mut limiter = Limiter::new(7);
//! let now = Duration::from_secs(1);
//! let arrival = Arrival {
//!     ticket: 1,
//!     service: "logbook".into(),
//!     customer: "hide-owners".into(),
//!     cost: 1,
//!     deadline: Deadline::after(now, Duration::from_secs(10)),
//! };
//! assert_eq!(limiter.arrive(now, arrival), [Action::Admit { ticket: 1 }]);
//! let sample = Sample::Answered(Duration::from_millis(20));
//! limiter.finish(now + Duration::from_millis(20), 1, sample);
//! ```

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::concurrency;
pub use crate::concurrency::Sample;
use crate::deadline::Deadline;
use crate::document;
use crate::host;
use crate::mix;
use crate::routing;

mod bucket;
pub mod demand;
mod fair;
mod gate;
pub mod queue;
#[cfg(test)]
mod tests;

use bucket::Bucket;
use demand::Tracker;
use gate::Gate;

/// What entries tell each other about customers' use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The demand that the sender knows of, for some customers.
    #[serde(rename = "u")]
    Demand(Vec<demand::Row>),
}

/// Names one call at one limiter; the embedder chooses it.
pub type Ticket = u64;

/// A call that asks to go on.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Names the call.
    pub ticket: Ticket,
    /// The service it is for.
    pub service: SmolStr,
    /// Whose call it is.
    pub customer: SmolStr,
    /// How much work it brings, against other calls of the service; at least 1.
    pub cost: u32,
    /// When its answer is no longer of use.
    pub deadline: Deadline,
}

/// What is to be done with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// It goes on.
    Admit {
        /// The call.
        ticket: Ticket,
    },
    /// It is answered that it was not run.
    Refuse {
        /// The call.
        ticket: Ticket,
        /// Why.
        refusal: Refusal,
    },
}

/// Why a call does not go on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The customer's fixed rate is used up.
    Rate,
    /// It would have to wait too long.
    Overload,
    /// The queue is full, and the customer has more than its share of it.
    QueueFull,
    /// Its deadline passed while it waited.
    Deadline,
}

impl Reason {
    /// The name used in metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Rate => "rate",
            Reason::Overload => "overload",
            Reason::QueueFull => "queue_full",
            Reason::Deadline => "deadline",
        }
    }
}

/// A call does not go on: it was not run.
#[derive(Clone, Debug, PartialEq, snafu::Snafu)]
#[snafu(display(
    "the call was not run ({}): retry after {} ms",
    reason.name(),
    retry_after.as_millis()
))]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When a new attempt has a chance.
    pub retry_after: Duration,
}

/// The shortest Retry-After.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The longest Retry-After.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// A customer whose demand is mostly elsewhere keeps this part of its weight
/// here.
const WEIGHT_PART_MIN: f64 = 0.1;
/// A customer whose demand is mostly here gets at most so many times its weight.
const WEIGHT_PART_MAX: f64 = 10.0;
/// How much more than its part an entry host sends at once, so that hosts have
/// the next call at hand.
const AHEAD_PART: f64 = 0.25;
/// The part of the room seen on hosts that an entry host takes at a time: others
/// see the same room.
const FREE_DIVISOR: u32 = 4;
/// Weights are counted in this part of a share.
const WEIGHT_UNIT: f64 = 100.0;

impl Refusal {
    fn new(reason: Reason, wait: Duration) -> Refusal {
        Refusal {
            reason,
            retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        }
    }
}

#[derive(Clone, Debug)]
struct Customer {
    id: u32,
    share: u32,
    priority: u8,
    rate: Option<u32>,
    bucket: Bucket,
}

/// Decides for one entry host which calls go on.
#[derive(Clone, Debug)]
pub struct Limiter {
    customers: HashMap<SmolStr, Customer>,
    services: Vec<u32>,
    gates: HashMap<SmolStr, Gate>,
    tickets: HashMap<Ticket, SmolStr>,
    tracker: Tracker,
}

impl Limiter {
    /// A limiter for an entry host that is alone and knows no customer yet.
    pub fn new(seed: u64) -> Limiter {
        Limiter {
            customers: HashMap::default(),
            services: Vec::new(),
            gates: HashMap::default(),
            tickets: HashMap::default(),
            tracker: Tracker::new(seed),
        }
    }

    /// Takes over the customers and services of the configuration in force.
    pub fn configure(&mut self, document: &document::Document) {
        let services = document.services.iter();
        self.services = services.map(|service| id(&service.name)).collect();
        let customers = &document.customers;
        let mut next = HashMap::with_capacity(customers.len());
        for customer in customers {
            let old = self.customers.remove(&customer.name);
            let bucket = old.map_or_else(Bucket::default, |old| old.bucket);
            let taken = Customer {
                id: id(&customer.name),
                share: customer.share.max(1),
                priority: customer.priority,
                rate: customer.requests_per_second,
                bucket,
            };
            next.insert(customer.name.clone(), taken);
        }
        self.customers = next;
    }

    /// How many entry hosts the membership list names, this one included.
    pub fn set_entry_count(&mut self, count: usize) {
        self.tracker.set_entry_count(count);
    }

    /// Bounds how many calls of a service run at once: this host's part of the
    /// fleet's capacity, or more while hosts have room.
    pub fn set_capacity(&mut self, now: Duration, service: &SmolStr, capacity: routing::Capacity) {
        let fleet = f64::from(capacity.total);
        let gate = self.gates.entry(service.clone()).or_default();
        let rate = gate.rate_of(fleet);
        let demands: Vec<fair::Demand> = self
            .customers
            .values()
            .map(|customer| fair::Demand {
                rates: self.tracker.rates(now, pair(id(service), customer.id)),
                weight: f64::from(customer.share),
            })
            .collect();
        let part = fair::host_fraction(&demands, self.tracker.entry_count(), rate);
        let least = (part * fleet) as u32;
        let ahead = least + (f64::from(least) * AHEAD_PART) as u32;
        let free = gate.running() + capacity.free / FREE_DIVISOR;
        gate.limit
            .set_bounds(least.max(gate::LEAST_LIMIT), ahead.max(free));
    }

    /// A call arrives.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival) -> Vec<Action> {
        let Arrival {
            ticket,
            service,
            customer: name,
            cost,
            deadline,
        } = arrival;
        let cost = cost.max(1);
        let customer = self
            .customers
            .entry(name.clone())
            .or_insert_with(|| Customer::unknown(&name));
        let number = pair(id(&service), customer.id);
        self.tracker.record(now, number, f64::from(cost));
        if let Some(rate) = customer.rate {
            let services = self.services.iter();
            let seen = services.map(|&service| self.tracker.rates(now, pair(service, customer.id)));
            let all = seen.fold(demand::Rates::default(), |all, seen| all + seen);
            let rate = f64::from(rate) * all.fraction(self.tracker.entry_count());
            if let Err(wait) = customer.bucket.take(now, rate) {
                let refusal = Refusal::new(Reason::Rate, wait);
                return vec![Action::Refuse { ticket, refusal }];
            }
        }
        let seen = self.tracker.rates(now, number);
        let factor = seen.ratio_to_average();
        let factor = factor.clamp(WEIGHT_PART_MIN, WEIGHT_PART_MAX);
        let weight = f64::from(customer.share) * WEIGHT_UNIT * factor;
        let item = queue::Item {
            ticket,
            flow: customer.id,
            weight: (weight as u32).max(1),
            priority: customer.priority,
            cost,
            deadline,
        };
        self.tickets.insert(ticket, service.clone());
        let actions = self.gate(&service).arrive(now, item);
        self.close(&actions);
        actions
    }

    /// A call that was admitted has ended.
    pub fn finish(&mut self, now: Duration, ticket: Ticket, sample: Sample) -> Vec<Action> {
        let Some(service) = self.tickets.remove(&ticket) else {
            return Vec::new();
        };
        let Some(gate) = self.gates.get_mut(&service) else {
            return Vec::new();
        };
        let actions = gate.finish(now, ticket, sample);
        self.close(&actions);
        actions
    }

    /// The caller has gone away, whether the call waits or has been admitted.
    pub fn cancel(&mut self, now: Duration, ticket: Ticket) -> Vec<Action> {
        let Some(service) = self.tickets.get(&ticket) else {
            return Vec::new();
        };
        let waiting = self
            .gates
            .get_mut(service)
            .is_some_and(|gate| gate.queue.remove(ticket));
        match waiting {
            true => {
                self.tickets.remove(&ticket);
                Vec::new()
            }
            false => self.finish(now, ticket, Sample::Ignored),
        }
    }

    /// Time has passed: refuses what has waited too long. Call it a few times a
    /// second.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for gate in self.gates.values_mut() {
            actions.append(&mut gate.tick(now));
        }
        self.close(&actions);
        actions
    }

    /// What is to be told to each neighbour now. Call it once in
    /// [`demand::GOSSIP_PERIOD`].
    pub fn gossip(&mut self, now: Duration) -> Vec<(host::Name, Message)> {
        let rows = self.tracker.gossip(now);
        rows.into_iter()
            .map(|(neighbour, rows)| (neighbour, Message::Demand(rows)))
            .collect()
    }

    /// A neighbour has told something.
    pub fn receive(&mut self, from: &host::Name, message: Message) {
        match message {
            Message::Demand(rows) => self.tracker.receive(from, &rows),
        }
    }

    /// A link to another entry host is open.
    pub fn neighbour_up(&mut self, neighbour: host::Name) {
        self.tracker.add_neighbour(neighbour);
    }

    /// The last link to another entry host is gone.
    pub fn neighbour_down(&mut self, neighbour: &host::Name) {
        self.tracker.remove_neighbour(neighbour);
    }

    /// How each service fares, for metrics.
    pub fn status(&self) -> impl Iterator<Item = Status> {
        self.gates.iter().map(|(service, gate)| Status {
            service: service.clone(),
            running: gate.running(),
            limit: gate.limit.get(),
            waiting: gate.queue.len(),
        })
    }

    fn gate(&mut self, service: &SmolStr) -> &mut Gate {
        self.gates.entry(service.clone()).or_default()
    }

    fn close(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Refuse { ticket, .. } = action {
                self.tickets.remove(ticket);
            }
        }
    }
}

/// How one service fares.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The service.
    pub service: SmolStr,
    /// Calls admitted and not finished.
    pub running: u32,
    /// The most calls that run at once now.
    pub limit: u32,
    /// Calls that wait.
    pub waiting: usize,
}

impl Customer {
    /// A customer that is not in the configuration in force (any more).
    fn unknown(name: &str) -> Customer {
        Customer {
            id: id(name),
            share: 1,
            priority: 0,
            rate: None,
            bucket: Bucket::default(),
        }
    }
}

/// The number of a customer's demand for a service.
fn pair(service: u32, customer: u32) -> u32 {
    mix::combine(u64::from(service), u64::from(customer)) as u32
}

/// A customer's or service's number, the same at every entry host.
fn id(name: &str) -> u32 {
    (mix::hash(name) >> u32::BITS) as u32
}

impl Default for Gate {
    fn default() -> Gate {
        Gate::new(concurrency::Limit::new(
            gate::FIRST_LIMIT,
            gate::LEAST_LIMIT,
            gate::MOST_LIMIT,
        ))
    }
}
