//! What the engines of a group ran: the ground truth against which benches
//! check the programs under test.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::watch;

/// The state of a request at an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Waits for a slot or generates.
    Running,
    /// Generated to its end.
    Finished,
    /// Stopped before its end.
    Cancelled,
    /// Never received.
    Unknown,
}

/// The runs of one request ID.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Run {
    /// Times it got a slot and began to generate.
    pub started: u32,
    /// State of the latest attempt.
    pub state: State,
    /// Index of the engine that received it last.
    pub engine: usize,
}

/// The calls that one set of weights served.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServedVersion {
    /// Name of the model or adapter.
    pub model: SmolStr,
    /// The version that the engine had loaded.
    pub version: SmolStr,
    /// The manifest that the order named.
    pub manifest: SmolStr,
    /// BLAKE3 digest of all bytes that the engine received, in hexadecimal.
    pub given_digest: SmolStr,
    /// Calls that began to generate with these weights.
    pub calls: u64,
}

#[derive(Debug)]
struct Record {
    run: Run,
    cancel: watch::Sender<bool>,
}

/// All runs of a group of engines, by request ID, by effect and by weights.
#[derive(Debug, Default)]
pub(super) struct Runs {
    records: Mutex<HashMap<SmolStr, Record>>,
    starts_by_effect: Mutex<HashMap<SmolStr, u32>>,
    /// By model, version, manifest and digest of the weights.
    calls_by_weights: Mutex<BTreeMap<(SmolStr, SmolStr, SmolStr, SmolStr), u64>>,
}

/// A request being processed; marks it as cancelled if dropped before its end.
#[derive(Debug)]
pub(super) struct RunGuard {
    runs: Arc<Runs>,
    id: SmolStr,
    pub(super) cancelled: watch::Receiver<bool>,
    is_final: bool,
}

impl Runs {
    /// Records the arrival of a request.
    pub(super) fn register(self: &Arc<Runs>, id: SmolStr, engine: usize) -> RunGuard {
        let mut records = self.records.lock();
        let record = records.entry(id.clone()).or_insert_with(|| Record {
            run: Run {
                started: 0,
                state: State::Running,
                engine,
            },
            cancel: watch::Sender::new(false),
        });
        record.run.state = State::Running;
        record.run.engine = engine;
        // Each attempt under one request ID has a cancel signal of its own.
        record.cancel = watch::Sender::new(false);
        RunGuard {
            runs: self.clone(),
            id,
            cancelled: record.cancel.subscribe(),
            is_final: false,
        }
    }

    /// Cancels a request if it is running, and returns its state.
    pub(super) fn cancel(&self, id: &str) -> State {
        let mut records = self.records.lock();
        let Some(record) = records.get_mut(id) else {
            return State::Unknown;
        };
        if record.run.state == State::Running {
            record.run.state = State::Cancelled;
            record.cancel.send_replace(true);
        }
        record.run.state
    }

    /// Cancels all running requests of one engine.
    pub(super) fn cancel_all(&self, engine: usize) {
        for record in self.records.lock().values_mut() {
            if record.run.engine == engine && record.run.state == State::Running {
                record.run.state = State::Cancelled;
                record.cancel.send_replace(true);
            }
        }
    }

    /// Counts a call for the weights that it runs with.
    pub(super) fn count_served(&self, served: ServedVersion) {
        let key = (
            served.model,
            served.version,
            served.manifest,
            served.given_digest,
        );
        *self.calls_by_weights.lock().entry(key).or_default() += 1;
    }

    pub(super) fn by_request(&self) -> BTreeMap<SmolStr, Run> {
        let records = self.records.lock();
        records
            .iter()
            .map(|(id, record)| (id.clone(), record.run.clone()))
            .collect()
    }

    pub(super) fn starts_by_effect(&self) -> BTreeMap<SmolStr, u32> {
        let effects = self.starts_by_effect.lock();
        effects.iter().map(|(k, n)| (k.clone(), *n)).collect()
    }

    pub(super) fn served(&self) -> Vec<ServedVersion> {
        let served = self.calls_by_weights.lock();
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

impl RunGuard {
    /// Counts that the request, and its effect if it names one, begins to
    /// generate.
    pub(super) fn count_start(&self, effect: Option<SmolStr>) {
        if let Some(record) = self.runs.records.lock().get_mut(&self.id) {
            record.run.started += 1;
        }
        if let Some(effect) = effect {
            *self.runs.starts_by_effect.lock().entry(effect).or_default() += 1;
        }
    }

    /// Marks the request as generated to its end.
    pub(super) fn finish(&mut self) {
        self.set_final_state(State::Finished);
    }

    fn set_final_state(&mut self, state: State) {
        if std::mem::replace(&mut self.is_final, true) {
            return;
        }
        match self.runs.records.lock().get_mut(&self.id) {
            Some(record) if record.run.state == State::Running => record.run.state = state,
            _ => {}
        }
    }

    /// Whether the request was cancelled.
    pub(super) fn is_cancelled(&self) -> bool {
        *self.cancelled.borrow()
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.set_final_state(State::Cancelled);
    }
}
