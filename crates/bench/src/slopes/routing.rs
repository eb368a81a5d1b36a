//! What routing and limits cost one entry host, without any process: time and
//! bytes against the hosts it has links to and the customers it serves.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use smol_str::format_smolstr;
use snipewinch::Digest;
use snipewinch::deadline::Deadline;
use snipewinch::document;
use snipewinch::host;
use snipewinch::limit::Arrival;
use snipewinch::limit::Limiter;
use snipewinch::limit::Sample;
use snipewinch::membership::Member;
use snipewinch::membership::State;
use snipewinch::routing::Capacity;
use snipewinch::routing::Event;
use snipewinch::routing::Outcome;
use snipewinch::routing::Request;
use snipewinch::routing::Table;
use snipewinch::routing::subset;
use snipewinch::wire::Frame;
use snipewinch::wire::Heartbeat;
use snipewinch::wire::Summary;

use super::Fit;

const SERVICE: &str = "scribe";
/// Hosts with a link.
const LINKED: [usize; 5] = [8, 32, 64, 256, 1024];
/// Hosts known, for memory.
const KNOWN: [usize; 4] = [10_000, 20_000, 40_000, 80_000];
/// Customers.
const CUSTOMERS: [usize; 5] = [4, 8, 16, 64, 256];
/// Agents of a fleet with an eighth as many entry hosts.
const FLEET: [usize; 4] = [350, 700, 1400, 2800];
/// Neighbours of an entry host.
const NEIGHBOURS: usize = 6;
/// Zones of a fleet.
const ZONES: usize = 9;
/// How often a short piece of work is timed.
const ROUNDS: u32 = 20_000;
/// How often a long one is.
const LONG_ROUNDS: u32 = 20;

/// One cost against a size.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured, with its unit.
    pub measure: &'static str,
    /// What grows.
    pub against: &'static str,
    /// Sizes and costs.
    pub points: Vec<(f64, f64)>,
    /// The line through them.
    pub fit: Option<Fit>,
    /// The seed of the run.
    pub seed: u64,
}

/// Measures all of them.
pub fn measure(seed: u64) -> Vec<Slope> {
    let slope = |measure, against, sizes: &[usize], cost: &dyn Fn(usize) -> f64| {
        let points: Vec<(f64, f64)> = sizes.iter().map(|&n| (n as f64, cost(n))).collect();
        let fit = Fit::least_squares(&points);
        Slope {
            measure,
            against,
            points,
            fit,
            seed,
        }
    };
    vec![
        slope("pick, ns", "linked hosts", &LINKED, &|n| pick(seed, n, &[])),
        slope("pick with a prefix, ns", "linked hosts", &LINKED, &|n| {
            pick(seed, n, &[Digest::of(b"a prefix")])
        }),
        slope("report, ns", "linked hosts", &LINKED, &report),
        slope(
            "resident memory of a table, bytes",
            "known hosts",
            &KNOWN,
            &memory,
        ),
        slope("links worked out, us", "agents", &FLEET, &links),
        slope("a call limited, ns", "customers", &CUSTOMERS, &|n| {
            limited(seed, n)
        }),
        slope("part of the capacity, us", "customers", &CUSTOMERS, &|n| {
            part(seed, n)
        }),
        slope("round of gossip, us", "customers", &CUSTOMERS, &|n| {
            gossip(seed, n).0
        }),
        slope("bytes of gossip a second", "customers", &CUSTOMERS, &|n| {
            gossip(seed, n).1
        }),
        slope(
            "bytes of heartbeats a second",
            "links",
            &[8, 16, 32, 64],
            &heartbeats,
        ),
    ]
}

fn each(rounds: u32, mut work: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    (0..rounds).for_each(&mut work);
    started.elapsed().as_secs_f64() / f64::from(rounds)
}

fn agent(n: usize) -> host::Identity {
    host::Identity {
        host: host::Name(format_smolstr!("agent-{n:05}")),
        incarnation: 1,
        role: host::Role::Agent,
        zone: "zone-0".into(),
        region: "region-0".into(),
        service: Some(SERVICE.into()),
        address: ([127, 0, 0, 1], 7000).into(),
    }
}

fn table(hosts: usize) -> Table {
    let mut table = Table::new("zone-0".into(), "region-0".into());
    for n in 0..hosts {
        let peer = agent(n);
        table.handle(Duration::ZERO, Event::Up { peer: &peer });
    }
    table
}

/// A pick, its start and its end, in nanoseconds.
fn pick(seed: u64, hosts: usize, prefixes: &[Digest]) -> f64 {
    let mut table = table(hosts);
    let now = Duration::from_secs(60);
    let outcome = Outcome::success(Duration::from_millis(20));
    let seconds = each(ROUNDS, |n| {
        let request = Request {
            prefixes,
            ..Request::new(SERVICE, seed ^ u64::from(n))
        };
        if let Ok(key) = table.pick(now, &request) {
            table.start(now, key, prefixes);
            table.end(now, black_box(key), &outcome);
        }
    });
    seconds * 1e9
}

fn report(hosts: usize) -> f64 {
    let mut table = table(hosts);
    let name = agent(hosts / 2).host;
    let summary = Summary {
        running: 3,
        capacity: 16,
        ..Summary::default()
    };
    let seconds = each(ROUNDS, |n| {
        let event = Event::Summary {
            host: &name,
            summary: &summary,
        };
        table.handle(Duration::from_millis(u64::from(n)), event);
    });
    seconds * 1e9
}

/// How much the process grows by a table.
fn memory(hosts: usize) -> f64 {
    let before = resident_bytes();
    let table = table(hosts);
    let after = resident_bytes();
    // Kept, so that the next table can't take its place.
    std::mem::forget(table);
    (after - before) as f64
}

fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0u64) * PAGE_BYTES
}

fn member(role: host::Role, n: usize) -> Member {
    let zone = n % ZONES;
    let kind = if role == host::Role::Entry {
        "entry"
    } else {
        "agent"
    };
    Member {
        host: host::Name(format_smolstr!("{kind}-{n:05}")),
        role,
        zone: host::Zone(format_smolstr!("zone-{zone}")),
        region: host::Region(format_smolstr!("region-{}", zone / 3)),
        service: (role == host::Role::Agent).then(|| SERVICE.into()),
        address: ([127, 0, 0, 1], 7000).into(),
        state: State::Live,
        incarnation: 1,
    }
}

fn links(agents: usize) -> f64 {
    let entries = (0..agents / 8).map(|n| member(host::Role::Entry, n));
    let agents = (0..agents).map(|n| member(host::Role::Agent, n));
    let members: Vec<Member> = entries.chain(agents).collect();
    let me = host::Identity {
        host: members[0].host.clone(),
        role: host::Role::Entry,
        zone: members[0].zone.clone(),
        region: members[0].region.clone(),
        service: None,
        ..agent(0)
    };
    let seconds = each(LONG_ROUNDS, |_| {
        black_box(subset::agents(&me, &members));
        black_box(subset::entries(&me, &members));
    });
    seconds * 1e6
}

fn document(customers: usize) -> document::Document {
    let customer = |n: usize| document::Customer {
        name: format_smolstr!("customer-{n}"),
        key: Digest::of(&n.to_le_bytes()),
        share: document::DEFAULT_SHARE,
        requests_per_second: Some(1_000_000),
        priority: 0,
    };
    let service = document::Service {
        name: SERVICE.into(),
        backend: document::Backend::Plain {
            prefix: "/scribe".into(),
        },
        zones: Vec::new(),
        repeat: document::Repeat::Allowed,
        concurrency: document::DEFAULT_CONCURRENCY,
        deadline_ms: document::DEFAULT_DEADLINE_MS,
    };
    document::Document {
        customers: (0..customers).map(customer).collect(),
        services: vec![service],
        ..document::Document::default()
    }
}

/// A limiter with neighbours that has seen every customer.
fn limiter(seed: u64, customers: usize) -> Limiter {
    let mut limiter = Limiter::new(seed);
    limiter.configure(&document(customers));
    limiter.set_entry_count(360);
    for n in 0..NEIGHBOURS {
        limiter.neighbour_up(host::Name(format_smolstr!("entry-{n}")));
    }
    for n in 0..customers {
        call(&mut limiter, n as u64, n, customers);
    }
    limiter
}

fn call(limiter: &mut Limiter, ticket: u64, n: usize, customers: usize) {
    let now = Duration::from_secs(60) + Duration::from_millis(ticket);
    let arrival = Arrival {
        ticket,
        service: SERVICE.into(),
        customer: format_smolstr!("customer-{}", n % customers),
        cost: 1,
        deadline: Deadline::after(now, Duration::from_secs(10)),
    };
    black_box(limiter.arrive(now, arrival));
    limiter.finish(now, ticket, Sample::Answered(Duration::from_millis(20)));
}

/// A call's arrival and end, in nanoseconds.
fn limited(seed: u64, customers: usize) -> f64 {
    let mut limiter = limiter(seed, customers);
    let seconds = each(ROUNDS, |n| {
        call(&mut limiter, 1_000 + u64::from(n), n as usize, customers);
    });
    seconds * 1e9
}

fn part(seed: u64, customers: usize) -> f64 {
    let mut limiter = limiter(seed, customers);
    let room = Capacity {
        total: 90_000,
        free: 100,
    };
    let now = Duration::from_secs(60);
    let seconds = each(ROUNDS / 100, |_| {
        limiter.set_capacity(now, &SERVICE.into(), room)
    });
    seconds * 1e6
}

/// Microseconds of a round of gossip, and the bytes it sends in a second.
fn gossip(seed: u64, customers: usize) -> (f64, f64) {
    let mut limiter = limiter(seed, customers);
    let now = Duration::from_secs(61);
    let mut bytes = 0;
    let seconds = each(ROUNDS / 100, |_| {
        for (_, message) in limiter.gossip(now) {
            bytes += encoded(&Frame::Limit(message));
        }
    });
    let a_round = bytes as f64 / f64::from(ROUNDS / 100);
    let period = snipewinch::limit::demand::GOSSIP_PERIOD.as_secs_f64();
    (seconds * 1e6, a_round / period)
}

/// Heartbeats as an entry host sends them, without what carries them.
fn heartbeats(links: usize) -> f64 {
    let heartbeat = Heartbeat {
        sequence: 100_000,
        echo: 100_000,
        summary: None,
    };
    let bytes = encoded(&Frame::Heartbeat(heartbeat));
    links as f64 * bytes as f64 / HEARTBEAT.as_secs_f64()
}

/// The default interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(750);

fn encoded(frame: &Frame) -> usize {
    let mut bytes = Vec::new();
    // A vector takes all that is written.
    let _ = ciborium::into_writer(frame, &mut bytes);
    bytes.len()
}
