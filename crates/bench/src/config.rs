//! The experiment `config`: operators publish while things fail, and every
//! host is watched for what is in force there.

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

/// Regions of the fleet.
const REGIONS: usize = 3;
/// How long the first version may take to come into force everywhere.
const START_LIMIT: Duration = Duration::from_secs(30);
/// How long the last version may take once the faults have ended.
const END_LIMIT: Duration = Duration::from_secs(30);
/// The bound of the time until a version is in force on every reachable host,
/// in seconds.
const IN_FORCE_MAX_S: f64 = 5.0;

mod flags {
    xflags::xflags! {
        /// Operators publish configurations while things fail.
        cmd config {
            /// Entry hosts (4).
            optional --entries count: usize
            /// Backend server hosts (8).
            optional --agents count: usize
            /// Changes to publish (20).
            optional --changes count: usize
            /// Operators at work at once (3).
            optional --operators count: usize
            /// none, store-down, store-slow, lost-reply, restart, region-cut or all (none).
            optional --faults kind: String
            /// The pause of an operator between changes, in milliseconds (500).
            optional --pause-ms milliseconds: u64
            /// Decides every draw (1).
            optional --seed seed: u64
            /// Prints one JSON line.
            optional --json
        }
    }
}

/// What the experiment is asked to do.
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

/// The line that the experiment prints.
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
/// [`Error`] if it ends early, or shows a promise broken.
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
        detail: format!("there are no faults `{name}`; --help lists them"),
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

/// Plain services alone: what is measured is the configuration, not weights.
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
    let watch = watch::Watch::open(fleet);
    let desk = operators::Desk::open(fleet, &watch, settings);
    desk.publish_first(&fleet.plan.document).await?;
    watch.settle(START_LIMIT).await?;
    watch.forget_times();
    let before = cost::Cost::read(fleet).await?;
    let started = Instant::now();
    let working = desk.spawn();
    faults::run(fleet, &watch, settings, &working).await?;
    let tally = working.finish().await;
    let settled = watch.settle(END_LIMIT).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = cost::Cost::read(fleet).await?;
    let truth = history::read(fleet).await?;
    let times = watch.finish();
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
        accepted: tally.accepted.len(),
        conflicts: tally.conflicts,
        unresolved: tally.unresolved,
        in_force_s_p50: round(times.p50_s),
        in_force_s_max: round(times.max_s),
        never_in_force: times.missing,
        reverts: times.reverts,
        ..Line::default()
    };
    truth.judge(&tally, &mut line);
    after.since(&before, seconds, &mut line);
    Ok(line)
}

fn verdict(line: &Line) -> Result<(), Error> {
    let broken = [
        (
            line.shown_accepted_but_lost > 0,
            "an accepted version is lost",
        ),
        (
            line.shown_refused_but_accepted > 0,
            "a refused version is accepted",
        ),
        (line.accepted_twice > 0, "an operation is accepted twice"),
        (line.reverts > 0, "a version went back"),
        (
            line.never_in_force > 0,
            "a version is not in force everywhere",
        ),
        (
            line.in_force_s_max > IN_FORCE_MAX_S,
            "a version took too long",
        ),
        (
            line.accepted + line.unresolved < line.changes,
            "changes are missing",
        ),
    ];
    match broken.iter().find(|(broken, _)| *broken) {
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

/// Three decimals.
fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
