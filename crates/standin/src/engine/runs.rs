//! What really ran: the ground truth that benches judge by.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::watch;

/// How a request stands at an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Waits or generates.
    Running,
    /// Was generated whole.
    Finished,
    /// Was stopped before its end.
    Cancelled,
    /// Never heard of.
    Unknown,
}

/// How often one request ran.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
    /// Times it took a slot and began to generate.
    pub started: u32,
    /// How it stands.
    pub state: State,
    /// Index of the engine that had it last.
    pub engine: usize,
}

/// What was served with one set of weights.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServedVersion {
    /// The model asked for.
    pub model: SmolStr,
    /// The version in force at the engine.
    pub version: SmolStr,
    /// The manifest that the order named.
    pub manifest: SmolStr,
    /// Digest of all bytes that the engine was given.
    pub given_digest: SmolStr,
    /// Calls that began to run on them.
    pub calls: u64,
}

#[derive(Debug)]
struct Entry {
    run: Run,
    stop: watch::Sender<bool>,
}

/// All runs of a group of engines.
#[derive(Debug, Default)]
pub(super) struct Runs {
    requests: Mutex<HashMap<SmolStr, Entry>>,
    effects: Mutex<HashMap<SmolStr, u32>>,
    served: Mutex<BTreeMap<(SmolStr, SmolStr, SmolStr, SmolStr), u64>>,
}

/// One request at work; cancelled if dropped before its end.
#[derive(Debug)]
pub(super) struct Guard {
    runs: Arc<Runs>,
    id: SmolStr,
    pub(super) stop: watch::Receiver<bool>,
    finished: bool,
}

impl Runs {
    /// Notes that a request has arrived.
    pub(super) fn arrive(self: &Arc<Runs>, id: SmolStr, engine: usize) -> Guard {
        let mut requests = self.requests.lock();
        let entry = requests.entry(id.clone()).or_insert_with(|| Entry {
            run: Run {
                started: 0,
                state: State::Running,
                engine,
            },
            stop: watch::Sender::new(false),
        });
        entry.run.state = State::Running;
        entry.run.engine = engine;
        // A second attempt under the same name is stopped on its own.
        entry.stop = watch::Sender::new(false);
        Guard {
            runs: self.clone(),
            id,
            stop: entry.stop.subscribe(),
            finished: false,
        }
    }

    /// Stops a request.
    pub(super) fn cancel(&self, id: &str) -> State {
        let mut requests = self.requests.lock();
        let Some(entry) = requests.get_mut(id) else {
            return State::Unknown;
        };
        if entry.run.state == State::Running {
            entry.run.state = State::Cancelled;
            entry.stop.send_replace(true);
        }
        entry.run.state
    }

    /// Stops all requests of one engine.
    pub(super) fn cut(&self, engine: usize) {
        for entry in self.requests.lock().values_mut() {
            if entry.run.engine == engine && entry.run.state == State::Running {
                entry.run.state = State::Cancelled;
                entry.stop.send_replace(true);
            }
        }
    }

    /// Notes with which weights a call runs.
    pub(super) fn serve(&self, served: ServedVersion) {
        let key = (
            served.model,
            served.version,
            served.manifest,
            served.given_digest,
        );
        *self.served.lock().entry(key).or_default() += 1;
    }

    pub(super) fn by_request(&self) -> BTreeMap<SmolStr, Run> {
        let requests = self.requests.lock();
        requests
            .iter()
            .map(|(id, entry)| (id.clone(), entry.run.clone()))
            .collect()
    }

    pub(super) fn by_effect(&self) -> BTreeMap<SmolStr, u32> {
        let effects = self.effects.lock();
        effects.iter().map(|(k, n)| (k.clone(), *n)).collect()
    }

    pub(super) fn served(&self) -> Vec<ServedVersion> {
        let served = self.served.lock();
        served
            .iter()
            .map(
                |((model, version, manifest, given_digest), calls)| ServedVersion {
                    model: model.clone(),
                    version: version.clone(),
                    manifest: manifest.clone(),
                    given_digest: given_digest.clone(),
                    calls: *calls,
                },
            )
            .collect()
    }
}

impl Guard {
    /// Notes that the request begins to generate.
    pub(super) fn start(&self, effect: Option<SmolStr>) {
        if let Some(entry) = self.runs.requests.lock().get_mut(&self.id) {
            entry.run.started += 1;
        }
        if let Some(effect) = effect {
            *self.runs.effects.lock().entry(effect).or_default() += 1;
        }
    }

    /// Notes that the request has been generated whole.
    pub(super) fn finish(&mut self) {
        self.settle(State::Finished);
    }

    fn settle(&mut self, state: State) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        match self.runs.requests.lock().get_mut(&self.id) {
            Some(entry) if entry.run.state == State::Running => entry.run.state = state,
            _ => {}
        }
    }

    /// Whether the request was stopped.
    pub(super) fn stopped(&self) -> bool {
        *self.stop.borrow()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.settle(State::Cancelled);
    }
}
