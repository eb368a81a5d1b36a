//! `bench slopes`: the cost of one host by the size of its fleet, with a
//! straight line fitted and extrapolated to the target size.

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
        /// Measures the cost of one idle host in fleets of growing size.
        cmd slopes {
            /// The number of agents of each fleet, separated by commas.
            optional --agents list: String
            /// The number of entries of each fleet.
            optional --entries n: usize
            /// How long each fleet is measured, in seconds.
            optional --seconds s: u64
            /// Additional hosts in the membership list that do not answer.
            optional --listed n: usize
            /// Seed of the random numbers.
            optional --seed seed: u64
            /// Measure only routing and limits, without starting a fleet.
            optional --routing
            /// Print only lines of JSON.
            optional --json
        }
    }
}

/// The default numbers of agents.
const AGENT_COUNTS: [usize; 4] = [8, 16, 32, 64];
/// The default number of entries of each fleet.
const ENTRY_COUNT: usize = 2;
/// The default time for which each fleet is measured.
const MEASURE_S: u64 = 5;
/// How long a fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause before a fleet is measured: all processes start at the same time,
/// and the membership updates that this causes take a while to stop.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// The size of the weights of the model.
const MODEL_BYTES: usize = 1 << 20;
/// The chunk size of the weights.
const CHUNK_BYTES: u32 = 64 << 10;
/// Hosts at the target size: 360 entries and 2,800 agents.
const TARGET_HOSTS: f64 = 3160.0;

/// One cost, measured in a fleet of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// What was measured, with the unit.
    pub slope: &'static str,
    /// Hosts in the fleet.
    pub hosts: usize,
    /// The mean cost of one host, or the cost of the whole fleet if `slope`
    /// says so.
    pub value: f64,
    /// The seed of the run.
    pub seed: u64,
}

/// A straight line, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The value at x = 0.
    pub intercept: f64,
    /// The increase of the value for each unit of x.
    pub slope: f64,
}

impl Fit {
    /// Fits a line to `(x, y)` points; `None` if they have fewer than two
    /// distinct values of x.
    pub fn least_squares(points: &[(f64, f64)]) -> Option<Fit> {
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xx: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        if sum_xx == 0.0 || points.is_empty() {
            return None;
        }
        let sum_xy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let slope = sum_xy / sum_xx;
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

/// The fitted line of a measure, with its value at the target size.
#[derive(Serialize)]
struct Extrapolation {
    experiment: &'static str,
    measure: &'static str,
    at_target: f64,
    fit: Fit,
    seed: u64,
}

/// Runs the experiment with the flags after its name.
///
/// # Errors
///
/// [`Error`] if the flags are wrong, or a fleet does not start or answer.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = flags::Slopes::from_vec(arguments).map_err(|error| flag_error(&error))?;
    let agents = match &flags.agents {
        None => AGENT_COUNTS.to_vec(),
        Some(list) => parse_counts(list)?,
    };
    let entries = flags.entries.unwrap_or(ENTRY_COUNT);
    let seconds = flags.seconds.unwrap_or(MEASURE_S);
    let seed = flags.seed.unwrap_or(1);
    let missing_hosts = flags.listed.unwrap_or(0);
    if flags.routing {
        for slope in routing::measure(seed) {
            println!("{}", serde_json::to_string(&slope).unwrap_or_default());
        }
        return Ok(());
    }
    let mut points = Vec::new();
    for agents in agents {
        let measured = measure(
            entries,
            agents,
            missing_hosts,
            Duration::from_secs(seconds),
            seed,
        )
        .await?;
        for point in &measured {
            println!("{}", serde_json::to_string(point).unwrap_or_default());
        }
        points.extend(measured);
    }
    let mut measures: BTreeMap<&'static str, Vec<(f64, f64)>> = BTreeMap::new();
    for point in &points {
        let coordinates = (point.hosts as f64, point.value);
        measures.entry(point.slope).or_default().push(coordinates);
    }
    for (measure, points) in measures {
        let Some(fit) = Fit::least_squares(&points) else {
            continue;
        };
        let extrapolation = Extrapolation {
            experiment: "slopes",
            measure,
            at_target: fit.value_at(TARGET_HOSTS),
            fit,
            seed,
        };
        println!(
            "{}",
            serde_json::to_string(&extrapolation).unwrap_or_default()
        );
    }
    Ok(())
}

fn parse_counts(list: &str) -> Result<Vec<usize>, Error> {
    list.split(',')
        .map(|text| {
            text.trim().parse().map_err(|_| Error::Usage {
                detail: format!(
                    "invalid value `{list}` for --agents; write whole numbers separated by commas"
                ),
            })
        })
        .collect()
}

/// Starts a fleet, waits until it is idle and measures it for `duration`.
async fn measure(
    entries: usize,
    agents: usize,
    missing_hosts: usize,
    duration: Duration,
    seed: u64,
) -> Result<Vec<Point>, Error> {
    let mut plan = Plan::sized(entries, agents, 0, 3, seed);
    plan.relayed = false;
    plan.chunk_memory_mib = 16;
    let mut fleet = Fleet::open(plan).await?;
    let weights = weights::random(seed, MODEL_BYTES);
    let manifest = fleet.put_weights("1", &weights, CHUNK_BYTES).await?;
    fleet.publish_model("1", &manifest).await?;
    fleet
        .wait_replicas(&manifest.weights_digest, READY_TIMEOUT)
        .await?;
    fleet.wait_ready(READY_TIMEOUT).await?;
    fleet.list_missing_hosts(missing_hosts).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let started = Instant::now();
    let before = Sample::take(&fleet).await?;
    tokio::time::sleep(duration).await;
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
    for (role, measures) in [(Role::Entry, ENTRY), (Role::Agent, AGENT)] {
        let count = fleet.names(role).len().max(1) as f64;
        let (before, after) = (&before.roles[&role], &after.roles[&role]);
        let rate = |before: f64, after: f64| (after - before) / elapsed / count;
        points.push(point(measures.core, rate(before.cpu_s, after.cpu_s)));
        points.push(point(measures.memory, after.rss_mib / count));
        points.push(point(measures.control, rate(before.control, after.control)));
        points.push(point(measures.links, after.links / count));
    }
    let reads = (after.store_reads - before.store_reads) as f64 / elapsed;
    points.push(point("store reads a second, whole fleet", reads));
    let membership_reads = (after.membership_reads - before.membership_reads) as f64 / elapsed;
    points.push(point(
        "membership reads a second, whole fleet",
        membership_reads,
    ));
    fleet.shutdown().await;
    Ok(points)
}

/// The names of the measures of a role.
struct Measures {
    core: &'static str,
    memory: &'static str,
    control: &'static str,
    links: &'static str,
}

const ENTRY: Measures = Measures {
    core: "entry: share of a core",
    memory: "entry: MiB resident",
    control: "entry: control bytes sent a second",
    links: "entry: links",
};
const AGENT: Measures = Measures {
    core: "agent: share of a core",
    memory: "agent: MiB resident",
    control: "agent: control bytes sent a second",
    links: "agent: links",
};

/// The sums over all hosts of a role.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_s: f64,
    rss_mib: f64,
    control: f64,
    links: f64,
}

/// The counters of a whole fleet at one moment.
struct Sample {
    roles: BTreeMap<Role, Usage>,
    store_reads: u64,
    membership_reads: u64,
}

impl Sample {
    async fn take(fleet: &Fleet) -> Result<Sample, Error> {
        let mut roles: BTreeMap<Role, Usage> = BTreeMap::from([
            (Role::Entry, Usage::default()),
            (Role::Agent, Usage::default()),
        ]);
        for host in fleet.hosts() {
            let scrape = Scrape::fetch(fleet, host.http).await?;
            let usage = host.usage();
            let sum = roles.entry(host.role).or_default();
            sum.cpu_s += usage.cpu_s;
            sum.rss_mib += usage.rss_kib as f64 / 1024.0;
            sum.control += scrape.sum("snipewinch_peer_sent_bytes_total", "class=\"control\"");
            sum.links += scrape.sum("snipewinch_peer_links", "");
        }
        let counters = fleet.counters().await?;
        Ok(Sample {
            roles,
            store_reads: counters.table_reads,
            membership_reads: counters.membership_reads,
        })
    }
}
