//! Open-loop load generator with seeded arrivals, which checks every answer in
//! full.
//!
//! Arrivals do not wait for answers, so a slow fleet still gets the full rate.
//! Every call carries a unique effect id, and the stand-in backend servers
//! count the executions of each id; a call that is repeated under the same
//! idempotency key has the same id.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use parking_lot::RwLock;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use standin::client::Client;
use tokio::task::JoinHandle;

mod exchange;
mod probe;
mod record;

pub use probe::Probe;
pub use probe::probes;
pub use record::Kind;
pub use record::Outcome;
pub use record::Record;
pub use record::Totals;

/// The rate, mix and senders of the calls.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The current entries that a load balancer would choose from.
    pub entries: Arc<RwLock<Vec<SocketAddr>>>,
    /// Mean arrival rate, in calls per second.
    pub rps: f64,
    /// Seed of arrival times, call kinds and customers.
    pub seed: u64,
    /// Prefix of the effect ids, unique among the loads on a fleet.
    pub name: SmolStr,
    /// The requested model.
    pub model: SmolStr,
    /// The path of a plain service whose calls may be repeated, if any.
    pub plain: Option<SmolStr>,
    /// The path of a plain service whose calls may not be repeated, if any.
    pub non_repeatable: Option<SmolStr>,
    /// Percent of calls that go to the non-repeatable service.
    pub non_repeatable_percent: u32,
    /// Percent of calls that go to the repeatable plain service.
    pub plain_percent: u32,
    /// Percent of the model calls that are streamed.
    pub stream_percent: u32,
    /// Percent of non-repeatable calls that the caller sends a second time,
    /// under the same key, to any entry.
    pub duplicate_percent: u32,
    /// Minimum tokens of an answer.
    pub tokens_min: u64,
    /// Maximum tokens of an answer.
    pub tokens_max: u64,
    /// Length of the prompt before the effect id that ends it, in bytes.
    pub prompt_bytes: usize,
    /// The customers that send the calls.
    pub customers: Vec<Customer>,
    /// How long a caller waits for an answer.
    pub answer_timeout: Duration,
}

/// A customer in whose name calls are sent.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub name: SmolStr,
    /// Its bearer key.
    pub key: String,
    /// Its share of the calls, relative to the other customers' weights.
    pub weight: u32,
}

/// A running load, which sends calls until [`Load::stop`].
#[derive(Debug)]
pub struct Load {
    shared: Arc<Shared>,
    arrivals: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    client: Client,
    started: Instant,
    stop: AtomicBool,
    in_flight: Mutex<Vec<JoinHandle<()>>>,
    totals: Mutex<Totals>,
}

/// One drawn call.
#[derive(Clone, Debug)]
struct Call {
    kind: Kind,
    effect: SmolStr,
    customer: usize,
    entry: SocketAddr,
    tokens: u64,
    prompt: String,
    /// The delay after which a duplicate is sent, and the entry that gets it.
    duplicate: Option<(Duration, SocketAddr)>,
}

impl Settings {
    /// The default mix of calls to the load-balanced entries of a fleet, spread
    /// over its customers by their shares.
    pub fn of(fleet: &crate::fleet::Fleet, rps: f64, seed: u64) -> Settings {
        use snipewinch::document::Backend;
        use snipewinch::document::Repeat;
        let document = &fleet.plan.document;
        let path = |repeat: Repeat| {
            let services = document.services.iter();
            let mut matching = services.filter(|service| service.repeat == repeat);
            matching.find_map(|service| match &service.backend {
                Backend::Plain { prefix } => Some(prefix.clone()),
                Backend::Engine { .. } => None,
            })
        };
        let customer = |customer: &snipewinch::document::Customer| Customer {
            name: customer.name.clone(),
            key: crate::deployment::key(&customer.name),
            weight: customer.share,
        };
        Settings {
            entries: fleet.routable_entries.clone(),
            rps,
            seed,
            name: format_smolstr!("load{seed}"),
            model: SmolStr::new(fleet.plan.model()),
            plain: path(Repeat::Allowed),
            non_repeatable: path(Repeat::Never),
            non_repeatable_percent: 10,
            plain_percent: 10,
            stream_percent: 50,
            duplicate_percent: 10,
            tokens_min: 4,
            tokens_max: 24,
            prompt_bytes: 200,
            customers: document.customers.iter().map(customer).collect(),
            answer_timeout: Duration::from_secs(30),
        }
    }
}

impl Load {
    /// Starts to send calls in a background task.
    pub fn spawn(settings: Settings) -> Load {
        let shared = Arc::new(Shared {
            settings,
            client: Client::new(),
            started: Instant::now(),
            stop: AtomicBool::new(false),
            in_flight: Mutex::default(),
            totals: Mutex::default(),
        });
        let arrivals = tokio::spawn(generate_arrivals(shared.clone()));
        Load { shared, arrivals }
    }

    /// Returns a copy of the totals so far.
    pub fn totals(&self) -> Totals {
        self.shared.totals.lock().clone()
    }

    /// Time since the load started; [`Record::sent`] has the same origin.
    pub fn elapsed(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Stops new calls, waits for those in flight and returns the totals.
    pub async fn stop(self) -> Totals {
        self.shared.stop.store(true, Ordering::Relaxed);
        let _ = self.arrivals.await;
        loop {
            let unfinished = std::mem::take(&mut *self.shared.in_flight.lock());
            if unfinished.is_empty() {
                break;
            }
            for call in unfinished {
                let _ = call.await;
            }
        }
        self.shared.totals.lock().clone()
    }
}

async fn generate_arrivals(shared: Arc<Shared>) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.settings.seed);
    let mut next = tokio::time::Instant::now();
    let mut number = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        // A Poisson process has exponential gaps between arrivals.
        let gap = -(1.0 - rng.random::<f64>()).ln() / shared.settings.rps;
        next += Duration::from_secs_f64(gap);
        tokio::time::sleep_until(next).await;
        number += 1;
        let Some(call) = shared.settings.draw_call(&mut rng, number) else {
            continue;
        };
        let task = tokio::spawn(send_with_duplicate(shared.clone(), call));
        let mut in_flight = shared.in_flight.lock();
        if in_flight.len() >= PRUNE_THRESHOLD {
            in_flight.retain(|task| !task.is_finished());
        }
        in_flight.push(task);
    }
}

/// Number of kept tasks from which finished ones are dropped.
const PRUNE_THRESHOLD: usize = 1024;
/// The longest delay before a duplicate is sent.
const DUPLICATE_DELAY_MAX_MS: u64 = 300;

async fn send_with_duplicate(shared: Arc<Shared>, call: Call) {
    match call.duplicate {
        None => send(&shared, &call).await,
        Some((delay, entry)) => {
            let duplicate = Call {
                entry,
                ..call.clone()
            };
            let second = async {
                tokio::time::sleep(delay).await;
                send(&shared, &duplicate).await;
            };
            tokio::join!(send(&shared, &call), second);
        }
    }
}

async fn send(shared: &Shared, call: &Call) {
    let sent = shared.started.elapsed();
    let exchange = exchange::perform(&shared.client, &shared.settings, call).await;
    let record = Record {
        kind: call.kind,
        outcome: exchange.outcome,
        effect: call.effect.clone(),
        customer: call.customer,
        entry: call.entry,
        sent,
        duration: shared.started.elapsed().saturating_sub(sent),
        status: exchange.status,
        code: exchange.code,
        version: exchange.version,
    };
    let mut totals = shared.totals.lock();
    totals.add(record, exchange.first_token, &exchange.gaps);
}

impl Settings {
    fn draw_call(&self, rng: &mut ChaCha8Rng, number: u64) -> Option<Call> {
        let effect = format_smolstr!("{}-{number}", self.name);
        let draw = rng.random_range(0..100);
        let streamed = rng.random_range(0..100) < self.stream_percent;
        let kind = match (&self.non_repeatable, &self.plain) {
            (Some(_), _) if draw < self.non_repeatable_percent => Kind::NonRepeatable,
            (_, Some(_)) if draw < self.non_repeatable_percent + self.plain_percent => Kind::Plain,
            _ if streamed => Kind::Stream,
            _ => Kind::Buffered,
        };
        let duplicated = rng.random_range(0..100) < self.duplicate_percent;
        let delay = Duration::from_millis(rng.random_range(0..=DUPLICATE_DELAY_MAX_MS));
        let entry = self.pick_entry(rng)?;
        let second_entry = self.pick_entry(rng)?;
        let tokens = rng.random_range(self.tokens_min..=self.tokens_max);
        let mut prompt = self.prompt_prefix(rng);
        prompt.push(' ');
        prompt.push_str(&effect);
        Some(Call {
            kind,
            effect,
            customer: self.pick_customer(rng),
            entry,
            tokens,
            prompt,
            duplicate: (kind == Kind::NonRepeatable && duplicated).then_some((delay, second_entry)),
        })
    }

    fn pick_entry(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let entries = self.entries.read();
        match entries.len() {
            0 => None,
            count => Some(entries[rng.random_range(0..count)]),
        }
    }

    fn pick_customer(&self, rng: &mut ChaCha8Rng) -> usize {
        let total: u32 = self.customers.iter().map(|c| c.weight).sum();
        let mut draw = rng.random_range(0..total.max(1));
        for (index, customer) in self.customers.iter().enumerate() {
            match draw.checked_sub(customer.weight) {
                Some(rest) => draw = rest,
                None => return index,
            }
        }
        0
    }

    /// Draws one of 16 prompt prefixes, which recur across calls.
    fn prompt_prefix(&self, rng: &mut ChaCha8Rng) -> String {
        let theme = rng.random_range(0..16);
        let text = format!("song {theme} of the hollow, ");
        let mut prompt = text.repeat(self.prompt_bytes / text.len() + 1);
        prompt.truncate(self.prompt_bytes);
        prompt
    }
}
