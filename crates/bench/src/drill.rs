//! `bench drill`: injects all faults together and checks the seven promises.
//!
//! A seeded schedule injects faults into a fleet that serves calls and receives
//! new versions. Afterwards each promise is checked against the answers that
//! callers received and the counts of the stand-ins. A promise that no case
//! tested is reported as not shown.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::time::Duration;

use serde::Serialize;
use snipewinch::host::Role;

use crate::Error;
use crate::error::flag_error;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::load::Load;
use crate::load::Outcome;
use crate::load::Settings;
use crate::load::Totals;
use crate::weights;

mod fault;
mod monitor;
mod schedule;
mod verdict;

use monitor::Monitor;
use schedule::Schedule;
pub use verdict::Promise;

mod flags {
    xflags::xflags! {
        /// Injects all faults into a fleet and checks the promises.
        cmd drill {
            /// Decides the faults, their order and the affected hosts.
            optional --seed seed: u64
            /// How long the schedule injects faults.
            optional --seconds s: u64
            /// Number of agents with a model engine.
            optional --agents n: usize
            /// Calls a second.
            optional --rps n: f64
            /// Print only the results, as one JSON line.
            optional --json
        }
    }
}

/// The default duration of the schedule of faults, in seconds.
const DEFAULT_FAULTS_S: u64 = 30;
/// The default number of agents with a model engine.
const DEFAULT_AGENTS: usize = 9;
/// The number of entries.
const ENTRIES: usize = 4;
/// The number of hosts of each plain service.
const PLAIN_HOSTS: usize = 3;
/// The number of regions.
const REGIONS: usize = 3;
/// The default rate, in calls a second.
const DEFAULT_RPS: f64 = 40.0;
/// The size of the model, in bytes.
const MODEL_BYTES: usize = 6 << 20;
/// The size of a chunk, in bytes.
const CHUNK_BYTES: u32 = 128 << 10;
/// The number of model versions to publish from.
const VERSION_COUNT: u64 = 6;
/// The share of the chunks that each version changes, in percent.
const CHANGED_PERCENT: usize = 25;
/// The time limit for the fleet to become ready and, after the faults, for the
/// last version to be served everywhere.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);
/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// The results of a drill.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: &'static str,
    /// The seed of the schedule, the load and the weights.
    pub seed: u64,
    /// The duration of the schedule of faults, in seconds.
    pub seconds: u64,
    /// The number of entry hosts.
    pub entries: usize,
    /// The number of agent hosts.
    pub agents: usize,
    /// How often each fault was injected.
    pub faults: BTreeMap<&'static str, u64>,
    /// The number of calls sent.
    pub calls: u64,
    /// The number of calls with each outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The number of configurations that the console accepted.
    pub versions_accepted: usize,
    /// Whether the last model version and configuration reached every running
    /// host in time.
    pub settled: bool,
    /// The result for each promise.
    pub promises: Vec<Promise>,
}

/// Runs a drill with the command-line flags that follow its name.
///
/// # Errors
///
/// [`Error`] if the flags are invalid or the fleet fails to start.
/// [`Error::Broken`] if a promise was broken or the fleet did not settle.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = flags::Drill::from_vec(arguments).map_err(|error| flag_error(&error))?;
    let seed = flags.seed.unwrap_or(1);
    let seconds = flags.seconds.unwrap_or(DEFAULT_FAULTS_S);
    let agents = flags.agents.unwrap_or(DEFAULT_AGENTS);
    let rps = flags.rps.unwrap_or(DEFAULT_RPS);
    let report = drill(plan(agents, seed), Duration::from_secs(seconds), rps).await?;
    if !flags.json {
        for promise in &report.promises {
            println!("{}", promise.line());
        }
    }
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
    let broken = report.promises.iter().filter(|p| p.broken > 0).count();
    match (broken, report.settled) {
        (0, true) => Ok(()),
        (0, false) => Err(Error::Broken {
            what: "the last version did not reach every host after the faults".to_owned(),
        }),
        (broken, _) => Err(Error::Broken {
            what: format!("{broken} promises were broken"),
        }),
    }
}

/// The fleet of a drill, with `agents` model engines.
pub fn plan(agents: usize, seed: u64) -> Plan {
    let mut plan = Plan::sized(ENTRIES, agents, PLAIN_HOSTS, REGIONS, seed);
    plan.origin_mbit = 160.0;
    plan.engines.step_us = 5_000;
    plan
}

/// Starts a fleet, sends it `rps` calls a second, injects faults for `span` and
/// checks the promises.
///
/// # Errors
///
/// [`Error`] if the fleet does not start or a stand-in does not answer.
pub async fn drill(plan: Plan, span: Duration, rps: f64) -> Result<Report, Error> {
    let seed = plan.seed;
    let mut fleet = Fleet::open(plan).await?;
    let versions = prepare(&fleet, seed).await?;
    fleet.publish_model("1", &versions[0]).await?;
    fleet
        .wait_replicas(&versions[0].weights_digest, SETTLE_LIMIT)
        .await?;
    fleet.wait_ready(SETTLE_LIMIT).await?;

    let mut settings = Settings::of(&fleet, rps, seed);
    settings.answer_timeout = ANSWER_TIMEOUT;
    settings.non_repeatable_percent = 25;
    settings.duplicate_percent = 30;
    let load = Load::spawn(settings);
    let mut monitor = Monitor::open(&fleet);
    let mut schedule = Schedule::open(seed, span, versions.clone());
    schedule.run(&mut fleet, &mut monitor).await?;
    let settled = settle(&mut fleet, &mut schedule, &mut monitor).await;
    for host in fleet.ended_hosts() {
        let log = host.log.join("\n");
        eprintln!(
            "E5103 {} has ended by itself, its log is:\n{log}",
            host.name
        );
    }
    let settled = settled?;
    let totals = load.stop().await;
    let promises = judge(&fleet, &schedule, &monitor, &totals).await?;
    let report = Report {
        experiment: "drill",
        seed,
        seconds: span.as_secs(),
        entries: fleet.names(Role::Entry).len(),
        agents: fleet.names(Role::Agent).len(),
        faults: schedule.fault_counts.clone(),
        calls: totals.calls(),
        outcomes: totals.outcomes.clone(),
        versions_accepted: monitor.accepted.len(),
        settled,
        promises,
    };
    fleet.shutdown().await;
    Ok(report)
}

type Manifest = snipewinch::weights::manifest::Manifest;

/// Uploads every version to the origin before the first fault.
async fn prepare(fleet: &Fleet, seed: u64) -> Result<Vec<Manifest>, Error> {
    let mut bytes = weights::random(seed, MODEL_BYTES);
    let mut versions = Vec::new();
    for number in 1..=VERSION_COUNT {
        let name = number.to_string();
        versions.push(fleet.put_weights(&name, &bytes, CHUNK_BYTES).await?);
        let changed = weights::with_changed_chunks(
            &bytes,
            CHUNK_BYTES as usize,
            CHANGED_PERCENT,
            seed + number,
        );
        bytes = changed.to_vec();
    }
    Ok(versions)
}

/// Publishes the last version after all faults have ended and waits until it
/// reaches every host. Retries the publication while it fails, up to the limit.
async fn settle(
    fleet: &mut Fleet,
    schedule: &mut Schedule,
    monitor: &mut Monitor,
) -> Result<bool, Error> {
    let last = schedule
        .versions
        .last()
        .expect("VERSION_COUNT is at least one")
        .clone();
    let started = tokio::time::Instant::now();
    loop {
        match fleet.publish_model("last", &last).await {
            Ok(version) => {
                monitor.record_accepted(version);
                break;
            }
            Err(error) if started.elapsed() > SETTLE_LIMIT => return Err(error.into()),
            Err(_) => tokio::time::sleep(Duration::from_millis(500)).await,
        }
    }
    let arrived = fleet
        .wait_replicas(&last.weights_digest, SETTLE_LIMIT)
        .await;
    let version = monitor
        .accepted
        .last()
        .map_or(0, |accepted| accepted.version);
    let in_force = fleet.wait_in_force(version, SETTLE_LIMIT).await;
    for late in [arrived, in_force].into_iter().filter_map(Result::err) {
        eprintln!("E5102 {late}");
        monitor.record_unsettled(fleet);
    }
    monitor.poll_versions(fleet).await;
    Ok(monitor.settled)
}

async fn judge(
    fleet: &Fleet,
    schedule: &Schedule,
    monitor: &Monitor,
    totals: &Totals,
) -> Result<Vec<Promise>, Error> {
    let digests = schedule
        .versions
        .iter()
        .map(|version| version.weights_digest);
    let published = digests.collect();
    let served = fleet.served().await?;
    let effects = fleet.effects().await?;
    Ok(vec![
        verdict::weights(&served, &published),
        verdict::whole_answers(totals),
        verdict::true_refusals(totals, &effects),
        verdict::at_most_once(totals, &effects),
        verdict::no_work_after_leaving(&schedule.departures),
        verdict::graceful_stops(&schedule.stops, totals),
        verdict::configuration(monitor),
    ])
}
