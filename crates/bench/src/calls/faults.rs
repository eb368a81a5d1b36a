//! The faults of an experiment, one after another while calls flow.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use serde_json::json;
use snipewinch::host;
use snipewinch::host::Role;

use super::Asked;
use crate::Error;
use crate::fleet::Fleet;
use crate::load::Load;

/// Which faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Faults {
    None,
    Silent,
    Kill,
    Drain,
    StoreDown,
    LostReply,
    ZoneCut,
    Pause,
    All,
}

/// An entry that was killed. Until it is started again, nothing can answer for
/// it, also on connections that callers still hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Killed {
    pub(super) entry: SocketAddr,
    /// Just before the signal.
    pub(super) from: Duration,
    /// When it was started again.
    pub(super) to: Duration,
}

/// What was done, as far as the verdict needs it.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    /// Entries that were killed, and when.
    pub(super) killed_entries: Vec<Killed>,
    /// Graceful stops, from the signal to the end of the process.
    pub(super) stops: Vec<(Duration, Duration)>,
    /// The last new work of a leaving host after it was listed as such.
    pub(super) after_leave_ms: Option<f64>,
}

/// Before the first fault and between two.
const QUIET: Duration = Duration::from_secs(1);
/// How long a store is down and a zone is cut off.
const OUTAGE: Duration = Duration::from_secs(4);
/// How long a process is stopped: longer than a link may be silent.
const PAUSE: Duration = Duration::from_millis(3500);
/// How long a leaving host is watched before it is stopped.
const WATCH: Duration = Duration::from_secs(4);
/// How often a leaving host's work is counted.
const LOOK: Duration = Duration::from_millis(100);
/// How long a graceful stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// Percent of the table's answers that are lost.
const LOSE_PERCENT: u32 = 30;

impl Faults {
    pub(super) fn parse(name: &str) -> Option<Faults> {
        Some(match name {
            "none" => Faults::None,
            "silent" => Faults::Silent,
            "kill" => Faults::Kill,
            "drain" => Faults::Drain,
            "store-down" => Faults::StoreDown,
            "lost-reply" => Faults::LostReply,
            "zone-cut" => Faults::ZoneCut,
            "pause" => Faults::Pause,
            "all" => Faults::All,
            _ => return None,
        })
    }
}

/// Makes the faults happen for as long as calls are sent.
pub(super) async fn run(
    fleet: &mut Fleet,
    faults: Faults,
    asked: &Asked,
    load: &Load,
) -> Result<Seen, Error> {
    let mut script = Script {
        fleet,
        load,
        seen: Seen::default(),
        turn: asked.seed as usize,
    };
    let until = Instant::now() + Duration::from_secs(asked.seconds);
    tokio::time::sleep(QUIET).await;
    let all = [
        Faults::Silent,
        Faults::Kill,
        Faults::LostReply,
        Faults::Drain,
        Faults::StoreDown,
        Faults::Pause,
        Faults::ZoneCut,
    ];
    let mut next = all.iter().cycle();
    while faults != Faults::None && Instant::now() < until {
        let fault = match faults {
            Faults::All => *next.next().unwrap_or(&Faults::Silent),
            one => one,
        };
        script.step(fault).await?;
        tokio::time::sleep(QUIET).await;
    }
    Ok(script.seen)
}

struct Script<'a> {
    fleet: &'a mut Fleet,
    load: &'a Load,
    seen: Seen,
    turn: usize,
}

impl Script<'_> {
    async fn step(&mut self, fault: Faults) -> Result<(), Error> {
        self.turn += 1;
        match fault {
            Faults::All | Faults::None => {}
            Faults::Silent => {
                let region = self.region();
                self.fleet.silence_region(&region).await?;
                tokio::time::sleep(OUTAGE).await;
            }
            Faults::Kill => self.kill().await?,
            Faults::Drain => self.drain().await?,
            Faults::StoreDown => {
                self.tables(json!({"down": true})).await?;
                tokio::time::sleep(OUTAGE).await;
                self.tables(json!({"down": false})).await?;
            }
            Faults::LostReply => {
                self.tables(json!({ "lose_percent": LOSE_PERCENT })).await?;
                tokio::time::sleep(OUTAGE).await;
                self.tables(json!({"lose_percent": 0})).await?;
            }
            Faults::ZoneCut => {
                let region = self.region();
                self.fleet.cut_region(&region, true).await?;
                tokio::time::sleep(OUTAGE).await;
                self.fleet.cut_region(&region, false).await?;
            }
            Faults::Pause => {
                let role = match self.turn % 2 {
                    0 => Role::Entry,
                    _ => Role::Agent,
                };
                let host = self.pick(role);
                self.fleet.signal(&host, Signal::SIGSTOP)?;
                tokio::time::sleep(PAUSE).await;
                self.fleet.signal(&host, Signal::SIGCONT)?;
            }
        }
        Ok(())
    }

    /// Kills an agent, then an entry, and starts both again.
    async fn kill(&mut self) -> Result<(), Error> {
        let agent = self.pick(Role::Agent);
        self.fleet.kill(&agent).await?;
        tokio::time::sleep(QUIET).await;
        let entry = self.pick(Role::Entry);
        let address = self.fleet.host(entry.as_str())?.http;
        let at = self.load.elapsed();
        self.fleet.kill(&entry).await?;
        tokio::time::sleep(QUIET).await;
        self.fleet.replace(&agent).await?;
        self.fleet.restart(&entry).await?;
        self.seen.killed_entries.push(Killed {
            entry: address,
            from: at,
            to: self.load.elapsed(),
        });
        Ok(())
    }

    /// Lists an engine's host as leaving, watches it, stops it and an entry
    /// gracefully, and starts both again.
    async fn drain(&mut self) -> Result<(), Error> {
        let agent = self.pick(Role::Agent);
        self.fleet.mark_leaving(&agent).await?;
        if let Some(engine) = self.fleet.host(agent.as_str())?.engine() {
            let late = self.last_new_work(engine).await?;
            let worst = self.seen.after_leave_ms.unwrap_or(0.0).max(late);
            self.seen.after_leave_ms = Some(worst);
        }
        self.stop(&agent).await?;
        let entry = self.pick(Role::Entry);
        self.stop(&entry).await?;
        self.fleet.replace(&agent).await?;
        self.fleet.restart(&entry).await?;
        Ok(())
    }

    async fn stop(&mut self, host: &host::Name) -> Result<(), Error> {
        let from = self.load.elapsed();
        self.fleet.stop(host, STOP_LIMIT).await?;
        self.seen.stops.push((from, self.load.elapsed()));
        Ok(())
    }

    /// When an engine last got new work, in milliseconds from now on.
    async fn last_new_work(&self, engine: usize) -> Result<f64, Error> {
        let started = Instant::now();
        let mut last = 0.0;
        let mut count = self.count(engine).await?;
        while started.elapsed() < WATCH {
            tokio::time::sleep(LOOK).await;
            let now = self.count(engine).await?;
            if now != count {
                count = now;
                last = started.elapsed().as_secs_f64() * 1000.0;
            }
        }
        Ok(last)
    }

    async fn count(&self, engine: usize) -> Result<u64, Error> {
        let counts = self.fleet.get(self.fleet.engines, "/admin/counts").await?;
        let counts: BTreeMap<usize, u64> = serde_json::from_value(counts).unwrap_or_default();
        Ok(counts.get(&engine).copied().unwrap_or(0))
    }

    async fn tables(&self, faults: serde_json::Value) -> Result<(), Error> {
        let faults = json!({ "tables": faults });
        self.fleet.platform_faults(faults).await?;
        Ok(())
    }

    /// A host of the role, another one each time.
    fn pick(&self, role: Role) -> host::Name {
        let names = self.fleet.names(role);
        names[self.turn % names.len()].clone()
    }

    fn region(&self) -> host::Region {
        let regions = &self.fleet.plan.deployment.regions;
        host::Region(regions[self.turn % regions.len()].name.clone())
    }
}
