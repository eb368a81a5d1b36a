//! Decides when the engine loads weights that are complete on the host.
//!
//! Only the agent gives orders to the engine of its host, one at a time. It
//! reads the engine's state before the first order and after every lost or
//! failed one, and considers loaded only what the state lists. Fencing numbers
//! increase with each order and each start of the agent, so an engine that
//! checks them refuses an order of an earlier start. An engine that ignores
//! them may carry out such an order late: its state is read repeatedly and
//! corrected.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Digest;
use crate::wire::Confirmed;

/// How often the engine's state is read while no order is in progress.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// The first retry delay after a failed order or read.
const RETRY_MIN: Duration = Duration::from_millis(200);
/// Failed reads in a row after which the engine counts as holding nothing. A
/// sound engine may be silent for longer than one read waits.
const FAILED_READS_MAX: u32 = 2;
/// How often the retry delay doubles at most.
const RETRY_DOUBLINGS_MAX: u32 = 5;
/// The shortest drain, even if no calls run: calls admitted just before it are
/// counted a moment later.
const DRAIN_MIN: Duration = Duration::from_millis(50);
/// How long a drain waits for running calls before the engine reloads anyway.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// The kind of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model.
    Model,
    /// An adapter of a model.
    Adapter {
        /// The model's name.
        of: SmolStr,
    },
}

/// A model or an adapter that the engine must hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// A model or an adapter.
    pub kind: Kind,
    /// Its name.
    pub name: SmolStr,
    /// Its version.
    pub version: SmolStr,
    /// The manifest's digest.
    pub manifest: Digest,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// The highest fencing number it has seen.
    #[serde(default)]
    pub fence: u64,
    /// Its role.
    #[serde(default)]
    pub role: Option<Role>,
    /// Whether it is carrying out an order.
    #[serde(default)]
    pub loading: bool,
    /// The models and adapters that it holds.
    #[serde(default)]
    pub models: Vec<Loaded>,
}

/// One model or adapter that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loaded {
    /// The name.
    pub model: SmolStr,
    /// The version.
    pub version: SmolStr,
    /// The manifest's digest as ordered.
    pub manifest: SmolStr,
    /// The digest of all bytes that it loaded.
    pub given_digest: SmolStr,
}

/// The part of a request that an engine processes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
    /// Both.
    #[default]
    Both,
}

/// An order to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load a target that is complete on the host.
    Load(Target),
    /// Unload a model or adapter that is no longer a target.
    Unload {
        /// The name.
        model: SmolStr,
        /// The version.
        version: SmolStr,
    },
    /// Change the role.
    Role(Role),
}

impl Order {
    /// Whether the order may cut off running calls, so that they must end
    /// first.
    fn needs_drain(&self) -> bool {
        match self {
            Order::Load(target) => target.kind == Kind::Model,
            Order::Unload { .. } => true,
            Order::Role(_) => false,
        }
    }

    /// Whether calls for `model` cannot be answered while it is carried out.
    fn interrupts(&self, model: &str) -> bool {
        match self {
            // An engine that swaps a model answers no calls meanwhile.
            Order::Load(target) => target.kind == Kind::Model || target.name == model,
            Order::Unload {
                model: unloaded, ..
            } => unloaded == model,
            Order::Role(_) => false,
        }
    }
}

/// How an order ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The engine carried it out and is in this state.
    Done(State),
    /// The engine has seen a higher fencing number.
    Fenced {
        /// The highest fencing number that it has seen.
        fence: u64,
    },
    /// The engine refused it, or its answer was lost.
    Unknown,
}

/// Whether a target may be loaded, as the embedder knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Readiness {
    /// The digest of all weights, once every chunk is here and verified.
    pub weights_digest: Option<Digest>,
    /// Whether enough other backend servers answer for this one to reload.
    pub may_reload: bool,
}

/// What the embedder must do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Do nothing until this time.
    Wait(Duration),
    /// Read the engine's state and report it with [`Loader::record_state`].
    ReadState,
    /// Admit no more calls and call [`Loader::next_action`] again once the
    /// running ones have ended.
    Drain,
    /// Send this order and report its outcome with [`Loader::record_outcome`].
    Send {
        /// Its fencing number.
        fence: u64,
        /// The order.
        order: Order,
    },
}

/// Decides which orders one engine gets, and when.
#[derive(Debug)]
pub struct Loader {
    fence: u64,
    targets: Vec<Target>,
    role: Option<Role>,
    state: Option<State>,
    next_read: Duration,
    in_progress: bool,
    failures: u32,
    /// Reads in a row that failed since the engine last gave its state.
    failed_reads: u32,
    pending: Option<Pending>,
}

/// An order that waits for calls to end, or is being carried out.
#[derive(Clone, Debug)]
struct Pending {
    order: Order,
    since: Duration,
}

impl Loader {
    /// A loader of a process with this `incarnation`, from which its fencing
    /// numbers start.
    pub fn new(incarnation: u64) -> Loader {
        Loader {
            fence: incarnation,
            targets: Vec::new(),
            role: None,
            state: None,
            next_read: Duration::ZERO,
            in_progress: false,
            failures: 0,
            failed_reads: 0,
            pending: None,
        }
    }

    /// Sets what the engine must hold, and its role if it must have one.
    pub fn set_targets(&mut self, targets: Vec<Target>, role: Option<Role>) {
        self.targets = targets;
        self.role = role;
    }

    /// The versions for which calls may be admitted: those that the engine has
    /// confirmed, loaded completely and is not about to replace.
    pub fn confirmed(&self, readiness: &dyn Fn(&Target) -> Readiness) -> Vec<Confirmed> {
        let Some(state) = self.state.as_ref().filter(|state| !state.loading) else {
            return Vec::new();
        };
        let order = self.pending.as_ref().map(|pending| &pending.order);
        state
            .models
            .iter()
            .filter(|loaded| !order.is_some_and(|order| order.interrupts(&loaded.model)))
            .filter(|loaded| !self.has_wrong_weights(loaded, readiness))
            .map(|loaded| Confirmed {
                model: loaded.model.clone(),
                version: loaded.version.clone(),
            })
            .collect()
    }

    /// Whether the engine loaded other bytes under the name and version of a
    /// target.
    fn has_wrong_weights(&self, loaded: &Loaded, readiness: &dyn Fn(&Target) -> Readiness) -> bool {
        let is_same = |one: &&Target| one.name == loaded.model && one.version == loaded.version;
        let target = self.targets.iter().find(is_same);
        target.is_some_and(|target| !matches(loaded, target, readiness(target).weights_digest))
    }

    /// Whether the engine has confirmed a target.
    pub fn holds(&self, target: &Target, weights_digest: Option<Digest>) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|state| {
            state
                .models
                .iter()
                .any(|one| matches(one, target, weights_digest))
        })
    }

    /// Decides what to do now. `readiness` is asked for each target;
    /// `running` is the number of calls that the engine runs for this agent.
    pub fn next_action(
        &mut self,
        now: Duration,
        readiness: &dyn Fn(&Target) -> Readiness,
        running: usize,
    ) -> Action {
        if self.in_progress {
            return Action::Wait(now + READ_INTERVAL);
        }
        if now >= self.next_read || self.state.is_none() || self.failed_reads > 0 {
            if now < self.next_read {
                return Action::Wait(self.next_read);
            }
            self.in_progress = true;
            return Action::ReadState;
        }
        let Some(order) = self.next_order(readiness) else {
            self.pending = None;
            return Action::Wait(self.next_read);
        };
        let unchanged = self.pending.take().filter(|one| one.order == order);
        let pending = unchanged.unwrap_or(Pending {
            order: order.clone(),
            since: now,
        });
        let since = pending.since;
        self.pending = Some(pending);
        let serving = order.needs_drain() && !self.is_empty();
        let draining = now < since + DRAIN_MIN || (running > 0 && now < since + DRAIN_LIMIT);
        if serving && draining {
            return Action::Drain;
        }
        self.in_progress = true;
        self.fence += 1;
        Action::Send {
            fence: self.fence,
            order,
        }
    }

    /// Records the engine's state, none if it could not be read. After a first
    /// failed read the last state stays in force, but no order is sent by it.
    pub fn record_state(&mut self, now: Duration, state: Option<State>) {
        self.in_progress = false;
        match state {
            Some(state) => {
                self.fence = self.fence.max(state.fence);
                self.failures = 0;
                self.failed_reads = 0;
                self.next_read = now + READ_INTERVAL;
                self.state = Some(state);
            }
            None => {
                self.failed_reads += 1;
                if self.failed_reads >= FAILED_READS_MAX {
                    self.state = None;
                }
                self.schedule_retry(now);
            }
        }
    }

    /// Records how the order in progress ended.
    pub fn record_outcome(&mut self, now: Duration, outcome: Outcome) {
        self.in_progress = false;
        self.pending = None;
        match outcome {
            Outcome::Done(state) => {
                self.fence = self.fence.max(state.fence);
                self.failures = 0;
                self.failed_reads = 0;
                self.next_read = now + READ_INTERVAL;
                self.state = Some(state);
            }
            Outcome::Fenced { fence } => {
                self.fence = self.fence.max(fence);
                self.state = None;
                self.next_read = now;
            }
            // The order may have been carried out, or may be later.
            Outcome::Unknown => {
                self.state = None;
                self.schedule_retry(now);
            }
        }
    }

    /// Whether the engine is known to hold nothing.
    fn is_empty(&self) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|state| state.models.is_empty())
    }

    fn schedule_retry(&mut self, now: Duration) {
        self.next_read = now + RETRY_MIN * 2_u32.pow(self.failures.min(RETRY_DOUBLINGS_MAX));
        self.failures += 1;
    }

    fn next_order(&self, readiness: &dyn Fn(&Target) -> Readiness) -> Option<Order> {
        let state = self.state.as_ref().filter(|state| !state.loading)?;
        let role = self.role.filter(|role| state.role != Some(*role));
        if let Some(role) = role {
            return Some(Order::Role(role));
        }
        for target in &self.targets {
            let Readiness {
                weights_digest,
                may_reload,
            } = readiness(target);
            let holds = state
                .models
                .iter()
                .any(|one| matches(one, target, weights_digest));
            let base_missing = match &target.kind {
                Kind::Model => false,
                Kind::Adapter { of } => !state.models.iter().any(|one| one.model == *of),
            };
            // An engine without the model answers no calls for it: it need not
            // wait for others.
            let may_load = may_reload || !state.models.iter().any(|one| one.model == target.name);
            if !holds && !base_missing && weights_digest.is_some() && may_load {
                return Some(Order::Load(target.clone()));
            }
        }
        let wanted = |one: &Loaded| self.targets.iter().any(|t| t.name == one.model);
        let extra = state.models.iter().find(|one| !wanted(one));
        extra
            .filter(|_| !self.targets.is_empty())
            .map(|one| Order::Unload {
                model: one.model.clone(),
                version: one.version.clone(),
            })
    }
}

/// Whether the engine holds the target. The digest of the weights is compared
/// if it is known here.
fn matches(loaded: &Loaded, target: &Target, weights_digest: Option<Digest>) -> bool {
    let same = loaded.model == target.name && loaded.version == target.version;
    let manifest = loaded.manifest.parse() == Ok(target.manifest);
    let same_weights = weights_digest
        .is_none_or(|weights_digest| loaded.given_digest.parse() == Ok(weights_digest));
    same && manifest && same_weights
}
