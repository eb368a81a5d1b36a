//! A cold server gets no more than it bears from all entries together, however their
//! requests bunch on the way, and most of what it bears.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snipewinch::cold::Admission;
use snipewinch::cold::Gate;
use snipewinch::cold::Pace;
use snipewinch::cold::Share;
use snipewinch::cold::Terms;
use snipewinch::cold::Until;
use snipewinch::grant::Credit;
use snipewinch::grant::Demand;
use snipewinch::grant::Holder;
use snipewinch::grant::HolderId;
use snipewinch::grant::Issuer;
use snipewinch::server_limit::Board;
use snipewinch::server_limit::Published;
use snipewinch::server_limit::Row;
use snipewinch::server_limit::Server;

const TERMS: Terms = Terms {
    duration: Duration::from_secs(3),
    per_s: 17.0,
};
const OVERAGE: f64 = 1.5;
const BURST: f64 = 5.0;
const BOUND: f64 = 30.5;
const SLOTS: u32 = 12;
const ENTRIES: [usize; 3] = [18, 69, 360];
const SEEDS: u64 = 40;
/// For the ways that are not taken.
const SEEDS_BESIDE: u64 = 8;
/// When the server starts, cold.
const START: u64 = 30_000;
/// When it becomes cold again without a start, and when its agent hears of it.
const AGAIN: u64 = 35_000;
const HEARD: u64 = 35_250;
/// When its agent is killed, and started again.
const KILLED: u64 = 36_400;
const RESTARTED: u64 = 36_700;
const END: u64 = 38_000;
/// How long a request runs.
const RUN: u64 = 250;
/// The longest way of a message.
const WAY: u64 = 300;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    Nothing,
    ShareByEntry,
    NoSpacing,
    Gate,
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn pace() -> Pace {
    Pace::new(TERMS, OVERAGE, BURST)
}

fn shares(entries: usize, per_s: f64) -> Vec<Option<f64>> {
    let name = |index: usize| format!("edge-{index}").as_str().into();
    let view: Vec<Published> = (0..entries)
        .map(|index| Published {
            row: Row {
                entry: name(index),
                news: Vec::new(),
            },
            age: Duration::ZERO,
        })
        .collect();
    let share = |index| {
        let mut board = Board::open(name(index));
        board.apply_view(Duration::ZERO, &view);
        board.share(Server::of("s", Some(1)), per_s)
    };
    (0..entries).map(share).collect()
}

#[derive(Debug)]
enum Event {
    Demand(Demand),
    Credit(usize, Credit),
    Done(usize, bool),
    Tick,
}

/// The times at which requests arrive at the server. Of the entries a quarter cannot
/// reach the agent, and all have requests all the time.
fn arrivals(entries: usize, seed: u64, policy: Policy, ungranted: &[Option<f64>]) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let mut count = 0;
    let mut push = |at: u64, event: Event, events: &mut BTreeMap<(u64, u64), Event>| {
        count += 1;
        events.insert((at, count), event);
    };
    let new_issuer = |now: u64| {
        let mut issuer = Issuer::new();
        issuer.set_capacity(SLOTS, 1);
        if policy == Policy::Gate {
            issuer.cold().set_pace(ms(now), Some(pace()));
        }
        issuer
    };
    let mut issuer = new_issuer(START);
    issuer.cold().record_left(ms(START), TERMS.duration);
    let mut holders: Vec<Holder> = (0..entries)
        .map(|index| Holder::new(HolderId(index as u64)))
        .collect();
    let mut by_entry = vec![Share::default(); entries];
    if policy == Policy::ShareByEntry {
        let rate = TERMS.per_s / entries as f64;
        for share in &mut by_entry {
            share.set(Duration::ZERO, Some(rate));
            let spacing = (1_000.0 / rate) as u64;
            share.record_sent(ms(rng.random_range(START - spacing..START)));
        }
    }
    let mut running = vec![0; entries];
    let mut arrived = Vec::new();
    let mut granted_in_second = (0, 0.0);
    (START..END)
        .step_by(10)
        .for_each(|at| push(at, Event::Tick, &mut events));
    while let Some(((now, _), event)) = events.pop_first() {
        let is_up = !(KILLED..RESTARTED).contains(&now);
        let mut way = || rng.random_range(1..=WAY);
        match event {
            Event::Tick => {
                if now == HEARD {
                    issuer.cold().record_left(ms(now), ms(AGAIN + 3_000 - now));
                }
                if now == RESTARTED {
                    issuer = new_issuer(now);
                }
                for index in 0..entries {
                    let is_cut = index % 4 == 0;
                    let rate = match policy {
                        Policy::ShareByEntry => Some(TERMS.per_s / entries as f64),
                        Policy::Nothing => Some(f64::INFINITY),
                        Policy::Gate | Policy::NoSpacing => ungranted[index],
                    };
                    let has_requests = policy != Policy::ShareByEntry || index % 3 == 0;
                    let passes_by = is_cut || policy == Policy::ShareByEntry || !is_up;
                    let passes_by = passes_by && has_requests;
                    by_entry[index].set(ms(now), rate);
                    let is_open = by_entry[index].admission(ms(now), TERMS.duration).is_open();
                    if passes_by && running[index] == 0 && is_open {
                        by_entry[index].record_sent(ms(now));
                        running[index] += 1;
                        let at = now + way();
                        arrived.push(at);
                        push(at + RUN, Event::Done(index, false), &mut events);
                    }
                    let waits = !is_cut && policy != Policy::ShareByEntry;
                    let demand = holders[index]
                        .demand(ms(now), 3, 500, 500)
                        .filter(|_| waits);
                    if let Some(mut demand) = demand {
                        let left = (AGAIN + 3_000).saturating_sub(now) as u32;
                        demand.cold_ms = if now >= HEARD { left } else { 0 };
                        push(now + way() / 10, Event::Demand(demand), &mut events);
                    }
                }
            }
            Event::Demand(demand) if is_up => {
                if demand.cold_ms > 0 {
                    issuer
                        .cold()
                        .record_left(ms(now), ms(demand.cold_ms.into()));
                }
                issuer.expire(ms(now));
                issuer.receive(ms(now), &demand);
            }
            Event::Demand(..) => {}
            Event::Credit(index, credit) => {
                holders[index].receive(ms(now), &credit);
                while holders[index].acquire() {
                    let at = now + way() / 4;
                    arrived.push(at);
                    push(at + RUN, Event::Done(index, true), &mut events);
                }
            }
            Event::Done(index, true) => holders[index].release(),
            Event::Done(index, false) => running[index] -= 1,
        }
        if !is_up {
            continue;
        }
        if granted_in_second.0 != now / 1_000 {
            granted_in_second = (now / 1_000, 0.0);
        }
        if policy == Policy::NoSpacing && granted_in_second.1 >= TERMS.per_s {
            continue;
        }
        for holder in issuer.grant(ms(now)) {
            granted_in_second.1 += 1.0;
            let credit = issuer.credit(ms(now), holder);
            let late = way();
            push(
                now + late,
                Event::Credit(holder.0 as usize, credit),
                &mut events,
            );
        }
    }
    arrived.sort_unstable();
    arrived
}

/// The most requests that arrive in a second while the server is cold, and the part
/// used of those that it takes after its start.
fn figures(arrived: &[u64]) -> (usize, f64) {
    let cold = |at: &&u64| (START..START + 3_000).contains(*at) || (AGAIN..END).contains(*at);
    let cold: Vec<u64> = arrived.iter().filter(cold).copied().collect();
    let in_second = |(index, at): (usize, &u64)| {
        cold[index..]
            .iter()
            .take_while(|other| **other < at + 1_000)
            .count()
    };
    let most = cold.iter().enumerate().map(in_second).max().unwrap_or(0);
    let first = cold.iter().filter(|at| **at < START + 3_000).count();
    (most, first as f64 / (TERMS.per_s * 3.0))
}

/// The worst of all seeds.
fn worst(entries: usize, policy: Policy) -> (usize, f64) {
    let ungranted = shares(entries, pace().ungranted_per_s);
    let seeds = match policy {
        Policy::Gate => SEEDS,
        _ => SEEDS_BESIDE,
    };
    let all = (0..seeds).map(|seed| figures(&arrivals(entries, seed, policy, &ungranted)));
    let worst = all.fold((0, f64::INFINITY), |worst, one| {
        (worst.0.max(one.0), worst.1.min(one.1))
    });
    println!(
        "{entries} entries, {policy:?}: at most {} a second, {:.2} used",
        worst.0, worst.1
    );
    worst
}

#[test]
fn a_cold_server_gets_no_more_than_its_bound_from_entries_in_touch_and_out_of_it() {
    for entries in ENTRIES {
        let (most, used) = worst(entries, Policy::Gate);
        assert!(
            most as f64 <= BOUND,
            "{entries} entries: {most} in a second"
        );
        assert!(used >= 0.85, "{entries} entries: {used} used");
    }
}

#[test]
fn other_ways_break_the_bound_or_starve() {
    for entries in ENTRIES {
        let (most, _) = worst(entries, Policy::Nothing);
        assert!(most as f64 > BOUND);
        let (most, _) = worst(entries, Policy::NoSpacing);
        assert!(most as f64 > BOUND);
        let (_, used) = worst(entries, Policy::ShareByEntry);
        assert!(used < 0.85);
    }
}

#[test]
fn a_shorter_time_from_another_source_ends_a_cold_time() {
    let mut until = Until::default();
    until.record_listed(ms(0), ms(2_000));
    until.record_heard(ms(100), ms(0));
    until.record_heard(ms(100), ms(500));
    assert_eq!(until.left(ms(1_500)), ms(500));
    assert_eq!(until.left(ms(2_000)), ms(0));
}

#[test]
fn a_cold_time_grows_as_entry_and_agent_tell_it_to_each_other() {
    let mut until = Until::default();
    until.record_listed(ms(0), ms(1_000));
    until.record_heard(ms(200), ms(5_000));
    assert_eq!(until.listed_left(ms(400)), ms(600));
}

#[test]
fn grants_made_before_a_server_was_known_to_be_cold_are_not_counted() {
    let mut gate = Gate::default();
    gate.set_pace(ms(0), Some(pace()));
    (0..30).for_each(|index| gate.record_grant(ms(1_000 + index * 10)));
    assert!(gate.record_left(ms(1_300), ms(3_000)));
    assert_ne!(gate.admission(ms(1_400)), Admission::Open);
    let later = ms(1_300) + Pace::WINDOW;
    assert_eq!(gate.admission(later), Admission::Open);
}

#[test]
fn a_service_without_cold_servers_is_held_back() {
    let mut gate = Gate::default();
    gate.record_left(ms(0), ms(3_000));
    gate.record_grant(ms(0));
    assert_eq!(gate.admission(ms(0)), Admission::Open);
    assert_eq!(gate.free(ms(0), 12, 3), 12);
}

#[test]
fn grants_and_requests_without_one_break_a_tight_bound_together() {
    for per_s in [0.5, 1.0, 4.0, 17.0, 300.0] {
        for (overage, burst) in [(1.0, 0.0), (1.5, 5.0), (1.0, 20.0), (3.0, 0.0)] {
            let terms = Terms { per_s, ..TERMS };
            let pace = Pace::new(terms, overage, burst);
            let bound: f64 = (per_s * overage + burst).max(1.0);
            let owners = match pace.ungranted_per_s > 0.0 {
                true => pace.ungranted_per_s + 2.0,
                false => 0.0,
            };
            let most = pace.grants_max as f64 + owners;
            assert!(
                most <= bound + 1e-6,
                "{per_s} x {overage} + {burst}: {most}"
            );
        }
    }
}

#[test]
fn a_process_that_just_started_counts_as_an_owner() {
    let board = Board::open("edge-1".into());
    assert_eq!(board.share(Server::of("s", Some(1)), 17.0), None);
    let share = Share::default();
    assert_eq!(share.admission(ms(5), ms(700)), Admission::Later(ms(700)));
}

#[test]
fn older_processes_do_not_understand_demands_and_credits() {
    let mut holder = Holder::new(HolderId(1));
    let demand = holder.demand(ms(1_000), 1, 5, 5).expect("a request waits");
    let bytes = serde_json::to_string(&demand).expect("a demand is serializable");
    assert!(!bytes.contains("\"x\""));
    let read: Demand = serde_json::from_str(&bytes).expect("a demand without it is valid");
    assert_eq!(read.cold_ms, 0);
}

#[test]
fn an_agent_that_stood_still_grants_slots_of_a_server_that_started_meanwhile() {
    let mut gate = Gate::default();
    gate.set_pace(ms(0), Some(pace()));
    gate.record_seen(ms(1_000));
    assert_eq!(gate.admission(ms(1_200)), Admission::Open);
    assert_ne!(gate.admission(ms(4_000)), Admission::Open);
    gate.record_seen(ms(4_000));
    assert_eq!(gate.admission(ms(4_010)), Admission::Open);
}
