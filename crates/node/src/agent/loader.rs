//! Brings the engine to the newest version of its weights.
//!
//! Staged pieces may turn bad at any time, and an order loads what is staged at
//! the moment it is accepted. So all pieces are put in place just before the
//! order; if the order is held up, they are read back and put in place again
//! where they are not right.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use platform::engine::Outcome;
use platform::engine::Report;
use snipewinch::weights::rollout;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Agent;
use super::chunks::Chunks;
use super::chunks::KnownVersion;
use super::slot_pool;
use crate::clock::Clock;

/// How often to look whether the engine is empty or has loaded.
const LOOK: Duration = Duration::from_millis(40);
/// How long to wait for news while there is nothing to do.
const IDLE: Duration = Duration::from_millis(500);
/// How long granted requests may take to reach the engine before it stops
/// accepting.
const ARRIVAL: Duration = Duration::from_millis(40);
/// How long pieces count as right that were put in place or read back: the
/// platform's pages bound it at 3 s.
const CHECK_AGE_MAX: Duration = Duration::from_millis(1_800);
/// How long an engine may take to load before the order is looked at again.
const LOAD_LIMIT: Duration = Duration::from_secs(20);
/// How long before the bound on old weights the last engine is taken out.
const TURN_MARGIN: Duration = Duration::from_millis(1_300);
/// How long an engine that is taken out may finish what it runs. What it still
/// runs then goes on at other engines, which costs those a prompt each; waiting
/// for the longest answers would leave it nearly empty for seconds.
const DRAIN_MAX: Duration = Duration::from_millis(900);

/// A moment by both clocks: the steady one does not count the time for which a
/// host stands still, the other may jump.
#[derive(Clone, Copy, Debug)]
struct Moment {
    steady: Duration,
    wall: SystemTime,
}

impl Moment {
    fn now(clock: &Clock) -> Moment {
        Moment {
            steady: clock.now(),
            wall: SystemTime::now(),
        }
    }

    /// How long ago it was, by the clock that says more.
    fn age(&self, clock: &Clock) -> Duration {
        let steady = clock.now().saturating_sub(self.steady);
        let wall = self.wall.elapsed().unwrap_or(Duration::MAX);
        steady.max(wall)
    }
}

/// Runs until the process ends.
pub(super) async fn run(agent: Rc<Agent>, chunks: Chunks) {
    let mut loader = Loader {
        agent,
        chunks,
        scanned: None,
        whole: Cell::default(),
        told: None,
    };
    loop {
        loader.step().await;
        let news = loader.agent.changed.notified();
        let _ = timeout(IDLE.min(loader.pause()), news).await;
    }
}

struct Loader {
    agent: Rc<Agent>,
    chunks: Chunks,
    /// The version for which the staged pieces were looked through, and the
    /// engine's start.
    scanned: Option<(u64, u64)>,
    /// The newest version of which all pieces are here, and since when.
    whole: Cell<(u64, Duration)>,
    /// What the exchange was told of the engine.
    told: Option<(u64, bool)>,
}

impl Loader {
    /// Goes as far as it can now.
    async fn step(&mut self) {
        let (Some(newest), Some(report)) = (self.chunks.newest(), self.agent.slot_pool.report())
        else {
            return;
        };
        let version = newest.target.version;
        if self.scanned != Some((version, report.born_ms)) {
            self.scanned = Some((version, report.born_ms));
            self.find(&newest).await;
        }
        let Some((known, all)) = self.chunks.whole() else {
            return;
        };
        let version = known.target.version;
        let holds = slot_pool::loaded_version(&report) >= version;
        if self.told != Some((version, holds)) {
            self.told = Some((version, holds));
            self.chunks.loaded(known.digest, holds);
        }
        if holds || report.busy || self.agent.clock.now() < self.turn(&known, &report) {
            return;
        }
        self.load(&known, &all, &report).await;
    }

    /// How long there is nothing to do unless there is news.
    fn pause(&self) -> Duration {
        match (self.chunks.whole(), self.agent.slot_pool.report()) {
            (Some((known, _)), Some(report))
                if slot_pool::loaded_version(&report) < known.target.version =>
            {
                let turn = self.turn(&known, &report);
                turn.saturating_sub(self.agent.clock.now()).max(LOOK)
            }
            _ => IDLE,
        }
    }

    /// Hands pieces that are staged already to the exchange.
    async fn find(&self, known: &KnownVersion) {
        for (piece, digest) in known.manifest.chunks.iter().enumerate() {
            let piece = piece as u32;
            match self.agent.engine.staged(&known.target.model, piece).await {
                Ok(Some(bytes)) if known.manifest.hash.digest(&bytes) == *digest => {
                    self.chunks.keep(&known.digest, piece, bytes);
                }
                // Of another version, spoilt, or the stage is empty.
                Ok(Some(_)) | Ok(None) if piece == 0 => return,
                Ok(_) => {}
                Err(error) => {
                    log::warn!("E7230 staged pieces were not read: {error}");
                    return;
                }
            }
        }
    }

    /// When this engine may be taken out: at once if it serves nothing, else
    /// in its turn.
    fn turn(&self, known: &KnownVersion, report: &Report) -> Duration {
        if slot_pool::loaded_version(report) == 0 {
            return Duration::ZERO;
        }
        let agent = &self.agent;
        let view = agent.view.borrow().clone();
        let last = known.target.learned_at + agent.bounds.get().version.saturating_sub(TURN_MARGIN);
        let since = self.whole_since(known.target.version);
        let window = last.saturating_sub(since);
        since + rollout::reload_delay(&view, &agent.host(), &agent.service, &known.digest, window)
    }

    /// When all pieces of a version were here first.
    fn whole_since(&self, version: u64) -> Duration {
        let now = self.agent.clock.now();
        let (seen, since) = self.whole.get();
        match seen == version {
            true => since,
            false => {
                self.whole.set((version, now));
                now
            }
        }
    }

    async fn load(&self, known: &KnownVersion, all: &[Bytes], report: &Report) {
        let version = known.target.version;
        let staged = Moment::now(&self.agent.clock);
        if !self.stage(known, all).await {
            return;
        }
        self.agent.slot_pool.set_closed(true);
        let serves = slot_pool::loaded_version(report) > 0;
        if serves {
            sleep(ARRIVAL).await;
            self.drain().await;
        }
        let ordered = self.order(known, all, report, staged).await;
        if ordered {
            self.wait(version).await;
        }
        self.agent.slot_pool.set_closed(false);
    }

    /// Waits until the engine runs nothing, or for as long as that pays.
    async fn drain(&self) {
        let started = self.agent.clock.now();
        while self.agent.clock.now() - started < DRAIN_MAX {
            let report = self.agent.slot_pool.report();
            if report.is_none_or(|one| one.running + one.waiting == 0) {
                return;
            }
            sleep(LOOK).await;
        }
    }

    /// Puts every piece in place.
    async fn stage(&self, known: &KnownVersion, all: &[Bytes]) -> bool {
        for (piece, bytes) in all.iter().enumerate() {
            let put = self
                .agent
                .engine
                .stage(&known.target.model, piece as u32, bytes.clone());
            if let Err(error) = put.await {
                log::warn!("E7231 piece {piece} was not staged: {error}");
                return false;
            }
        }
        true
    }

    /// Reads back what is staged and mends it; false if that can't be done.
    async fn check(&self, known: &KnownVersion, all: &[Bytes]) -> bool {
        let engine = &self.agent.engine;
        let model = &known.target.model;
        for (piece, bytes) in all.iter().enumerate() {
            let piece = piece as u32;
            let mended = match engine.staged(model, piece).await {
                Ok(Some(staged)) if staged == *bytes => continue,
                Ok(_) => engine.stage(model, piece, bytes.clone()).await,
                Err(error) => Err(error),
            };
            match mended {
                Ok(()) => log::warn!("E7232 staged piece {piece} had turned bad"),
                Err(error) => {
                    log::warn!("E7230 staged piece {piece} was not checked: {error}");
                    return false;
                }
            }
        }
        true
    }

    /// Orders the engine to load; true if it may have accepted.
    async fn order(
        &self,
        known: &KnownVersion,
        all: &[Bytes],
        report: &Report,
        staged: Moment,
    ) -> bool {
        let mut right = staged;
        while right.age(&self.agent.clock) > CHECK_AGE_MAX {
            right = Moment::now(&self.agent.clock);
            if !self.check(known, all).await {
                return false;
            }
        }
        let version = known.target.version;
        let model = &known.target.model;
        match self
            .agent
            .engine
            .load(model, version, report.orders, true)
            .await
        {
            Ok(Outcome::Begun | Outcome::Done) => {
                log::info!("E7233 the engine loads version {version}");
                true
            }
            Ok(Outcome::Conflict) => {
                log::info!("E7234 the engine's state has changed; the order is given anew");
                false
            }
            // The next report tells whether it was accepted.
            Err(error) => {
                log::warn!("E7235 the order to load version {version}: {error}");
                true
            }
        }
    }

    /// Waits until the engine holds a version, or does nothing about it.
    async fn wait(&self, version: u64) {
        let started = self.agent.clock.now();
        loop {
            sleep(LOOK).await;
            let report = match self.agent.engine.report().await {
                Ok(report) => report,
                Err(error) => {
                    log::info!("E7236 the engine does not answer while it loads: {error}");
                    return;
                }
            };
            let slots = self.agent.engine_spec().map_or(0, |spec| spec.slots);
            let done = slot_pool::loaded_version(&report) >= version || !report.busy;
            self.agent
                .slot_pool
                .apply_report(self.agent.clock.now(), Some(report), slots);
            if done || self.agent.clock.now() - started > LOAD_LIMIT {
                return;
            }
        }
    }
}
