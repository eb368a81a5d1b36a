//! `bench config`: simulated operators publish configurations while faults are
//! injected, and every host is polled for the version in force there.

use std::ffi::OsString;
use std::time::Duration;

use serde::Serialize;
use snipewinch::document::Backend;
use tokio::time::Instant;

use crate::Error;
use crate::flag_error;
use crate::fleet::Fleet;
use crate::fleet::Plan;

mod console;
mod cost;
mod faults;
mod history;
mod operators;
mod watch;

use self::faults::Kind;

/// The number of regions of the fleet.
const REGIONS: usize = 3;
/// How long the first version may take to come into force everywhere.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the last version may take once the faults have ended.
const END_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest time that a version may take until it is in force on every
/// reachable host, in seconds.
const IN_FORCE_LIMIT_S: f64 = 5.0;

mod flags {
    xflags::xflags! {
        /// Publishes configurations while faults are injected.
        cmd config {
            /// Entry hosts (4).
            optional --entries count: usize
            /// Backend server hosts (8).
            optional --agents count: usize
            /// Changes to publish (20).
            optional --changes count: usize
            /// Operators who publish at the same time (3).
            optional --operators count: usize
            /// Faults to inject: none, store-down, store-slow, lost-reply, restart, region-cut or all (none).
            optional --faults kind: String
            /// The pause of an operator between changes, in milliseconds (500).
            optional --pause-ms milliseconds: u64
            /// Seed of the random numbers (1).
            optional --seed seed: u64
            /// Prints one JSON line.
            optional --json
        }
    }
}

/// The settings of the experiment.
#[derive(Clone, Copy, Debug)]
struct Settings {
    entries: usize,
    agents: usize,
    changes: usize,
    operators: usize,
    faults: Kind,
    pause: Duration,
    seed: u64,
}

/// The result, which is printed as one line of JSON.
#[derive(Clone, Debug, Default, Serialize)]
struct Line {
    experiment: &'static str,
    entries: usize,
    agents: usize,
    operators: usize,
    faults: &'static str,
    seed: u64,
    seconds: f64,
    changes: usize,
    accepted: usize,
    conflicts: usize,
    shown_accepted_but_lost: usize,
    shown_refused_but_accepted: usize,
    accepted_twice: usize,
    unresolved: usize,
    in_force_s_p50: f64,
    in_force_s_max: f64,
    never_in_force: usize,
    reverts: usize,
    store_reads_per_s: f64,
    store_writes_per_s: f64,
    membership_reads_per_s: f64,
    control_bytes_per_host_s: f64,
    control_bytes_per_entry_s: f64,
    control_bytes_per_agent_s: f64,
    control_core_fraction: f64,
    agent_rss_mib: f64,
    entry_rss_mib: f64,
}

/// Runs the experiment with the flags after its name.
///
/// # Errors
///
/// [`Error`] if the fleet does not start, the experiment ends early, or a
/// guarantee is broken.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = flags::Config::from_vec(arguments).map_err(|error| flag_error(&error))?;
    let settings = settings(&flags)?;
    let mut fleet = Fleet::open(plan(&settings)).await?;
    let line = experiment(&mut fleet, &settings).await;
    let line = match line {
        Ok(line) => line,
        Err(error) => {
            print_logs(&fleet);
            return Err(error);
        }
    };
    fleet.shutdown().await;
    println!("{}", serde_json::to_string(&line).unwrap_or_default());
    verdict(&line)
}

fn settings(flags: &flags::Config) -> Result<Settings, Error> {
    let name = flags.faults.as_deref().unwrap_or("none");
    let faults = Kind::parse(name).ok_or_else(|| Error::Usage {
        detail: format!("unknown faults `{name}`; see --help for the list"),
    })?;
    Ok(Settings {
        entries: flags.entries.unwrap_or(4).max(1),
        agents: flags.agents.unwrap_or(8),
        changes: flags.changes.unwrap_or(20),
        operators: flags.operators.unwrap_or(3).max(1),
        faults,
        pause: Duration::from_millis(flags.pause_ms.unwrap_or(500)),
        seed: flags.seed.unwrap_or(1),
    })
}

/// The plan of a fleet with plain services only, because models would add the
/// transfer of weights to the measurement.
fn plan(settings: &Settings) -> Plan {
    let plain = settings.agents.div_ceil(2);
    let mut plan = Plan::sized(settings.entries, 0, plain, REGIONS, settings.seed);
    plan.document.models.clear();
    plan.document
        .services
        .retain(|service| matches!(service.backend, Backend::Plain { .. }));
    plan
}

async fn experiment(fleet: &mut Fleet, settings: &Settings) -> Result<Line, Error> {
    let watch = watch::Watch::new(fleet);
    let workload = operators::Workload::new(fleet, &watch, settings);
    workload.publish_first(&fleet.plan.document).await?;
    watch.wait_current(START_TIMEOUT).await?;
    watch.reset();
    let before = cost::Cost::read(fleet).await?;
    let started = Instant::now();
    let tasks = workload.spawn();
    faults::run(fleet, &watch, settings, &tasks).await?;
    let outcomes = tasks.finish().await;
    let settled = watch.wait_current(END_TIMEOUT).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = cost::Cost::read(fleet).await?;
    let history = history::read(fleet).await?;
    let summary = watch.finish();
    if let Err(error) = settled {
        eprintln!("E5111 {error}");
    }
    let mut line = Line {
        experiment: "config",
        entries: settings.entries,
        agents: fleet.names(snipewinch::host::Role::Agent).len(),
        operators: settings.operators,
        faults: settings.faults.name(),
        seed: settings.seed,
        seconds: round(seconds),
        changes: settings.changes,
        accepted: outcomes.accepted.len(),
        conflicts: outcomes.conflicts,
        unresolved: outcomes.unresolved,
        in_force_s_p50: round(summary.p50_s),
        in_force_s_max: round(summary.max_s),
        never_in_force: summary.missing,
        reverts: summary.reverts,
        ..Line::default()
    };
    history.check(&outcomes, &mut line);
    after.write_rates(&before, seconds, &mut line);
    Ok(line)
}

/// Fails with the first guarantee or limit that the result breaks.
fn verdict(line: &Line) -> Result<(), Error> {
    let checks = [
        (
            line.shown_accepted_but_lost > 0,
            "a version shown as accepted is missing from the table",
        ),
        (
            line.shown_refused_but_accepted > 0,
            "an operation shown as refused was accepted",
        ),
        (line.accepted_twice > 0, "an operation was accepted twice"),
        (line.reverts > 0, "a host went back to an older version"),
        (
            line.never_in_force > 0,
            "a version did not come into force on every host",
        ),
        (
            line.in_force_s_max > IN_FORCE_LIMIT_S,
            "a version took longer than the limit to come into force",
        ),
        (
            line.accepted + line.unresolved < line.changes,
            "some changes were neither accepted nor unresolved",
        ),
    ];
    match checks.iter().find(|(broken, _)| *broken) {
        Some((_, what)) => Err(Error::Broken {
            what: (*what).to_owned(),
        }),
        None => Ok(()),
    }
}

fn print_logs(fleet: &Fleet) {
    for host in fleet.hosts() {
        let lines = host.process.iter().flat_map(|process| process.log_lines());
        for line in lines {
            eprintln!("{}: {line}", host.name);
        }
    }
}

/// Rounds to three decimals.
fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
