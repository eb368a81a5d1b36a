//! Rate limits and admission control.
//!
//! A [`Limiter`] decides for one entry host which calls are admitted, which
//! wait and which are refused at once:
//!
//! - A customer's rate limit, which applies to the whole fleet, is divided over
//!   the entry hosts in proportion to the demand at each. There is no
//!   coordinator: hosts estimate the average demand by gossip with a few
//!   neighbours ([`demand`]), and each uses `own demand / (average * hosts)` of
//!   the rate. The number of hosts comes from the membership list, so that both
//!   sides of a network partition together admit no more than that rate.
//! - Where capacity is short, calls wait in a [`queue::Queue`] per service,
//!   which serves customers in proportion to their shares.
//! - How many calls of a service run at once depends on their latency
//!   ([`concurrency::Limit`]), between this host's share of the fleet's
//!   capacity and a little more. The share is the fair allocation of the
//!   customers whose calls arrive here. With latency alone, entry hosts that
//!   share backend servers converge to unequal shares.
//! - A call that would wait longer than its deadline allows is refused on
//!   arrival, when it has cost least.
//!
//! Every call that arrives gets exactly one [`Action`], unless it is cancelled
//! before.
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

mod admission;
mod bucket;
pub mod demand;
mod fair;
pub mod queue;
#[cfg(test)]
mod tests;

use admission::Controller;
use bucket::Bucket;
use demand::Tracker;

/// A message between entry hosts about the demand of customers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The demand that the sender knows of, for some customers and services.
    #[serde(rename = "u")]
    Demand(Vec<demand::Row>),
}

/// Identifies a call within a limiter; the embedder chooses it.
pub type Ticket = u64;

/// A call that asks for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Identifies the call.
    pub ticket: Ticket,
    /// The service that is called.
    pub service: SmolStr,
    /// The customer that calls.
    pub customer: SmolStr,
    /// The cost relative to other calls of the service; 0 counts as 1.
    pub cost: u32,
    /// The deadline of the answer.
    pub deadline: Deadline,
}

/// The decision about a call, for the embedder to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the call.
    Admit {
        /// The call.
        ticket: Ticket,
    },
    /// Answer that the call was not run.
    Refuse {
        /// The call.
        ticket: Ticket,
        /// The reason and the time to wait before a retry.
        refusal: Refusal,
    },
}

/// The reason for a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The customer has reached its rate limit.
    Rate,
    /// The estimated wait is too long.
    Overload,
    /// The queue is full, and this customer has the most waiting in proportion
    /// to its weight.
    QueueFull,
    /// The deadline passed before the call was admitted.
    Deadline,
}

impl Reason {
    /// The name in metrics and answers.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Rate => "rate",
            Reason::Overload => "overload",
            Reason::QueueFull => "queue_full",
            Reason::Deadline => "deadline",
        }
    }
}

/// A call was refused and has not been run.
#[derive(Clone, Debug, PartialEq, snafu::Snafu)]
#[snafu(display(
    "the call was not run ({}): retry after {} ms",
    reason.name(),
    retry_after.as_millis()
))]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which a retry may be admitted.
    pub retry_after: Duration,
}

/// The minimum Retry-After.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// The maximum Retry-After.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// The minimum factor of the weight of a customer whose demand is mostly at
/// other hosts.
const WEIGHT_FACTOR_MIN: f64 = 0.1;
/// The maximum factor of the weight of a customer whose demand is mostly here.
const WEIGHT_FACTOR_MAX: f64 = 10.0;
/// The fraction by which an entry host may exceed its share of the capacity, so
/// that backend servers have a next call queued.
const SURPLUS_FRACTION: f64 = 0.25;
/// An entry host takes the free capacity divided by this number at a time,
/// because other entry hosts see the same free capacity.
const FREE_CAPACITY_DIVISOR: u32 = 4;
/// The weight of one share at the average demand. Weights are integers.
const WEIGHT_PER_SHARE: f64 = 100.0;

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

/// Decides for one entry host which calls are admitted.
#[derive(Clone, Debug)]
pub struct Limiter {
    customers: HashMap<SmolStr, Customer>,
    service_ids: Vec<u32>,
    controllers: HashMap<SmolStr, Controller>,
    tickets: HashMap<Ticket, SmolStr>,
    tracker: Tracker,
}

impl Limiter {
    /// Creates the limiter of an entry host that knows neither other hosts nor
    /// customers yet.
    pub fn new(seed: u64) -> Limiter {
        Limiter {
            customers: HashMap::default(),
            service_ids: Vec::new(),
            controllers: HashMap::default(),
            tickets: HashMap::default(),
            tracker: Tracker::new(seed),
        }
    }

    /// Applies the customers and services of the configuration in force.
    pub fn configure(&mut self, document: &document::Document) {
        let services = document.services.iter();
        self.service_ids = services.map(|service| id(&service.name)).collect();
        let customers = &document.customers;
        let mut next = HashMap::with_capacity(customers.len());
        for customer in customers {
            let previous = self.customers.remove(&customer.name);
            let bucket = previous.map_or_else(Bucket::default, |previous| previous.bucket);
            let updated = Customer {
                id: id(&customer.name),
                share: customer.share.max(1),
                priority: customer.priority,
                rate: customer.requests_per_second,
                bucket,
            };
            next.insert(customer.name.clone(), updated);
        }
        self.customers = next;
    }

    /// Sets the number of entry hosts on the membership list, including this
    /// one.
    pub fn set_entry_count(&mut self, count: usize) {
        self.tracker.set_entry_count(count);
    }

    /// Sets the bounds of a service's concurrency limit from its capacity: this
    /// host may use its share of the total, and more while there is free
    /// capacity.
    pub fn set_capacity(&mut self, now: Duration, service: &SmolStr, capacity: routing::Capacity) {
        let fleet = f64::from(capacity.total);
        let controller = self.controllers.entry(service.clone()).or_default();
        let rate = controller.rate_at(fleet);
        let demands: Vec<fair::Demand> = self
            .customers
            .values()
            .map(|customer| fair::Demand {
                rates: self.tracker.rates(now, demand_id(id(service), customer.id)),
                weight: f64::from(customer.share),
            })
            .collect();
        let fraction = fair::host_fraction(&demands, self.tracker.entry_count(), rate);
        let share = (fraction * fleet) as u32;
        let share_max = share + (f64::from(share) * SURPLUS_FRACTION) as u32;
        let free_max = controller.running() + capacity.free / FREE_CAPACITY_DIVISOR;
        controller
            .limit
            .set_bounds(share.max(admission::LIMIT_MIN), share_max.max(free_max));
    }

    /// Handles the arrival of a call.
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
        let demand = demand_id(id(&service), customer.id);
        self.tracker.record(now, demand, f64::from(cost));
        if let Some(rate) = customer.rate {
            let services = self.service_ids.iter();
            let rates =
                services.map(|&service| self.tracker.rates(now, demand_id(service, customer.id)));
            let total = rates.fold(demand::Rates::default(), |total, rates| total + rates);
            let rate = f64::from(rate) * total.fraction(self.tracker.entry_count());
            if let Err(wait) = customer.bucket.take(now, rate) {
                let refusal = Refusal::new(Reason::Rate, wait);
                return vec![Action::Refuse { ticket, refusal }];
            }
        }
        let rates = self.tracker.rates(now, demand);
        let factor = rates.ratio_to_average();
        let factor = factor.clamp(WEIGHT_FACTOR_MIN, WEIGHT_FACTOR_MAX);
        let weight = f64::from(customer.share) * WEIGHT_PER_SHARE * factor;
        let item = queue::Item {
            ticket,
            flow: customer.id,
            weight: (weight as u32).max(1),
            priority: customer.priority,
            cost,
            deadline,
        };
        self.tickets.insert(ticket, service.clone());
        let actions = self.controller(&service).arrive(now, item);
        self.remove_refused(&actions);
        actions
    }

    /// Handles the end of a call that was admitted.
    pub fn finish(&mut self, now: Duration, ticket: Ticket, sample: Sample) -> Vec<Action> {
        let Some(service) = self.tickets.remove(&ticket) else {
            return Vec::new();
        };
        let Some(controller) = self.controllers.get_mut(&service) else {
            return Vec::new();
        };
        let actions = controller.finish(now, ticket, sample);
        self.remove_refused(&actions);
        actions
    }

    /// Handles that the caller has disconnected, whether the call waits or has
    /// been admitted.
    pub fn cancel(&mut self, now: Duration, ticket: Ticket) -> Vec<Action> {
        let Some(service) = self.tickets.get(&ticket) else {
            return Vec::new();
        };
        let waiting = self
            .controllers
            .get_mut(service)
            .is_some_and(|controller| controller.queue.remove(ticket));
        match waiting {
            true => {
                self.tickets.remove(&ticket);
                Vec::new()
            }
            false => self.finish(now, ticket, Sample::Ignored),
        }
    }

    /// Refuses the waiting calls whose deadline has passed and admits others.
    /// Call it a few times per second.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for controller in self.controllers.values_mut() {
            actions.append(&mut controller.tick(now));
        }
        self.remove_refused(&actions);
        actions
    }

    /// Runs a round of gossip and returns the messages to send to neighbours.
    /// Call it once per [`demand::GOSSIP_PERIOD`].
    pub fn gossip(&mut self, now: Duration) -> Vec<(host::Name, Message)> {
        let rows = self.tracker.gossip(now);
        rows.into_iter()
            .map(|(neighbour, rows)| (neighbour, Message::Demand(rows)))
            .collect()
    }

    /// Handles a message from a neighbour.
    pub fn receive(&mut self, from: &host::Name, message: Message) {
        match message {
            Message::Demand(rows) => self.tracker.receive(from, &rows),
        }
    }

    /// Handles that a link to another entry host is open.
    pub fn neighbour_up(&mut self, neighbour: host::Name) {
        self.tracker.add_neighbour(neighbour);
    }

    /// Handles that the last link to another entry host is closed.
    pub fn neighbour_down(&mut self, neighbour: &host::Name) {
        self.tracker.remove_neighbour(neighbour);
    }

    /// The status of each service, for metrics.
    pub fn status(&self) -> impl Iterator<Item = Status> {
        self.controllers.iter().map(|(service, controller)| Status {
            service: service.clone(),
            running: controller.running(),
            limit: controller.limit.get(),
            waiting: controller.queue.len(),
        })
    }

    fn controller(&mut self, service: &SmolStr) -> &mut Controller {
        self.controllers.entry(service.clone()).or_default()
    }

    fn remove_refused(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Refuse { ticket, .. } = action {
                self.tickets.remove(ticket);
            }
        }
    }
}

/// The status of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The service.
    pub service: SmolStr,
    /// The number of running calls.
    pub running: u32,
    /// The current maximum number of running calls.
    pub limit: u32,
    /// The number of waiting calls.
    pub waiting: usize,
}

impl Customer {
    /// A customer that is not, or no longer, in the configuration in force.
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

/// The identifier of a customer's demand for a service.
fn demand_id(service: u32, customer: u32) -> u32 {
    mix::combine(u64::from(service), u64::from(customer)) as u32
}

/// The identifier of a customer or service, the same at every entry host.
fn id(name: &str) -> u32 {
    (mix::hash(name) >> u32::BITS) as u32
}

impl Default for Controller {
    fn default() -> Controller {
        Controller::new(concurrency::Limit::new(
            admission::LIMIT_INITIAL,
            admission::LIMIT_MIN,
            admission::LIMIT_MAX,
        ))
    }
}
