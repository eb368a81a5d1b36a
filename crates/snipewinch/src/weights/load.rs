//! When the engine is told to load what is whole.
//!
//! The agent is the only giver of orders on its host and gives one at a time.
//! It reads the engine's state before the first order and after every lost or
//! failed one, and takes as loaded only what the state says. Fencing numbers
//! grow with each order and each start of the agent, so that an engine that
//! checks them refuses an order of an earlier start; one that ignores them is
//! read again and again, and put right if such an order came through late.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Digest;
use crate::wire::Confirmed;

/// How often the engine's state is read when nothing is under way.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// The first pause after a failed order or read.
const RETRY_MIN: Duration = Duration::from_millis(200);
/// How often the pause doubles.
const RETRY_DOUBLINGS: u32 = 5;
/// How long to wait, once no more calls are admitted, even if none run.
const DRAIN_MIN: Duration = Duration::from_millis(50);
/// How long calls may finish before the engine reloads.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// What kind of weights a target is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A model.
    Model,
    /// An adapter of the named model.
    Adapter {
        /// The model.
        of: SmolStr,
    },
}

/// What the engine must hold.
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

/// What an engine says it holds.
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
    /// Models and adapters.
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
    /// The digest of all bytes it was given.
    pub given_digest: SmolStr,
}

/// What part of a request an engine works on.
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

/// One order to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load a target that is whole here.
    Load(Target),
    /// Unload what is no longer wanted.
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
    /// Whether the engine may be cut off from calls that it runs.
    fn needs_drain(&self) -> bool {
        match self {
            Order::Load(target) => target.kind == Kind::Model,
            Order::Unload { .. } => true,
            Order::Role(_) => false,
        }
    }

    /// Whether calls for `model` can't be answered while it is carried out.
    fn interrupts(&self, model: &str) -> bool {
        match self {
            // An engine that swaps a model answers nothing meanwhile.
            Order::Load(target) => target.kind == Kind::Model || target.name == model,
            Order::Unload { model: leaving, .. } => leaving == model,
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
        /// That number.
        fence: u64,
    },
    /// The engine refused it, or its answer was lost.
    Unknown,
}

/// What is known of the targets from outside.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Readiness {
    /// Every chunk is here and checked; the digest of all of them.
    pub weights_digest: Option<Digest>,
    /// Enough other backend servers answer, so that this one may reload.
    pub may_reload: bool,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing until this time.
    Wait(Duration),
    /// Read the engine's state and answer by [`Loader::record_state`].
    ReadState,
    /// Admit no more calls and ask again once they have ended.
    Drain,
    /// Give this order and answer by [`Loader::record_outcome`].
    Send {
        /// Its fencing number.
        fence: u64,
        /// The order.
        order: Order,
    },
}

/// Decides on orders for one engine.
#[derive(Debug)]
pub struct Loader {
    fence: u64,
    targets: Vec<Target>,
    role: Option<Role>,
    state: Option<State>,
    read_at: Duration,
    busy: bool,
    failures: u32,
    draining: Option<Draining>,
}

/// An order that waits for calls to end, or is being carried out.
#[derive(Clone, Debug)]
struct Draining {
    order: Order,
    since: Duration,
}

impl Loader {
    /// A loader of a process whose start number is `incarnation`.
    pub fn new(incarnation: u64) -> Loader {
        Loader {
            fence: incarnation,
            targets: Vec::new(),
            role: None,
            state: None,
            read_at: Duration::ZERO,
            busy: false,
            failures: 0,
            draining: None,
        }
    }

    /// Changes what the engine must hold, and its role if that matters.
    pub fn set_targets(&mut self, targets: Vec<Target>, role: Option<Role>) {
        self.targets = targets;
        self.role = role;
    }

    /// The versions under which calls may be admitted: those that the engine
    /// has confirmed, was given whole and is not about to replace.
    pub fn confirmed(&self, ready: &dyn Fn(&Target) -> Readiness) -> Vec<Confirmed> {
        let Some(state) = self.state.as_ref().filter(|state| !state.loading) else {
            return Vec::new();
        };
        let leaving = self.draining.as_ref().map(|draining| &draining.order);
        state
            .models
            .iter()
            .filter(|loaded| !leaving.is_some_and(|order| order.interrupts(&loaded.model)))
            .filter(|loaded| !self.is_damaged(loaded, ready))
            .map(|loaded| Confirmed {
                model: loaded.model.clone(),
                version: loaded.version.clone(),
            })
            .collect()
    }

    /// Whether the engine was given something else under a target's name.
    fn is_damaged(&self, loaded: &Loaded, ready: &dyn Fn(&Target) -> Readiness) -> bool {
        let named = |one: &&Target| one.name == loaded.model && one.version == loaded.version;
        let target = self.targets.iter().find(named);
        target.is_some_and(|target| !matches(loaded, target, ready(target).weights_digest))
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

    /// Decides what to do now. `ready` answers for each target, `running` is
    /// the number of calls that the engine runs for this agent.
    pub fn next_action(
        &mut self,
        now: Duration,
        ready: &dyn Fn(&Target) -> Readiness,
        running: usize,
    ) -> Action {
        if self.busy {
            return Action::Wait(now + READ_INTERVAL);
        }
        if now >= self.read_at || self.state.is_none() {
            if now < self.read_at {
                return Action::Wait(self.read_at);
            }
            self.busy = true;
            return Action::ReadState;
        }
        let Some(order) = self.next_order(ready) else {
            self.draining = None;
            return Action::Wait(self.read_at);
        };
        let waiting = self.draining.take().filter(|one| one.order == order);
        let draining = waiting.unwrap_or(Draining {
            order: order.clone(),
            since: now,
        });
        let since = draining.since;
        self.draining = Some(draining);
        let serving = order.needs_drain() && !self.is_empty();
        // Calls admitted just before are counted a moment later.
        let draining = now < since + DRAIN_MIN || (running > 0 && now < since + DRAIN_LIMIT);
        if serving && draining {
            return Action::Drain;
        }
        self.busy = true;
        self.fence += 1;
        Action::Send {
            fence: self.fence,
            order,
        }
    }

    /// The engine's state was read, or could not be.
    pub fn record_state(&mut self, now: Duration, state: Option<State>) {
        self.busy = false;
        match state {
            Some(state) => {
                self.fence = self.fence.max(state.fence);
                self.failures = 0;
                self.read_at = now + READ_INTERVAL;
                self.state = Some(state);
            }
            None => self.fail(now),
        }
    }

    /// An order has ended.
    pub fn record_outcome(&mut self, now: Duration, outcome: Outcome) {
        self.busy = false;
        self.draining = None;
        match outcome {
            Outcome::Done(state) => {
                self.fence = self.fence.max(state.fence);
                self.failures = 0;
                self.read_at = now + READ_INTERVAL;
                self.state = Some(state);
            }
            Outcome::Fenced { fence } => {
                self.fence = self.fence.max(fence);
                self.state = None;
                self.read_at = now;
            }
            // It may have been carried out, or may be later.
            Outcome::Unknown => self.fail(now),
        }
    }

    /// Whether the engine is known to hold nothing.
    fn is_empty(&self) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|state| state.models.is_empty())
    }

    fn fail(&mut self, now: Duration) {
        self.state = None;
        self.read_at = now + RETRY_MIN * 2_u32.pow(self.failures.min(RETRY_DOUBLINGS));
        self.failures += 1;
    }

    fn next_order(&self, ready: &dyn Fn(&Target) -> Readiness) -> Option<Order> {
        let state = self.state.as_ref().filter(|state| !state.loading)?;
        let role = self.role.filter(|role| state.role != Some(*role));
        if let Some(role) = role {
            return Some(Order::Role(role));
        }
        for target in &self.targets {
            let Readiness {
                weights_digest,
                may_reload,
            } = ready(target);
            let holds = state
                .models
                .iter()
                .any(|one| matches(one, target, weights_digest));
            let base_missing = match &target.kind {
                Kind::Model => false,
                Kind::Adapter { of } => !state.models.iter().any(|one| one.model == *of),
            };
            // An engine that holds nothing answers nothing: it need not wait
            // for others.
            let free = may_reload || !state.models.iter().any(|one| one.model == target.name);
            if !holds && !base_missing && weights_digest.is_some() && free {
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

/// Whether what the engine holds is the target. What it was given is compared
/// as far as it is known here.
fn matches(loaded: &Loaded, target: &Target, weights_digest: Option<Digest>) -> bool {
    let same = loaded.model == target.name && loaded.version == target.version;
    let manifest = loaded.manifest.parse() == Ok(target.manifest);
    let given = weights_digest
        .is_none_or(|weights_digest| loaded.given_digest.parse() == Ok(weights_digest));
    same && manifest && given
}
