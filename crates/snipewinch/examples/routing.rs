//! Embeds the routing table to spread calls over workers, which are threads
//! behind channels. One worker is slow, and one leaves after half of the calls.
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
/// The time that each worker takes for a call, in milliseconds.
const WORK_MS: [u64; 4] = [5, 5, 5, 40];
const CALLS: u64 = 600;
/// The number of calls in flight at a time.
const IN_FLIGHT: usize = 12;
/// The call before which a worker announces that it is leaving.
const LEAVING_AT_CALL: u64 = 300;
/// The index of the worker that leaves.
const LEAVING_WORKER: usize = 1;

/// A call sent to a worker.
struct Call {
    key: Key,
    sent: Instant,
}

fn main() {
    let started = Instant::now();
    let mut table = Table::new("atlanta-a".into(), "atlanta".into());
    let (answers, done) = mpsc::channel();
    let mut workers = BTreeMap::new();
    for (index, work_ms) in WORK_MS.into_iter().enumerate() {
        let peer = identity(index);
        table.handle(started.elapsed(), Event::Up { peer: &peer });
        workers.insert(peer.host, spawn(work_ms, answers.clone()));
    }
    let mut sent: BTreeMap<host::Name, [u64; 2]> = BTreeMap::new();
    for call in 0..CALLS {
        if call == LEAVING_AT_CALL {
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
        let call_sent = Call {
            key,
            sent: Instant::now(),
        };
        // A worker ends only after this sender has been dropped.
        let _ = workers[&host].send(call_sent);
        let period = usize::from(call >= LEAVING_AT_CALL);
        sent.entry(host).or_default()[period] += 1;
    }
    for (host, [before, after]) in sent {
        println!("{host}: {before} calls before worker-{LEAVING_WORKER} left, {after} after");
    }
    println!("{:?}", table.counts());
}

fn spawn(work_ms: u64, answers: mpsc::Sender<Call>) -> mpsc::Sender<Call> {
    let (calls, queue) = mpsc::channel();
    thread::spawn(move || {
        for call in queue {
            thread::sleep(Duration::from_millis(work_ms));
            // The main thread may have exited.
            let _ = answers.send(call);
        }
    });
    calls
}

fn end(table: &mut Table, started: Instant, done: &mpsc::Receiver<Call>) {
    let Ok(done) = done.recv() else {
        return;
    };
    let outcome = Outcome::success(done.sent.elapsed());
    table.end(started.elapsed(), done.key, &outcome);
}

/// Reports that the worker is leaving. Its own report is enough for the table.
fn leave(table: &mut Table, now: Duration) {
    let summary = Summary {
        leaving: true,
        ..Summary::default()
    };
    let event = Event::Summary {
        host: &identity(LEAVING_WORKER).host,
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
