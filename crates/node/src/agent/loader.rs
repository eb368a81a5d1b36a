//! Loads the newest version of the weights into the engine.
//!
//! Chunks are staged as they arrive, so that an agent that restarts finds them.
//! Staged chunks may become corrupt at any time, and an order loads what is
//! staged when the engine accepts it. All chunks are therefore staged again just
//! before the order; if the order is delayed, they are read back and those that
//! are corrupt are staged again.
//!
//! A chunk that was given up may be staged later, and so may one of an agent that
//! has ended, over a chunk of another version. The chunks are therefore read back
//! once the engine has accepted an order, and it gets no requests before that.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use platform::engine;
use platform::engine::Report;
use snipewinch::weights::rollout;
use snipewinch::weights::rollout::Progress;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Agent;
use super::chunks::Chunks;
use super::chunks::KnownVersion;
use super::slot_pool;
use super::timeline::Phase;
use crate::clock::Clock;

mod doubt;
mod order;

use doubt::Doubt;
use order::Inherited;
use order::Revision;

/// How often to check whether the engine has drained or loaded.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The longest wait for a change while there is nothing to do.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// The time for requests that were granted a slot to reach the engine once no
/// more slots are granted.
const ARRIVAL_TIME: Duration = Duration::from_millis(40);
/// How long chunks count as intact after they were staged or read back. The
/// platform's limit is 3 s.
const VERIFICATION_AGE_MAX: Duration = Duration::from_millis(1_800);
/// How long the loader waits for a load to finish before it decides again from
/// the state of the engine.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);
/// How long before the limit for the use of old weights the last engine of the
/// service starts to reload.
const RELOAD_MARGIN: Duration = Duration::from_millis(1_300);
/// For how many versions it is kept since when they are here.
const MILESTONES_MAX: usize = 4;
/// How long an engine may finish its requests before it reloads. Requests that
/// still run then continue at other engines, which each have to process the
/// prompt again; waiting for the longest answers would leave this engine nearly
/// idle for seconds.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(900);

/// A point in time by the monotonic clock, which does not count the time for
/// which a host is suspended, and by the wall clock, which may jump.
#[derive(Clone, Copy, Debug)]
struct Timestamp {
    monotonic: Duration,
    wall: SystemTime,
}

impl Timestamp {
    fn now(clock: &Clock) -> Timestamp {
        Timestamp {
            monotonic: clock.now(),
            wall: SystemTime::now(),
        }
    }

    /// The time since then: the longer one of the two clocks. The wall clock says
    /// nothing once it was set back.
    fn age(&self, clock: &Clock) -> Duration {
        let monotonic = clock.now().saturating_sub(self.monotonic);
        let wall = self.wall.elapsed().unwrap_or_default();
        monotonic.max(wall)
    }

    /// The longest time since then; without limit if the wall clock was set back.
    fn age_max(&self, clock: &Clock) -> Duration {
        match self.wall.elapsed() {
            Ok(_) => self.age(clock),
            Err(_) => Duration::MAX,
        }
    }
}

/// Since when something is the case for the newest versions.
#[derive(Debug, Default)]
struct Milestones {
    reached: RefCell<BTreeMap<u64, Timestamp>>,
}

impl Milestones {
    /// When this was first asked for the version.
    fn since(&self, version: u64, clock: &Clock) -> Timestamp {
        let mut reached = self.reached.borrow_mut();
        let since = *reached
            .entry(version)
            .or_insert_with(|| Timestamp::now(clock));
        if reached.len() > MILESTONES_MAX {
            reached.pop_first();
        }
        since
    }
}

/// The chunks of one version that are staged at one start of the engine.
#[derive(Debug, Default)]
struct Staged {
    version: u64,
    started_ms: u64,
    chunks: BTreeSet<u32>,
}

impl Staged {
    /// None of the chunks of a version.
    fn of(version: u64, started_ms: u64) -> Staged {
        Staged {
            version,
            started_ms,
            chunks: BTreeSet::new(),
        }
    }

    /// Whether both are of the same version and start of the engine.
    fn is_same(&self, other: &Staged) -> bool {
        (self.version, self.started_ms) == (other.version, other.started_ms)
    }
}

/// Runs the loader until the process ends.
pub(super) async fn run(agent: Rc<Agent>, chunks: Chunks) {
    let mut loader = Loader {
        agent,
        chunks,
        scanned: None,
        staged: Staged::default(),
        seen: Milestones::default(),
        completed: Milestones::default(),
        reported: None,
        inherited: Inherited::Unknown,
        doubt: None,
    };
    loop {
        loader.step().await;
        let changed = loader.agent.changed.notified();
        let _ = timeout(IDLE_INTERVAL.min(loader.idle_time()), changed).await;
    }
}

/// The state of the loader.
struct Loader {
    agent: Rc<Agent>,
    chunks: Chunks,
    /// The version for which the staged chunks were scanned, and when the
    /// engine started, in milliseconds of the time of day.
    scanned: Option<(u64, u64)>,
    /// The chunks that were staged as they arrived.
    staged: Staged,
    /// The versions whose manifests are here.
    seen: Milestones,
    /// The versions of which all chunks are here.
    completed: Milestones,
    /// What was last reported to the exchange: a version, and whether the
    /// engine has loaded it.
    reported: Option<(u64, bool)>,
    inherited: Inherited,
    /// Why the engine gets no requests; none if it may get some.
    doubt: Option<Doubt>,
}

impl Loader {
    /// Takes all steps that are possible now.
    async fn step(&mut self) {
        let (Some(newest), Some(report)) = (self.chunks.newest(), self.agent.slot_pool.report())
        else {
            return;
        };
        if !self.settle_doubt(&report).await {
            return;
        }
        let version = newest.target.version;
        self.seen.since(version, &self.agent.clock);
        let scan = Some((version, report.started_ms));
        if self.scanned != scan
            && let Some(found) = self.scan_staged(&newest).await
        {
            self.scanned = scan;
            self.inherit(&newest, &report, found);
        }
        let conflicts = self.inherited.conflicts(&report, version);
        if slot_pool::loaded_version(&report) < version && !report.busy && !conflicts {
            self.stage_early(&newest, &report).await;
        }
        let Some((known, all)) = self.chunks.newest_complete() else {
            return;
        };
        let version = known.target.version;
        let is_loaded = slot_pool::loaded_version(&report) >= version;
        if self.reported != Some((version, is_loaded)) {
            self.reported = Some((version, is_loaded));
            self.chunks.set_loaded(known.digest, is_loaded);
        }
        if is_loaded && self.doubt.is_some() {
            // Only an order for this version loads it, and none is sent while chunks of
            // others are staged.
            let doubt = Doubt::unchecked(report.started_ms, known, all);
            self.set_doubt(Some(doubt));
            return;
        }
        if is_loaded || report.busy {
            return;
        }
        if self.reload_wait(&known, &report).is_zero() {
            self.staged = Staged::default();
            self.load(&known, &all, &report).await;
        }
    }

    /// Decides from the chunks of a version that were found staged whether an order
    /// of an earlier process of the agent may be left: it orders a version only once
    /// all chunks of it are staged, and stages no other until the order is settled.
    fn inherit(&mut self, known: &KnownVersion, report: &Report, found: usize) {
        if self.inherited != Inherited::Unknown {
            return;
        }
        let version = known.target.version;
        let all = known.manifest.chunks.len();
        let is_loaded = slot_pool::loaded_version(report) == version;
        let possible = |version| Inherited::Possible {
            revision: Revision::of(report),
            version,
        };
        self.inherited = match found {
            0 => possible(0),
            _ if found < all || is_loaded => Inherited::Excluded,
            _ => possible(version),
        };
    }

    /// How long there is nothing to do unless something changes.
    fn idle_time(&self) -> Duration {
        if self.doubt.is_some() {
            return POLL_INTERVAL;
        }
        match (self.chunks.newest_complete(), self.agent.slot_pool.report()) {
            (Some((known, _)), Some(report))
                if slot_pool::loaded_version(&report) < known.target.version =>
            {
                self.reload_wait(&known, &report).max(POLL_INTERVAL)
            }
            _ => IDLE_INTERVAL,
        }
    }

    /// Passes chunks that are already staged to the exchange. Returns how many there
    /// are, or `None` if the engine did not answer.
    async fn scan_staged(&self, known: &KnownVersion) -> Option<usize> {
        let mut found = 0;
        for (chunk, digest) in known.manifest.chunks.iter().enumerate() {
            let chunk = chunk as u32;
            match self
                .agent
                .engine
                .read_staged(&known.target.model, chunk)
                .await
            {
                Ok(Some(bytes)) if known.manifest.hash.digest(&bytes) == *digest => {
                    found += 1;
                    self.chunks.add_local(&known.digest, chunk, bytes);
                }
                // The first chunk is missing, corrupt or of another version:
                // the others are not read, except after a start, as a version
                // may have been staged in part by then.
                Ok(Some(_)) | Ok(None) if chunk == 0 && self.scanned.is_some() => return Some(0),
                Ok(_) => {}
                Err(error) => {
                    log::warn!("E7230 reading staged chunks failed: {error}");
                    let is_silent = matches!(error, engine::Error::NoResponse { .. });
                    return (!is_silent).then_some(found);
                }
            }
        }
        if found > 0 {
            log::info!(
                "E7239 found {found} of {} chunks of version {} staged at backend server {}",
                known.manifest.chunks.len(),
                known.target.version,
                self.agent.server_id()
            );
        }
        Some(found)
    }

    /// Stages those chunks of a version that have arrived, once: an agent that
    /// restarts finds them there.
    async fn stage_early(&mut self, known: &KnownVersion, report: &Report) {
        let staged = Staged::of(known.target.version, report.started_ms);
        if !self.staged.is_same(&staged) {
            self.staged = staged;
        }
        for chunk in 0..known.manifest.chunks.len() as u32 {
            if self.staged.chunks.contains(&chunk) {
                continue;
            }
            let Some(bytes) = self.chunks.chunk(&known.digest, chunk) else {
                continue;
            };
            match self.stage_chunk(known, chunk, bytes).await {
                true => drop(self.staged.chunks.insert(chunk)),
                false => return,
            }
        }
    }

    /// How long this engine has to wait for its turn in the rollout; it does not
    /// if it serves no version.
    fn reload_wait(&self, known: &KnownVersion, report: &Report) -> Duration {
        if slot_pool::loaded_version(report) == 0 || self.doubt.is_some() {
            return Duration::ZERO;
        }
        let agent = &self.agent;
        let view = agent.view.borrow().clone();
        let progress = self.progress(known);
        let bound = agent.bounds.get().version_skew;
        let begin_by = agent.begin_by(slot_pool::loaded_version(report));
        let left = begin_by.map_or(bound, |by| by.saturating_sub(agent.clock.now()));
        let window = progress.window_within(
            bound.saturating_sub(RELOAD_MARGIN),
            left.saturating_sub(RELOAD_MARGIN),
        );
        rollout::reload_delay(&view, &agent.host(), &agent.service, &known.digest, window)
            .saturating_sub(progress.complete)
    }

    /// How far a version has come whose chunks are all here.
    fn progress(&self, known: &KnownVersion) -> Progress {
        let clock = &self.agent.clock;
        let version = known.target.version;
        let seen = self.seen.since(version, clock);
        let age = |published| {
            let before = seen.monotonic.saturating_sub(published);
            seen.age(clock).saturating_add(before)
        };
        Progress {
            published: self.agent.published_at(version).map(age),
            complete: self.completed.since(version, clock).age(clock),
            uptime: clock.uptime(),
        }
    }

    /// Stages a version, drains the engine and has it load the version.
    async fn load(&mut self, known: &KnownVersion, all: &[Bytes], report: &Report) {
        let version = known.target.version;
        let started_ms = report.started_ms;
        if self.inherited.conflicts(report, version) {
            self.set_doubt(Some(Doubt::Overwritten { started_ms }));
        }
        let staged_at = Timestamp::now(&self.agent.clock);
        self.agent.enter_phase(version, Phase::Staging);
        if !self.stage(known, all).await {
            return;
        }
        self.agent.slot_pool.set_closed(true);
        let serves = slot_pool::loaded_version(report) > 0;
        if serves {
            self.agent.enter_phase(version, Phase::Drain);
            sleep(ARRIVAL_TIME).await;
            self.drain().await;
        }
        self.agent.enter_phase(version, Phase::Order);
        let expected = Revision::of(report);
        let ordered = self.order_load(known, all, None, expected, staged_at);
        if ordered.await {
            self.doubt = Some(Doubt::unchecked(started_ms, known.clone(), all.to_vec()));
            self.agent.enter_phase(version, Phase::Load);
            let differing = self.read_back(known, all).await;
            self.wait_until_loaded(version).await;
            let report = self.agent.slot_pool.report();
            let is_loaded = report.is_some_and(|now| {
                now.started_ms == started_ms && slot_pool::loaded_version(&now) == version
            });
            if is_loaded && differing.is_some_and(|chunks| chunks.is_empty()) {
                self.doubt = None;
            }
        }
        self.agent.slot_pool.set_closed(self.doubt.is_some());
    }

    /// Waits until the engine answers that it has no requests, at most
    /// [`DRAIN_TIMEOUT`].
    async fn drain(&self) {
        let drained = async {
            while !self.is_drained().await {
                sleep(POLL_INTERVAL).await;
            }
        };
        let _ = timeout(DRAIN_TIMEOUT, drained).await;
    }

    /// Whether the engine answers that it has no requests. The last report may
    /// be older than the last request, and an engine that does not answer may
    /// still have some.
    async fn is_drained(&self) -> bool {
        let report = self.agent.engine.report().await;
        report.is_ok_and(|one| one.running + one.waiting == 0)
    }

    /// Stages every chunk; false if that failed.
    async fn stage(&self, known: &KnownVersion, all: &[Bytes]) -> bool {
        for (chunk, bytes) in all.iter().enumerate() {
            if !self.stage_chunk(known, chunk as u32, bytes.clone()).await {
                return false;
            }
        }
        true
    }

    /// Stages a chunk; false if that failed.
    async fn stage_chunk(&self, known: &KnownVersion, chunk: u32, bytes: Bytes) -> bool {
        let staged = self.agent.engine.stage(&known.target.model, chunk, bytes);
        match staged.await {
            Ok(()) => true,
            Err(error) => {
                log::warn!("E7231 staging chunk {chunk} failed: {error}");
                false
            }
        }
    }

    /// Reads the staged chunks back and stages those again that differ; false
    /// if that failed.
    async fn verify_staged(&self, known: &KnownVersion, all: &[Bytes]) -> bool {
        let engine = &self.agent.engine;
        let model = &known.target.model;
        for (chunk, bytes) in all.iter().enumerate() {
            let chunk = chunk as u32;
            let repaired = match engine.read_staged(model, chunk).await {
                Ok(Some(staged)) if staged == *bytes => continue,
                Ok(_) => engine.stage(model, chunk, bytes.clone()).await,
                Err(error) => Err(error),
            };
            match repaired {
                Ok(()) => log::warn!("E7232 restaged chunk {chunk}, it was corrupt or missing"),
                Err(error) => {
                    log::warn!("E7230 verifying staged chunk {chunk} failed: {error}");
                    return false;
                }
            }
        }
        true
    }

    /// Waits until the engine answers that it has loaded `version` or is not
    /// busy, at most [`LOAD_TIMEOUT`].
    async fn wait_until_loaded(&self, version: u64) {
        let started = self.agent.clock.now();
        let mut is_silent = false;
        while self.agent.clock.now() - started <= LOAD_TIMEOUT {
            sleep(POLL_INTERVAL).await;
            let report = match self.agent.engine.report().await {
                Ok(report) => report,
                // Whether the load goes on is only known from an answer.
                Err(error) => {
                    if !std::mem::replace(&mut is_silent, true) {
                        log::info!(
                            "E7236 reading the engine's state during loading failed: {error}"
                        );
                    }
                    continue;
                }
            };
            is_silent = false;
            self.agent.observe_engine(&report);
            let slots = self.agent.engine_spec().map_or(0, |spec| spec.slots);
            let done = slot_pool::loaded_version(&report) >= version || !report.busy;
            self.agent
                .slot_pool
                .apply_report(self.agent.clock.now(), Some(report), slots);
            self.agent.update_cutover();
            if done {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
