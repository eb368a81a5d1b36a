//! Simulated operators, who publish changes through the consoles of the
//! entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use parking_lot::Mutex;
use parking_lot::RwLock;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use snipewinch::document::Document;
use standin::client::Client;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Settings;
use super::console;
use super::console::Page;
use super::watch::Watch;
use crate::Error;
use crate::fleet::Fleet;

/// How long an operator tries to publish one change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause of an operator after a request that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The outcomes that the console showed to the operators.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcomes {
    /// Operations shown as accepted, with their versions.
    pub(super) accepted: Vec<(String, u64)>,
    /// Operations shown as refused by a conflict, which must never be accepted.
    pub(super) refused: Vec<String>,
    /// Pages that reported a conflict with another version.
    pub(super) conflicts: usize,
    /// Changes given up after [`CHANGE_TIMEOUT`] that may or may not be
    /// accepted.
    pub(super) unresolved: usize,
}

/// The changes to publish, and what the operators share.
#[derive(Clone)]
pub(super) struct Workload {
    client: Client,
    entries: Arc<RwLock<Vec<SocketAddr>>>,
    operator_key: String,
    watch: Watch,
    settings: Settings,
    /// Changes that no operator has begun.
    remaining: Arc<AtomicUsize>,
    outcomes: Arc<Mutex<Outcomes>>,
}

/// The running operators.
pub(super) struct Tasks {
    tasks: JoinSet<()>,
    outcomes: Arc<Mutex<Outcomes>>,
    /// How many operators have finished.
    finished: Arc<AtomicUsize>,
    operators: usize,
}

impl Tasks {
    /// Whether every operator has finished.
    pub(super) fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed) == self.operators
    }

    /// Waits until every operator has finished.
    pub(super) async fn finish(mut self) -> Outcomes {
        while self.tasks.join_next().await.is_some() {}
        self.outcomes.lock().clone()
    }
}

impl Workload {
    pub(super) fn new(fleet: &Fleet, watch: &Watch, settings: &Settings) -> Workload {
        Workload {
            client: fleet.client.clone(),
            entries: fleet.routable_entries.clone(),
            operator_key: fleet.operator_key(),
            watch: watch.clone(),
            settings: *settings,
            remaining: Arc::new(AtomicUsize::new(settings.changes)),
            outcomes: Arc::default(),
        }
    }

    /// Publishes the first document. It does not count as a change of the
    /// experiment.
    ///
    /// # Errors
    ///
    /// [`Error`] if it is not accepted within [`CHANGE_TIMEOUT`].
    pub(super) async fn publish_first(&self, document: &Document) -> Result<(), Error> {
        let mut operator = Operator::new(self, 0);
        let text = document.pretty();
        let change = |_: &mut Document| {};
        match operator.publish_change(Some(&text), &change).await {
            Some(_) => {
                // The first document is not counted.
                self.outcomes.lock().accepted.clear();
                Ok(())
            }
            None => Err(Error::Broken {
                what: "the first document was not accepted within the time limit".to_owned(),
            }),
        }
    }

    /// Starts the operators.
    pub(super) fn spawn(&self) -> Tasks {
        let finished = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for index in 0..self.settings.operators {
            let workload = self.clone();
            let finished = finished.clone();
            tasks.spawn(async move {
                run_operator(&workload, index as u64 + 1).await;
                finished.fetch_add(1, Ordering::Relaxed);
            });
        }
        Tasks {
            tasks,
            outcomes: self.outcomes.clone(),
            finished,
            operators: self.settings.operators,
        }
    }

    /// Takes one of the remaining changes; `false` if none remains.
    fn take_change(&self) -> bool {
        let taken =
            self.remaining
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
                    remaining.checked_sub(1)
                });
        taken.is_ok()
    }
}

async fn run_operator(workload: &Workload, index: u64) {
    let mut operator = Operator::new(workload, index);
    while workload.take_change() {
        let share = operator.rng.random_range(1..=100);
        let position: usize = operator.rng.random_range(0..1000);
        let change = |document: &mut Document| {
            let count = document.customers.len().max(1);
            if let Some(customer) = document.customers.get_mut(position % count) {
                customer.share = share;
            }
        };
        if operator.publish_change(None, &change).await.is_none() {
            workload.outcomes.lock().unresolved += 1;
        }
        sleep(workload.settings.pause).await;
    }
}

struct Operator<'a> {
    workload: &'a Workload,
    rng: StdRng,
    cookie: String,
}

impl<'a> Operator<'a> {
    fn new(workload: &'a Workload, index: u64) -> Operator<'a> {
        Operator {
            workload,
            rng: StdRng::seed_from_u64(workload.settings.seed ^ (index << 32)),
            cookie: String::new(),
        }
    }

    /// A random entry, as the load balancer would choose.
    fn entry(&mut self) -> Option<SocketAddr> {
        let entries = self.workload.entries.read();
        match entries.len() {
            0 => None,
            count => Some(entries[self.rng.random_range(0..count)]),
        }
    }

    /// Edits, reviews and publishes until the change is accepted. Returns its
    /// version, or `None` after [`CHANGE_TIMEOUT`].
    async fn publish_change(
        &mut self,
        text: Option<&str>,
        change: &(dyn Fn(&mut Document) + Send + Sync),
    ) -> Option<u64> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(review) = self.review(text, change).await
                && let Some(version) = self.publish(review, deadline).await
            {
                return Some(version);
            }
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Sends an edited document for review, after a sign-in if needed. Returns
    /// the page with the publish form.
    async fn review(
        &mut self,
        text: Option<&str>,
        change: &(dyn Fn(&mut Document) + Send + Sync),
    ) -> Option<Page> {
        let entry = self.entry()?;
        let mut form = self.get(entry, "/console/document").await?;
        if form.status == StatusCode::SEE_OTHER {
            self.sign_in(entry).await?;
            form = self.get(entry, "/console/document").await?;
        }
        let text = match text {
            Some(text) => text.to_owned(),
            None => {
                let mut document = Document::parse(&form.document()?).ok()?;
                change(&mut document);
                document.json()
            }
        };
        let token = form.field("token")?;
        let fields = [("token", token.as_str()), ("text", text.as_str())];
        let page = self.post(entry, "/console/document", &fields).await?;
        (page.status == StatusCode::OK).then_some(page)
    }

    async fn sign_in(&mut self, entry: SocketAddr) -> Option<()> {
        let key = self.workload.operator_key.clone();
        let page = self
            .post(entry, "/console/sign-in", &[("key", &key)])
            .await?;
        self.cookie = page.cookie?;
        Some(())
    }

    /// Submits the publish form to a random entry, again after a conflict, an
    /// unreachable platform or a missing answer. Returns the accepted version.
    async fn publish(&mut self, review: Page, deadline: Instant) -> Option<u64> {
        const FIELDS: [&str; 5] = ["token", "draft", "base", "operation", "sent"];
        let mut page = review;
        while Instant::now() < deadline {
            let values: Vec<String> = FIELDS
                .iter()
                .map(|name| page.field(name))
                .collect::<Option<Vec<String>>>()?;
            let fields: Vec<(&str, &str)> = FIELDS
                .iter()
                .zip(&values)
                .map(|(name, value)| (*name, value.as_str()))
                .collect();
            let operation = values[3].clone();
            let Some(entry) = self.entry() else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let Some(answer) = self.post(entry, "/console/publish", &fields).await else {
                // No answer arrived: the same form, with the same operation,
                // is submitted again.
                sleep(RETRY_PAUSE).await;
                continue;
            };
            match answer.status {
                StatusCode::OK => {
                    let version = answer.accepted()?;
                    self.workload.watch.accepted(version);
                    self.workload
                        .outcomes
                        .lock()
                        .accepted
                        .push((operation, version));
                    return Some(version);
                }
                StatusCode::CONFLICT => {
                    let mut outcomes = self.workload.outcomes.lock();
                    outcomes.conflicts += 1;
                    outcomes.refused.push(operation);
                    page = answer;
                }
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
                    page = answer;
                    sleep(RETRY_PAUSE).await;
                }
                _ => return None,
            }
        }
        None
    }

    async fn get(&self, entry: SocketAddr, path: &str) -> Option<Page> {
        console::get(&self.workload.client, entry, path, &self.cookie)
            .await
            .ok()
    }

    async fn post(&self, entry: SocketAddr, path: &str, fields: &[(&str, &str)]) -> Option<Page> {
        console::post(&self.workload.client, entry, path, &self.cookie, fields)
            .await
            .ok()
    }
}
