//! What fails, how it begins and how it ends.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;
use snipewinch::document::Document;
use snipewinch::host;
use snipewinch::host::Role;

use super::schedule::Schedule;
use super::verdict::Leave;
use super::verdict::Stop;
use super::watch::Watch;
use crate::Error;
use crate::console::Console;
use crate::fleet::Fleet;

/// How long most faults last.
const SPELL: Duration = Duration::from_secs(3);
/// How long a paused host stands still: past every lease and silence.
const PAUSE: Duration = Duration::from_secs(6);
/// How long a dead host's place stays empty.
const EMPTY: Duration = Duration::from_secs(2);
/// After how long a host that says it leaves must get no new work.
const LEFT: Duration = Duration::from_secs(3);
/// How far the list lags.
const LISTED: Duration = Duration::from_secs(1);
/// For how long a host that has left is watched.
const WATCHED: Duration = Duration::from_secs(2);
/// How long a graceful stop may take: the daemon's drain limit and a little.
const STOP_LIMIT: Duration = Duration::from_secs(70);
/// How often a stop is looked at.
const STOP_STEP: Duration = Duration::from_secs(1);

/// Everything that fails.
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
    SecondVersion,
    StoreDown,
    StoreSlow,
    LostReplies,
    ListBack,
    Race,
    Silence,
    CutRegion,
    StopAgent,
    StopEntry,
    LeaveListed,
    LoseOrders,
    CutAnswers,
    LoseServiceReplies,
}

/// What ends a fault or looks at its trace.
#[derive(Clone, Debug)]
pub(super) enum End {
    Replace(host::Name),
    Resume(host::Name),
    Platform(Value),
    Engines(Value),
    Services(Value),
    CleanLinks,
    JoinRegion(host::Region),
    /// Count what the backend server has got by now.
    CountLeft(host::Name, bool),
    /// Compare with what it had got.
    CompareLeft(host::Name, u64, bool),
    Stopped(host::Name, Duration),
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
        Fault::SecondVersion,
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::LostReplies,
        Fault::ListBack,
        Fault::Race,
        Fault::Silence,
        Fault::CutRegion,
        Fault::StopAgent,
        Fault::StopEntry,
        Fault::LeaveListed,
        Fault::LoseOrders,
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
            Fault::SecondVersion => "version replaced in mid-flight",
            Fault::StoreDown => "store down",
            Fault::StoreSlow => "store slow",
            Fault::LostReplies => "replies lost after the write",
            Fault::ListBack => "membership list goes back",
            Fault::Race => "operators race",
            Fault::Silence => "connections silent for good",
            Fault::CutRegion => "region cut off",
            Fault::StopAgent => "agent stopped gracefully",
            Fault::StopEntry => "entry stopped gracefully",
            Fault::LeaveListed => "listed as leaving",
            Fault::LoseOrders => "replies to orders lost",
            Fault::CutAnswers => "engines cut answers",
            Fault::LoseServiceReplies => "plain services lose replies",
        }
    }
}

impl Schedule {
    /// Lets a fault strike.
    pub(super) async fn begin(
        &mut self,
        fault: Fault,
        fleet: &mut Fleet,
        watch: &mut Watch,
    ) -> Result<(), Error> {
        let struck = match fault {
            Fault::KillAgent => self.kill(fleet, watch, Role::Agent).await?,
            Fault::KillEntry => self.kill(fleet, watch, Role::Entry).await?,
            Fault::PauseAgent => self.pause(fleet, watch, Role::Agent)?,
            Fault::PauseEntry => self.pause(fleet, watch, Role::Entry)?,
            Fault::StopAgent => self.stop(fleet, watch, Role::Agent)?,
            Fault::StopEntry => self.stop(fleet, watch, Role::Entry)?,
            Fault::LeaveListed => self.leave(fleet, watch).await?,
            Fault::CutRegion => self.cut(fleet, watch).await?,
            Fault::Silence => {
                let region = self.region(fleet);
                fleet.silence_region(&region).await?;
                true
            }
            Fault::CorruptLinks => {
                fleet.corrupt_links(20).await?;
                self.after(watch, SPELL, End::CleanLinks);
                true
            }
            Fault::NewVersion | Fault::SecondVersion => {
                self.publish_next(fleet);
                true
            }
            Fault::Race => {
                self.race(fleet);
                true
            }
            Fault::LoseOrders => {
                fleet.engine_faults(json!({"lose_orders": true})).await?;
                let end = End::Engines(json!({"lose_orders": false}));
                self.after(watch, SPELL, end);
                true
            }
            Fault::CutAnswers => {
                fleet.engine_faults(json!({"cut_percent": 20})).await?;
                self.after(watch, SPELL, End::Engines(json!({"cut_percent": 0})));
                true
            }
            Fault::LoseServiceReplies => {
                fleet.service_faults(json!({"lose_percent": 20})).await?;
                self.after(watch, SPELL, End::Services(json!({"lose_percent": 0})));
                true
            }
            Fault::CorruptOrigin
            | Fault::ListBack
            | Fault::LostReplies
            | Fault::OriginDown
            | Fault::StoreDown
            | Fault::StoreSlow => self.platform(fault, fleet, watch).await?,
        };
        if struck {
            *self.struck.entry(fault.name()).or_default() += 1;
        }
        Ok(())
    }

    async fn platform(
        &mut self,
        fault: Fault,
        fleet: &Fleet,
        watch: &Watch,
    ) -> Result<bool, Error> {
        let (begin, end) = match fault {
            Fault::CorruptOrigin => (
                json!({"origin": {"corrupt_percent": 5}}),
                json!({"origin": {"corrupt_percent": 0}}),
            ),
            Fault::ListBack => (
                json!({"membership": {"back_ms": 5000}}),
                json!({"membership": {"back_ms": 0}}),
            ),
            Fault::LostReplies => (
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
        if matches!(fault, Fault::ListBack | Fault::StoreDown) {
            self.blind(watch);
        }
        self.after(watch, SPELL, End::Platform(end));
        Ok(true)
    }

    async fn kill(
        &mut self,
        fleet: &mut Fleet,
        watch: &mut Watch,
        role: Role,
    ) -> Result<bool, Error> {
        let Some(name) = self.victim(fleet, role) else {
            return Ok(false);
        };
        watch.disturb(&name);
        fleet.kill(&name).await?;
        self.after(watch, EMPTY, End::Replace(name));
        Ok(true)
    }

    fn pause(&mut self, fleet: &Fleet, watch: &mut Watch, role: Role) -> Result<bool, Error> {
        let Some(name) = self.victim(fleet, role) else {
            return Ok(false);
        };
        watch.disturb(&name);
        fleet.signal(&name, Signal::SIGSTOP)?;
        self.after(watch, PAUSE, End::Resume(name));
        Ok(true)
    }

    fn stop(&mut self, fleet: &mut Fleet, watch: &mut Watch, role: Role) -> Result<bool, Error> {
        let Some(name) = self.victim(fleet, role) else {
            return Ok(false);
        };
        watch.disturb(&name);
        fleet.begin_stop(&name)?;
        if role == Role::Agent {
            self.after(watch, LEFT, End::CountLeft(name.clone(), false));
        }
        let asked = watch.elapsed();
        self.after(watch, LEFT + WATCHED * 2, End::Stopped(name, asked));
        Ok(true)
    }

    async fn leave(&mut self, fleet: &Fleet, watch: &Watch) -> Result<bool, Error> {
        let Some(name) = self.victim(fleet, Role::Agent) else {
            return Ok(false);
        };
        fleet.mark_leaving(&name).await?;
        self.after(watch, LISTED + LEFT, End::CountLeft(name, true));
        Ok(true)
    }

    async fn cut(&mut self, fleet: &Fleet, watch: &mut Watch) -> Result<bool, Error> {
        let region = self.region(fleet);
        fleet.cut_region(&region, true).await?;
        self.blind(watch);
        // What lies beyond the cut can't be expected to follow either way.
        for host in fleet.hosts() {
            watch.disturb(&host.name);
        }
        self.after(watch, SPELL, End::JoinRegion(region));
        Ok(true)
    }

    /// Notes that some hosts can't read the list for a spell.
    fn blind(&mut self, watch: &Watch) {
        self.list_seen_by = watch.elapsed() + SPELL + LISTED + LEFT;
    }

    fn region(&mut self, fleet: &Fleet) -> host::Region {
        let regions = &fleet.plan.deployment.regions;
        let index = self.rng.random_range(0..regions.len());
        host::Region(regions[index].name.clone())
    }

    /// Publishes the next version without waiting for the outcome.
    fn publish_next(&mut self, fleet: &mut Fleet) {
        let index = self.next_version % self.versions.len();
        self.next_version += 1;
        let manifest = self.versions[index].clone();
        fleet.name_model(&(index + 1).to_string(), &manifest);
        let document = fleet.plan.document.clone();
        self.publish(fleet, document);
    }

    /// Lets two operators publish different documents at once.
    fn race(&mut self, fleet: &Fleet) {
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
        let accepted = self.accepted.clone();
        self.publishing.spawn(async move {
            // A refusal is an answer; only what is accepted makes a promise.
            if let Ok(console) = Console::sign_in(entry, &key).await
                && let Ok(version) = console.publish(&document).await
            {
                let _ = accepted.send(version);
            }
        });
    }

    /// Ends a fault, or looks at what it left.
    pub(super) async fn end(
        &mut self,
        end: End,
        fleet: &mut Fleet,
        watch: &mut Watch,
    ) -> Result<(), Error> {
        match end {
            End::Replace(name) => {
                fleet.replace(&name).await?;
                self.free(&name, watch);
            }
            End::Resume(name) => {
                fleet.signal(&name, Signal::SIGCONT)?;
                self.free(&name, watch);
            }
            End::Platform(faults) => fleet.platform_faults(faults).await?,
            End::Engines(faults) => fleet.engine_faults(faults).await?,
            End::Services(faults) => fleet.service_faults(faults).await?,
            End::CleanLinks => fleet.corrupt_links(0).await?,
            End::JoinRegion(region) => {
                fleet.cut_region(&region, false).await?;
                let names: Vec<_> = fleet.hosts().map(|host| host.name.clone()).collect();
                let held = self.held.clone();
                for name in names.iter().filter(|name| !held.contains(name)) {
                    watch.calm(name);
                }
            }
            End::CountLeft(name, true) if watch.elapsed() < self.list_seen_by => {
                // Entries that can't read the list can't know.
                let wait = self.list_seen_by.saturating_sub(watch.elapsed());
                self.after(watch, wait, End::CountLeft(name, true));
            }
            End::CountLeft(name, listed) => {
                let calls = fleet.backend_calls(&name).await?;
                self.after(watch, WATCHED, End::CompareLeft(name, calls, listed));
            }
            End::CompareLeft(name, before, listed) => {
                let late_calls = fleet.backend_calls(&name).await?.saturating_sub(before);
                let host = name.clone();
                self.leaves.push(Leave {
                    host,
                    listed,
                    late_calls,
                });
                if listed {
                    fleet.mark_live(&name).await?;
                    self.free(&name, watch);
                }
            }
            End::Stopped(name, asked)
                if !fleet.has_ended(&name)? && watch.elapsed() < asked + STOP_LIMIT =>
            {
                self.after(watch, STOP_STEP, End::Stopped(name, asked));
            }
            End::Stopped(name, asked) => {
                let stopped = fleet.finish_stop(&name, STOP_STEP).await?;
                self.stops.push(Stop {
                    host: name.clone(),
                    http: stopped.http,
                    asked,
                    ended: watch.elapsed(),
                    in_time: stopped.in_time,
                    log: stopped.log,
                });
                fleet.replace(&name).await?;
                self.free(&name, watch);
            }
        }
        Ok(())
    }

    fn free(&mut self, name: &host::Name, watch: &mut Watch) {
        self.held.remove(name);
        watch.calm(name);
    }
}
