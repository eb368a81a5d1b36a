//! The main job, seen from outside: a new model version reaches every host of
//! a running fleet while calls flow.

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use snipewinch::Digest;
use snipewinch::host::Role;

use crate::Error;
use crate::deployment;
use crate::error::flag_error;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::load;
use crate::load::Load;
use crate::load::Outcome;
use crate::weights;

mod flags {
    xflags::xflags! {
        /// Starts a fleet, publishes a new model version and shows how it reaches
        /// every host while calls flow.
        cmd demo {
            /// An example deployment: `bluebonnet` or `peachtree`.
            optional --deployment name: String
            /// The size of the model in MiB.
            optional --model-mib mib: usize
            /// Calls a second meanwhile.
            optional --live-rps n: f64
            /// Decides every draw.
            optional --seed seed: u64
            /// Leave the fleet running until a signal, for a look at the console.
            optional --keep
            /// Print the figures as one JSON line only.
            optional --json
        }
    }
}

/// The size of the first version, which an empty fleet starts with, in MiB.
const FIRST_MODEL_MIB: usize = 4;
/// The size of the new version unless the flags say, in MiB.
const DEFAULT_MODEL_MIB: usize = 32;
/// The size of a chunk, in bytes.
const CHUNK_BYTES: u32 = 256 << 10;
/// Calls a second unless the flags say.
const DEFAULT_RPS: f64 = 40.0;
/// Calls before the new version and after it has arrived.
const LOAD_MARGIN: Duration = Duration::from_secs(3);
/// How long a version may take to reach every host.
const SPREAD_LIMIT: Duration = Duration::from_secs(90);
/// How often progress is shown.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Bits in a MiB.
const BITS_PER_MIB: f64 = 8.0 * 1024.0 * 1024.0;
/// Bytes in a MiB.
const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;
/// Bits in a megabit.
const BITS_PER_MEGABIT: f64 = 1e6;

/// The figures that a demo ends with.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Which experiment.
    pub experiment: &'static str,
    /// The deployment or `small`.
    pub deployment: String,
    /// The seed.
    pub seed: u64,
    /// Entry hosts.
    pub entries: usize,
    /// Agent hosts.
    pub agents: usize,
    /// Hosts that the model belongs on.
    pub replicas: usize,
    /// From the acceptance until every one of them served it.
    pub seconds_to_all: f64,
    /// One copy over one link between regions, or from the origin if narrower.
    pub bound_seconds: f64,
    /// The ratio of both.
    pub ratio_to_bound: f64,
    /// One copy over all links into a region at once: no method is faster.
    pub cut_bound_seconds: f64,
    /// The ratio to that.
    pub ratio_to_cut_bound: f64,
    /// Bytes from the origin, in copies of the model.
    pub origin_copies: f64,
    /// The most over one link between regions, in copies of the model.
    pub region_link_copies_max: f64,
    /// Live calls.
    pub calls: u64,
    /// Answered whole.
    pub answered: u64,
    /// Refused, truthfully, as not run.
    pub refused: u64,
    /// All others.
    pub failed: u64,
    /// Median time of an answer, in milliseconds.
    pub calls_p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub calls_p99_ms: f64,
    /// Calls served with weights that were never published whole.
    pub partial_or_mixed_served: u64,
}

struct Output {
    json: bool,
}

impl Output {
    fn print(&self, text: &str) {
        if !self.json {
            println!("{text}");
        }
    }
}

/// Runs the demo with the flags after its name.
///
/// # Errors
///
/// [`Error`] if the fleet does not come up or the version does not arrive.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = flags::Demo::from_vec(arguments).map_err(|error| flag_error(&error))?;
    let seed = flags.seed.unwrap_or(1);
    let plan = plan(flags.deployment.as_deref(), seed)?;
    let output = Output { json: flags.json };
    let size = flags.model_mib.unwrap_or(DEFAULT_MODEL_MIB) << 20;
    let rps = flags.live_rps.unwrap_or(DEFAULT_RPS);
    let name = flags.deployment.as_deref().unwrap_or("small");
    let (fleet, figures) = run_rollout(plan, &output, name, size, rps).await?;
    output.print(&figures.text());
    if flags.keep {
        wait_for_signal(&fleet, &output).await;
    }
    fleet.shutdown().await;
    let line = serde_json::to_string(&figures).unwrap_or_default();
    println!("{line}");
    match figures.partial_or_mixed_served {
        0 => Ok(()),
        _ => Err(Error::Broken {
            what: "partial or mixed weights were served".to_owned(),
        }),
    }
}

fn plan(name: Option<&str>, seed: u64) -> Result<Plan, Error> {
    let Some(name) = name else {
        let mut plan = Plan::sized(2, 9, 1, 3, seed);
        for service in &mut plan.deployment.services {
            if service.name == "ledger-desk" {
                service.runners = 2;
            }
        }
        return Ok(plan);
    };
    let Some((mut deployment, document)) = deployment::example(name) else {
        return Err(Error::Usage {
            detail: format!("--deployment is `{name}`: use `bluebonnet` or `peachtree`"),
        });
    };
    // One entry for each region stands for the 15 on a single machine.
    deployment.entries = deployment.regions.len();
    Ok(Plan::of(deployment, document, seed))
}

async fn run_rollout(
    plan: Plan,
    output: &Output,
    name: &str,
    size: usize,
    rps: f64,
) -> Result<(Fleet, Figures), Error> {
    let seed = plan.seed;
    output.print("starting the stand-ins and the hosts");
    let mut fleet = Fleet::open(plan).await?;
    let entries = fleet.names(Role::Entry).len();
    let agents = fleet.names(Role::Agent).len();
    let all = fleet.running_engines().len();
    output.print(&format!(
        "{entries} entries, {agents} agents, {all} of them beside a model engine"
    ));

    let first = weights::random(seed, FIRST_MODEL_MIB << 20);
    let first = fleet.put_weights("2026.1", &first, CHUNK_BYTES).await?;
    fleet.publish_model("2026.1", &first).await?;
    output.print("the console accepted a configuration with the first version");
    progress(&fleet, output, &first.weights_digest, first.size, None).await?;
    fleet.wait_ready(SPREAD_LIMIT).await?;

    let load = Load::spawn(load::Settings::of(&fleet, rps, seed));
    tokio::time::sleep(LOAD_MARGIN).await;
    let second = weights::random(seed + 1, size);
    let second = fleet.put_weights("2026.2", &second, CHUNK_BYTES).await?;
    let links_before = fleet.links().await?;
    let accepted = Instant::now();
    fleet.publish_model("2026.2", &second).await?;
    output.print("the console accepted a configuration with a new version");
    progress(
        &fleet,
        output,
        &second.weights_digest,
        second.size,
        Some(&load),
    )
    .await?;
    let seconds_to_all = accepted.elapsed().as_secs_f64();
    let links_after = fleet.links().await?;
    tokio::time::sleep(LOAD_MARGIN).await;
    let totals = load.stop().await;

    let manifest = second.digest().to_string();
    let counters = fleet.counters().await?;
    let origin = counters.origin_bytes.get(&manifest).copied().unwrap_or(0);
    let busiest = links_after
        .iter()
        .map(|link| link.bytes - bytes_before(&links_before, link))
        .max()
        .unwrap_or(0);
    let bound_seconds = bound_seconds(&fleet.plan, size);
    let cut_bound_seconds = cut_bound_seconds(&fleet.plan, size);
    let published = BTreeSet::from([first.weights_digest, second.weights_digest]);
    let figures = Figures {
        experiment: "demo",
        deployment: name.to_owned(),
        seed,
        entries,
        agents,
        replicas: all,
        seconds_to_all,
        bound_seconds,
        ratio_to_bound: seconds_to_all / bound_seconds,
        cut_bound_seconds,
        ratio_to_cut_bound: seconds_to_all / cut_bound_seconds,
        origin_copies: origin as f64 / size as f64,
        region_link_copies_max: busiest as f64 / size as f64,
        calls: totals.calls(),
        answered: totals.count(Outcome::Complete),
        refused: totals.count(Outcome::NotRun),
        failed: totals.failed(),
        calls_p50_ms: totals.quantile_ms(0.5),
        calls_p99_ms: totals.quantile_ms(0.99),
        partial_or_mixed_served: fleet.partial_or_mixed_calls(&published).await?,
    };
    Ok((fleet, figures))
}

fn bytes_before(links: &crate::fleet::Links, after: &standin::relay::LinkTraffic) -> u64 {
    let same = |link: &&standin::relay::LinkTraffic| link.from == after.from && link.to == after.to;
    links.iter().find(same).map_or(0, |link| link.bytes)
}

/// One copy over the narrowest link, were a region reached over one link alone.
pub fn bound_seconds(plan: &Plan, size: usize) -> f64 {
    let regions = plan.deployment.regions.len();
    let narrowest = match regions {
        0 | 1 => plan.origin_mbit,
        _ => plan.origin_mbit.min(plan.deployment.region_mbit),
    };
    size as f64 * 8.0 / (narrowest * BITS_PER_MEGABIT)
}

/// One copy over everything that leads into a region, and out of the origin:
/// the least time for any method (a cut of the network).
pub fn cut_bound_seconds(plan: &Plan, size: usize) -> f64 {
    let ways = plan.deployment.regions.len().saturating_sub(1);
    let narrowest = match ways {
        0 => plan.origin_mbit,
        ways => plan
            .origin_mbit
            .min(plan.deployment.region_mbit * ways as f64),
    };
    size as f64 * 8.0 / (narrowest * BITS_PER_MEGABIT)
}

/// Shows how a version spreads until every host serves it.
async fn progress(
    fleet: &Fleet,
    output: &Output,
    expected: &Digest,
    size: u64,
    load: Option<&Load>,
) -> Result<(), Error> {
    let all = fleet.running_engines().len();
    let started = Instant::now();
    loop {
        let replicas = fleet.replicas(expected).await?;
        let counters = fleet.counters().await?;
        let origin: u64 = counters.origin_bytes.values().sum();
        let calls = load.map_or_else(String::new, |load| {
            let totals = load.totals();
            format!(
                ", calls {} answered {} refused {} failed {}",
                totals.calls(),
                totals.count(Outcome::Complete),
                totals.count(Outcome::NotRun),
                totals.failed()
            )
        });
        output.print(&format!(
            "{:5.1} s  {replicas:3}/{all} hosts serve it, origin sent {:.1} MiB in all{calls}",
            started.elapsed().as_secs_f64(),
            origin as f64 / BYTES_PER_MIB
        ));
        if replicas == all {
            return Ok(());
        }
        if started.elapsed() > SPREAD_LIMIT {
            let seen = format!("{replicas} of {all} hosts after {SPREAD_LIMIT:?}");
            let what = format!("{:.0} MiB on every host", size as f64 * 8.0 / BITS_PER_MIB);
            return Err(crate::fleet::Error::Timeout { what, seen }.into());
        }
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

async fn wait_for_signal(fleet: &Fleet, output: &Output) {
    let entry = fleet.hosts().find(|host| host.role == Role::Entry);
    if let Some(entry) = entry {
        output.print(&format!(
            "console: http://{}/console  operator's key: {}\nleft running; stop it with Ctrl-C",
            entry.http,
            fleet.operator_key()
        ));
    }
    let _ = tokio::signal::ctrl_c().await;
}

impl Figures {
    fn text(&self) -> String {
        format!(
            "\n{} hosts served the new version {:.1} s after the console accepted it\n\
             {:.2} times one copy over a link between regions ({:.1} s)\n\
             {:.2} times the least for any method, over all links into a region ({:.1} s)\n\
             the origin sent {:.2} copies, the busiest link between regions carried {:.2}\n\
             {} calls: {} answered, {} refused as not run, {} failed\n\
             p50 {:.1} ms, p99 {:.1} ms; calls on partial or mixed weights: {}",
            self.replicas,
            self.seconds_to_all,
            self.ratio_to_bound,
            self.bound_seconds,
            self.ratio_to_cut_bound,
            self.cut_bound_seconds,
            self.origin_copies,
            self.region_link_copies_max,
            self.calls,
            self.answered,
            self.refused,
            self.failed,
            self.calls_p50_ms,
            self.calls_p99_ms,
            self.partial_or_mixed_served,
        )
    }
}
