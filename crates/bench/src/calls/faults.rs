//! Injects faults one after another while calls are sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use serde_json::json;
use snipewinch::host;
use snipewinch::host::Role;

use super::Options;
use crate::Error;
use crate::fleet::Fleet;
use crate::load::Load;

/// The kind of faults to inject.
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

/// An entry that was killed. Until it restarts, it does not answer, not even on
/// connections that callers keep open.
#[derive(Clone, Copy, Debug)]
pub(super) struct KilledEntry {
    pub(super) entry: SocketAddr,
    /// The time just before the signal.
    pub(super) from: Duration,
    /// The time after the restart.
    pub(super) to: Duration,
}

/// The injected faults that the verdict takes into account.
#[derive(Clone, Debug, Default)]
pub(super) struct FaultLog {
    /// Entries that were killed, with their downtimes.
    pub(super) killed_entries: Vec<KilledEntry>,
    /// Periods of graceful stops, from the signal to the exit of the process.
    pub(super) stops: Vec<(Duration, Duration)>,
    /// The longest time after which a host that was listed as leaving still got
    /// new work.
    pub(super) new_work_after_leave_ms: Option<f64>,
}

/// Wait before the first fault and between two faults.
const FAULT_GAP: Duration = Duration::from_secs(1);
/// Duration of a store outage, a loss of answers, a silenced region or a
/// network partition.
const OUTAGE_TIME: Duration = Duration::from_secs(4);
/// How long a process is suspended: longer than a link may stay silent.
const PAUSE_TIME: Duration = Duration::from_millis(3500);
/// How long a leaving host is observed before it is stopped.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Interval at which the new work of a leaving host is counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Percentage of the answers of the table store that are lost.
const LOST_ANSWER_PERCENT: u32 = 30;

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

/// Injects faults for as long as calls are sent.
pub(super) async fn inject(
    fleet: &mut Fleet,
    faults: Faults,
    options: &Options,
    load: &Load,
) -> Result<FaultLog, Error> {
    let mut injector = Injector {
        fleet,
        load,
        fault_log: FaultLog::default(),
        turn: options.seed as usize,
    };
    let until = Instant::now() + Duration::from_secs(options.seconds);
    tokio::time::sleep(FAULT_GAP).await;
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
            single => single,
        };
        injector.inject(fault).await?;
        tokio::time::sleep(FAULT_GAP).await;
    }
    Ok(injector.fault_log)
}

struct Injector<'a> {
    fleet: &'a mut Fleet,
    load: &'a Load,
    fault_log: FaultLog,
    turn: usize,
}

impl Injector<'_> {
    async fn inject(&mut self, fault: Faults) -> Result<(), Error> {
        self.turn += 1;
        match fault {
            Faults::All | Faults::None => {}
            Faults::Silent => {
                let region = self.pick_region();
                self.fleet.silence_region(&region).await?;
                tokio::time::sleep(OUTAGE_TIME).await;
            }
            Faults::Kill => self.kill().await?,
            Faults::Drain => self.drain().await?,
            Faults::StoreDown => {
                self.set_table_faults(json!({"down": true})).await?;
                tokio::time::sleep(OUTAGE_TIME).await;
                self.set_table_faults(json!({"down": false})).await?;
            }
            Faults::LostReply => {
                self.set_table_faults(json!({ "lose_percent": LOST_ANSWER_PERCENT }))
                    .await?;
                tokio::time::sleep(OUTAGE_TIME).await;
                self.set_table_faults(json!({"lose_percent": 0})).await?;
            }
            Faults::ZoneCut => {
                let region = self.pick_region();
                self.fleet.cut_region(&region, true).await?;
                tokio::time::sleep(OUTAGE_TIME).await;
                self.fleet.cut_region(&region, false).await?;
            }
            Faults::Pause => {
                let role = match self.turn % 2 {
                    0 => Role::Entry,
                    _ => Role::Agent,
                };
                let host = self.pick_host(role);
                self.fleet.signal(&host, Signal::SIGSTOP)?;
                tokio::time::sleep(PAUSE_TIME).await;
                self.fleet.signal(&host, Signal::SIGCONT)?;
            }
        }
        Ok(())
    }

    /// Kills an agent, then an entry, and restarts both.
    async fn kill(&mut self) -> Result<(), Error> {
        let agent = self.pick_host(Role::Agent);
        self.fleet.kill(&agent).await?;
        tokio::time::sleep(FAULT_GAP).await;
        let entry = self.pick_host(Role::Entry);
        let address = self.fleet.host(entry.as_str())?.http;
        let killed_at = self.load.elapsed();
        self.fleet.kill(&entry).await?;
        tokio::time::sleep(FAULT_GAP).await;
        self.fleet.replace(&agent).await?;
        self.fleet.restart(&entry).await?;
        self.fault_log.killed_entries.push(KilledEntry {
            entry: address,
            from: killed_at,
            to: self.load.elapsed(),
        });
        Ok(())
    }

    /// Lists an agent's host as leaving, observes its new work, stops it and an
    /// entry gracefully, and restarts both.
    async fn drain(&mut self) -> Result<(), Error> {
        let agent = self.pick_host(Role::Agent);
        self.fleet.mark_leaving(&agent).await?;
        if let Some(engine) = self.fleet.host(agent.as_str())?.engine() {
            let last_ms = self.last_new_work_ms(engine).await?;
            let max_ms = self
                .fault_log
                .new_work_after_leave_ms
                .unwrap_or(0.0)
                .max(last_ms);
            self.fault_log.new_work_after_leave_ms = Some(max_ms);
        }
        self.stop(&agent).await?;
        let entry = self.pick_host(Role::Entry);
        self.stop(&entry).await?;
        self.fleet.replace(&agent).await?;
        self.fleet.restart(&entry).await?;
        Ok(())
    }

    async fn stop(&mut self, host: &host::Name) -> Result<(), Error> {
        let from = self.load.elapsed();
        self.fleet.stop(host, STOP_TIMEOUT).await?;
        self.fault_log.stops.push((from, self.load.elapsed()));
        Ok(())
    }

    /// The time from now at which an engine last got new work, in milliseconds.
    async fn last_new_work_ms(&self, engine: usize) -> Result<f64, Error> {
        let started = Instant::now();
        let mut last_ms = 0.0;
        let mut count = self.work_count(engine).await?;
        while started.elapsed() < WATCH_TIME {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let now = self.work_count(engine).await?;
            if now != count {
                count = now;
                last_ms = started.elapsed().as_secs_f64() * 1000.0;
            }
        }
        Ok(last_ms)
    }

    /// The number of calls that an engine has received.
    async fn work_count(&self, engine: usize) -> Result<u64, Error> {
        let counts = self.fleet.get(self.fleet.engines, "/admin/counts").await?;
        let counts: BTreeMap<usize, u64> = serde_json::from_value(counts).unwrap_or_default();
        Ok(counts.get(&engine).copied().unwrap_or(0))
    }

    async fn set_table_faults(&self, faults: serde_json::Value) -> Result<(), Error> {
        let faults = json!({ "tables": faults });
        self.fleet.platform_faults(faults).await?;
        Ok(())
    }

    /// A host of the role, the next one for each fault.
    fn pick_host(&self, role: Role) -> host::Name {
        let names = self.fleet.names(role);
        names[self.turn % names.len()].clone()
    }

    /// A region, the next one for each fault.
    fn pick_region(&self) -> host::Region {
        let regions = &self.fleet.plan.deployment.regions;
        host::Region(regions[self.turn % regions.len()].name.clone())
    }
}
