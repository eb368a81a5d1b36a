//! A runner has left, then the store goes away and comes back from a copy in which the
//! runner is still listed.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::runner::Plan;
use crate::runner::Runner;
use crate::world::World;

const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// When the copy is made from which the store comes back.
const COPIED: Duration = Duration::from_secs(8);
/// When the entry of the runner is removed.
const LEFT: Duration = Duration::from_secs(9);
/// When the store goes away, and comes back.
const AWAY: Duration = Duration::from_secs(12);
const BACK: Duration = Duration::from_millis(14_500);
const END: Duration = Duration::from_secs(22);

pub fn run() {
    let world = World::open("8", 88);
    world.store.put("op", "config", CONFIGURATION);
    let plan = |number: u8, zone: &'static str| Plan {
        id: format!("i-desk-{number}"),
        service: "ledger-desk",
        zone,
        address: world.runner_address(number),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(20),
        poison: None,
        down: Duration::from_secs(3),
        model: None,
    };
    let zones = ["gulf-coast-a", "gulf-coast-a", "hill-country-a"];
    let runners: Vec<Runner> = (1..)
        .zip(zones)
        .map(|(number, zone)| Runner::spawn(plan(number, zone), &world.store, &world.record))
        .collect();
    let leaving = &runners[0];
    thread::sleep(Duration::from_millis(300));
    world.start_entry(1, "gulf-coast-a");
    world.start_entry(2, "hill-country-a");
    world.wait_ready();
    let ends = Arc::new(AtomicBool::new(false));
    for entry in world.entries() {
        for _ in 0..2 {
            let (client, ends) = (world.client(), ends.clone());
            thread::spawn(move || {
                while !ends.load(Ordering::SeqCst) {
                    client.send(entry, "GET", "/lookup/record", "", "", 3_000);
                    thread::sleep(Duration::from_millis(60));
                }
            });
        }
    }
    world.until(COPIED);
    let copy = world.store.copy();
    world.record.line("store", "a copy is made");
    world.until(LEFT);
    // The runner goes on serving.
    leaving.is_listed.store(false, Ordering::SeqCst);
    world.store.remove("servers", &leaving.plan.id);
    let left = world.record.now();
    world
        .record
        .line("store", "the entry of i-desk-1 is removed");
    if world.trouble {
        world.until(AWAY);
        world.store.go_away();
        world.record.line("store", "it goes away");
        world.until(BACK);
        world.store.come_back(&copy);
        world
            .record
            .line("store", "it is back from the copy, in the next era");
        while world.store.has("servers", &leaving.plan.id) {
            thread::sleep(Duration::from_millis(10));
        }
        world.record.line(
            "store",
            "the entry of i-desk-1 is removed after three heartbeats of silence",
        );
    }
    world.until(END);
    ends.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(500));
    let arrivals = world.record.arrivals();
    let late: Vec<Duration> = arrivals
        .iter()
        .filter(|one| one.runner == leaving.plan.id && one.at > left + DRAIN)
        .map(|one| one.at)
        .collect();
    let before_away = late.iter().filter(|at| **at < AWAY).count();
    let in_touch = late.iter().filter(|at| **at > BACK + STABLE_WINDOW).count();
    world.record.say(&format!(
        "requests that reached i-desk-1 later than 2 s after its removal: {}; of these before the store went away: {before_away}, later than 3 s after it was back: {in_touch}",
        late.len()
    ));
    world.finish(!late.is_empty());
}

const CONFIGURATION: &str = r#"{"version":3,
"routes":[{"name":"r-lookup","host":"songs.example","prefix":"/lookup/","routeKind":"idempotent","timeoutMs":3000,"goalMs":300,"priority":2,"service":"ledger-desk","maxAttempts":2,"public":false}],
"services":[{"name":"ledger-desk","healthPath":"/healthz","maxConns":248,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"archive","apiKeys":["k-archive-1"],"priority":1}]}"#;
