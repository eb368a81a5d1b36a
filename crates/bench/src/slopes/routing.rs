//! The cost of routing and limits on one entry host, measured in this process:
//! time and bytes by the number of linked hosts and of customers.

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
/// Numbers of hosts with a link.
const LINKED_HOSTS: [usize; 5] = [8, 32, 64, 256, 1024];
/// Numbers of hosts in a routing table whose memory is measured.
const KNOWN_HOSTS: [usize; 4] = [10_000, 20_000, 40_000, 80_000];
/// Numbers of customers.
const CUSTOMER_COUNTS: [usize; 5] = [4, 8, 16, 64, 256];
/// Numbers of agents of a fleet. It has an eighth as many entry hosts.
const AGENT_COUNTS: [usize; 4] = [350, 700, 1400, 2800];
/// Neighbours of an entry host in gossip.
const NEIGHBOUR_COUNT: usize = 6;
/// Availability zones of a fleet.
const ZONE_COUNT: usize = 9;
/// Rounds over which an operation is timed. Capacity shares and gossip are
/// timed over a hundredth of them.
const ROUNDS: u32 = 20_000;
/// Rounds over which the choice of links, which takes longer, is timed.
const SLOW_ROUNDS: u32 = 20;

/// One cost by size.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured, with the unit.
    pub measure: &'static str,
    /// What the sizes count.
    pub against: &'static str,
    /// Pairs of a size and its cost.
    pub points: Vec<(f64, f64)>,
    /// The line fitted to the points; `None` if they have fewer than two
    /// distinct sizes.
    pub fit: Option<Fit>,
    /// The seed of the run.
    pub seed: u64,
}

/// Measures all costs.
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
        slope("pick, ns", "linked hosts", &LINKED_HOSTS, &|n| {
            pick_host(seed, n, &[])
        }),
        slope(
            "pick with a prefix, ns",
            "linked hosts",
            &LINKED_HOSTS,
            &|n| pick_host(seed, n, &[Digest::of(b"a prefix")]),
        ),
        slope("report, ns", "linked hosts", &LINKED_HOSTS, &handle_summary),
        slope(
            "resident memory of a table, bytes",
            "known hosts",
            &KNOWN_HOSTS,
            &table_bytes,
        ),
        slope(
            "links worked out, us",
            "agents",
            &AGENT_COUNTS,
            &compute_links,
        ),
        slope("a call limited, ns", "customers", &CUSTOMER_COUNTS, &|n| {
            limited_call(seed, n)
        }),
        slope(
            "part of the capacity, us",
            "customers",
            &CUSTOMER_COUNTS,
            &|n| capacity_share(seed, n),
        ),
        slope("round of gossip, us", "customers", &CUSTOMER_COUNTS, &|n| {
            gossip(seed, n).0
        }),
        slope(
            "bytes of gossip a second",
            "customers",
            &CUSTOMER_COUNTS,
            &|n| gossip(seed, n).1,
        ),
        slope(
            "bytes of heartbeats a second",
            "links",
            &[8, 16, 32, 64],
            &heartbeat_bytes,
        ),
    ]
}

/// The mean time of a round, in seconds.
fn mean_s(rounds: u32, mut operation: impl FnMut(u32)) -> f64 {
    let started = Instant::now();
    (0..rounds).for_each(&mut operation);
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

/// The time to pick a host and to record the start and end of a call, in
/// nanoseconds.
fn pick_host(seed: u64, hosts: usize, prefixes: &[Digest]) -> f64 {
    let mut table = table(hosts);
    let now = Duration::from_secs(60);
    let outcome = Outcome::success(Duration::from_millis(20));
    let seconds = mean_s(ROUNDS, |n| {
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

/// The time to handle the summary of a host's load, in nanoseconds.
fn handle_summary(hosts: usize) -> f64 {
    let mut table = table(hosts);
    let name = agent(hosts / 2).host;
    let summary = Summary {
        running: 3,
        capacity: 16,
        ..Summary::default()
    };
    let seconds = mean_s(ROUNDS, |n| {
        let event = Event::Summary {
            host: &name,
            summary: &summary,
        };
        table.handle(Duration::from_millis(u64::from(n)), event);
    });
    seconds * 1e9
}

/// The growth of the process's resident memory when a table is filled, in
/// bytes.
fn table_bytes(hosts: usize) -> f64 {
    let before = resident_bytes();
    let table = table(hosts);
    let after = resident_bytes();
    // Leaked, so that the next table does not reuse its memory.
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
    let zone = n % ZONE_COUNT;
    let role_name = if role == host::Role::Entry {
        "entry"
    } else {
        "agent"
    };
    Member {
        host: host::Name(format_smolstr!("{role_name}-{n:05}")),
        role,
        zone: host::Zone(format_smolstr!("zone-{zone}")),
        region: host::Region(format_smolstr!("region-{}", zone / 3)),
        service: (role == host::Role::Agent).then(|| SERVICE.into()),
        address: ([127, 0, 0, 1], 7000).into(),
        state: State::Live,
        incarnation: 1,
    }
}

/// The time to choose the links of an entry host, in microseconds.
fn compute_links(agents: usize) -> f64 {
    let entries = (0..agents / 8).map(|n| member(host::Role::Entry, n));
    let agents = (0..agents).map(|n| member(host::Role::Agent, n));
    let members: Vec<Member> = entries.chain(agents).collect();
    let local = host::Identity {
        host: members[0].host.clone(),
        role: host::Role::Entry,
        zone: members[0].zone.clone(),
        region: members[0].region.clone(),
        service: None,
        ..agent(0)
    };
    let seconds = mean_s(SLOW_ROUNDS, |_| {
        black_box(subset::agents(&local, &members));
        black_box(subset::entries(&local, &members));
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

/// A limiter with neighbours that has handled a call of every customer.
fn limiter(seed: u64, customers: usize) -> Limiter {
    let mut limiter = Limiter::new(seed);
    limiter.configure(&document(customers));
    limiter.set_entry_count(360);
    for n in 0..NEIGHBOUR_COUNT {
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

/// The time to handle the arrival and end of a call, in nanoseconds.
fn limited_call(seed: u64, customers: usize) -> f64 {
    let mut limiter = limiter(seed, customers);
    let seconds = mean_s(ROUNDS, |n| {
        call(&mut limiter, 1_000 + u64::from(n), n as usize, customers);
    });
    seconds * 1e9
}

/// The time to set the capacity of a service, in microseconds.
fn capacity_share(seed: u64, customers: usize) -> f64 {
    let mut limiter = limiter(seed, customers);
    let capacity = Capacity {
        total: 90_000,
        free: 100,
    };
    let now = Duration::from_secs(60);
    let seconds = mean_s(ROUNDS / 100, |_| {
        limiter.set_capacity(now, &SERVICE.into(), capacity)
    });
    seconds * 1e6
}

/// The time of a round of gossip, in microseconds, and the bytes that gossip
/// sends per second.
fn gossip(seed: u64, customers: usize) -> (f64, f64) {
    let mut limiter = limiter(seed, customers);
    let now = Duration::from_secs(61);
    let mut bytes = 0;
    let seconds = mean_s(ROUNDS / 100, |_| {
        for (_, message) in limiter.gossip(now) {
            bytes += encoded_bytes(&Frame::Limit(message));
        }
    });
    let bytes_per_round = bytes as f64 / f64::from(ROUNDS / 100);
    let period = snipewinch::limit::demand::GOSSIP_PERIOD.as_secs_f64();
    (seconds * 1e6, bytes_per_round / period)
}

/// The bytes of heartbeats that an entry host sends per second, without the
/// overhead of the transport.
fn heartbeat_bytes(links: usize) -> f64 {
    let heartbeat = Heartbeat {
        sequence: 100_000,
        echo: 100_000,
        summary: None,
    };
    let bytes = encoded_bytes(&Frame::Heartbeat(heartbeat));
    links as f64 * bytes as f64 / HEARTBEAT_INTERVAL.as_secs_f64()
}

/// The default interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(750);

/// The encoded size of a frame.
fn encoded_bytes(frame: &Frame) -> usize {
    let mut bytes = Vec::new();
    // Writing to a vector does not fail.
    let _ = ciborium::into_writer(frame, &mut bytes);
    bytes.len()
}
