//! How long this host takes to get a version of the weights into use, by phase.

use std::fmt;
use std::time::Duration;

use platform::engine::Report;

use super::Agent;
use super::slot_pool;

/// The most versions that are followed at once.
const ROLLOUTS_MAX: usize = 4;

/// A phase of a rollout on one host, in the usual order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// Until this agent has learned that the version is published.
    News,
    /// Until the list of its chunks is known.
    Manifest,
    /// Until all chunks are here.
    Chunks,
    /// Until the engine may reload.
    Turn,
    /// Until all chunks are staged.
    Staging,
    /// Until the engine has no requests.
    Drain,
    /// Until the engine has accepted the order to load.
    Order,
    /// Until the engine has loaded the version.
    Load,
}

impl Phase {
    /// The name in log lines and metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Phase::News => "news",
            Phase::Manifest => "manifest",
            Phase::Chunks => "chunks",
            Phase::Turn => "turn",
            Phase::Staging => "staging",
            Phase::Drain => "drain",
            Phase::Order => "order",
            Phase::Load => "load",
        }
    }
}

/// What a rollout on this host is counted from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Start {
    /// The version was published then, as this agent knows it.
    Published,
    /// This agent learned of a version that was published before, it is not
    /// known when.
    Learned,
    /// The engine restarted without the version.
    Restarted,
}

impl fmt::Display for Start {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Start::Published => "it was published",
            Start::Learned => "this agent learned of it",
            Start::Restarted => "the engine restarted",
        })
    }
}

/// The time spent in a phase, in all if it was repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct PhaseTime {
    pub(super) phase: Phase,
    pub(super) time: Duration,
}

/// A version that the engine has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Loaded {
    pub(super) version: u64,
    pub(super) start: Start,
    pub(super) phases: Vec<PhaseTime>,
}

impl fmt::Display for Loaded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: Duration = self.phases.iter().map(|one| one.time).sum();
        let phases = self
            .phases
            .iter()
            .map(|one| format!("{} {} ms", one.phase.name(), one.time.as_millis()));
        write!(
            f,
            "version {} {} ms after {}: {}",
            self.version,
            total.as_millis(),
            self.start,
            phases.collect::<Vec<_>>().join(", ")
        )
    }
}

/// An engine that restarted while it did not hold the newest version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Interrupted {
    /// The version that it has to load.
    pub(super) version: u64,
    /// The version that it holds; 0 if none.
    pub(super) held: u64,
    /// The phase that the rollout was in; `None` if the version was loaded
    /// before.
    pub(super) phase: Option<Phase>,
}

impl fmt::Display for Interrupted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.phase {
            Some(phase) => write!(f, "in the phase {} of", phase.name())?,
            None => f.write_str("without")?,
        }
        write!(
            f,
            " version {}; it holds version {}",
            self.version, self.held
        )
    }
}

/// What an observation of the engine shows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Event {
    Loaded(Loaded),
    Interrupted(Interrupted),
}

/// The engine as last observed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Observation {
    /// The version that it holds; 0 if none.
    pub(super) held: u64,
    /// The time at which it started, in milliseconds since the Unix epoch.
    pub(super) started_ms: u64,
}

/// The rollouts on this host that have not ended.
#[derive(Debug, Default)]
pub(super) struct Timeline {
    /// The newest last.
    rollouts: Vec<Rollout>,
    /// The newest version that was learned of.
    newest: u64,
    engine: Option<Observation>,
}

#[derive(Debug)]
struct Rollout {
    version: u64,
    start: Start,
    phase: Phase,
    phase_start: Duration,
    /// The phases that were left, in the order in which they began.
    phases: Vec<PhaseTime>,
}

impl Rollout {
    /// Ends the current phase.
    fn end_phase(&mut self, now: Duration) {
        let time = now.saturating_sub(self.phase_start);
        self.phase_start = now;
        match self.phases.iter_mut().find(|one| one.phase == self.phase) {
            Some(known) => known.time += time,
            None => self.phases.push(PhaseTime {
                phase: self.phase,
                time,
            }),
        }
    }
}

impl Timeline {
    /// Begins the rollout of a version unless it is known. `published` is when
    /// it was published, if that is known.
    pub(super) fn learn(&mut self, now: Duration, version: u64, published: Option<Duration>) {
        let is_held = self.engine.is_some_and(|engine| version <= engine.held);
        if version <= self.newest || is_held {
            return;
        }
        self.newest = version;
        let mut rollout = Rollout {
            version,
            start: Start::Learned,
            phase: Phase::News,
            phase_start: now,
            phases: Vec::new(),
        };
        if let Some(published) = published {
            rollout.start = Start::Published;
            rollout.phase_start = published;
            rollout.end_phase(now);
        }
        rollout.phase = Phase::Manifest;
        self.push(rollout);
    }

    /// Enters a phase of a rollout. The time until a failed step is repeated
    /// counts to the phase that failed.
    pub(super) fn enter(&mut self, now: Duration, version: u64, phase: Phase) {
        let mut rollouts = self.rollouts.iter_mut();
        let Some(rollout) = rollouts.find(|one| one.version == version) else {
            return;
        };
        // A list or chunks may be replaced later on, beside the current phase.
        if phase <= Phase::Turn && phase <= rollout.phase {
            return;
        }
        rollout.end_phase(now);
        rollout.phase = phase;
    }

    /// Compares the engine with what it was when last observed.
    pub(super) fn observe(&mut self, now: Duration, engine: Observation) -> Option<Event> {
        let before = self.engine.replace(engine);
        let position = self
            .rollouts
            .iter()
            .rposition(|one| one.version <= engine.held);
        let ended = position.and_then(|last| self.rollouts.drain(..=last).next_back());
        let before = before?;
        if let Some(mut rollout) = ended {
            rollout.end_phase(now);
            return Some(Event::Loaded(Loaded {
                version: rollout.version,
                start: rollout.start,
                phases: rollout.phases,
            }));
        }
        let is_restart = before.started_ms != engine.started_ms;
        if !is_restart || engine.held >= self.newest {
            return None;
        }
        let phase = self.rollouts.last().map(|one| one.phase);
        if phase.is_none() {
            self.push(Rollout {
                version: self.newest,
                start: Start::Restarted,
                phase: Phase::Turn,
                phase_start: now,
                phases: Vec::new(),
            });
        }
        Some(Event::Interrupted(Interrupted {
            version: self.newest,
            held: engine.held,
            phase,
        }))
    }

    fn push(&mut self, rollout: Rollout) {
        self.rollouts.push(rollout);
        let excess = self.rollouts.len().saturating_sub(ROLLOUTS_MAX);
        self.rollouts.drain(..excess);
    }
}

impl Agent {
    /// Begins the rollout of the version that the engine should hold.
    pub(super) fn learn_target(&self) {
        let Some(target) = self.target() else {
            return;
        };
        let published = self.publish_time_known().then_some(target.learned_at);
        self.timeline
            .borrow_mut()
            .learn(self.clock.now(), target.version, published);
    }

    /// Enters a phase of the rollout of a version.
    pub(super) fn enter_phase(&self, version: u64, phase: Phase) {
        self.timeline
            .borrow_mut()
            .enter(self.clock.now(), version, phase);
    }

    /// Logs and counts what a report of the engine shows.
    pub(super) fn observe_engine(&self, report: &Report) {
        let engine = Observation {
            held: slot_pool::loaded_version(report),
            started_ms: report.started_ms,
        };
        let event = self.timeline.borrow_mut().observe(self.clock.now(), engine);
        match event {
            Some(Event::Loaded(loaded)) => {
                for one in &loaded.phases {
                    self.metrics
                        .rollout_phase
                        .with_label_values(&[one.phase.name()])
                        .observe(one.time.as_secs_f64());
                }
                log::info!(
                    "E7238 backend server {} has loaded {loaded}",
                    self.server_id()
                );
            }
            Some(Event::Interrupted(interrupted)) => log::info!(
                "E7240 backend server {} has restarted {interrupted}",
                self.server_id()
            ),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;
