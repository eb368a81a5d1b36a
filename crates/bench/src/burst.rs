//! The experiment `burst`: distributes a new version to every host of a fleet
//! of real processes, over rate-limited links and under a load of calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ffi::OsString;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use snipewinch::Digest;
use snipewinch::document::Objective;
use snipewinch::host;
use snipewinch::host::Role;
use snipewinch::weights::manifest::Manifest;

use crate::Error;
use crate::error::flag_error;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::load;
use crate::load::Load;
use crate::load::Outcome;
use crate::weights;

mod faults;
mod sample;

use sample::Sample;

mod flags {
    xflags::xflags! {
        /// Starts a fleet, publishes a version and measures its distribution to
        /// every host. Percentages are of hosts, or of chunks for --corrupt and
        /// --changed; times are in seconds.
        cmd burst {
            /// Number of agent hosts that serve the model.
            optional --agents n: usize
            /// Number of regions, up to 3.
            optional --regions n: usize
            /// Size of the model in MiB.
            optional --model-mib mib: usize
            /// Size of a chunk in KiB.
            optional --chunk-kib kib: u32
            /// Distribution policy: `swarm`, or `tree` or `origin` to compare.
            optional --policy name: String
            /// Objective of the rollout in the document: `time` or `origin`.
            optional --weigh name: String
            /// Calls per second during the whole run.
            optional --live-rps n: f64
            /// Percent of hosts killed early in the burst.
            optional --kill percent: usize
            /// Percent of chunks corrupted on the links between regions.
            optional --corrupt percent: f64
            /// Percent of hosts suspended for a part of the burst.
            optional --stall percent: usize
            /// Percent of hosts added during the burst.
            optional --join percent: usize
            /// Percent of chunks changed since the first version; default 100.
            optional --changed percent: usize
            /// Publish another version after this time.
            optional --replace-after seconds: f64
            /// Cut off a region early in the burst for this time.
            optional --region-cut seconds: f64
            /// Upload rate of each host.
            optional --host-mbit mbit: u64
            /// Rate of the origin over all readers.
            optional --origin-mbit mbit: f64
            /// Rate of each link between regions, each way.
            optional --region-mbit mbit: f64
            /// Seed of all random choices.
            optional --seed seed: u64
            /// Print only one JSON line with the figures.
            optional --json
        }
    }
}

/// Default number of agent hosts.
const DEFAULT_AGENTS: usize = 30;
/// Default number of regions.
const DEFAULT_REGIONS: usize = 3;
/// Default size of the model.
const DEFAULT_MODEL_MIB: usize = 32;
/// Size of the first version, unless the next shares chunks with it.
const FIRST_VERSION_MIB: usize = 2;
/// Default size of a chunk.
const DEFAULT_CHUNK_KIB: u32 = 256;
/// Default calls per second.
const DEFAULT_LIVE_RPS: f64 = 20.0;
/// Default rate of a link between regions, in Mbit/s.
const DEFAULT_REGION_MBIT: f64 = 20.0;
/// Default upload rate of a host, in Mbit/s: about two copies of the model in
/// the time in which a link between regions carries one.
const DEFAULT_HOST_MBIT: u64 = 40;
/// Default rate of the origin, in Mbit/s: about four copies of the model in the
/// time in which a link between regions carries one.
const DEFAULT_ORIGIN_MBIT: f64 = 80.0;
/// How long calls are measured before the version is published, as a baseline.
const BASELINE_TIME: Duration = Duration::from_secs(6);
/// Time limit of a distribution in multiples of the bound, added to
/// [`BASE_TIMEOUT`].
const TIMEOUT_PER_BOUND: f64 = 4.0;
/// Time limit of the fleet's start, and constant part of the time limit of a
/// distribution.
const BASE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of checks whether every host serves the version.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const BYTES_PER_MIB: usize = 1 << 20;
const BITS_PER_MEGABIT: f64 = 1e6;

/// The figures of one run, printed as one JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The distribution policy.
    pub policy: String,
    /// Number of agent hosts that serve the model at the end.
    pub agents: usize,
    /// Time from the accepted publication until every engine served the
    /// version, in seconds.
    pub seconds_to_all: f64,
    /// Time of one copy over the slowest link that every copy must cross, in
    /// seconds.
    pub bound_seconds: f64,
    /// `seconds_to_all` divided by `bound_seconds`.
    pub ratio_to_bound: f64,
    /// Bytes sent by the origin, in copies of the model.
    pub origin_copies: f64,
    /// Most bytes over one link between regions in one direction, in copies of
    /// the model.
    pub region_link_copies_max: f64,
    /// Most bytes sent by one host, in copies of the model.
    pub host_link_copies_max: f64,
    /// Number of calls.
    pub calls: u64,
    /// Number of calls without a complete answer, for any reason.
    pub calls_failed: u64,
    /// Median duration of complete answers during the burst.
    pub calls_p50_ms: f64,
    /// 99th percentile of the duration during the burst.
    pub calls_p99_ms: f64,
    /// 99th percentile of the duration before the burst.
    pub calls_p99_ms_idle: f64,
    /// Number of calls that ran on weights other than a complete published
    /// version.
    pub partial_or_mixed_served: u64,
    /// Bytes per second that a host sent for control and exchange, on average.
    pub control_bytes_per_host_s: f64,
    /// Largest resident memory of an agent, in MiB.
    pub agent_rss_mib_max: f64,
}

/// The parameters of a run that do not belong to the fleet's plan.
#[derive(Clone, Debug)]
struct Settings {
    policy: String,
    model_bytes: usize,
    chunk_bytes: u32,
    changed_percent: usize,
    rps: f64,
    replace_after: Option<Duration>,
    faults: faults::Faults,
    quiet: bool,
    seed: u64,
}

/// Runs the experiment with the flags after its name.
///
/// # Errors
///
/// [`Error`] if it ends early.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = flags::Burst::from_vec(arguments).map_err(|error| flag_error(&error))?;
    let plan = plan(&flags)?;
    let settings = settings(&flags);
    let figures = measure(plan, &settings).await?;
    let line = serde_json::to_string(&figures).unwrap_or_default();
    println!("{line}");
    match figures.partial_or_mixed_served {
        0 => Ok(()),
        _ => Err(Error::Broken {
            what: "partial or mixed weights were served".to_owned(),
        }),
    }
}

fn settings(flags: &flags::Burst) -> Settings {
    let chunk_kib = flags.chunk_kib.unwrap_or(DEFAULT_CHUNK_KIB);
    Settings {
        policy: flags.policy.clone().unwrap_or_else(|| "swarm".to_owned()),
        model_bytes: flags.model_mib.unwrap_or(DEFAULT_MODEL_MIB) * BYTES_PER_MIB,
        chunk_bytes: chunk_kib << 10,
        changed_percent: flags.changed.unwrap_or(100).min(100),
        rps: flags.live_rps.unwrap_or(DEFAULT_LIVE_RPS),
        replace_after: flags.replace_after.map(Duration::from_secs_f64),
        faults: faults::Faults {
            kill_percent: flags.kill.unwrap_or(0),
            corrupt_percent: flags.corrupt.unwrap_or(0.0),
            chunk_kib,
            stall_percent: flags.stall.unwrap_or(0),
            join_percent: flags.join.unwrap_or(0),
            region_cut: flags.region_cut.map(Duration::from_secs_f64),
        },
        quiet: flags.json,
        seed: flags.seed.unwrap_or(1),
    }
}

fn plan(flags: &flags::Burst) -> Result<Plan, Error> {
    let agents = flags.agents.unwrap_or(DEFAULT_AGENTS);
    let regions = flags.regions.unwrap_or(DEFAULT_REGIONS);
    let seed = flags.seed.unwrap_or(1);
    let mut plan = Plan::sized(regions, agents, 1, regions, seed);
    let model_mib = flags.model_mib.unwrap_or(DEFAULT_MODEL_MIB);
    plan.deployment.region_mbit = flags.region_mbit.unwrap_or(DEFAULT_REGION_MBIT);
    plan.upload_mbit = flags.host_mbit.unwrap_or(DEFAULT_HOST_MBIT);
    plan.origin_mbit = flags.origin_mbit.unwrap_or(DEFAULT_ORIGIN_MBIT);
    plan.chunk_memory_mib = 2 * (model_mib + FIRST_VERSION_MIB) as u64;
    plan.spare_engines = agents * flags.join.unwrap_or(0) / 100;
    plan.weights_policy = flags.policy.clone();
    plan.document.rollout.objective = match flags.weigh.as_deref() {
        None | Some("time") => Objective::Time,
        Some("origin") => Objective::Origin,
        Some(other) => {
            return Err(Error::Usage {
                detail: format!("--weigh is `{other}`: use `time` or `origin`"),
            });
        }
    };
    Ok(plan)
}

/// The time in which one copy crosses the slowest link that every copy must
/// cross, in seconds.
fn bound_seconds(plan: &Plan, model_bytes: usize) -> f64 {
    let mut slowest_mbit = plan.origin_mbit.min(plan.upload_mbit as f64);
    if plan.deployment.regions.len() > 1 {
        slowest_mbit = slowest_mbit.min(plan.deployment.region_mbit);
    }
    model_bytes as f64 * 8.0 / (slowest_mbit * BITS_PER_MEGABIT)
}

async fn measure(plan: Plan, settings: &Settings) -> Result<Figures, Error> {
    let report = |text: &str| {
        if !settings.quiet {
            eprintln!("{text}");
        }
    };
    let bound = Duration::from_secs_f64(bound_seconds(&plan, settings.model_bytes));
    let mut fleet = Fleet::open(plan).await?;
    report("fleet started");
    let first_weights = first_weights(settings);
    let first = fleet
        .put_weights("2026.1", &first_weights, settings.chunk_bytes)
        .await?;
    fleet.publish_model("2026.1", &first).await?;
    fleet
        .wait_replicas(&first.weights_digest, BASE_TIMEOUT)
        .await?;
    fleet.wait_ready(BASE_TIMEOUT).await?;
    report("every host serves the first version");

    let calls = load::Settings {
        // A duplicate may be refused while the first call is in progress, but
        // here every call must be answered.
        duplicate_percent: 0,
        ..load::Settings::of(&fleet, settings.rps, settings.seed)
    };
    let load = Load::spawn(calls);
    tokio::time::sleep(BASELINE_TIME).await;
    let mut run = Run::begin(&mut fleet, settings, &first, &first_weights).await?;
    let idle_end = load.elapsed();
    let started = Instant::now();
    run.publish(&mut fleet).await?;
    let mut accepted = Instant::now();
    report("console accepted the new version");
    let faults = &settings.faults;
    let mut joined = faults.inject(&mut fleet, bound, settings.seed).await?;
    if let Some(after) = settings.replace_after {
        tokio::time::sleep(after.saturating_sub(accepted.elapsed())).await;
        run.replace(&mut fleet, settings).await?;
        accepted = Instant::now();
        report("console accepted the replacement version");
    }
    joined += faults.add_hosts(&mut fleet, bound, accepted).await?;
    let timeout = bound.mul_f64(TIMEOUT_PER_BOUND) + BASE_TIMEOUT;
    wait_until_served(&fleet, &run.latest.weights_digest, timeout).await?;
    let seconds_to_all = accepted.elapsed().as_secs_f64();
    let burst_end = load.elapsed();
    report(&format!(
        "every host serves the version after {seconds_to_all:.2} s; {joined} hosts joined"
    ));
    let after = Sample::collect(&fleet).await?;
    let totals = load.stop().await;

    let seconds = started.elapsed().as_secs_f64();
    let copies = |bytes: u64| bytes as f64 / settings.model_bytes as f64;
    let control_bytes = after.control_bytes_mean(&run.baseline);
    let exchange_bytes = after.exchange_bytes_mean(&run.baseline);
    report(&format!(
        "mean per host: {:.0} B/s of control traffic, {:.0} B/s of exchange traffic",
        control_bytes / seconds,
        exchange_bytes / seconds
    ));
    let figures = Figures {
        policy: settings.policy.clone(),
        agents: fleet.running_engines().len(),
        seconds_to_all,
        bound_seconds: bound.as_secs_f64(),
        ratio_to_bound: seconds_to_all / bound.as_secs_f64(),
        origin_copies: copies(
            after.origin_bytes(&run.manifest_digests) - run.baseline.origin_total(&run),
        ),
        region_link_copies_max: copies(after.link_bytes_max(&run.baseline)),
        host_link_copies_max: copies(after.sent_bytes_max(&run.baseline)),
        calls: totals.calls(),
        calls_failed: totals.calls() - totals.count(Outcome::Complete),
        calls_p50_ms: totals.latency_ms(idle_end, burst_end, 0.5),
        calls_p99_ms: totals.latency_ms(idle_end, burst_end, 0.99),
        calls_p99_ms_idle: totals.latency_ms(Duration::ZERO, idle_end, 0.99),
        partial_or_mixed_served: fleet.partial_or_mixed_calls(&run.published_digests).await?,
        control_bytes_per_host_s: (control_bytes + exchange_bytes) / seconds,
        agent_rss_mib_max: rss_mib_max(&fleet),
    };
    report(&format!("{} calls: {:?}", totals.calls(), totals.outcomes));
    let records = totals.records.iter();
    for record in records.filter(|record| record.outcome != Outcome::Complete) {
        report(&format!("no complete answer: {record:?}"));
    }
    fleet.shutdown().await;
    Ok(figures)
}

/// The weights of the first version: small ones, unless the next version shares
/// chunks with them.
fn first_weights(settings: &Settings) -> Vec<u8> {
    let length = match settings.changed_percent {
        100 => FIRST_VERSION_MIB * BYTES_PER_MIB,
        _ => settings.model_bytes,
    };
    weights::random(settings.seed, length)
}

/// The published versions of one run, and the counters before the burst.
struct Run {
    baseline: Sample,
    weights: Vec<u8>,
    latest: Manifest,
    /// Digests of the weights of all published versions.
    published_digests: BTreeSet<Digest>,
    /// Digests of the manifests published in the burst.
    manifest_digests: BTreeSet<String>,
}

impl Run {
    async fn begin(
        fleet: &mut Fleet,
        settings: &Settings,
        first: &Manifest,
        first_weights: &[u8],
    ) -> Result<Run, Error> {
        let seed = settings.seed + 1;
        let chunk_bytes = settings.chunk_bytes as usize;
        let weights = match settings.changed_percent {
            100 => weights::random(seed, settings.model_bytes),
            percent => {
                weights::with_changed_chunks(first_weights, chunk_bytes, percent, seed).to_vec()
            }
        };
        let latest = fleet
            .put_weights("2026.2", &weights, settings.chunk_bytes)
            .await?;
        Ok(Run {
            baseline: Sample::collect(fleet).await?,
            weights,
            published_digests: BTreeSet::from([first.weights_digest, latest.weights_digest]),
            manifest_digests: BTreeSet::from([latest.digest().to_string()]),
            latest,
        })
    }

    async fn publish(&self, fleet: &mut Fleet) -> Result<(), Error> {
        let version = self.latest.version.to_string();
        fleet.publish_model(&version, &self.latest).await?;
        Ok(())
    }

    /// Publishes another version while the latest is still being distributed.
    async fn replace(&mut self, fleet: &mut Fleet, settings: &Settings) -> Result<(), Error> {
        let chunk_bytes = settings.chunk_bytes as usize;
        let seed = settings.seed + 2;
        self.weights = weights::with_changed_chunks(
            &self.weights,
            chunk_bytes,
            REPLACEMENT_CHANGED_PERCENT,
            seed,
        )
        .to_vec();
        let chunk_bytes = settings.chunk_bytes;
        self.latest = fleet
            .put_weights("2026.3", &self.weights, chunk_bytes)
            .await?;
        self.published_digests.insert(self.latest.weights_digest);
        self.manifest_digests
            .insert(self.latest.digest().to_string());
        self.publish(fleet).await
    }
}

/// Percent of chunks in which a replacement differs from the version before.
const REPLACEMENT_CHANGED_PERCENT: usize = 50;

/// Waits until every running engine serves exactly these weights.
async fn wait_until_served(
    fleet: &Fleet,
    weights_digest: &Digest,
    timeout: Duration,
) -> Result<(), Error> {
    let started = Instant::now();
    loop {
        let replicas = fleet.replicas(weights_digest).await?;
        let all = fleet.running_engines().len();
        if replicas == all {
            return Ok(());
        }
        if started.elapsed() > timeout {
            return Err(Error::Broken {
                what: format!("{replicas} of {all} hosts serve the version after {timeout:?}"),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn rss_mib_max(fleet: &Fleet) -> f64 {
    let agents = fleet.hosts().filter(|host| host.role == Role::Agent);
    let rss = agents.map(|host| host.usage().rss_max_kib);
    rss.max().unwrap_or(0) as f64 / 1024.0
}

/// Byte counts by host.
type ByHost = BTreeMap<host::Name, u64>;
