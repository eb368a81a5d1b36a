//! All runners of a service end at the same moment under sound requests of one customer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::runner::Plan;
use crate::runner::Runner;
use crate::world::World;

/// When the customer's requests come, and when the runners end.
const WAVE: Duration = Duration::from_secs(8);
const CRASH: Duration = Duration::from_millis(8_150);
const END: Duration = Duration::from_secs(18);
const WAVE_REQUESTS: usize = 60;

pub fn run() {
    let world = World::open("10", 90);
    world.store.put("op", "config", CONFIGURATION);
    let zones = ["gulf-coast-a", "hill-country-a", "panhandle-a"];
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
                work: Duration::from_millis(300),
                poison: None,
                down: Duration::from_secs(6),
                model: None,
            };
            Runner::spawn(plan, &world.store, &world.record)
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    world.start_entry(1, "gulf-coast-a");
    world.wait_ready();
    let entry = world.entries()[0];
    let ends = Arc::new(AtomicBool::new(false));
    let (client, ended) = (world.client(), ends.clone());
    let usual = thread::spawn(move || {
        let mut denied = 0;
        while !ended.load(Ordering::SeqCst) {
            let got = client.send(entry, "GET", "/lookup/tune", "", "", 3_000);
            denied += usize::from(is_denied(&got.text()));
            thread::sleep(Duration::from_millis(50));
        }
        denied
    });
    world.until(WAVE);
    let wave: Vec<_> = (0..WAVE_REQUESTS)
        .map(|number| {
            let client = world.client();
            let path = format!("/lookup/record?id={number}");
            thread::spawn(move || client.send(entry, "GET", &path, "", "", 3_000).text())
        })
        .collect();
    world.until(CRASH);
    if world.trouble {
        let ending: Vec<_> = runners
            .iter()
            .cloned()
            .map(|one| thread::spawn(move || one.crash()))
            .collect();
        ending.into_iter().for_each(|one| drop(one.join()));
    }
    let got: Vec<String> = wave
        .into_iter()
        .map(|one| one.join().expect("a client ends"))
        .collect();
    world.until(END);
    ends.store(true, Ordering::SeqCst);
    let denied_usual = usual.join().expect("a client ends");
    let mut counts = std::collections::BTreeMap::new();
    for one in &got {
        *counts.entry(one.as_str()).or_insert(0) += 1;
    }
    let denied = denied_usual + got.iter().filter(|one| is_denied(one)).count();
    let total = world.record.sent().len();
    let allowed = 5.0 + total as f64 / 500.0;
    world.record.say(&format!(
        "answers to the {WAVE_REQUESTS} requests: {counts:?}"
    ));
    world.record.say(&format!(
        "requests of {total} that were ended with 3xx or 4xx: {denied}, allowed {allowed:.1}"
    ));
    world.finish(denied as f64 > allowed);
}

/// Whether a status is one that counts for the rule: no runner here answers with one.
fn is_denied(status: &str) -> bool {
    let status: u16 = status.parse().unwrap_or(0);
    (300..500).contains(&status) && !matches!(status, 408 | 421 | 429)
}

const CONFIGURATION: &str = r#"{"version":3,
"routes":[{"name":"r-lookup","host":"songs.example","prefix":"/lookup/","routeKind":"idempotent","timeoutMs":3000,"goalMs":300,"priority":2,"service":"ledger-desk","maxAttempts":2,"public":false}],
"services":[{"name":"ledger-desk","healthPath":"/healthz","maxConns":248,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"archive","apiKeys":["k-archive-1"],"priority":1}]}"#;
