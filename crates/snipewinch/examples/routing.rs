//! Embeds one part: a table that spreads calls over workers, here threads behind
//! channels. One is slow to answer, one leaves half way.
//!
//! `cargo run -p snipewinch --example routing`

#![allow(
    clippy::disallowed_methods,
    reason = "an embedder has the clock and the threads"
)]

use std::collections::BTreeMap;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use snipewinch::host;
use snipewinch::routing::Event;
use snipewinch::routing::Key;
use snipewinch::routing::Outcome;
use snipewinch::routing::Request;
use snipewinch::routing::Table;
use snipewinch::wire::Summary;

const SERVICE: &str = "scribe";
/// How long each worker takes for a call, in milliseconds.
const WORK_MS: [u64; 4] = [5, 5, 5, 40];
const CALLS: u64 = 600;
/// Calls in flight at a time.
const IN_FLIGHT: usize = 12;
/// The call before which a worker says that it leaves.
const LEAVES_AT: u64 = 300;
const LEAVING: usize = 1;

/// A call that a worker has done.
struct Done {
    key: Key,
    sent: Instant,
}

fn main() {
    let started = Instant::now();
    let mut table = Table::new("atlanta-a".into(), "atlanta".into());
    let (answers, done) = mpsc::channel();
    let mut workers = BTreeMap::new();
    for (n, work_ms) in WORK_MS.into_iter().enumerate() {
        let peer = identity(n);
        table.handle(started.elapsed(), Event::Up { peer: &peer });
        workers.insert(peer.host, spawn(work_ms, answers.clone()));
    }
    let mut sent: BTreeMap<host::Name, [u64; 2]> = BTreeMap::new();
    for call in 0..CALLS {
        if call == LEAVES_AT {
            leave(&mut table, started.elapsed());
        }
        if call >= IN_FLIGHT as u64 {
            end(&mut table, started, &done);
        }
        let now = started.elapsed();
        let Ok(key) = table.pick(now, &Request::new(SERVICE, call)) else {
            continue;
        };
        table.start(now, key, &[]);
        let Some(host) = table.host(key).cloned() else {
            continue;
        };
        let sent_now = Done {
            key,
            sent: Instant::now(),
        };
        // A worker ends only after this sender has gone.
        let _ = workers[&host].send(sent_now);
        let half = usize::from(call >= LEAVES_AT);
        sent.entry(host).or_default()[half] += 1;
    }
    for (host, [before, after]) in sent {
        println!("{host}: {before} calls before worker-{LEAVING} left, {after} after");
    }
    println!("{:?}", table.counts());
}

fn spawn(work_ms: u64, answers: mpsc::Sender<Done>) -> mpsc::Sender<Done> {
    let (calls, queue) = mpsc::channel();
    thread::spawn(move || {
        for call in queue {
            thread::sleep(Duration::from_millis(work_ms));
            // The main thread may have ended.
            let _ = answers.send(call);
        }
    });
    calls
}

fn end(table: &mut Table, started: Instant, done: &mpsc::Receiver<Done>) {
    let Ok(done) = done.recv() else {
        return;
    };
    let outcome = Outcome::success(done.sent.elapsed());
    table.end(started.elapsed(), done.key, &outcome);
}

/// The worker says so itself; the table needs nobody else to confirm it.
fn leave(table: &mut Table, now: Duration) {
    let summary = Summary {
        leaving: true,
        ..Summary::default()
    };
    let event = Event::Summary {
        host: &identity(LEAVING).host,
        summary: &summary,
    };
    table.handle(now, event);
}

fn identity(n: usize) -> host::Identity {
    host::Identity {
        host: host::Name(format!("worker-{n}").into()),
        incarnation: 1,
        role: host::Role::Agent,
        zone: "atlanta-a".into(),
        region: "atlanta".into(),
        service: Some(SERVICE.into()),
        address: ([127, 0, 0, 1], 7000).into(),
    }
}
