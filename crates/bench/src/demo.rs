//! `bench demo`: publishes a new model version and shows how it reaches every
//! host of a running fleet under load.

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
        /// Starts a fleet, publishes a new model version and shows how it
        /// reaches every host while calls are served.
        cmd demo {
            /// An example deployment: `bluebonnet` or `peachtree`.
            optional --deployment name: String
            /// The size of the model in MiB.
            optional --model-mib mib: usize
            /// Calls a second during the rollout.
            optional --live-rps n: f64
            /// Seed of the random number generators.
            optional --seed seed: u64
            /// Keep the fleet and its console running until SIGINT or SIGTERM.
            optional --keep
            /// Print only the results, as one JSON line.
            optional --json
        }
    }
}

/// The size of the version that is loaded before the measurement, in MiB.
const FIRST_MODEL_MIB: usize = 4;
/// The default size of the new version, in MiB.
const DEFAULT_MODEL_MIB: usize = 32;
/// The size of a chunk, in bytes.
const CHUNK_BYTES: u32 = 256 << 10;
/// The default rate, in calls a second.
const DEFAULT_RPS: f64 = 40.0;
/// How long calls are sent before the new version is published and after every
/// host serves it.
const LOAD_MARGIN: Duration = Duration::from_secs(3);
/// The time limit for a version to reach every host.
const SPREAD_LIMIT: Duration = Duration::from_secs(90);
/// How often progress is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
const BITS_PER_MIB: f64 = 8.0 * 1024.0 * 1024.0;
const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;
const BITS_PER_MEGABIT: f64 = 1e6;

/// The results of a demo.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The name of the experiment.
    pub experiment: &'static str,
    /// The name of the deployment, or `small` without `--deployment`.
    pub deployment: String,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The number of entry hosts.
    pub entries: usize,
    /// The number of agent hosts.
    pub agents: usize,
    /// The number of hosts that serve the model.
    pub replicas: usize,
    /// Time from the acceptance of the configuration until all of them served
    /// the new version, in seconds.
    pub seconds_to_all: f64,
    /// Time to send one copy over one link between regions, or from the origin
    /// if its rate is lower, in seconds.
    pub bound_seconds: f64,
    /// The ratio of `seconds_to_all` to `bound_seconds`.
    pub ratio_to_bound: f64,
    /// Time to send one copy over all links into a region in parallel, in
    /// seconds: a lower bound for every method.
    pub cut_bound_seconds: f64,
    /// The ratio of `seconds_to_all` to `cut_bound_seconds`.
    pub ratio_to_cut_bound: f64,
    /// Bytes that the origin sent, in copies of the model.
    pub origin_copies: f64,
    /// Bytes over the busiest link between regions, in copies of the model.
    pub region_link_copies_max: f64,
    /// The number of calls sent.
    pub calls: u64,
    /// Calls with a complete answer.
    pub answered: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls with any other outcome.
    pub failed: u64,
    /// Median duration of a call, in milliseconds.
    pub calls_p50_ms: f64,
    /// 99th percentile of the duration of a call, in milliseconds.
    pub calls_p99_ms: f64,
    /// Calls served with weights that match no published version.
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

/// Runs the demo with the command-line flags that follow its name.
///
/// # Errors
///
/// [`Error`] if the flags are invalid, the fleet does not start, or the version
/// does not reach every host in time. [`Error::Broken`] if a call was served
/// with partial or mixed weights.
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
            what: "calls were served with partial or mixed weights".to_owned(),
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
            detail: format!(
                "--deployment `{name}` does not exist; use `bluebonnet` or `peachtree`"
            ),
        });
    };
    // The example deployments have 15 entries; a single host runs one for each
    // region instead.
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
    output.print("starting the stand-ins and the daemons");
    let mut fleet = Fleet::open(plan).await?;
    let entries = fleet.names(Role::Entry).len();
    let agents = fleet.names(Role::Agent).len();
    let all = fleet.running_engines().len();
    output.print(&format!(
        "{entries} entries, {agents} agents, {all} of them with a model engine"
    ));

    let first = weights::random(seed, FIRST_MODEL_MIB << 20);
    let first = fleet.put_weights("2026.1", &first, CHUNK_BYTES).await?;
    fleet.publish_model("2026.1", &first).await?;
    output.print("the console accepted the configuration with the first version");
    print_progress(&fleet, output, &first.weights_digest, first.size, None).await?;
    fleet.wait_ready(SPREAD_LIMIT).await?;

    let load = Load::spawn(load::Settings::of(&fleet, rps, seed));
    tokio::time::sleep(LOAD_MARGIN).await;
    let second = weights::random(seed + 1, size);
    let second = fleet.put_weights("2026.2", &second, CHUNK_BYTES).await?;
    let links_before = fleet.links().await?;
    let accepted = Instant::now();
    fleet.publish_model("2026.2", &second).await?;
    output.print("the console accepted the configuration with the new version");
    print_progress(
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

/// The time to send one copy to a region over a single link, or from the origin
/// if its rate is lower, in seconds.
pub fn bound_seconds(plan: &Plan, size: usize) -> f64 {
    let regions = plan.deployment.regions.len();
    let narrowest = match regions {
        0 | 1 => plan.origin_mbit,
        _ => plan.origin_mbit.min(plan.deployment.region_mbit),
    };
    size as f64 * 8.0 / (narrowest * BITS_PER_MEGABIT)
}

/// The time to send one copy over all links into a region in parallel, or from
/// the origin if its rate is lower, in seconds. This is the minimum cut of the
/// network: no method is faster.
pub fn cut_bound_seconds(plan: &Plan, size: usize) -> f64 {
    let inbound_links = plan.deployment.regions.len().saturating_sub(1);
    let narrowest = match inbound_links {
        0 => plan.origin_mbit,
        inbound_links => plan
            .origin_mbit
            .min(plan.deployment.region_mbit * inbound_links as f64),
    };
    size as f64 * 8.0 / (narrowest * BITS_PER_MEGABIT)
}

/// Prints how many hosts serve a version until all of them do.
async fn print_progress(
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
            "{:5.1} s  {replicas:3}/{all} hosts serve it, origin sent {:.1} MiB in total{calls}",
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
            "console: http://{}/console  operator's key: {}\nthe fleet is running; press Ctrl-C to stop it",
            entry.http,
            fleet.operator_key()
        ));
    }
    let _ = tokio::signal::ctrl_c().await;
}

impl Figures {
    fn text(&self) -> String {
        format!(
            "\nall {} hosts served the new version {:.1} s after the console accepted it\n\
             {:.2} times the duration of one copy over a link between regions ({:.1} s)\n\
             {:.2} times the lower bound, one copy over all links into a region ({:.1} s)\n\
             the origin sent {:.2} copies, the busiest link between regions carried {:.2}\n\
             {} calls: {} answered, {} refused as not run, {} failed\n\
             p50 {:.1} ms, p99 {:.1} ms; calls served with partial or mixed weights: {}",
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
