//! The policy of routing, limits and retries under load, in a small model.

mod overload;

use std::time::Duration;

use overload::EARLY;
use overload::Model;
use overload::Report;
use overload::customer;

const SEEDS: [u64; 3] = [1, 2, 3];
const SMALL: usize = 8;
const LARGE: usize = 2;

/// Ten customers, two of them large, that bring `load` times the capacity.
/// `large` of it comes from the large ones.
fn model(seed: u64, load: f64, large: f64) -> Model {
    let mut model = Model {
        seed,
        entries: 3,
        hosts: 6,
        capacity: 8,
        work: Duration::from_millis(200),
        deadline: Duration::from_secs(2),
        customers: Vec::new(),
        time: Duration::from_secs(60),
        warm: Duration::from_secs(20),
        at_one_entry: usize::MAX,
        broken: Vec::new(),
    };
    let rate = load * model.capacity();
    let names = (0..SMALL).map(|n| (format!("small-{n}"), rate * (1.0 - large) / SMALL as f64));
    let names =
        names.chain((0..LARGE).map(|n| (format!("large-{n}"), rate * large / LARGE as f64)));
    model.customers = names.map(|(name, rate)| (customer(&name), rate)).collect();
    model
}

/// The least of what small customers got of what they asked for or, if less, of
/// their part of the capacity.
fn least_small_share(model: &Model, report: &Report) -> f64 {
    let fair = model.capacity() / (SMALL + LARGE) as f64;
    let small = report
        .customers
        .iter()
        .filter(|(name, _)| name.starts_with("small"));
    small
        .map(|(_, tally)| {
            let asked = tally.calls as f64 / report.seconds;
            tally.good as f64 / report.seconds / asked.min(fair)
        })
        .fold(f64::INFINITY, f64::min)
}

#[test]
fn small_customers_keep_their_share_beside_large_ones() {
    // (load, part of the large ones)
    let table = [(1.5, 0.9), (2.0, 0.7), (4.0, 0.9), (10.0, 0.95)];
    for (load, large) in table {
        for seed in SEEDS {
            let model = model(seed, load, large);
            let report = model.run();
            let share = least_small_share(&model, &report);
            println!("load {load}, large {large}, seed {seed}: {share:.3}");
            assert!(
                share >= 0.9,
                "load {load}, large {large}, seed {seed}: {share:.3}"
            );
        }
    }
}

#[test]
fn small_customers_keep_their_share_when_the_large_ones_press_on_one_entry() {
    for seed in SEEDS {
        let mut model = model(seed, 2.0, 0.8);
        model.at_one_entry = SMALL;
        let report = model.run();
        let share = least_small_share(&model, &report);
        let part = report.goodput() / model.capacity();
        println!("seed {seed}: {share:.3}, {part:.3} of the capacity used");
        assert!(share >= 0.9, "seed {seed}: {share:.3}");
        assert!(part >= 0.9, "seed {seed}: {part:.3}");
    }
}

#[test]
fn calls_hardly_wait_below_capacity() {
    for seed in SEEDS {
        let model = model(seed, 0.8, 0.5);
        let report = model.run();
        let p95 = report.quantile(0.95);
        println!(
            "seed {seed}: p95 {p95:.3} s for {:.3} s of work",
            model.work.as_secs_f64()
        );
        // The longest work is one and a half times the mean.
        assert!(p95 <= 2.0 * model.work.as_secs_f64(), "seed {seed}: {p95}");
    }
}

#[test]
fn goodput_holds_at_twice_the_load() {
    for seed in SEEDS {
        let once = model(seed, 1.0, 0.5).run().goodput();
        let twice = model(seed, 2.0, 0.5).run().goodput();
        println!("seed {seed}: {once:.1} at once, {twice:.1} at twice the load");
        assert!(twice >= 0.95 * once, "seed {seed}: {twice:.1} of {once:.1}");
    }
}

#[test]
fn retries_stay_below_a_tenth() {
    // (load, broken hosts)
    let table: [(f64, &[usize]); 4] = [
        (0.5, &[0]),
        (2.0, &[]),
        (0.8, &[0, 1, 2]),
        (2.0, &[0, 1, 2, 3, 4]),
    ];
    for (load, broken) in table {
        for seed in SEEDS {
            let mut model = model(seed, load, 0.5);
            model.broken = broken.to_vec();
            let report = model.run();
            let ratio = report.retries as f64 / report.tries as f64;
            println!("load {load}, broken {broken:?}, seed {seed}: {ratio:.4}");
            assert!(
                ratio <= 0.1,
                "load {load}, broken {broken:?}, seed {seed}: {ratio}"
            );
        }
    }
}

#[test]
fn one_broken_host_costs_few_calls() {
    for seed in SEEDS {
        let mut model = model(seed, 0.5, 0.5);
        model.broken = vec![0];
        let report = model.run();
        let counted = report.customers.iter().filter(|(name, _)| *name != EARLY);
        let (calls, good) = counted.fold((0, 0), |(calls, good), (_, tally)| {
            (calls + tally.calls, good + tally.good)
        });
        println!("seed {seed}: {good} of {calls}");
        // What is under way at the end is in neither.
        assert!(
            good as f64 >= 0.99 * calls as f64,
            "seed {seed}: {good} of {calls}"
        );
    }
}
