//! The average of each demand over all entry hosts, without a coordinator. A
//! demand is identified by a number; a [`super::Limiter`] has one for each
//! customer and service.
//!
//! Flow updating (Jesus, Baquero and Almeida, "Fault-tolerant aggregation by
//! flow updating", 2009): a host keeps one flow for each neighbour and demand.
//! Its estimate of the average is its own demand less the flows to its
//! neighbours. In each round it averages its estimate with those of its
//! neighbours and adjusts the flows to match. A message carries the flows
//! themselves, not changes to them: one that is lost, delayed or duplicated has
//! no lasting effect. The flows of a neighbour that is gone are removed, so
//! that the remaining hosts converge to the average of the remaining demand.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::host;
use crate::mix;

/// The time between two rounds.
pub const GOSSIP_PERIOD: Duration = Duration::from_secs(1);
/// The maximum number of rows in a message.
pub const ROWS_MAX: usize = 16;
/// The rows of a message that are selected round-robin; the others are those
/// whose averages have changed most since they were last sent.
const ROUND_ROBIN_ROWS: usize = 4;
/// The time constant of the exponential decay of a rate.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// The fraction of an equal share that every host gets of a rate, even without
/// demand, so that the first call of a customer does not wait for gossip.
const EQUAL_FRACTION: f64 = 0.05;
/// A demand below this rate counts as none.
const DEMAND_MIN_PER_S: f64 = 1e-4;

/// One demand in a message: its identifier, the flow from the sender to the
/// receiver and the sender's estimate of the average, both in calls per second.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row(pub u32, pub f32, pub f32);

/// The rates of a demand as a host knows them, in calls per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// The rate at this host.
    pub own: f64,
    /// The average rate of an entry host.
    pub average: f64,
}

impl Rates {
    /// The fraction of a fleet-wide rate that this host may use.
    pub fn fraction(&self, entries: usize) -> f64 {
        let entries = entries as f64;
        let equal = EQUAL_FRACTION * self.average.max(DEMAND_MIN_PER_S);
        let fraction = (self.own + equal) / (entries * (self.average + equal));
        fraction.min(1.0)
    }

    /// The rate at this host divided by the average rate.
    pub fn ratio_to_average(&self) -> f64 {
        match self.average {
            0.0 => 1.0,
            average => self.own / average,
        }
    }
}

impl std::ops::Add for Rates {
    type Output = Rates;

    fn add(self, other: Rates) -> Rates {
        Rates {
            own: self.own + other.own,
            average: self.average + other.average,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Edge {
    flow: f64,
    estimate: f64,
}

#[derive(Clone, Debug, Default)]
struct Demand {
    /// The decaying rate, in calls per second.
    rate: f64,
    decayed_at: Duration,
    /// The average that was last sent.
    sent: f64,
    edges: HashMap<host::Name, Edge>,
}

/// The demands at this host and its estimates of their averages.
#[derive(Clone, Debug)]
pub struct Tracker {
    entries: usize,
    neighbours: Vec<host::Name>,
    demands: BTreeMap<u32, Demand>,
    /// The identifier at which the next round-robin selection starts.
    next: u32,
}

impl Tracker {
    /// Creates the tracker of an entry host without others.
    pub fn new(seed: u64) -> Tracker {
        Tracker {
            entries: 1,
            neighbours: Vec::new(),
            demands: BTreeMap::default(),
            next: mix::combine(seed, 0) as u32,
        }
    }

    /// Sets the number of entry hosts, including this one.
    pub fn set_entry_count(&mut self, count: usize) {
        self.entries = count.max(1);
    }

    /// Adds a neighbour to gossip with.
    pub fn add_neighbour(&mut self, neighbour: host::Name) {
        if !self.neighbours.contains(&neighbour) {
            self.neighbours.push(neighbour);
        }
    }

    /// Removes a neighbour that can no longer be reached, and its flows.
    pub fn remove_neighbour(&mut self, neighbour: &host::Name) {
        self.neighbours.retain(|other| other != neighbour);
        for demand in self.demands.values_mut() {
            demand.edges.remove(neighbour);
        }
    }

    /// The number of entry hosts, including this one.
    pub fn entry_count(&self) -> usize {
        self.entries
    }

    /// Adds `calls` to a demand.
    pub fn record(&mut self, now: Duration, id: u32, calls: f64) {
        let demand = self.demands.entry(id).or_default();
        demand.decay(now);
        demand.rate += calls / DECAY_TIME.as_secs_f64();
    }

    /// The known rates of a demand.
    pub fn rates(&self, now: Duration, id: u32) -> Rates {
        let Some(demand) = self.demands.get(&id) else {
            return Rates::default();
        };
        let own = demand.rate_at(now);
        // The average is at least `own / entries`. A lower estimate, which may
        // even be negative while flows converge, must not give this host less
        // than it would get if it knew of no other.
        let average = demand.estimate(own).max(own / self.entries as f64);
        Rates { own, average }
    }

    /// Runs a round and returns the rows to send to each neighbour.
    pub fn gossip(&mut self, now: Duration) -> Vec<(host::Name, Vec<Row>)> {
        self.remove_idle(now);
        let selected = self.select();
        let mut messages: Vec<(host::Name, Vec<Row>)> = self
            .neighbours
            .iter()
            .map(|neighbour| (neighbour.clone(), Vec::with_capacity(selected.len())))
            .collect();
        for id in selected {
            let Some(demand) = self.demands.get_mut(&id) else {
                continue;
            };
            demand.decay(now);
            let average = demand.update_flows(&self.neighbours);
            for (neighbour, rows) in &mut messages {
                let flow = demand.edges.get(neighbour).map_or(0.0, |edge| edge.flow);
                rows.push(Row(id, flow as f32, average as f32));
            }
        }
        messages.retain(|(_, rows)| !rows.is_empty());
        messages
    }

    /// Handles rows received from a neighbour. Rows from other hosts, rows
    /// beyond [`ROWS_MAX`] and rows that are not finite are ignored.
    pub fn receive(&mut self, from: &host::Name, rows: &[Row]) {
        if !self.neighbours.contains(from) {
            return;
        }
        for &Row(id, flow, estimate) in rows.iter().take(ROWS_MAX) {
            let finite = flow.is_finite() && estimate.is_finite();
            if !finite {
                continue;
            }
            let demand = self.demands.entry(id).or_default();
            let edge = demand.edges.entry(from.clone()).or_default();
            edge.flow = -f64::from(flow);
            edge.estimate = f64::from(estimate);
        }
    }

    /// The number of known demands, for metrics.
    pub fn len(&self) -> usize {
        self.demands.len()
    }

    /// Whether no demand is known.
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }

    /// Selects the demands of a round: some round-robin, and those that have
    /// changed most.
    fn select(&mut self) -> Vec<u32> {
        let after = self.demands.range(self.next..);
        let before = self.demands.range(..self.next);
        let round_robin = after.chain(before).map(|(&id, _)| id);
        let mut selected: Vec<u32> = round_robin.take(ROUND_ROBIN_ROWS).collect();
        if let Some(&last) = selected.last() {
            self.next = last.wrapping_add(1);
        }
        let others = self.demands.iter().filter(|(id, _)| !selected.contains(id));
        let mut others: Vec<(f64, u32)> =
            others.map(|(&id, demand)| (demand.change(), id)).collect();
        others.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        others.truncate(ROWS_MAX - ROUND_ROBIN_ROWS);
        selected.extend(others.into_iter().map(|(_, id)| id));
        selected
    }

    fn remove_idle(&mut self, now: Duration) {
        self.demands.retain(|_, demand| {
            let idle = demand.rate_at(now) < DEMAND_MIN_PER_S;
            let negligible = |edge: &Edge| edge.estimate.abs() < DEMAND_MIN_PER_S;
            !idle || !demand.edges.values().all(negligible)
        });
    }
}

impl Demand {
    fn rate_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        self.rate * (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }

    fn decay(&mut self, now: Duration) {
        self.rate = self.rate_at(now);
        self.decayed_at = now;
    }

    fn estimate(&self, own: f64) -> f64 {
        own - self.edges.values().map(|edge| edge.flow).sum::<f64>()
    }

    /// The relative change of the average since it was last sent.
    fn change(&self) -> f64 {
        let estimate = self.estimate(self.rate);
        (estimate - self.sent).abs() / estimate.abs().max(DEMAND_MIN_PER_S)
    }

    /// Averages the estimate with those of the neighbours, adjusts the flows to
    /// match, and returns the average.
    fn update_flows(&mut self, neighbours: &[host::Name]) -> f64 {
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
        self.sent = average;
        average
    }
}
