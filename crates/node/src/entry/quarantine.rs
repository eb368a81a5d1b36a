//! Detects requests, and parts of prompts, that end the backend servers which
//! run them, and refuses them. All entries share their evidence through the platform's store.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http1::head::Request;
use platform::follow;
use platform::follow::Change;
use platform::follow::Control;
use platform::follow::PollPolicy;
use platform::follow::Refresh;
use platform::header;
use platform::prompt;
use platform::rows::OwnRow;
use platform::rows::Row;
use platform::rows::Store;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snipewinch::quarantine;
use snipewinch::quarantine::Evidence;
use snipewinch::quarantine::Key;
use snipewinch::quarantine::Ledger;
use snipewinch::quarantine::Verdict;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Entry;
use super::attempt::Attempt;
use super::call::Call;
use super::pool;

/// The table of the store with a row of evidence for each entry.
const TABLE: &str = "snipewinch-quarantine";
/// The shortest interval between two writes of this entry's row.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(150);
/// The delay after a write that failed.
const PUBLISH_RETRY_DELAY: Duration = Duration::from_millis(400);
/// The jitter of these, so that entries that saw the same end do not write at
/// the same time.
const PUBLISH_JITTER: std::ops::Range<f64> = 0.6..1.4;
/// The shortest interval between two polls of the table.
const POLL_INTERVAL_MIN: Duration = Duration::from_millis(150);
/// How long the store may hold back the response to a poll. Evidence is needed
/// soon only while backend servers end, which this entry then sees as well.
const POLL_WAIT_MAX: Duration = Duration::from_secs(20);
/// The maximum read rate of the table.
const POLL_BYTES_PER_S_MAX: f64 = 60_000.0;
/// The longest pause that this rate imposes before the next poll.
const POLL_PAUSE_MAX: Duration = Duration::from_millis(800);
/// How long a connection may take to open that finds out whether a backend
/// server has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// The pause before a backend server that accepts a connection is probed again.
const PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// How long its result is used for other requests of the same backend server.
const PROBE_AGE_MAX: Duration = Duration::from_millis(400);
/// How long after the end of a backend server it is settled whether others
/// ended at the same moment.
const SETTLE_DELAY: Duration = Duration::from_millis(15);

/// The age at which a row no longer counts. A running entry replaces its row
/// before, so an older one is of a host that is gone or was away.
const ROW_AGE_MAX: Duration = Duration::from_secs(1_200);

/// A row of the table.
#[derive(Debug, Deserialize, Serialize)]
struct Publication {
    /// When it was written.
    #[serde(rename = "t", default = "seconds_since_epoch")]
    written_s: u64,
    #[serde(flatten)]
    evidence: Evidence,
}

/// Whether a backend server had ended when it was probed.
#[derive(Clone, Copy, Debug)]
struct Probe {
    at: Duration,
    has_ended: bool,
}

/// What this entry knows of requests that end backend servers.
#[derive(Debug)]
pub(crate) struct Quarantine {
    ledger: RefCell<Ledger>,
    probes: RefCell<HashMap<SmolStr, Probe>>,
    /// The keys that were blocked at the last check.
    blocked: RefCell<Vec<Key>>,
    /// Notified when there is evidence to publish.
    changed: Notify,
    /// Requested when this entry sees the end of a backend server.
    refresh: Refresh,
    /// When the rows of other entries were written that are merged.
    merged: RefCell<HashMap<SmolStr, u64>>,
    /// Whether the store was restored from a backup since the last snapshot.
    is_restored: Cell<bool>,
}

impl Quarantine {
    pub(crate) fn open() -> Quarantine {
        Quarantine {
            ledger: RefCell::new(Ledger::open(rand::rng().random())),
            probes: RefCell::default(),
            blocked: RefCell::default(),
            changed: Notify::new(),
            refresh: Refresh::default(),
            merged: RefCell::default(),
            is_restored: Cell::default(),
        }
    }

    pub(crate) fn verdict(&self, now: Duration, keys: &[Key]) -> Verdict {
        self.ledger.borrow().verdict(now, keys)
    }

    /// Whether a request with `keys`, under which a server may just have ended,
    /// would be refused if it came again.
    pub(crate) fn will_refuse(&self, now: Duration, keys: &[Key]) -> bool {
        let verdict = self.ledger.borrow().verdict_to_come(now, keys);
        matches!(verdict, Verdict::Blocked(_))
    }

    /// Whether a server has ended under a request with `keys`, and nothing
    /// clears it.
    pub(crate) fn is_suspected(&self, now: Duration, keys: &[Key]) -> bool {
        self.ledger.borrow().is_suspected(now, keys)
    }

    /// Records that a request is refused because a key is blocked.
    pub(crate) fn record_refusal(&self, now: Duration, key: Key) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.record_refusal(now, key);
        if ledger.has_news() {
            self.changed.notify_one();
        }
    }

    /// Records that a request with `keys` has come through.
    pub(crate) fn record_progress(&self, now: Duration, keys: &[Key]) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.record_progress(now, keys);
        if ledger.has_news() {
            self.changed.notify_one();
        }
    }

    /// Settles recent ends of backend servers, and returns how many keys are
    /// blocked.
    pub(crate) fn tick(&self, now: Duration) -> usize {
        let mut ledger = self.ledger.borrow_mut();
        ledger.settle(now);
        if ledger.has_news() {
            self.changed.notify_one();
        }
        let found = ledger.blocked(now);
        let mut blocked = self.blocked.borrow_mut();
        for one in found.iter().filter(|one| !blocked.contains(&one.key)) {
            log::warn!(
                "E7122 {} {} is blocked: {} backend servers ended under it and no request with it came through",
                kind(one.key),
                one.key,
                one.ends
            );
        }
        for key in blocked.iter() {
            if !found.iter().any(|one| one.key == *key) {
                log::warn!("E7123 {} {key} is no longer blocked", kind(*key));
            }
        }
        *blocked = found.iter().map(|one| one.key).collect();
        self.probes
            .borrow_mut()
            .retain(|_, probe| probe.at + PROBE_AGE_MAX > now);
        blocked.len()
    }

    /// Applies rows of the table.
    fn apply(&self, now: Duration, host: &str, change: Change) {
        let (rows, is_snapshot) = match change {
            Change::Disconnected => return,
            Change::Restored => {
                self.is_restored.set(true);
                return;
            }
            Change::Rows(rows) => (rows, false),
            Change::Snapshot(rows) => (rows, true),
        };
        let is_restored = is_snapshot && self.is_restored.take();
        let mut ledger = self.ledger.borrow_mut();
        let mut merged = self.merged.borrow_mut();
        let mut own = None;
        for row in rows {
            let known_s = merged.get(&row.key).copied().unwrap_or_default();
            match decode_row(&row) {
                Some((_, evidence)) if row.key == host => {
                    ledger.restore(now, evidence.clone());
                    own = Some(evidence);
                }
                // An older row of the backup does not take newer evidence back.
                Some((written_s, _)) if is_restored && written_s < known_s => {}
                Some((written_s, evidence)) => {
                    merged.insert(row.key.clone(), written_s);
                    ledger.merge(now, &row.key, evidence);
                }
                None => {}
            }
        }
        if is_snapshot {
            ledger.republish(own.as_ref());
        }
        if ledger.has_news() {
            self.changed.notify_one();
        }
    }
}

/// The evidence in a row, and when it was written.
fn decode_row(row: &Row) -> Option<(u64, Evidence)> {
    let decoded = serde_json::from_slice::<Publication>(row.value.as_deref()?);
    if let Err(error) = &decoded {
        log::warn!(
            "E7124 row {:?} of table {TABLE:?} is not valid evidence: {error}",
            row.key
        );
    }
    let publication = decoded.ok()?;
    let age_s = seconds_since_epoch().saturating_sub(publication.written_s);
    let evidence = match age_s < ROW_AGE_MAX.as_secs() {
        true => publication.evidence,
        false => Evidence::default(),
    };
    Some((publication.written_s, evidence))
}

fn seconds_since_epoch() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_secs()
}

/// What a key identifies, for logs.
fn kind(key: Key) -> &'static str {
    match key.is_request() {
        true => "request",
        false => "part of prompts",
    }
}

/// The keys of a request: the parts of its prompt that others may share, and the
/// whole of it.
pub(crate) fn keys(service: &str, head: &Request, customer: Option<&str>, body: &[u8]) -> Vec<Key> {
    let prompt_parts = head.fields.get(header::PROMPT_PARTS).unwrap_or_default();
    let parts = prompt::shared_parts(prompt_parts).map(|part| Key::of(service, part));
    let request = quarantine::Request {
        host: head.fields.get("host").unwrap_or_default(),
        method: &head.method,
        path: head.path(),
        query: head.query(),
        customer,
        body,
    };
    parts.chain(request.keys()).collect()
}

/// Records that an attempt without progress was broken off, if that happened
/// because its backend server has ended.
pub(crate) async fn record_broken(
    entry: &Rc<Entry>,
    call: &Call,
    attempt: &Attempt,
    error: &pool::Error,
) {
    if matches!(error, pool::Error::Closed | pool::Error::Io { .. }) {
        record_end(entry, call, attempt).await;
    }
}

/// Records that the backend server of an attempt has ended under it, if it has.
pub(crate) async fn record_end(entry: &Rc<Entry>, call: &Call, attempt: &Attempt) {
    let slot = &attempt.slot;
    let server = slot.id.as_str();
    if !entry.dispatcher.is_serving(slot.key) || !has_ended(entry, server, slot.address).await {
        return;
    }
    let now = entry.clock.now();
    log::warn!(
        "E7121 backend server {server} ended under request {}, which had just begun; path {}, customer {}, prompt parts {}",
        call.id,
        call.head.path(),
        call.customer.as_deref().unwrap_or("none"),
        call.head.fields.get(header::PROMPT_PARTS).unwrap_or("none")
    );
    entry.metrics.server_ends.inc();
    let quarantine = &entry.quarantine;
    quarantine
        .ledger
        .borrow_mut()
        .record_end(now, attempt.sent, slot.server, &call.keys);
    quarantine.refresh.request();
    let entry = entry.clone();
    spawn_local(async move {
        sleep(SETTLE_DELAY).await;
        entry.quarantine.tick(entry.clock.now());
    });
}

/// Whether a backend server refuses connections: its process has ended, while
/// its host runs and is reached. One that only breaks off requests does not.
async fn has_ended(entry: &Entry, server: &str, address: SocketAddr) -> bool {
    let now = entry.clock.now();
    let probed = entry.quarantine.probes.borrow().get(server).copied();
    if let Some(probe) = probed.filter(|probe| probe.at + PROBE_AGE_MAX > now) {
        return probe.has_ended;
    }
    let mut has_ended = is_refused(address).await;
    if !has_ended {
        // The connections of a process may be closed before its listening socket.
        sleep(PROBE_INTERVAL).await;
        has_ended = is_refused(address).await;
    }
    let probe = Probe { at: now, has_ended };
    let mut probes = entry.quarantine.probes.borrow_mut();
    probes.insert(server.into(), probe);
    has_ended
}

async fn is_refused(address: SocketAddr) -> bool {
    let opened = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(
        opened,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
    )
}

/// Follows the evidence of other entries and publishes that of this one.
pub(crate) async fn run(entry: Rc<Entry>, store: Store, host: SmolStr) {
    let policy = PollPolicy {
        wait_max: POLL_WAIT_MAX,
        interval_min: POLL_INTERVAL_MIN,
        bytes_per_s: POLL_BYTES_PER_S_MAX,
        pause_max: POLL_PAUSE_MAX,
        relaxed_interval: None,
        settle_time: Duration::ZERO,
        copied: None,
    };
    let control = Control {
        refresh: entry.quarantine.refresh.clone(),
        ..Control::default()
    };
    let (mut changes, _task) = follow::spawn_with(store.clone(), TABLE, policy, control);
    spawn_local(publish(entry.clone(), store, host.clone()));
    while let Some(update) = changes.recv().await {
        let now = entry.clock.now();
        entry.quarantine.apply(now, &host, update.change);
        entry.quarantine.tick(now);
    }
}

async fn publish(entry: Rc<Entry>, store: Store, host: SmolStr) {
    let mut row = OwnRow::new(store, TABLE, host);
    loop {
        entry.quarantine.changed.notified().await;
        let evidence = entry.quarantine.ledger.borrow_mut().take_evidence();
        let Some(evidence) = evidence else {
            continue;
        };
        let publication = Publication {
            written_s: seconds_since_epoch(),
            evidence,
        };
        let value = serde_json::to_vec(&publication).expect("evidence is serializable");
        let delay = match row.write(&value).await {
            Ok(()) => PUBLISH_INTERVAL,
            Err(error) => {
                log::warn!(
                    "E7125 publishing evidence against requests and parts of prompts failed, retrying: {error}"
                );
                entry.quarantine.ledger.borrow_mut().republish(None);
                entry.quarantine.changed.notify_one();
                PUBLISH_RETRY_DELAY
            }
        };
        sleep(delay.mul_f64(rand::rng().random_range(PUBLISH_JITTER))).await;
    }
}
