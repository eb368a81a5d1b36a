//! Engines whose layers may be of several versions: they get no requests until their
//! chunks were read back, or a version was loaded again.

use bytes::Bytes;
use platform::engine::Report;
use tokio::time::sleep;

use super::IDLE_INTERVAL;
use super::Loader;
use super::Timestamp;
use super::order::Revision;
use crate::agent::chunks::KnownVersion;
use crate::agent::slot_pool;

/// Why the layers of an engine may be of several versions.
#[derive(Clone, Debug)]
pub(super) enum Doubt {
    /// Chunks were staged while an order for another version may have been
    /// accepted.
    Overwritten {
        /// When the engine started.
        started_ms: u64,
    },
    /// The engine has loaded a version, and its chunks were not read back since.
    Unchecked {
        /// When the engine started.
        started_ms: u64,
        known: KnownVersion,
        all: Vec<Bytes>,
    },
}

impl Doubt {
    pub(super) fn unchecked(started_ms: u64, known: KnownVersion, all: Vec<Bytes>) -> Doubt {
        Doubt::Unchecked {
            started_ms,
            known,
            all,
        }
    }

    /// A doubt ends with the process of the engine, which loses its layers.
    fn started_ms(&self) -> u64 {
        match self {
            Doubt::Overwritten { started_ms } | Doubt::Unchecked { started_ms, .. } => *started_ms,
        }
    }
}

impl Loader {
    /// Removes the doubt about the layers of the engine if that is possible now;
    /// false if nothing may be staged or loaded before that.
    pub(super) async fn settle_doubt(&mut self, report: &Report) -> bool {
        let Some(doubt) = self.doubt.take() else {
            return true;
        };
        let started_ms = report.started_ms;
        let (is_ready, doubt) = match doubt {
            doubt if doubt.started_ms() != started_ms => (true, None),
            doubt if report.busy => (false, Some(doubt)),
            Doubt::Unchecked { known, all, .. }
                if slot_pool::loaded_version(report) == known.target.version =>
            {
                match self.read_back(&known, &all).await {
                    Some(differing) if differing.is_empty() => (true, None),
                    Some(differing) => {
                        self.shed_layers(&known, &all, &differing, report).await;
                        (false, Some(Doubt::Overwritten { started_ms }))
                    }
                    None => (false, Some(Doubt::unchecked(started_ms, known, all))),
                }
            }
            // The engine has accepted another order, or given up this one: the
            // version has to be loaded.
            Doubt::Unchecked { .. } | Doubt::Overwritten { .. } => {
                (true, Some(Doubt::Overwritten { started_ms }))
            }
        };
        self.set_doubt(doubt);
        is_ready
    }

    /// Sets why the engine gets no requests, or that it may get some.
    pub(super) fn set_doubt(&mut self, doubt: Option<Doubt>) {
        self.doubt = doubt;
        self.agent.slot_pool.set_closed(self.doubt.is_some());
    }

    /// Reads the staged chunks back. Returns which of them differ from those that were
    /// staged, or `None` if that is not known.
    pub(super) async fn read_back(
        &self,
        known: &KnownVersion,
        all: &[Bytes],
    ) -> Option<Vec<usize>> {
        let mut differing = Vec::new();
        for (chunk, bytes) in all.iter().enumerate() {
            let staged = self
                .agent
                .engine
                .read_staged(&known.target.model, chunk as u32);
            match staged.await {
                Ok(Some(staged)) if staged == *bytes => {}
                Ok(_) => differing.push(chunk),
                Err(error) => {
                    log::warn!("E7230 verifying staged chunk {chunk} failed: {error}");
                    return None;
                }
            }
        }
        Some(differing)
    }

    /// Has the engine give up all layers but one, so that it takes them again when it
    /// is ordered to load all: chunks that differ may have been replaced before it
    /// accepted the order, by a request that had no answer.
    async fn shed_layers(
        &self,
        known: &KnownVersion,
        all: &[Bytes],
        differing: &[usize],
        report: &Report,
    ) {
        let version = known.target.version;
        let Some(kept) = intact_layer(report, all.len(), differing) else {
            log::error!(
                "E7243 chunks {differing:?} of version {version} may have been replaced before the engine loaded them; it gets no requests until it is restarted"
            );
            sleep(IDLE_INTERVAL).await;
            return;
        };
        log::warn!(
            "E7244 chunks {differing:?} of version {version} may have been replaced before the engine loaded them; it loads all layers again"
        );
        let expected = Revision::of(report);
        let now = Timestamp::now(&self.agent.clock);
        let layers = Some(kept..kept + 1);
        match self.order_load(known, all, layers, expected, now).await {
            true => self.wait_until_loaded(version).await,
            false => sleep(IDLE_INTERVAL).await,
        }
    }
}

/// The last layer that is made of chunks of which none differs; `None` if there is
/// none after the first one, or the engine does not tell its layers.
fn intact_layer(report: &Report, chunks: usize, differing: &[usize]) -> Option<u32> {
    let held = report
        .model_states
        .iter()
        .find(|model| model.has_layers())?;
    let layers = report.layers_of(held)?.until as usize;
    let is_intact = |layer: &usize| {
        let first = layer * chunks / layers;
        let until = ((layer + 1) * chunks).div_ceil(layers);
        differing
            .iter()
            .all(|chunk| !(first..until).contains(chunk))
    };
    (1..layers).rev().find(is_intact).map(|layer| layer as u32)
}
