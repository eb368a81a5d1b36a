//! Clients jump on a plain service while the model runners have hardly any requests.
//! `DRAFT_MS` sets another time between requests for these.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::Got;
use crate::runner::Plan;
use crate::runner::Runner;
use crate::world::World;

const ENTRIES: u8 = 6;
/// Requests a second for the plain service.
const USUAL_PER_S: f64 = 240.0;
/// The jump, as the site files have it.
const BURST_FACTOR: f64 = 1.7;
const BURST_TIME: Duration = Duration::from_secs(3);
const BURST: Duration = Duration::from_secs(50);
const BEGIN: Duration = Duration::from_secs(5);
const END: Duration = Duration::from_secs(64);
/// The time between two requests for the model runners, each at another entry.
const DRAFT_INTERVAL_MS: u64 = 3_000;
const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const BUDGET_BURST: f64 = 234.0;

pub fn run() {
    let world = World::open("retry-budget", 91);
    world.store.put("op", "config", CONFIGURATION);
    let zones = ["gulf-coast-a", "hill-country-a", "panhandle-a"];
    for (number, zone) in (1..).zip(zones) {
        let plan = Plan {
            id: format!("i-desk-{number}"),
            service: "ledger-desk",
            zone,
            address: world.runner_address(number),
            slots: 6,
            queue: 24,
            work: Duration::from_millis(60),
            poison: None,
            down: Duration::from_secs(2),
            model: None,
        };
        Runner::spawn(plan, &world.store, &world.record);
    }
    let engine = Plan {
        id: "i-verse-1".to_owned(),
        service: "verse-engine",
        zone: "gulf-coast-a",
        address: world.runner_address(11),
        slots: 16,
        queue: 32,
        work: Duration::from_millis(200),
        poison: None,
        down: Duration::from_secs(2),
        model: Some("folk"),
    };
    Runner::spawn(engine, &world.store, &world.record);
    thread::sleep(Duration::from_millis(300));
    for number in 1..=ENTRIES {
        world.start_entry(number, zones[usize::from(number) % 3]);
    }
    world.start_agent(11, "gulf-coast-a", "verse-engine");
    world.wait_ready();
    let entries = world.entries();
    let ends = Arc::new(AtomicBool::new(false));
    let interval = std::env::var("DRAFT_MS")
        .ok()
        .and_then(|text| text.parse().ok());
    let interval = Duration::from_millis(interval.unwrap_or(DRAFT_INTERVAL_MS));
    let (client, ended, targets) = (world.client(), ends.clone(), entries.clone());
    thread::spawn(move || {
        for entry in targets.iter().cycle() {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            let fields = "X-Model: folk\r\nX-Token-Usage: 600,50\r\nX-Prefix-Hash: 5c1e07a2:40,91bd3f06:560\r\n";
            let (client, entry) = (client.clone(), *entry);
            thread::spawn(move || {
                client.send(entry, "POST", "/draft/notes", fields, "notes", 6_000)
            });
            thread::sleep(interval);
        }
    });
    world.until(BEGIN);
    let mut due = world.record.now();
    let mut number = 0;
    while world.record.now() < END {
        let now = world.record.now();
        let is_burst = world.trouble && now >= BURST && now < BURST + BURST_TIME;
        let per_s = USUAL_PER_S * if is_burst { BURST_FACTOR } else { 1.0 };
        due += Duration::from_secs_f64(1.0 / per_s);
        thread::sleep(due.saturating_sub(now));
        let (client, targets) = (world.client(), entries.clone());
        let sending = thread::Builder::new().stack_size(256 << 10);
        let sent = sending.spawn(move || look_up(&client, &targets, number));
        drop(sent.expect("a client starts"));
        number += 1;
    }
    ends.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(3));
    let (extra, allowed, at) = worst_window(&world);
    world.record.say(&format!(
        "most arrivals beyond the first of each request in 10 s: {extra} from {:.1} s on, allowed {allowed:.0}",
        at.as_secs_f64()
    ));
    world.finish(extra as f64 > allowed);
}

/// Sends a request, and once more as the answer says if it was refused.
fn look_up(client: &crate::world::Client, entries: &[std::net::SocketAddr], number: usize) {
    let entry = entries[number % entries.len()];
    let got = client.send(entry, "GET", "/lookup/record", "", "", 3_000);
    let Got::Answer(answer) = got else {
        return;
    };
    if answer.status() != 503 {
        return;
    }
    let wait = answer
        .field("retry-after")
        .parse()
        .unwrap_or(0.0_f64)
        .clamp(0.0, 1.0);
    thread::sleep(Duration::from_secs_f64(wait));
    let entry = entries[(number + 1) % entries.len()];
    client.send(entry, "GET", "/lookup/record", "", "", 2_000);
}

/// The window in which arrivals exceed what is allowed by most, or come nearest to it:
/// arrivals beyond the first of each request, what is allowed, and its begin.
fn worst_window(world: &World) -> (usize, f64, Duration) {
    let arrivals = world.record.arrivals();
    let mut seen = HashSet::new();
    let plain = arrivals
        .iter()
        .filter(|one| one.path.starts_with("/lookup/"));
    let extra: Vec<Duration> = plain
        .filter(|one| !seen.insert(one.attempt.clone()))
        .map(|one| one.at)
        .collect();
    let sent = world.record.sent();
    let sent: Vec<Duration> = sent
        .iter()
        .filter(|one| one.path.starts_with("/lookup/"))
        .map(|one| one.at)
        .collect();
    let count = |times: &[Duration], from: Duration| {
        let inside = times
            .iter()
            .filter(|at| **at >= from && **at < from + WINDOW);
        inside.count()
    };
    let mut worst = (0, f64::MAX, Duration::ZERO);
    let mut from = Duration::ZERO;
    while from < END {
        let windows = [
            from,
            from.saturating_sub(WINDOW),
            from.saturating_sub(WINDOW / 2),
        ];
        let requests = windows
            .map(|at| count(&sent, at))
            .into_iter()
            .max()
            .unwrap_or(0);
        let allowed = RATIO * requests as f64 + BUDGET_BURST;
        let found = count(&extra, from);
        if found as f64 - allowed > worst.0 as f64 - worst.1 {
            worst = (found, allowed, from);
        }
        from += Duration::from_millis(100);
    }
    worst
}

const CONFIGURATION: &str = r#"{"version":3,
"routes":[{"name":"r-lookup","host":"songs.example","prefix":"/lookup/","routeKind":"idempotent","timeoutMs":3000,"goalMs":300,"priority":2,"service":"ledger-desk","maxAttempts":2,"public":false},
{"name":"r-draft","host":"songs.example","prefix":"/draft/","routeKind":"streaming","timeoutMs":6000,"goalMs":400,"priority":1,"service":"verse-engine","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapGoalMs":400}],
"services":[{"name":"ledger-desk","healthPath":"/healthz","maxConns":248,"protocol":"h1","tls":false},
{"name":"verse-engine","healthPath":"/healthz","maxConns":976,"protocol":"h1","tls":false,"engine":{"slots":16,"kvCapacity":317000,"kvBytes":262144,"linkMbps":400000.0,"stride":5,"models":[{"name":"folk","pace":1.0,"loadS":4.0,"warmS":0.3}],"sizeMb":149000.0,"adapterSlots":8,"loadsPerS":0.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"report_lag_ms":200.0,"loads_at_once":8,"delays":[],"usual":{"prompt":979,"answer":92},"layers":16,"layer_mb":4090.0,"act_bytes":16384,"pipe_mbps":0.0,"chunks":96,"chunkBytes":24576}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"archive","apiKeys":["k-archive-1"],"priority":1}]}"#;
