//! A request that ends each runner that begins to run it comes twice at the same moment.
//! With `ALONE=1` it comes once each time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use crate::runner::Plan;
use crate::runner::Runner;
use crate::world::World;

const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const POISON: &str = "ballad=the-wreck";
/// The first time at which it comes, and the time between two.
const FIRST: Duration = Duration::from_secs(6);
const INTERVAL: Duration = Duration::from_secs(4);
const TIMES: u32 = 14;
/// The most retries that may reach runners after the third end and the stable window.
const RETRIES_MAX: usize = 3;

pub fn run() {
    let world = World::open("7", 87);
    world.store.put("op", "config", CONFIGURATION);
    let zones = [
        "gulf-coast-a",
        "gulf-coast-a",
        "gulf-coast-a",
        "hill-country-a",
        "hill-country-a",
        "hill-country-a",
    ];
    let runners: Vec<Runner> = (1..)
        .zip(zones)
        .map(|(number, zone)| {
            let plan = Plan {
                id: format!("i-desk-{number}"),
                service: "ledger-desk",
                zone,
                address: world.runner_address(number),
                slots: 6,
                queue: 24,
                work: Duration::from_millis(60),
                poison: world.trouble.then_some(POISON),
                down: Duration::from_secs(2),
                model: None,
            };
            Runner::spawn(plan, &world.store, &world.record)
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    world.start_entry(1, "gulf-coast-a");
    world.start_entry(2, "hill-country-a");
    world.wait_ready();
    let entries = world.entries();
    let copies = if std::env::var_os("ALONE").is_some() {
        1
    } else {
        2
    };
    for time in 0..TIMES {
        world.until(FIRST + INTERVAL * time);
        let entry = entries[time as usize % entries.len()];
        let together = Arc::new(Barrier::new(copies));
        let senders = (0..copies).map(|_| {
            let (client, together) = (world.client(), together.clone());
            thread::spawn(move || {
                together.wait();
                client.send(entry, "POST", "/grant/licence", "", POISON, 3_000)
            })
        });
        let senders: Vec<_> = senders.collect();
        let got = senders
            .into_iter()
            .map(|one| one.join().expect("a client ends").text());
        let got: Vec<String> = got.collect();
        world.record.say(&format!(
            "time {}: answered {}",
            time + 1,
            got.join(" and ")
        ));
    }
    thread::sleep(Duration::from_secs(1));
    let arrivals = world.record.arrivals();
    let poisoned: Vec<Duration> = arrivals
        .iter()
        .filter(|one| one.body.contains(POISON))
        .map(|one| one.at)
        .collect();
    let mut by_runner: BTreeMap<&str, usize> = BTreeMap::new();
    for one in arrivals.iter().filter(|one| one.body.contains(POISON)) {
        *by_runner.entry(&one.runner).or_default() += 1;
    }
    world.record.say(&format!(
        "it reached runners {} times: {by_runner:?}, of {} runners",
        poisoned.len(),
        runners.len()
    ));
    let late = match poisoned.get(2) {
        Some(third) if world.trouble => poisoned
            .iter()
            .filter(|at| **at > *third + STABLE_WINDOW)
            .count(),
        Some(_) | None => 0,
    };
    world.record.say(&format!(
        "times that it reached a runner later than 3 s after it had ended the third: {late}, allowed {RETRIES_MAX}"
    ));
    world.finish(late > RETRIES_MAX);
}

const CONFIGURATION: &str = r#"{"version":3,
"routes":[{"name":"r-grant","host":"songs.example","prefix":"/grant/","routeKind":"non_idempotent","timeoutMs":3000,"goalMs":300,"priority":2,"service":"ledger-desk","maxAttempts":2,"public":false}],
"services":[{"name":"ledger-desk","healthPath":"/healthz","maxConns":248,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"archive","apiKeys":["k-archive-1"],"priority":1}]}"#;
