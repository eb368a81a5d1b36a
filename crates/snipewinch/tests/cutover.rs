//! No request begins on an older version of the weights later than the bound
//! after a newer one was acknowledged, in a model without a network: hosts that
//! freeze or are cut off, queues, agents and entries that restart, late news.
//!
//! `CUTOVER_FACTOR=10` plays ten times as many seeds and prints the figures beside
//! those of other remedies.

mod cutover_fleet;

use cutover_fleet::Cause;
use cutover_fleet::Fleet;
use cutover_fleet::Goodput;
use cutover_fleet::Late;
use cutover_fleet::Outcome;
use cutover_fleet::Remedy;

/// The least goodput around the bound, as a share of that with a constant margin.
const GOODPUT_MIN: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct Site {
    entries: usize,
    engines: usize,
    seeds: u64,
}

/// The figures of all seeds.
#[derive(Debug, Default)]
struct Sum {
    plays: Vec<Play>,
    before: Goodput,
    after: Goodput,
}

#[derive(Debug)]
struct Play {
    seed: u64,
    outcome: Outcome,
}

fn factor() -> u64 {
    let text = std::env::var("CUTOVER_FACTOR").unwrap_or_default();
    text.parse().unwrap_or(1)
}

fn play_seeds(site: Site, remedy: Remedy) -> Sum {
    let mut sum = Sum::default();
    for seed in 0..site.seeds * factor() {
        let outcome = Fleet::new(site.entries, site.engines, seed, remedy).play();
        sum.before.add(outcome.before);
        sum.after.add(outcome.after);
        sum.plays.push(Play { seed, outcome });
    }
    sum
}

fn print_header() {
    println!(
        "{:<10} {:>7} {:>5} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7}",
        "policy",
        "entries",
        "plays",
        "late mean",
        "late most",
        "remaining",
        "withdrawn",
        "begun yet",
        "failed",
        "before",
        "after"
    );
}

/// Prints how many requests began late that could be prevented, and how many
/// because their hosts froze with them; how many were withdrawn, and began all the
/// same; how many were late or refused in the last seconds before the bound; the
/// goodput before and after it.
fn print(site: Site, remedy: Remedy, sum: &Sum) {
    let plays = sum.plays.len();
    let outcomes = || sum.plays.iter().map(|one| &one.outcome);
    let late: usize = outcomes().map(Outcome::preventable).sum();
    let all: usize = outcomes().map(|one| one.late.len()).sum();
    println!(
        "{:<10} {:>7} {plays:>5} {:>9.2} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7.3} {:>7.3}",
        format!("{remedy:?}"),
        site.entries,
        late as f64 / plays as f64,
        outcomes().map(Outcome::preventable).max().unwrap_or(0),
        all - late,
        outcomes().map(|one| one.withdrawn).sum::<u32>(),
        outcomes()
            .map(|one| one.begun_after_withdrawal)
            .sum::<u32>(),
        sum.before.arrived - sum.before.on_time,
        sum.before.share(),
        sum.after.share(),
    );
}

/// Each preventable late request, with its seed and cause.
fn late_requests(sum: &Sum) -> Vec<String> {
    let all = sum.plays.iter().flat_map(|play| {
        let late = play.outcome.late.iter();
        let preventable = late.filter(|one| one.cause != Cause::Frozen);
        preventable.map(|one| describe(play.seed, *one))
    });
    all.collect()
}

fn describe(seed: u64, late: Late) -> String {
    let withdrawn = match late.is_withdrawn {
        true => ", withdrawn before",
        false => "",
    };
    let ms = late.by.as_millis();
    format!("seed {seed}: {ms} ms, {:?}{withdrawn}", late.cause)
}

fn keeps_bound(site: Site) {
    let constant = play_seeds(site, Remedy::Constant);
    let predicted = play_seeds(site, Remedy::Predicted);
    print_header();
    print(site, Remedy::Constant, &constant);
    if factor() > 1 {
        for remedy in [Remedy::Twice, Remedy::NewestOnly] {
            print(site, remedy, &play_seeds(site, remedy));
        }
    }
    print(site, Remedy::Predicted, &predicted);
    let late = late_requests(&predicted);
    assert!(late.is_empty(), "{} begun late: {late:?}", late.len());
    for (own, other) in [
        (predicted.before, constant.before),
        (predicted.after, constant.after),
    ] {
        let (own, other) = (own.share(), other.share());
        assert!(own >= GOODPUT_MIN * other, "goodput {own}, before {other}");
    }
}

#[test]
fn no_request_begins_on_old_weights_after_the_bound_with_18_entries() {
    keeps_bound(Site {
        entries: 18,
        engines: 12,
        seeds: 20,
    });
}

#[test]
fn no_request_begins_on_old_weights_after_the_bound_with_55_entries() {
    keeps_bound(Site {
        entries: 55,
        engines: 45,
        seeds: 8,
    });
}

#[test]
fn no_request_begins_on_old_weights_after_the_bound_with_360_entries() {
    keeps_bound(Site {
        entries: 360,
        engines: 280,
        seeds: 2,
    });
}
