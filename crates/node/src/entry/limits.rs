//! Shares the limits that backend servers name with all entries, through a row
//! for each entry in the platform's store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use platform::rows;
use platform::rows::OwnRow;
use platform::rows::Rows;
use platform::rows::Store;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use snipewinch::position::Position;
use snipewinch::server_limit::Published;
use snipewinch::server_limit::Row;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Entry;

/// The table with a row for each entry.
const TABLE: &str = "snipewinch-limits";
/// How often it is checked whether there is something to publish or to read.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The shortest interval between two requests for the table.
const REQUEST_INTERVAL_MIN: Duration = Duration::from_millis(400);
/// How often this entry's row is written though it has no news.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(60);
/// The age at which the row of an entry no longer counts.
const ROW_AGE_MAX: Duration = Duration::from_secs(150);
/// How often the table is read while a limit is in force.
const LIMITED_VIEW_INTERVAL: Duration = Duration::from_secs(4);
/// How often it is read otherwise.
const VIEW_INTERVAL: Duration = Duration::from_secs(30);
/// The time limit of a read.
const VIEW_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between the start and the first read; all entries may have
/// started at the same moment.
const START_VIEW_DELAY: Duration = Duration::from_secs(2);
/// The time over which entries spread the writes of their rows after the store was
/// restored from a backup: all of them notice at one moment.
const RESTORE_SPREAD: Duration = Duration::from_secs(1);
/// The jitter of these intervals.
const JITTER: std::ops::Range<f64> = 0.8..1.2;

/// A row of the table.
#[derive(Debug, Deserialize, Serialize)]
struct Publication {
    /// When it was written, in milliseconds since the epoch.
    #[serde(rename = "t")]
    written_ms: u64,
    #[serde(flatten)]
    row: Row,
}

/// The table as it was last read.
#[derive(Debug, Default)]
struct View {
    /// The position up to which it is known.
    since: Option<Position>,
    rows: BTreeMap<SmolStr, Publication>,
    /// Whether the store was restored from a backup since the last read, so that
    /// rows that are known already may be newer.
    is_restored: bool,
}

impl View {
    /// Reads the rows that changed, or all of them if that is not known.
    async fn update(&mut self, store: &Store) -> Result<(), rows::Error> {
        let since = self.since.take();
        let changed = match since {
            None => {
                if !self.is_restored {
                    self.rows.clear();
                }
                store.read(TABLE).await?
            }
            Some(since) => {
                store
                    .follow(TABLE, since, Duration::ZERO)
                    .await?
                    .rows()
                    .await?
            }
        };
        self.apply(changed);
        Ok(())
    }

    fn apply(&mut self, changed: Rows) {
        self.since = Some(changed.position);
        let is_restored = std::mem::take(&mut self.is_restored);
        for row in changed.rows {
            let decoded = row.value.as_deref().map(serde_json::from_slice);
            let is_older = |read: &Publication| {
                let known = self.rows.get(&row.key);
                known.is_some_and(|known| known.written_ms > read.written_ms)
            };
            match decoded {
                Some(Ok(publication)) if is_restored && is_older(&publication) => {}
                Some(Ok(publication)) => {
                    self.rows.insert(row.key, publication);
                }
                Some(Err(error)) => {
                    log::warn!(
                        "E7056 row {:?} of table {TABLE:?} is not valid: {error}",
                        row.key
                    );
                    self.rows.remove(&row.key);
                }
                None => {
                    self.rows.remove(&row.key);
                }
            }
        }
    }

    /// Has the whole table read again, as the store was restored from a backup.
    fn restart(&mut self) {
        self.since = None;
        self.is_restored = true;
    }

    /// The rows of entries that still renew them.
    fn published(&self) -> Vec<Published> {
        let now_ms = millis_since_epoch();
        let rows = self.rows.values().map(|publication| Published {
            row: publication.row.clone(),
            age: Duration::from_millis(now_ms.saturating_sub(publication.written_ms)),
        });
        rows.filter(|one| one.age < ROW_AGE_MAX).collect()
    }
}

/// Publishes what this entry has heard and reads what the others have.
pub(crate) async fn run(entry: Rc<Entry>, store: Store, host: SmolStr) {
    let mut view = View::default();
    let mut writer = Writer::new(OwnRow::new(store.clone(), TABLE, host));
    let mut next_write = Instant::now();
    let mut viewed = Instant::now();
    let mut first_interval = Some(START_VIEW_DELAY);
    let mut jitter = 1.0;
    let mut next_request = Instant::now();
    let mut restores = store.restores();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        if restores.take() {
            view.restart();
            next_write = now + RESTORE_SPREAD.mul_f64(rand::rng().random());
        }
        if let Some(result) = writer.take_result().await {
            let delay = match result {
                Ok(()) => RENEWAL_INTERVAL,
                Err(error) => {
                    log::warn!(
                        "E7057 publishing limits of backend servers failed, retrying: {error}"
                    );
                    Duration::from_secs(1)
                }
            };
            next_write = next_write.min(jittered(delay));
        }
        if now < next_request {
            continue;
        }
        let needs = entry.dispatcher.limit_needs(entry.clock.now());
        if (needs.write || now >= next_write) && writer.is_idle() {
            writer.write(Publication {
                written_ms: millis_since_epoch(),
                row: entry.dispatcher.take_limit_row(entry.clock.now()),
            });
            next_write = jittered(RENEWAL_INTERVAL);
            next_request = jittered(REQUEST_INTERVAL_MIN);
            continue;
        }
        let interval = match needs.is_limited {
            true => LIMITED_VIEW_INTERVAL,
            false => first_interval.unwrap_or(VIEW_INTERVAL),
        };
        if needs.view || view.is_restored || now >= viewed + interval.mul_f64(jitter) {
            match timeout(VIEW_TIMEOUT, view.update(&store)).await {
                Ok(Ok(())) => entry
                    .dispatcher
                    .apply_limit_view(entry.clock.now(), &view.published()),
                Ok(Err(error)) => {
                    log::debug!("E7058 reading limits of backend servers failed: {error}");
                }
                Err(_) => log::debug!("E7058 reading limits of backend servers took too long"),
            }
            first_interval = None;
            viewed = Instant::now();
            jitter = rand::rng().random_range(JITTER);
            next_request = jittered(REQUEST_INTERVAL_MIN);
        }
    }
}

/// Writes the row of this entry while the others are read: the answer may be lost.
struct Writer {
    /// `None` while it is written.
    row: Option<OwnRow>,
    task: Option<JoinHandle<(OwnRow, Result<(), rows::Error>)>>,
}

impl Writer {
    fn new(row: OwnRow) -> Writer {
        Writer {
            row: Some(row),
            task: None,
        }
    }

    fn is_idle(&self) -> bool {
        self.row.is_some()
    }

    /// Begins to write the row, unless it is being written.
    fn write(&mut self, publication: Publication) {
        let Some(mut row) = self.row.take() else {
            return;
        };
        let value = serde_json::to_vec(&publication).expect("a row is serializable");
        self.task = Some(spawn_local(async move {
            let result = row.write(&value).await;
            (row, result)
        }));
    }

    /// The result of a write that has ended since the last call.
    async fn take_result(&mut self) -> Option<Result<(), rows::Error>> {
        let task = self.task.take_if(|task| task.is_finished())?;
        let (row, result) = task.await.expect("a write does not panic");
        self.row = Some(row);
        Some(result)
    }
}

fn jittered(interval: Duration) -> Instant {
    Instant::now() + interval.mul_f64(rand::rng().random_range(JITTER))
}

fn millis_since_epoch() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
