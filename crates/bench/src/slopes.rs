//! `bench slopes`: what one host costs against the size of its fleet, and the
//! line through it drawn to the target.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use snipewinch::host::Role;

use crate::Error;
use crate::error::flag_error;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::scrape::Scrape;
use crate::weights;

pub mod routing;

mod flags {
    xflags::xflags! {
        /// Measures what one idle host costs in fleets of growing size.
        cmd slopes {
            /// Agents of each fleet, separated by commas.
            optional --agents list: String
            /// Entries of each fleet.
            optional --entries n: usize
            /// Seconds of measuring for each fleet.
            optional --seconds s: u64
            /// Hosts that the membership list names besides, none of which answers.
            optional --listed n: usize
            /// Decides every draw.
            optional --seed seed: u64
            /// Measure routing and limits alone, without any process.
            optional --routing
            /// Print JSON lines only.
            optional --json
        }
    }
}

/// The sizes of the fleets unless the flags say.
const AGENTS: [usize; 4] = [8, 16, 32, 64];
/// Entries of each fleet unless the flags say.
const ENTRIES: usize = 2;
/// Seconds of measuring unless the flags say.
const SECONDS: u64 = 5;
/// How long a fleet may take until it is ready.
const LIMIT: Duration = Duration::from_secs(60);
/// How long a fleet settles before it is measured: every process has started
/// at once, and news of that take a while to run out.
const SETTLE: Duration = Duration::from_secs(20);
/// The size of the model, in bytes.
const MODEL_BYTES: usize = 1 << 20;
/// The size of a chunk, in bytes.
const CHUNK_BYTES: u32 = 64 << 10;
/// Hosts at the target: 360 entries and 2,800 agents.
const TARGET_HOSTS: f64 = 3160.0;

/// One measured cost in a fleet of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// What was measured, with its unit.
    pub slope: &'static str,
    /// Hosts in the fleet.
    pub hosts: usize,
    /// The cost of one host.
    pub value: f64,
    /// The seed of the run.
    pub seed: u64,
}

/// A straight line by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The value at no hosts.
    pub intercept: f64,
    /// The growth for each host.
    pub slope: f64,
}

impl Fit {
    /// The line through points, unless they have fewer than two places.
    pub fn least_squares(points: &[(f64, f64)]) -> Option<Fit> {
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        if spread == 0.0 || points.is_empty() {
            return None;
        }
        let together: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let slope = together / spread;
        Some(Fit {
            intercept: y - slope * x,
            slope,
        })
    }

    /// The value at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

#[derive(Serialize)]
struct Drawn {
    experiment: &'static str,
    measure: &'static str,
    at_target: f64,
    fit: Fit,
    seed: u64,
}

/// Measures with the flags after the experiment's name.
///
/// # Errors
///
/// [`Error`] if a fleet does not come up.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = flags::Slopes::from_vec(arguments).map_err(|error| flag_error(&error))?;
    let agents = match &flags.agents {
        None => AGENTS.to_vec(),
        Some(list) => parse(list)?,
    };
    let entries = flags.entries.unwrap_or(ENTRIES);
    let seconds = flags.seconds.unwrap_or(SECONDS);
    let seed = flags.seed.unwrap_or(1);
    let listed = flags.listed.unwrap_or(0);
    if flags.routing {
        for slope in routing::measure(seed) {
            println!("{}", serde_json::to_string(&slope).unwrap_or_default());
        }
        return Ok(());
    }
    let mut points = Vec::new();
    for agents in agents {
        let measured = measure(entries, agents, listed, Duration::from_secs(seconds), seed).await?;
        for point in &measured {
            println!("{}", serde_json::to_string(point).unwrap_or_default());
        }
        points.extend(measured);
    }
    let mut measures: BTreeMap<&'static str, Vec<(f64, f64)>> = BTreeMap::new();
    for point in &points {
        let place = (point.hosts as f64, point.value);
        measures.entry(point.slope).or_default().push(place);
    }
    for (measure, points) in measures {
        let Some(fit) = Fit::least_squares(&points) else {
            continue;
        };
        let drawn = Drawn {
            experiment: "slopes",
            measure,
            at_target: fit.value_at(TARGET_HOSTS),
            fit,
            seed,
        };
        println!("{}", serde_json::to_string(&drawn).unwrap_or_default());
    }
    Ok(())
}

fn parse(list: &str) -> Result<Vec<usize>, Error> {
    list.split(',')
        .map(|text| {
            text.trim().parse().map_err(|_| Error::Usage {
                detail: format!("--agents is `{list}`: write numbers separated by commas"),
            })
        })
        .collect()
}

/// Starts a fleet, lets it settle and measures it at rest.
async fn measure(
    entries: usize,
    agents: usize,
    listed: usize,
    span: Duration,
    seed: u64,
) -> Result<Vec<Point>, Error> {
    let mut plan = Plan::sized(entries, agents, 0, 3, seed);
    plan.relayed = false;
    plan.chunk_memory_mib = 16;
    let mut fleet = Fleet::open(plan).await?;
    let weights = weights::random(seed, MODEL_BYTES);
    let manifest = fleet.put_weights("1", &weights, CHUNK_BYTES).await?;
    fleet.publish_model("1", &manifest).await?;
    fleet.wait_replicas(&manifest.weights_digest, LIMIT).await?;
    fleet.wait_ready(LIMIT).await?;
    fleet.list_missing_hosts(listed).await?;
    tokio::time::sleep(SETTLE).await;
    let started = Instant::now();
    let before = Sample::take(&fleet).await?;
    tokio::time::sleep(span).await;
    let after = Sample::take(&fleet).await?;
    let elapsed = started.elapsed().as_secs_f64();
    let hosts = entries + agents;
    let point = |slope, value| Point {
        slope,
        hosts,
        value,
        seed,
    };
    let mut points = Vec::new();
    for (role, names) in [(Role::Entry, ENTRY), (Role::Agent, AGENT)] {
        let count = fleet.names(role).len().max(1) as f64;
        let (before, after) = (&before.roles[&role], &after.roles[&role]);
        let rate = |before: f64, after: f64| (after - before) / elapsed / count;
        points.push(point(names.core, rate(before.cpu_s, after.cpu_s)));
        points.push(point(names.memory, after.rss_mib / count));
        points.push(point(names.control, rate(before.control, after.control)));
        points.push(point(names.links, after.links / count));
    }
    let reads = (after.store_reads - before.store_reads) as f64 / elapsed;
    points.push(point("store reads a second, whole fleet", reads));
    let listed = (after.listed - before.listed) as f64 / elapsed;
    points.push(point("membership reads a second, whole fleet", listed));
    fleet.shutdown().await;
    Ok(points)
}

struct Names {
    core: &'static str,
    memory: &'static str,
    control: &'static str,
    links: &'static str,
}

const ENTRY: Names = Names {
    core: "entry: share of a core",
    memory: "entry: MiB resident",
    control: "entry: control bytes sent a second",
    links: "entry: links",
};
const AGENT: Names = Names {
    core: "agent: share of a core",
    memory: "agent: MiB resident",
    control: "agent: control bytes sent a second",
    links: "agent: links",
};

#[derive(Clone, Copy, Debug, Default)]
struct Used {
    cpu_s: f64,
    rss_mib: f64,
    control: f64,
    links: f64,
}

/// What a whole fleet has used up to one moment.
struct Sample {
    roles: BTreeMap<Role, Used>,
    store_reads: u64,
    listed: u64,
}

impl Sample {
    async fn take(fleet: &Fleet) -> Result<Sample, Error> {
        let mut roles: BTreeMap<Role, Used> = BTreeMap::from([
            (Role::Entry, Used::default()),
            (Role::Agent, Used::default()),
        ]);
        for host in fleet.hosts() {
            let scrape = Scrape::fetch(fleet, host.http).await?;
            let usage = host.usage();
            let used = roles.entry(host.role).or_default();
            used.cpu_s += usage.cpu_s;
            used.rss_mib += usage.rss_kib as f64 / 1024.0;
            used.control += scrape.sum("snipewinch_peer_sent_bytes_total", "class=\"control\"");
            used.links += scrape.sum("snipewinch_peer_links", "");
        }
        let counters = fleet.counters().await?;
        Ok(Sample {
            roles,
            store_reads: counters.table_reads,
            listed: counters.membership_reads,
        })
    }
}
