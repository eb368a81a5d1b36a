//! Requests that are larger than the memory of a model runner.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Got;
use crate::runner::MEMORY_TOKENS;
use crate::runner::Plan;
use crate::runner::Runner;
use crate::world::World;

const BEGIN: Duration = Duration::from_secs(5);
const OVERSIZED: Duration = Duration::from_secs(10);
/// How many of them are sent, and the time between two.
const OVERSIZED_COUNT: u32 = 4;
const OVERSIZED_INTERVAL: Duration = Duration::from_secs(1);
const END: Duration = Duration::from_secs(40);
const OVERSIZED_TOKENS: u64 = 640_000;
/// Requests of each kind a second.
const PER_S: f64 = 20.0;

/// How many requests of a kind were sent, and how many of them were answered with a
/// success.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

pub fn run() {
    let world = World::open("9", 89);
    world.store.put("op", "config", CONFIGURATION);
    let desk = Plan {
        id: "i-desk-1".to_owned(),
        service: "ledger-desk",
        zone: "gulf-coast-a",
        address: world.runner_address(1),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(20),
        poison: None,
        down: Duration::from_secs(2),
        model: None,
    };
    Runner::spawn(desk, &world.store, &world.record);
    let zones = ["gulf-coast-a", "hill-country-a", "panhandle-a"];
    for (number, zone) in (11..).zip(zones) {
        let engine = Plan {
            id: format!("i-verse-{number}"),
            service: "verse-engine",
            zone,
            address: world.runner_address(number),
            slots: 16,
            queue: 32,
            work: Duration::from_millis(200),
            poison: None,
            down: Duration::from_secs(2),
            model: Some("folk"),
        };
        Runner::spawn(engine, &world.store, &world.record);
    }
    thread::sleep(Duration::from_millis(300));
    for (number, zone) in (1..).zip(zones) {
        world.start_entry(number, zone);
    }
    for (number, zone) in (11..).zip(zones) {
        world.start_agent(number, zone, "verse-engine");
    }
    world.wait_ready();
    let entries = world.entries();
    let counts = Arc::new(Mutex::new([Count::default(); 2]));
    world.until(BEGIN);
    let mut due = world.record.now();
    let mut number = 0;
    let mut oversized = 0;
    while world.record.now() < END {
        let oversized_due = OVERSIZED + OVERSIZED_INTERVAL * oversized;
        if world.trouble && oversized < OVERSIZED_COUNT && world.record.now() >= oversized_due {
            oversized += 1;
            let (client, entry, record) = (world.client(), entries[0], world.record.clone());
            let fields = format!(
                "X-Model: folk\r\nX-Token-Usage: {OVERSIZED_TOKENS},80\r\nX-Prefix-Hash: 5c1e07a2:40,77aa01:639960\r\n"
            );
            thread::spawn(move || {
                record.line("case", &format!("a request of {OVERSIZED_TOKENS} tokens, of {MEMORY_TOKENS} that fit, is sent"));
                let got = client.send(entry, "POST", "/draft/notes", &fields, "notes", 6_000);
                record.say(&format!(
                    "the request of {OVERSIZED_TOKENS} tokens is answered: {}",
                    got.text()
                ));
            });
        }
        due += Duration::from_secs_f64(1.0 / PER_S);
        thread::sleep(due.saturating_sub(world.record.now()));
        for kind in [0, 1] {
            let (client, entry, counts) = (
                world.client(),
                entries[number % entries.len()],
                counts.clone(),
            );
            // Those sent before the large one don't count.
            let counted = world.record.now() > OVERSIZED;
            let sending = thread::Builder::new().stack_size(256 << 10);
            let sent = sending.spawn(move || {
                let fields = "X-Model: folk\r\nX-Token-Usage: 600,50\r\nX-Prefix-Hash: 5c1e07a2:40,91bd3f06:560\r\n";
                let got = match kind {
                    0 => client.send(entry, "POST", "/draft/notes", fields, "notes", 6_000),
                    _ => client.send(entry, "GET", "/lookup/record", "", "", 3_000),
                };
                let is_served = matches!(&got, Got::Answer(answer) if answer.status() == 200);
                if counted {
                    let count = &mut counts.lock().unwrap()[kind];
                    count.sent += 1;
                    count.served += usize::from(is_served);
                }
            });
            drop(sent.expect("a client starts"));
        }
        number += 1;
    }
    thread::sleep(Duration::from_secs(6));
    let [drafts, lookups] = *counts.lock().unwrap();
    let all = Count {
        sent: drafts.sent + lookups.sent,
        served: drafts.served + lookups.served,
    };
    world.record.say(&format!(
        "served from {:.0} s on: {} of {} drafts, {} of {} lookups; shares: drafts {:.3}, all {:.3}",
        OVERSIZED.as_secs_f64(), drafts.served, drafts.sent, lookups.served, lookups.sent, drafts.share(), all.share()
    ));
    world.finish(drafts.share() < all.share() / 4.0);
}

const CONFIGURATION: &str = r#"{"version":3,
"routes":[{"name":"r-lookup","host":"songs.example","prefix":"/lookup/","routeKind":"idempotent","timeoutMs":3000,"goalMs":300,"priority":2,"service":"ledger-desk","maxAttempts":2,"public":false},
{"name":"r-draft","host":"songs.example","prefix":"/draft/","routeKind":"streaming","timeoutMs":6000,"goalMs":400,"priority":1,"service":"verse-engine","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapGoalMs":400}],
"services":[{"name":"ledger-desk","healthPath":"/healthz","maxConns":248,"protocol":"h1","tls":false},
{"name":"verse-engine","healthPath":"/healthz","maxConns":976,"protocol":"h1","tls":false,"engine":{"slots":16,"kvCapacity":317000,"kvBytes":262144,"linkMbps":400000.0,"stride":5,"models":[{"name":"folk","pace":1.0,"loadS":4.0,"warmS":0.3}],"sizeMb":149000.0,"adapterSlots":8,"loadsPerS":0.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"report_lag_ms":200.0,"loads_at_once":8,"delays":[],"usual":{"prompt":979,"answer":92},"layers":16,"layer_mb":4090.0,"act_bytes":16384,"pipe_mbps":0.0,"chunks":96,"chunkBytes":24576}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"archive","apiKeys":["k-archive-1"],"priority":1}]}"#;
