//! The experiment `burst`: a new version reaches every host of a fleet of real
//! processes over paced links while calls flow.

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

mod scrape;
mod strike;

use scrape::Sample;

mod flags {
    xflags::xflags! {
        /// Starts a fleet, publishes a version and measures how it reaches every
        /// host. Percentages are of hosts, or of chunks for --corrupt and
        /// --changed; times are in seconds.
        cmd burst {
            /// Hosts that must hold the model.
            optional --agents n: usize
            /// Regions, up to 3.
            optional --regions n: usize
            /// The size of the model in MiB.
            optional --model-mib mib: usize
            /// The size of a chunk in KiB.
            optional --chunk-kib kib: u32
            /// `swarm`, or `tree` or `origin` for comparing.
            optional --policy name: String
            /// `time` or `origin`: what the document weighs more.
            optional --weigh name: String
            /// Calls a second throughout.
            optional --live-rps n: f64
            /// Hosts killed early in the burst.
            optional --kill percent: usize
            /// Chunks corrupted on the links between regions.
            optional --corrupt percent: f64
            /// Hosts that stand still for a while.
            optional --stall percent: usize
            /// Hosts that join in mid-burst.
            optional --join percent: usize
            /// Chunks in which the version differs from the one before; 100 unless set.
            optional --changed percent: usize
            /// Replace the version by another after this time.
            optional --replace-after seconds: f64
            /// Cut a region off early in the burst for this time.
            optional --region-cut seconds: f64
            /// The rate of each host's link.
            optional --host-mbit mbit: u64
            /// The rate of the origin over all readers.
            optional --origin-mbit mbit: f64
            /// The rate of each link between regions, each way.
            optional --region-mbit mbit: f64
            /// Decides every draw.
            optional --seed seed: u64
            /// Print nothing but one JSON line.
            optional --json
        }
    }
}

/// Hosts unless the flags say.
const AGENTS: usize = 30;
/// Regions unless the flags say.
const REGIONS: usize = 3;
/// The size of the model unless the flags say, in MiB.
const MODEL_MIB: usize = 32;
/// The size of the version that the fleet starts with, in MiB.
const FIRST_MIB: usize = 2;
/// The size of a chunk unless the flags say, in KiB.
const CHUNK_KIB: u32 = 256;
/// Calls a second unless the flags say.
const LIVE_RPS: f64 = 20.0;
/// The rate of a link between regions unless the flags say, in Mbit/s.
const REGION_MBIT: f64 = 20.0;
/// The same of a host's link: about two copies in the time of one.
const HOST_MBIT: u64 = 40;
/// The same of the origin: about four copies in the time of one.
const ORIGIN_MBIT: f64 = 80.0;
/// Calls before the version, to compare with.
const IDLE: Duration = Duration::from_secs(6);
/// How long a version may take, in times of the bound, besides [`LIMIT`].
const LIMIT_BOUNDS: f64 = 4.0;
/// How long a version may take besides.
const LIMIT: Duration = Duration::from_secs(60);
/// How often to look whether every host has the version.
const STEP: Duration = Duration::from_millis(50);
/// Bytes in a MiB.
const MIB: usize = 1 << 20;
/// Bits a second in a megabit.
const MEGABIT: f64 = 1e6;

/// What is measured: one JSON line.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The scheme.
    pub policy: String,
    /// Hosts that must hold the model at the end.
    pub agents: usize,
    /// From the acceptance until the engine of every host served the version.
    pub seconds_to_all: f64,
    /// One copy over the narrowest link that every copy must cross.
    pub bound_seconds: f64,
    /// The ratio of both.
    pub ratio_to_bound: f64,
    /// Bytes from the origin, in copies of the model.
    pub origin_copies: f64,
    /// The most over one link between regions, one way.
    pub region_link_copies_max: f64,
    /// The most that one host sent.
    pub host_link_copies_max: f64,
    /// Live calls.
    pub calls: u64,
    /// Those not answered whole, whatever the reason.
    pub calls_failed: u64,
    /// The median time of an answer in the burst, in milliseconds.
    pub calls_p50_ms: f64,
    /// The 99th percentile in the burst.
    pub calls_p99_ms: f64,
    /// The 99th percentile before the burst.
    pub calls_p99_ms_idle: f64,
    /// Calls that ran on weights that were never published whole.
    pub partial_or_mixed_served: u64,
    /// Bytes of control and exchange that a host sent, each second.
    pub control_bytes_per_host_s: f64,
    /// The most memory that one agent took, in MiB.
    pub agent_rss_mib_max: f64,
}

/// What the flags ask for.
#[derive(Clone, Debug)]
struct Settings {
    policy: String,
    size: usize,
    chunk_bytes: u32,
    changed: usize,
    rps: f64,
    replace_after: Option<Duration>,
    strikes: strike::Strikes,
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
    let figures = burst(plan, &settings).await?;
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
    let chunk_kib = flags.chunk_kib.unwrap_or(CHUNK_KIB);
    Settings {
        policy: flags.policy.clone().unwrap_or_else(|| "swarm".to_owned()),
        size: flags.model_mib.unwrap_or(MODEL_MIB) * MIB,
        chunk_bytes: chunk_kib << 10,
        changed: flags.changed.unwrap_or(100).min(100),
        rps: flags.live_rps.unwrap_or(LIVE_RPS),
        replace_after: flags.replace_after.map(Duration::from_secs_f64),
        strikes: strike::Strikes {
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
    let agents = flags.agents.unwrap_or(AGENTS);
    let regions = flags.regions.unwrap_or(REGIONS);
    let seed = flags.seed.unwrap_or(1);
    let mut plan = Plan::sized(regions, agents, 1, regions, seed);
    let model_mib = flags.model_mib.unwrap_or(MODEL_MIB);
    plan.deployment.region_mbit = flags.region_mbit.unwrap_or(REGION_MBIT);
    plan.upload_mbit = flags.host_mbit.unwrap_or(HOST_MBIT);
    plan.origin_mbit = flags.origin_mbit.unwrap_or(ORIGIN_MBIT);
    plan.chunk_memory_mib = 2 * (model_mib + FIRST_MIB) as u64;
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

/// One copy over the narrowest link that every copy must cross.
fn bound_seconds(plan: &Plan, size: usize) -> f64 {
    let mut narrowest = plan.origin_mbit.min(plan.upload_mbit as f64);
    if plan.deployment.regions.len() > 1 {
        narrowest = narrowest.min(plan.deployment.region_mbit);
    }
    size as f64 * 8.0 / (narrowest * MEGABIT)
}

async fn burst(plan: Plan, settings: &Settings) -> Result<Figures, Error> {
    let say = |text: &str| {
        if !settings.quiet {
            eprintln!("{text}");
        }
    };
    let bound = Duration::from_secs_f64(bound_seconds(&plan, settings.size));
    let mut fleet = Fleet::open(plan).await?;
    say("the fleet is up");
    let base = base(settings);
    let first = fleet
        .put_weights("2026.1", &base, settings.chunk_bytes)
        .await?;
    fleet.publish_model("2026.1", &first).await?;
    fleet.wait_replicas(&first.weights_digest, LIMIT).await?;
    fleet.wait_ready(LIMIT).await?;
    say("every host serves the first version");

    let calls = load::Settings {
        // A caller's own duplicate is told that the first is in progress; here
        // every call must be answered.
        duplicate_percent: 0,
        ..load::Settings::of(&fleet, settings.rps, settings.seed)
    };
    let load = Load::spawn(calls);
    tokio::time::sleep(IDLE).await;
    let mut run = Run::begin(&mut fleet, settings, &first, &base).await?;
    let idle_end = load.elapsed();
    let started = Instant::now();
    run.publish(&mut fleet).await?;
    let mut accepted = Instant::now();
    say("the console accepted the version");
    let strikes = &settings.strikes;
    let mut joined = strikes.early(&mut fleet, bound, settings.seed).await?;
    if let Some(after) = settings.replace_after {
        tokio::time::sleep(after.saturating_sub(accepted.elapsed())).await;
        run.replace(&mut fleet, settings).await?;
        accepted = Instant::now();
        say("the version is replaced");
    }
    joined += strikes.late(&mut fleet, bound, accepted).await?;
    let limit = bound.mul_f64(LIMIT_BOUNDS) + LIMIT;
    wait(&fleet, &run.last.weights_digest, limit).await?;
    let seconds_to_all = accepted.elapsed().as_secs_f64();
    let burst_end = load.elapsed();
    say(&format!(
        "every host serves it after {seconds_to_all:.2} s; {joined} joined"
    ));
    let after = Sample::take(&fleet).await?;
    let totals = load.stop().await;

    let seconds = started.elapsed().as_secs_f64();
    let copies = |bytes: u64| bytes as f64 / settings.size as f64;
    let control = after.control_mean(&run.before);
    let exchange = after.exchange_mean(&run.before);
    say(&format!(
        "a host sent {:.0} B/s for links, hosts and configuration, {:.0} B/s for the exchange",
        control / seconds,
        exchange / seconds
    ));
    let figures = Figures {
        policy: settings.policy.clone(),
        agents: fleet.running_engines().len(),
        seconds_to_all,
        bound_seconds: bound.as_secs_f64(),
        ratio_to_bound: seconds_to_all / bound.as_secs_f64(),
        origin_copies: copies(after.origin_bytes(&run.published) - run.before.origin_total(&run)),
        region_link_copies_max: copies(after.link_bytes_max(&run.before)),
        host_link_copies_max: copies(after.sent_max(&run.before)),
        calls: totals.calls(),
        calls_failed: totals.calls() - totals.count(Outcome::Complete),
        calls_p50_ms: totals.latency_ms(idle_end, burst_end, 0.5),
        calls_p99_ms: totals.latency_ms(idle_end, burst_end, 0.99),
        calls_p99_ms_idle: totals.latency_ms(Duration::ZERO, idle_end, 0.99),
        partial_or_mixed_served: fleet.partial_or_mixed_calls(&run.wholes).await?,
        control_bytes_per_host_s: (control + exchange) / seconds,
        agent_rss_mib_max: rss_mib_max(&fleet),
    };
    say(&format!("{} calls: {:?}", totals.calls(), totals.outcomes));
    let failed = totals.records.iter();
    for record in failed.filter(|one| one.outcome != Outcome::Complete) {
        say(&format!("not answered whole: {record:?}"));
    }
    fleet.shutdown().await;
    Ok(figures)
}

/// The version that the fleet starts with: a small one, unless the next is to
/// share chunks with it.
fn base(settings: &Settings) -> Vec<u8> {
    let length = match settings.changed {
        100 => FIRST_MIB * MIB,
        _ => settings.size,
    };
    weights::random(settings.seed, length)
}

/// The versions of one run and the state before them.
struct Run {
    before: Sample,
    weights: Vec<u8>,
    last: Manifest,
    /// Digests of all weights that were published.
    wholes: BTreeSet<Digest>,
    /// Manifests of the burst.
    published: BTreeSet<String>,
}

impl Run {
    async fn begin(
        fleet: &mut Fleet,
        settings: &Settings,
        first: &Manifest,
        base: &[u8],
    ) -> Result<Run, Error> {
        let seed = settings.seed + 1;
        let chunk = settings.chunk_bytes as usize;
        let weights = match settings.changed {
            100 => weights::random(seed, settings.size),
            percent => weights::with_changed_chunks(base, chunk, percent, seed).to_vec(),
        };
        let last = fleet
            .put_weights("2026.2", &weights, settings.chunk_bytes)
            .await?;
        Ok(Run {
            before: Sample::take(fleet).await?,
            weights,
            wholes: BTreeSet::from([first.weights_digest, last.weights_digest]),
            published: BTreeSet::from([last.digest().to_string()]),
            last,
        })
    }

    async fn publish(&self, fleet: &mut Fleet) -> Result<(), Error> {
        let version = self.last.version.to_string();
        fleet.publish_model(&version, &self.last).await?;
        Ok(())
    }

    /// Publishes another version while the last is on its way.
    async fn replace(&mut self, fleet: &mut Fleet, settings: &Settings) -> Result<(), Error> {
        let chunk = settings.chunk_bytes as usize;
        let seed = settings.seed + 2;
        self.weights =
            weights::with_changed_chunks(&self.weights, chunk, REPLACED_PERCENT, seed).to_vec();
        let chunk = settings.chunk_bytes;
        self.last = fleet.put_weights("2026.3", &self.weights, chunk).await?;
        self.wholes.insert(self.last.weights_digest);
        self.published.insert(self.last.digest().to_string());
        self.publish(fleet).await
    }
}

/// Chunks in which a replacement differs, in percent.
const REPLACED_PERCENT: usize = 50;

async fn wait(fleet: &Fleet, whole: &Digest, limit: Duration) -> Result<(), Error> {
    let started = Instant::now();
    loop {
        let replicas = fleet.replicas(whole).await?;
        let all = fleet.running_engines().len();
        if replicas == all {
            return Ok(());
        }
        if started.elapsed() > limit {
            return Err(Error::Broken {
                what: format!("{replicas} of {all} hosts serve the version after {limit:?}"),
            });
        }
        tokio::time::sleep(STEP).await;
    }
}

fn rss_mib_max(fleet: &Fleet) -> f64 {
    let agents = fleet.hosts().filter(|host| host.role == Role::Agent);
    let rss = agents.map(|host| host.usage().rss_max_kib);
    rss.max().unwrap_or(0) as f64 / 1024.0
}

/// Values by host.
type ByHost = BTreeMap<host::Name, u64>;
