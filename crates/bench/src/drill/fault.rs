//! The faults of a drill: how each is injected, ended and evaluated.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;
use snipewinch::document::Document;
use snipewinch::host;
use snipewinch::host::Role;

use super::monitor::Monitor;
use super::schedule::Schedule;
use super::verdict::Departure;
use super::verdict::Stop;
use crate::Error;
use crate::console::Console;
use crate::fleet::Fleet;

/// How long most faults last.
const FAULT_DURATION: Duration = Duration::from_secs(3);
/// How long a host is paused: longer than every lease and silence timeout.
const PAUSE_DURATION: Duration = Duration::from_secs(6);
/// Time from the kill of a host to the start of its replacement.
const REPLACE_DELAY: Duration = Duration::from_secs(2);
/// A host that announced that it is leaving must get no new work after this
/// time.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// How far reads of the membership list lag behind writes.
const MEMBERSHIP_LAG: Duration = Duration::from_secs(1);
/// How long calls to a host are counted after it has left.
const LATE_CALLS_WINDOW: Duration = Duration::from_secs(2);
/// The time limit of a graceful stop: the daemon's drain limit and a margin.
const STOP_LIMIT: Duration = Duration::from_secs(70);
/// How often a stopping host is checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    KillAgent,
    KillEntry,
    PauseAgent,
    PauseEntry,
    CorruptOrigin,
    CorruptLinks,
    OriginDown,
    NewVersion,
    ReplaceVersion,
    StoreDown,
    StoreSlow,
    LoseTableReplies,
    StaleList,
    ConcurrentPublish,
    SilenceConnections,
    CutRegion,
    StopAgent,
    StopEntry,
    ListAsLeaving,
    LoseOrderReplies,
    CutAnswers,
    LoseServiceReplies,
}

/// A step that ends a fault or evaluates its effects.
#[derive(Clone, Debug)]
pub(super) enum FollowUp {
    Replace(host::Name),
    Resume(host::Name),
    Platform(Value),
    Engines(Value),
    Services(Value),
    RestoreLinks,
    ReconnectRegion(host::Region),
    /// Counts the calls that the backend server has received so far. The flag
    /// says whether only the membership list announced that the host leaves.
    CountCalls(host::Name, bool),
    /// Counts them again; the number is the earlier count.
    CompareCalls(host::Name, u64, bool),
    FinishStop(host::Name, Duration),
}

impl Fault {
    pub(super) const ALL: [Fault; 22] = [
        Fault::KillAgent,
        Fault::KillEntry,
        Fault::PauseAgent,
        Fault::PauseEntry,
        Fault::CorruptOrigin,
        Fault::CorruptLinks,
        Fault::OriginDown,
        Fault::NewVersion,
        Fault::ReplaceVersion,
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::LoseTableReplies,
        Fault::StaleList,
        Fault::ConcurrentPublish,
        Fault::SilenceConnections,
        Fault::CutRegion,
        Fault::StopAgent,
        Fault::StopEntry,
        Fault::ListAsLeaving,
        Fault::LoseOrderReplies,
        Fault::CutAnswers,
        Fault::LoseServiceReplies,
    ];

    fn name(self) -> &'static str {
        match self {
            Fault::KillAgent => "agent killed and replaced empty",
            Fault::KillEntry => "entry killed and replaced",
            Fault::PauseAgent => "agent paused",
            Fault::PauseEntry => "entry paused",
            Fault::CorruptOrigin => "origin corrupts",
            Fault::CorruptLinks => "links corrupt",
            Fault::OriginDown => "origin down",
            Fault::NewVersion => "new version",
            Fault::ReplaceVersion => "version replaced in mid-flight",
            Fault::StoreDown => "store down",
            Fault::StoreSlow => "store slow",
            Fault::LoseTableReplies => "replies lost after the write",
            Fault::StaleList => "membership list goes back",
            Fault::ConcurrentPublish => "operators race",
            Fault::SilenceConnections => "connections silent for good",
            Fault::CutRegion => "region cut off",
            Fault::StopAgent => "agent stopped gracefully",
            Fault::StopEntry => "entry stopped gracefully",
            Fault::ListAsLeaving => "listed as leaving",
            Fault::LoseOrderReplies => "replies to orders lost",
            Fault::CutAnswers => "engines cut answers",
            Fault::LoseServiceReplies => "plain services lose replies",
        }
    }
}

impl Schedule {
    /// Injects a fault and schedules its end. Does nothing if the fault needs a
    /// host and none is available.
    pub(super) async fn inject(
        &mut self,
        fault: Fault,
        fleet: &mut Fleet,
        monitor: &mut Monitor,
    ) -> Result<(), Error> {
        let injected = match fault {
            Fault::KillAgent => self.kill(fleet, monitor, Role::Agent).await?,
            Fault::KillEntry => self.kill(fleet, monitor, Role::Entry).await?,
            Fault::PauseAgent => self.pause(fleet, monitor, Role::Agent)?,
            Fault::PauseEntry => self.pause(fleet, monitor, Role::Entry)?,
            Fault::StopAgent => self.stop(fleet, monitor, Role::Agent)?,
            Fault::StopEntry => self.stop(fleet, monitor, Role::Entry)?,
            Fault::ListAsLeaving => self.list_as_leaving(fleet, monitor).await?,
            Fault::CutRegion => self.cut_region(fleet, monitor).await?,
            Fault::SilenceConnections => {
                let region = self.random_region(fleet);
                fleet.silence_region(&region).await?;
                true
            }
            Fault::CorruptLinks => {
                fleet.corrupt_links(20).await?;
                self.schedule_follow_up(monitor, FAULT_DURATION, FollowUp::RestoreLinks);
                true
            }
            Fault::NewVersion | Fault::ReplaceVersion => {
                self.publish_next(fleet);
                true
            }
            Fault::ConcurrentPublish => {
                self.publish_concurrently(fleet);
                true
            }
            Fault::LoseOrderReplies => {
                fleet.engine_faults(json!({"lose_orders": true})).await?;
                let end = FollowUp::Engines(json!({"lose_orders": false}));
                self.schedule_follow_up(monitor, FAULT_DURATION, end);
                true
            }
            Fault::CutAnswers => {
                fleet.engine_faults(json!({"cut_percent": 20})).await?;
                self.schedule_follow_up(
                    monitor,
                    FAULT_DURATION,
                    FollowUp::Engines(json!({"cut_percent": 0})),
                );
                true
            }
            Fault::LoseServiceReplies => {
                fleet.service_faults(json!({"lose_percent": 20})).await?;
                self.schedule_follow_up(
                    monitor,
                    FAULT_DURATION,
                    FollowUp::Services(json!({"lose_percent": 0})),
                );
                true
            }
            Fault::CorruptOrigin
            | Fault::StaleList
            | Fault::LoseTableReplies
            | Fault::OriginDown
            | Fault::StoreDown
            | Fault::StoreSlow => self.platform_fault(fault, fleet, monitor).await?,
        };
        if injected {
            *self.fault_counts.entry(fault.name()).or_default() += 1;
        }
        Ok(())
    }

    async fn platform_fault(
        &mut self,
        fault: Fault,
        fleet: &Fleet,
        monitor: &Monitor,
    ) -> Result<bool, Error> {
        let (begin, end) = match fault {
            Fault::CorruptOrigin => (
                json!({"origin": {"corrupt_percent": 5}}),
                json!({"origin": {"corrupt_percent": 0}}),
            ),
            Fault::StaleList => (
                json!({"membership": {"back_ms": 5000}}),
                json!({"membership": {"back_ms": 0}}),
            ),
            Fault::LoseTableReplies => (
                json!({"tables": {"lose_percent": 40}}),
                json!({"tables": {"lose_percent": 0}}),
            ),
            Fault::OriginDown => (
                json!({"origin": {"down": true}}),
                json!({"origin": {"down": false}}),
            ),
            Fault::StoreDown => (
                json!({"tables": {"down": true}, "objects": {"down": true}, "membership": {"down": true}}),
                json!({"tables": {"down": false}, "objects": {"down": false}, "membership": {"down": false}}),
            ),
            _ => (
                json!({"tables": {"slow_ms": 400}, "objects": {"slow_ms": 400}}),
                json!({"tables": {"slow_ms": 0}, "objects": {"slow_ms": 0}}),
            ),
        };
        fleet.platform_faults(begin).await?;
        if matches!(fault, Fault::StaleList | Fault::StoreDown) {
            self.delay_list_reads(monitor);
        }
        self.schedule_follow_up(monitor, FAULT_DURATION, FollowUp::Platform(end));
        Ok(true)
    }

    async fn kill(
        &mut self,
        fleet: &mut Fleet,
        monitor: &mut Monitor,
        role: Role,
    ) -> Result<bool, Error> {
        let Some(name) = self.reserve_host(fleet, role) else {
            return Ok(false);
        };
        monitor.begin_disturbance(&name);
        fleet.kill(&name).await?;
        self.schedule_follow_up(monitor, REPLACE_DELAY, FollowUp::Replace(name));
        Ok(true)
    }

    fn pause(&mut self, fleet: &Fleet, monitor: &mut Monitor, role: Role) -> Result<bool, Error> {
        let Some(name) = self.reserve_host(fleet, role) else {
            return Ok(false);
        };
        monitor.begin_disturbance(&name);
        fleet.signal(&name, Signal::SIGSTOP)?;
        self.schedule_follow_up(monitor, PAUSE_DURATION, FollowUp::Resume(name));
        Ok(true)
    }

    fn stop(
        &mut self,
        fleet: &mut Fleet,
        monitor: &mut Monitor,
        role: Role,
    ) -> Result<bool, Error> {
        let Some(name) = self.reserve_host(fleet, role) else {
            return Ok(false);
        };
        monitor.begin_disturbance(&name);
        fleet.begin_stop(&name)?;
        if role == Role::Agent {
            self.schedule_follow_up(
                monitor,
                LEAVE_LIMIT,
                FollowUp::CountCalls(name.clone(), false),
            );
        }
        let asked = monitor.elapsed();
        self.schedule_follow_up(
            monitor,
            LEAVE_LIMIT + LATE_CALLS_WINDOW * 2,
            FollowUp::FinishStop(name, asked),
        );
        Ok(true)
    }

    async fn list_as_leaving(&mut self, fleet: &Fleet, monitor: &Monitor) -> Result<bool, Error> {
        let Some(name) = self.reserve_host(fleet, Role::Agent) else {
            return Ok(false);
        };
        fleet.mark_leaving(&name).await?;
        self.schedule_follow_up(
            monitor,
            MEMBERSHIP_LAG + LEAVE_LIMIT,
            FollowUp::CountCalls(name, true),
        );
        Ok(true)
    }

    async fn cut_region(&mut self, fleet: &Fleet, monitor: &mut Monitor) -> Result<bool, Error> {
        let region = self.random_region(fleet);
        fleet.cut_region(&region, true).await?;
        self.delay_list_reads(monitor);
        // Hosts on either side of the cut may miss new versions.
        for host in fleet.hosts() {
            monitor.begin_disturbance(&host.name);
        }
        self.schedule_follow_up(monitor, FAULT_DURATION, FollowUp::ReconnectRegion(region));
        Ok(true)
    }

    /// Records that some hosts do not read the current membership list while a
    /// fault lasts.
    fn delay_list_reads(&mut self, monitor: &Monitor) {
        self.list_read_by = monitor.elapsed() + FAULT_DURATION + MEMBERSHIP_LAG + LEAVE_LIMIT;
    }

    fn random_region(&mut self, fleet: &Fleet) -> host::Region {
        let regions = &fleet.plan.deployment.regions;
        let index = self.rng.random_range(0..regions.len());
        host::Region(regions[index].name.clone())
    }

    /// Publishes the next model version without waiting for the outcome.
    fn publish_next(&mut self, fleet: &mut Fleet) {
        let index = self.next_version % self.versions.len();
        self.next_version += 1;
        let manifest = self.versions[index].clone();
        fleet.set_model(&(index + 1).to_string(), &manifest);
        let document = fleet.plan.document.clone();
        self.publish(fleet, document);
    }

    /// Publishes two different documents concurrently, as two operators.
    fn publish_concurrently(&mut self, fleet: &Fleet) {
        for customer in 0..2 {
            let mut document = fleet.plan.document.clone();
            document.customers[customer].share = self.rng.random_range(20..=60);
            self.publish(fleet, document);
        }
    }

    fn publish(&mut self, fleet: &Fleet, document: Document) {
        let entries = fleet.routable_entries.read().clone();
        if entries.is_empty() {
            return;
        }
        let entry = entries[self.rng.random_range(0..entries.len())];
        let key = fleet.operator_key();
        let accepted = self.accepted_sender.clone();
        self.publications.spawn(async move {
            // A refused publication is no fault; only accepted versions must
            // come into force.
            if let Ok(console) = Console::sign_in(entry, &key).await
                && let Ok(version) = console.publish(&document).await
            {
                let _ = accepted.send(version);
            }
        });
    }

    /// Ends a fault or evaluates its effects.
    pub(super) async fn follow_up(
        &mut self,
        end: FollowUp,
        fleet: &mut Fleet,
        monitor: &mut Monitor,
    ) -> Result<(), Error> {
        match end {
            FollowUp::Replace(name) => {
                fleet.replace(&name).await?;
                self.release(&name, monitor);
            }
            FollowUp::Resume(name) => {
                fleet.signal(&name, Signal::SIGCONT)?;
                self.release(&name, monitor);
            }
            FollowUp::Platform(faults) => fleet.platform_faults(faults).await?,
            FollowUp::Engines(faults) => fleet.engine_faults(faults).await?,
            FollowUp::Services(faults) => fleet.service_faults(faults).await?,
            FollowUp::RestoreLinks => fleet.corrupt_links(0).await?,
            FollowUp::ReconnectRegion(region) => {
                fleet.cut_region(&region, false).await?;
                let names: Vec<_> = fleet.hosts().map(|host| host.name.clone()).collect();
                let reserved = self.reserved.clone();
                for name in names.iter().filter(|name| !reserved.contains(name)) {
                    monitor.end_disturbance(name);
                }
            }
            FollowUp::CountCalls(name, true) if monitor.elapsed() < self.list_read_by => {
                // Entries may not have read yet that the host is leaving.
                let wait = self.list_read_by.saturating_sub(monitor.elapsed());
                self.schedule_follow_up(monitor, wait, FollowUp::CountCalls(name, true));
            }
            FollowUp::CountCalls(name, listed) => {
                let calls = fleet.backend_calls(&name).await?;
                self.schedule_follow_up(
                    monitor,
                    LATE_CALLS_WINDOW,
                    FollowUp::CompareCalls(name, calls, listed),
                );
            }
            FollowUp::CompareCalls(name, before, listed) => {
                let late_calls = fleet.backend_calls(&name).await?.saturating_sub(before);
                let host = name.clone();
                self.departures.push(Departure {
                    host,
                    listed,
                    late_calls,
                });
                if listed {
                    fleet.mark_live(&name).await?;
                    self.release(&name, monitor);
                }
            }
            FollowUp::FinishStop(name, asked)
                if !fleet.has_ended(&name)? && monitor.elapsed() < asked + STOP_LIMIT =>
            {
                self.schedule_follow_up(
                    monitor,
                    STOP_POLL_INTERVAL,
                    FollowUp::FinishStop(name, asked),
                );
            }
            FollowUp::FinishStop(name, asked) => {
                let stopped = fleet.finish_stop(&name, STOP_POLL_INTERVAL).await?;
                self.stops.push(Stop {
                    host: name.clone(),
                    http: stopped.http,
                    asked,
                    ended: monitor.elapsed(),
                    in_time: stopped.in_time,
                    log: stopped.log,
                });
                fleet.replace(&name).await?;
                self.release(&name, monitor);
            }
        }
        Ok(())
    }

    fn release(&mut self, name: &host::Name, monitor: &mut Monitor) {
        self.reserved.remove(name);
        monitor.end_disturbance(name);
    }
}
