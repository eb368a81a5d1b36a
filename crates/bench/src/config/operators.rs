//! Operators who publish changes through any entry's console.

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

/// How long an operator tries to bring one change through.
const CHANGE_LIMIT: Duration = Duration::from_secs(60);
/// How long an operator waits after a page that did not work.
const RETRY: Duration = Duration::from_millis(300);

/// What the operators were shown.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    /// Operations shown as accepted, with the version.
    pub(super) accepted: Vec<(String, u64)>,
    /// Operations shown as not accepted for good.
    pub(super) refused: Vec<String>,
    /// Pages that said that another came first.
    pub(super) conflicts: usize,
    /// Changes given up without knowing.
    pub(super) unresolved: usize,
}

/// The operators' side of the experiment.
#[derive(Clone)]
pub(super) struct Desk {
    client: Client,
    entries: Arc<RwLock<Vec<SocketAddr>>>,
    key: String,
    watch: Watch,
    settings: Settings,
    left: Arc<AtomicUsize>,
    tally: Arc<Mutex<Tally>>,
}

/// Operators at work.
pub(super) struct Working {
    tasks: JoinSet<()>,
    tally: Arc<Mutex<Tally>>,
    done: Arc<AtomicUsize>,
    operators: usize,
}

impl Working {
    /// Whether every change has been made.
    pub(super) fn is_done(&self) -> bool {
        self.done.load(Ordering::Relaxed) == self.operators
    }

    pub(super) async fn finish(mut self) -> Tally {
        while self.tasks.join_next().await.is_some() {}
        self.tally.lock().clone()
    }
}

impl Desk {
    pub(super) fn open(fleet: &Fleet, watch: &Watch, settings: &Settings) -> Desk {
        Desk {
            client: fleet.client.clone(),
            entries: fleet.routable_entries.clone(),
            key: fleet.operator_key(),
            watch: watch.clone(),
            settings: *settings,
            left: Arc::new(AtomicUsize::new(settings.changes)),
            tally: Arc::default(),
        }
    }

    /// Publishes the document with which the experiment starts.
    pub(super) async fn publish_first(&self, document: &Document) -> Result<(), Error> {
        let mut operator = Operator::open(self, 0);
        let text = document.pretty();
        let change = |_: &mut Document| {};
        match operator.bring_through(Some(&text), &change).await {
            Some(_) => {
                // It is no change of the experiment.
                self.tally.lock().accepted.clear();
                Ok(())
            }
            None => Err(Error::Broken {
                what: "the first document was not accepted".to_owned(),
            }),
        }
    }

    /// Sets the operators to work.
    pub(super) fn spawn(&self) -> Working {
        let done = Arc::new(AtomicUsize::new(0));
        let mut tasks = JoinSet::new();
        for index in 0..self.settings.operators {
            let desk = self.clone();
            let done = done.clone();
            tasks.spawn(async move {
                work(&desk, index as u64 + 1).await;
                done.fetch_add(1, Ordering::Relaxed);
            });
        }
        Working {
            tasks,
            tally: self.tally.clone(),
            done,
            operators: self.settings.operators,
        }
    }

    fn take(&self) -> bool {
        let taken = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(1)
            });
        taken.is_ok()
    }
}

async fn work(desk: &Desk, index: u64) {
    let mut operator = Operator::open(desk, index);
    while desk.take() {
        let share = operator.rng.random_range(1..=100);
        let place: usize = operator.rng.random_range(0..1000);
        let change = |document: &mut Document| {
            let count = document.customers.len().max(1);
            if let Some(customer) = document.customers.get_mut(place % count) {
                customer.share = share;
            }
        };
        if operator.bring_through(None, &change).await.is_none() {
            desk.tally.lock().unresolved += 1;
        }
        sleep(desk.settings.pause).await;
    }
}

struct Operator<'a> {
    desk: &'a Desk,
    rng: StdRng,
    cookie: String,
}

impl<'a> Operator<'a> {
    fn open(desk: &'a Desk, index: u64) -> Operator<'a> {
        Operator {
            desk,
            rng: StdRng::seed_from_u64(desk.settings.seed ^ (index << 32)),
            cookie: String::new(),
        }
    }

    /// Any entry, as the balancer would give.
    fn entry(&mut self) -> Option<SocketAddr> {
        let entries = self.desk.entries.read();
        match entries.len() {
            0 => None,
            count => Some(entries[self.rng.random_range(0..count)]),
        }
    }

    /// Edits, reviews and publishes until the change is accepted; answers its
    /// version, or none if time runs out first.
    async fn bring_through(
        &mut self,
        text: Option<&str>,
        change: &(dyn Fn(&mut Document) + Send + Sync),
    ) -> Option<u64> {
        let deadline = Instant::now() + CHANGE_LIMIT;
        while Instant::now() < deadline {
            if let Some(review) = self.review(text, change).await
                && let Some(version) = self.publish(review, deadline).await
            {
                return Some(version);
            }
            sleep(RETRY).await;
        }
        None
    }

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
        let key = self.desk.key.clone();
        let page = self
            .post(entry, "/console/sign-in", &[("key", &key)])
            .await?;
        self.cookie = page.cookie?;
        Some(())
    }

    /// Presses publish, again where the page says so, on any entry.
    async fn publish(&mut self, review: Page, deadline: Instant) -> Option<u64> {
        const NAMES: [&str; 5] = ["token", "draft", "base", "operation", "sent"];
        let mut page = review;
        while Instant::now() < deadline {
            let values: Vec<String> = NAMES
                .iter()
                .map(|name| page.field(name))
                .collect::<Option<Vec<String>>>()?;
            let fields: Vec<(&str, &str)> = NAMES
                .iter()
                .zip(&values)
                .map(|(name, value)| (*name, value.as_str()))
                .collect();
            let operation = values[3].clone();
            let Some(entry) = self.entry() else {
                sleep(RETRY).await;
                continue;
            };
            let Some(answer) = self.post(entry, "/console/publish", &fields).await else {
                // No page came back: the same form is sent again.
                sleep(RETRY).await;
                continue;
            };
            match answer.status {
                StatusCode::OK => {
                    let version = answer.accepted()?;
                    self.desk.watch.accepted(version);
                    self.desk.tally.lock().accepted.push((operation, version));
                    return Some(version);
                }
                StatusCode::CONFLICT => {
                    let mut tally = self.desk.tally.lock();
                    tally.conflicts += 1;
                    tally.refused.push(operation);
                    page = answer;
                }
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
                    page = answer;
                    sleep(RETRY).await;
                }
                _ => return None,
            }
        }
        None
    }

    async fn get(&self, entry: SocketAddr, path: &str) -> Option<Page> {
        console::get(&self.desk.client, entry, path, &self.cookie)
            .await
            .ok()
    }

    async fn post(&self, entry: SocketAddr, path: &str, fields: &[(&str, &str)]) -> Option<Page> {
        console::post(&self.desk.client, entry, path, &self.cookie, fields)
            .await
            .ok()
    }
}
