//! The average of demands over all entry hosts, without a coordinator. Demands
//! go by numbers; a [`super::Limiter`] has one for each customer and service.
//!
//! Flow updating (Jesus, Baquero and Almeida, "Fault-tolerant aggregation by
//! flow updating", 2009): a host keeps one flow for each neighbour and demand.
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
pub const GOSSIP_PERIOD: Duration = Duration::from_secs(1);
/// Rows in one message.
pub const ROWS_MAX: usize = 16;
/// Rows of a message that are chosen by turn; the others are those whose
/// averages have changed most since they were last told.
const ROWS_IN_TURN: usize = 4;
/// Demand is averaged over about this time.
const MEMORY: Duration = Duration::from_secs(5);
/// Every host takes this part of an equal part of a rate, also without demand,
/// so that the first call of a customer need not wait for gossip.
const EQUAL_PART: f64 = 0.05;
/// Below this, in calls a second, demand is none.
const DEMAND_MIN: f64 = 1e-4;

/// What a message says about one demand: its number, the flow from the sender
/// to the receiver, and the sender's estimate of the average, in calls a second.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row(pub u32, pub f32, pub f32);

/// What a host knows of some demand, in calls a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// What arrives here.
    pub own: f64,
    /// What arrives at a host on average.
    pub average: f64,
}

impl Rates {
    /// The part of a rate for the whole fleet that this host may use.
    pub fn fraction(&self, entries: usize) -> f64 {
        let entries = entries as f64;
        let equal = EQUAL_PART * self.average.max(DEMAND_MIN);
        let part = (self.own + equal) / (entries * (self.average + equal));
        part.min(1.0)
    }

    /// This host's demand against the average host's.
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
    /// Calls a second, decaying.
    rate: f64,
    counted: Duration,
    /// The average that was last told.
    told: f64,
    edges: HashMap<host::Name, Edge>,
}

/// Demand at this host and what it knows of the average.
#[derive(Clone, Debug)]
pub struct Tracker {
    entries: usize,
    neighbours: Vec<host::Name>,
    demands: BTreeMap<u32, Demand>,
    /// The number at which the next round starts.
    next: u32,
}

impl Tracker {
    /// A host that is alone.
    pub fn new(seed: u64) -> Tracker {
        Tracker {
            entries: 1,
            neighbours: Vec::new(),
            demands: BTreeMap::default(),
            next: mix::combine(seed, 0) as u32,
        }
    }

    /// How many entry hosts there are, this one included.
    pub fn set_entry_count(&mut self, count: usize) {
        self.entries = count.max(1);
    }

    /// A neighbour can be reached.
    pub fn add_neighbour(&mut self, neighbour: host::Name) {
        if !self.neighbours.contains(&neighbour) {
            self.neighbours.push(neighbour);
        }
    }

    /// A neighbour can't be reached any more.
    pub fn remove_neighbour(&mut self, neighbour: &host::Name) {
        self.neighbours.retain(|other| other != neighbour);
        for demand in self.demands.values_mut() {
            demand.edges.remove(neighbour);
        }
    }

    /// How many entry hosts there are, this one included.
    pub fn entry_count(&self) -> usize {
        self.entries
    }

    /// Counts `calls` under a number.
    pub fn record(&mut self, now: Duration, number: u32, calls: f64) {
        let demand = self.demands.entry(number).or_default();
        demand.decay(now);
        demand.rate += calls / MEMORY.as_secs_f64();
    }

    /// What is known under a number.
    pub fn rates(&self, now: Duration, number: u32) -> Rates {
        let Some(demand) = self.demands.get(&number) else {
            return Rates::default();
        };
        let own = demand.rate_at(now);
        // Own demand alone bounds the average from below, so that a host which
        // knows of no other is never given less than it would be alone.
        let average = demand.estimate(own).max(own / self.entries as f64);
        Rates { own, average }
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
        for number in turn {
            let Some(demand) = self.demands.get_mut(&number) else {
                continue;
            };
            demand.decay(now);
            let average = demand.round(&self.neighbours);
            for (neighbour, rows) in &mut messages {
                let flow = demand.edges.get(neighbour).map_or(0.0, |edge| edge.flow);
                rows.push(Row(number, flow as f32, average as f32));
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
        for &Row(number, flow, estimate) in rows.iter().take(ROWS_MAX) {
            let sound = flow.is_finite() && estimate.is_finite();
            if !sound {
                continue;
            }
            let demand = self.demands.entry(number).or_default();
            let edge = demand.edges.entry(from.clone()).or_default();
            edge.flow = -f64::from(flow);
            edge.estimate = f64::from(estimate);
        }
    }

    /// Demands known, for metrics.
    pub fn len(&self) -> usize {
        self.demands.len()
    }

    /// Whether no demand is known.
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }

    /// The numbers of this round: a few in turn, and those with most news.
    fn turn(&mut self) -> Vec<u32> {
        let after = self.demands.range(self.next..);
        let before = self.demands.range(..self.next);
        let in_turn = after.chain(before).map(|(&number, _)| number);
        let mut turn: Vec<u32> = in_turn.take(ROWS_IN_TURN).collect();
        if let Some(&last) = turn.last() {
            self.next = last.wrapping_add(1);
        }
        let others = self
            .demands
            .iter()
            .filter(|(number, _)| !turn.contains(number));
        let mut others: Vec<(f64, u32)> = others
            .map(|(&number, demand)| (demand.news(), number))
            .collect();
        others.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
        others.truncate(ROWS_MAX - ROWS_IN_TURN);
        turn.extend(others.into_iter().map(|(_, number)| number));
        turn
    }

    fn forget_idle(&mut self, now: Duration) {
        self.demands.retain(|_, demand| {
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

    /// How far the average is from what was last told, against itself.
    fn news(&self) -> f64 {
        let estimate = self.estimate(self.rate);
        (estimate - self.told).abs() / estimate.abs().max(DEMAND_MIN)
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
        self.told = average;
        average
    }
}
