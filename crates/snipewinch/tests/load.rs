//! Routing, limits and retries under load, in a simulation.

mod overload;

use std::time::Duration;

use overload::Model;
use overload::Report;
use overload::WARM_UP;
use overload::customer;

const SEEDS: [u64; 3] = [1, 2, 3];
const SMALL: usize = 8;
const LARGE: usize = 2;

/// A model with ten customers, two of them large, that offer `load` times the
/// capacity; the large ones offer the fraction `large` of that load.
fn model(seed: u64, load: f64, large: f64) -> Model {
    let mut model = Model {
        seed,
        entries: 3,
        hosts: 6,
        capacity: 8,
        service_time: Duration::from_millis(200),
        deadline: Duration::from_secs(2),
        customers: Vec::new(),
        duration: Duration::from_secs(60),
        warm_up: Duration::from_secs(20),
        pinned_from: usize::MAX,
        failing: Vec::new(),
    };
    let rate = load * model.capacity();
    let names = (0..SMALL).map(|n| (format!("small-{n}"), rate * (1.0 - large) / SMALL as f64));
    let names =
        names.chain((0..LARGE).map(|n| (format!("large-{n}"), rate * large / LARGE as f64)));
    model.customers = names.map(|(name, rate)| (customer(&name), rate)).collect();
    model
}

/// The lowest goodput of a small customer, as a fraction of its offered load or
/// of its fair share of the capacity, whichever is less.
fn lowest_small_share(model: &Model, report: &Report) -> f64 {
    let fair = model.capacity() / (SMALL + LARGE) as f64;
    let small = report
        .customers
        .iter()
        .filter(|(name, _)| name.starts_with("small"));
    small
        .map(|(_, tally)| {
            let offered = tally.calls as f64 / report.seconds;
            tally.in_time as f64 / report.seconds / offered.min(fair)
        })
        .fold(f64::INFINITY, f64::min)
}

#[test]
fn small_customers_keep_their_share_beside_large_ones() {
    // (load, fraction of it from the large customers)
    let table = [(1.5, 0.9), (2.0, 0.7), (4.0, 0.9), (10.0, 0.95)];
    for (load, large) in table {
        for seed in SEEDS {
            let model = model(seed, load, large);
            let report = model.run();
            let share = lowest_small_share(&model, &report);
            println!("load {load}, large {large}, seed {seed}: {share:.3}");
            assert!(
                share >= 0.9,
                "load {load}, large {large}, seed {seed}: {share:.3}"
            );
        }
    }
}

#[test]
fn small_customers_keep_their_share_when_the_large_ones_load_one_entry() {
    for seed in SEEDS {
        let mut model = model(seed, 2.0, 0.8);
        model.pinned_from = SMALL;
        let report = model.run();
        let share = lowest_small_share(&model, &report);
        let used = report.goodput() / model.capacity();
        println!("seed {seed}: {share:.3}, {used:.3} of the capacity used");
        assert!(share >= 0.9, "seed {seed}: {share:.3}");
        assert!(used >= 0.9, "seed {seed}: {used:.3}");
    }
}

#[test]
fn the_wait_is_short_below_the_capacity() {
    for seed in SEEDS {
        let model = model(seed, 0.8, 0.5);
        let report = model.run();
        let p95 = report.quantile(0.95);
        println!(
            "seed {seed}: p95 {p95:.3} s, mean service time {:.3} s",
            model.service_time.as_secs_f64()
        );
        // The longest service time is one and a half times the mean.
        assert!(
            p95 <= 2.0 * model.service_time.as_secs_f64(),
            "seed {seed}: {p95}"
        );
    }
}

#[test]
fn goodput_holds_at_twice_the_load() {
    for seed in SEEDS {
        let once = model(seed, 1.0, 0.5).run().goodput();
        let twice = model(seed, 2.0, 0.5).run().goodput();
        println!(
            "seed {seed}: {once:.1} calls/s at the capacity, {twice:.1} calls/s at twice the load"
        );
        assert!(twice >= 0.95 * once, "seed {seed}: {twice:.1} of {once:.1}");
    }
}

#[test]
fn retries_stay_below_a_tenth_of_first_attempts() {
    // (load, failing hosts)
    let table: [(f64, &[usize]); 4] = [
        (0.5, &[0]),
        (2.0, &[]),
        (0.8, &[0, 1, 2]),
        (2.0, &[0, 1, 2, 3, 4]),
    ];
    for (load, failing) in table {
        for seed in SEEDS {
            let mut model = model(seed, load, 0.5);
            model.failing = failing.to_vec();
            let report = model.run();
            let ratio = report.retries as f64 / report.first_attempts as f64;
            println!("load {load}, failing {failing:?}, seed {seed}: {ratio:.4}");
            assert!(
                ratio <= 0.1,
                "load {load}, failing {failing:?}, seed {seed}: {ratio}"
            );
        }
    }
}

#[test]
fn one_failing_host_fails_at_most_one_percent_of_calls() {
    for seed in SEEDS {
        let mut model = model(seed, 0.5, 0.5);
        model.failing = vec![0];
        let report = model.run();
        let counted = report.customers.iter().filter(|(name, _)| *name != WARM_UP);
        let (calls, in_time) = counted.fold((0, 0), |(calls, in_time), (_, tally)| {
            (calls + tally.calls, in_time + tally.in_time)
        });
        println!("seed {seed}: {in_time} of {calls} calls answered in time");
        // Calls that are running at the end count as calls, not as answered.
        assert!(
            in_time as f64 >= 0.99 * calls as f64,
            "seed {seed}: {in_time} of {calls}"
        );
    }
}
