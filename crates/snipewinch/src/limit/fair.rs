//! What the fleet owes the customers whose calls arrive at one entry host.

use super::demand::Rates;

/// One customer's demand for a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) rates: Rates,
    pub(super) weight: f64,
}

/// This host's part of a capacity of `rate` calls a second: every customer is
/// owed what it asks for or, where that is too much for all, as much as others
/// by its weight (max-min fairness; Bertsekas and Gallager, "Data networks",
/// 1992), and of that the part of its calls that arrive here.
pub(super) fn part(demands: &[Demand], entries: usize, rate: f64) -> f64 {
    let level = level(demands, entries, rate);
    let mut here = 0.0;
    let mut all = 0.0;
    for demand in demands {
        let owed = demand.all(entries).min(level * demand.weight);
        here += owed * demand.rates.fraction(entries);
        all += owed;
    }
    match all {
        // Nobody has asked for anything yet.
        0.0 => 1.0 / entries as f64,
        all => here / all,
    }
}

/// How much a customer of weight 1 is owed at most.
fn level(demands: &[Demand], entries: usize, rate: f64) -> f64 {
    let mut rising: Vec<&Demand> = demands.iter().collect();
    rising.sort_by(|a, b| a.by_weight(entries).total_cmp(&b.by_weight(entries)));
    let mut left = rate;
    let mut weights: f64 = rising.iter().map(|demand| demand.weight).sum();
    for demand in rising {
        let level = left / weights;
        if demand.by_weight(entries) > level {
            return level;
        }
        left -= demand.all(entries);
        weights -= demand.weight;
    }
    f64::INFINITY
}

impl Demand {
    /// Calls a second over all entry hosts.
    fn all(&self, entries: usize) -> f64 {
        self.rates.average * entries as f64
    }

    fn by_weight(&self, entries: usize) -> f64 {
        self.all(entries) / self.weight
    }
}
