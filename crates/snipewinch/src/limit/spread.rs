//! The average demand of each customer over all entry hosts, without a
//! coordinator.
//!
//! Flow updating (Jesus, Baquero and Almeida, "Fault-tolerant aggregation by
//! flow updating", 2009): a host keeps one flow for each neighbour and customer.
//! Its estimate of the average is its own demand less what flows out. In each
//! round it averages its estimate with those of its neighbours and shifts the
//! flows accordingly. A message carries flows as they are, not changes to them:
//! one that is lost, late or doubled does no lasting harm, and the flows of a
//! neighbour that is gone are dropped, so that what is left converges to the
//! average of what is left.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::host;
use crate::mix;

/// Time between two rounds.
pub const PERIOD: Duration = Duration::from_millis(500);
/// Customers in one message.
pub const ROWS_MAX: usize = 16;
/// Demand is averaged over about this time.
const MEMORY: Duration = Duration::from_secs(5);
/// Every host takes this part of an equal part of a rate, also without demand,
/// so that the first call of a customer need not wait for gossip.
const EQUAL_PART: f64 = 0.05;
/// Below this, in calls a second, demand is none.
const DEMAND_MIN: f64 = 1e-4;

/// What a message says about one customer: its number, the flow from the sender
/// to the receiver, and the sender's estimate of the average, in calls a second.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row(pub u32, pub f32, pub f32);

/// The part of a customer's calls that this host sees.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The part of the fleet's rate that this host may admit.
    pub of_rate: f64,
    /// This host's demand against the average host's.
    pub against_average: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Edge {
    flow: f64,
    estimate: f64,
}

#[derive(Clone, Debug, Default)]
struct Demand {
    /// Calls a second, decaying.
    rate: f64,
    counted: Duration,
    edges: HashMap<host::Name, Edge>,
}

/// Demand at this host and what it knows of the average.
#[derive(Clone, Debug)]
pub struct Spread {
    entries: usize,
    neighbours: Vec<host::Name>,
    customers: BTreeMap<u32, Demand>,
    /// The customer at which the next round starts.
    next: u32,
}

impl Spread {
    /// A host that is alone.
    pub fn new(seed: u64) -> Spread {
        Spread {
            entries: 1,
            neighbours: Vec::new(),
            customers: BTreeMap::default(),
            next: mix::pair(seed, 0) as u32,
        }
    }

    /// How many entry hosts there are, this one included.
    pub fn entries(&mut self, count: usize) {
        self.entries = count.max(1);
    }

    /// A neighbour can be reached.
    pub fn up(&mut self, neighbour: host::Name) {
        if !self.neighbours.contains(&neighbour) {
            self.neighbours.push(neighbour);
        }
    }

    /// A neighbour can't be reached any more.
    pub fn down(&mut self, neighbour: &host::Name) {
        self.neighbours.retain(|other| other != neighbour);
        for demand in self.customers.values_mut() {
            demand.edges.remove(neighbour);
        }
    }

    /// Counts `calls` of a customer and answers this host's part.
    pub fn demand(&mut self, now: Duration, customer: u32, calls: f64) -> Part {
        let demand = self.customers.entry(customer).or_default();
        demand.decay(now);
        demand.rate += calls / MEMORY.as_secs_f64();
        self.part(now, customer)
    }

    /// This host's part of a customer's calls.
    pub fn part(&self, now: Duration, customer: u32) -> Part {
        let entries = self.entries as f64;
        let Some(demand) = self.customers.get(&customer) else {
            return Part {
                of_rate: EQUAL_PART / entries,
                against_average: 1.0,
            };
        };
        let own = demand.rate_at(now);
        // Own demand alone bounds the average from below, so that a host which
        // knows of no other is never given less than it would be alone.
        let average = demand.estimate(own).max(own / entries).max(DEMAND_MIN);
        let equal = EQUAL_PART * average;
        let of_rate = (own + equal) / (entries * (average + equal));
        Part {
            of_rate: of_rate.min(1.0),
            against_average: own / average,
        }
    }

    /// Runs a round: what to tell each neighbour.
    pub fn gossip(&mut self, now: Duration) -> Vec<(host::Name, Vec<Row>)> {
        self.forget_idle(now);
        let turn = self.turn();
        let mut messages: Vec<(host::Name, Vec<Row>)> = self
            .neighbours
            .iter()
            .map(|neighbour| (neighbour.clone(), Vec::with_capacity(turn.len())))
            .collect();
        for customer in turn {
            let Some(demand) = self.customers.get_mut(&customer) else {
                continue;
            };
            demand.decay(now);
            let average = demand.round(&self.neighbours);
            for (neighbour, rows) in &mut messages {
                let flow = demand.edges.get(neighbour).map_or(0.0, |edge| edge.flow);
                rows.push(Row(customer, flow as f32, average as f32));
            }
        }
        messages.retain(|(_, rows)| !rows.is_empty());
        messages
    }

    /// Takes in what a neighbour told.
    pub fn receive(&mut self, from: &host::Name, rows: &[Row]) {
        if !self.neighbours.contains(from) {
            return;
        }
        for &Row(customer, flow, estimate) in rows.iter().take(ROWS_MAX) {
            let sound = flow.is_finite() && estimate.is_finite();
            if !sound {
                continue;
            }
            let demand = self.customers.entry(customer).or_default();
            let edge = demand.edges.entry(from.clone()).or_default();
            edge.flow = -f64::from(flow);
            edge.estimate = f64::from(estimate);
        }
    }

    /// Customers known, for metrics.
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// The customers of this round: all in turn, a bounded number at a time.
    fn turn(&mut self) -> Vec<u32> {
        let (before, after): (Vec<u32>, Vec<u32>) = self
            .customers
            .keys()
            .partition(|&&customer| customer < self.next);
        let mut turn = after;
        turn.extend(before);
        turn.truncate(ROWS_MAX);
        if let Some(&last) = turn.last() {
            self.next = last.wrapping_add(1);
        }
        turn
    }

    fn forget_idle(&mut self, now: Duration) {
        self.customers.retain(|_, demand| {
            let idle = demand.rate_at(now) < DEMAND_MIN;
            let settled = |edge: &Edge| edge.estimate.abs() < DEMAND_MIN;
            !idle || !demand.edges.values().all(settled)
        });
    }
}

impl Demand {
    fn rate_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.counted).as_secs_f64();
        self.rate * (-passed / MEMORY.as_secs_f64()).exp()
    }

    fn decay(&mut self, now: Duration) {
        self.rate = self.rate_at(now);
        self.counted = now;
    }

    fn estimate(&self, own: f64) -> f64 {
        own - self.edges.values().map(|edge| edge.flow).sum::<f64>()
    }

    /// Averages with the neighbours and shifts the flows to match.
    fn round(&mut self, neighbours: &[host::Name]) -> f64 {
        let own = self.estimate(self.rate);
        let estimates = neighbours
            .iter()
            .map(|neighbour| self.edges.get(neighbour).map_or(0.0, |edge| edge.estimate));
        let sum: f64 = own + estimates.sum::<f64>();
        let average = sum / (neighbours.len() + 1) as f64;
        for neighbour in neighbours {
            let edge = self.edges.entry(neighbour.clone()).or_default();
            edge.flow += average - edge.estimate;
            edge.estimate = average;
        }
        average
    }
}
