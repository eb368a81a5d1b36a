//! The share of a service's capacity that one entry host may use.

use super::demand::Rates;

/// One customer's demand for a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) rates: Rates,
    pub(super) weight: f64,
}

/// The fraction of a capacity, in calls per second, that this host may use.
///
/// Every customer is allocated its demand or, where the sum exceeds the
/// capacity, at most as much per weight as every other (max-min fairness;
/// Bertsekas and Gallager, "Data networks", 1992). Of that allocation this host
/// gets the fraction of the customer's calls that arrive here.
pub(super) fn host_fraction(demands: &[Demand], entries: usize, capacity: f64) -> f64 {
    let per_weight = fair_rate(demands, entries, capacity);
    let mut here = 0.0;
    let mut total = 0.0;
    for demand in demands {
        let allocated = demand.fleet_rate(entries).min(per_weight * demand.weight);
        here += allocated * demand.rates.fraction(entries);
        total += allocated;
    }
    match total {
        // There is no demand yet.
        0.0 => 1.0 / entries as f64,
        total => here / total,
    }
}

/// The highest rate that a customer of weight 1 is allocated.
fn fair_rate(demands: &[Demand], entries: usize, capacity: f64) -> f64 {
    let mut ascending: Vec<&Demand> = demands.iter().collect();
    ascending.sort_by(|a, b| a.per_weight(entries).total_cmp(&b.per_weight(entries)));
    let mut remaining = capacity;
    let mut weights: f64 = ascending.iter().map(|demand| demand.weight).sum();
    for demand in ascending {
        let per_weight = remaining / weights;
        if demand.per_weight(entries) > per_weight {
            return per_weight;
        }
        remaining -= demand.fleet_rate(entries);
        weights -= demand.weight;
    }
    f64::INFINITY
}

impl Demand {
    /// The rate over all entry hosts, in calls per second.
    fn fleet_rate(&self, entries: usize) -> f64 {
        self.rates.average * entries as f64
    }

    fn per_weight(&self, entries: usize) -> f64 {
        self.fleet_rate(entries) / self.weight
    }
}
