//! Live calls: open-loop, seeded, each answer checked whole.
//!
//! Arrivals do not wait for answers, so that a slow fleet is not spared. Every
//! call has an effect of its own, a word that the stand-in back ends count; a
//! call that is repeated under the same idempotency key has the same effect.

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

mod ask;
mod probe;
mod record;

pub use probe::Probe;
pub use probe::probes;
pub use record::Kind;
pub use record::Outcome;
pub use record::Record;
pub use record::Totals;

/// What calls to send.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entries that a balancer would choose from, as they change.
    pub entries: Arc<RwLock<Vec<SocketAddr>>>,
    /// Calls a second.
    pub rps: f64,
    /// Decides arrivals, kinds and customers.
    pub seed: u64,
    /// A word that no other load on the same fleet uses.
    pub name: SmolStr,
    /// The model to ask for.
    pub model: SmolStr,
    /// The path of a plain service whose calls may be repeated, if any.
    pub plain: Option<SmolStr>,
    /// The path of a plain service whose calls may not be repeated, if any.
    pub non_repeatable: Option<SmolStr>,
    /// Percent of calls that may not be repeated.
    pub non_repeatable_percent: u32,
    /// Percent of calls to the plain service.
    pub plain_percent: u32,
    /// Percent of the other calls that are streamed.
    pub stream_percent: u32,
    /// Percent of non-repeatable calls that the caller sends a second time,
    /// under the same key, to any entry.
    pub duplicate_percent: u32,
    /// Tokens of an answer, at least.
    pub tokens_min: u64,
    /// Tokens of an answer, at most.
    pub tokens_max: u64,
    /// Bytes of the prompt.
    pub prompt_bytes: usize,
    /// Bearer keys of the customers, with the share of the calls of each.
    pub customers: Vec<Customer>,
    /// How long a caller waits for an answer.
    pub answer_timeout: Duration,
}

/// A customer that sends calls.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub name: SmolStr,
    /// Its bearer key.
    pub key: String,
    /// Its share of the calls, against the others'.
    pub weight: u32,
}

/// A load that runs until it is stopped.
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
    under_way: Mutex<Vec<JoinHandle<()>>>,
    totals: Mutex<Totals>,
}

/// One call as it is sent.
#[derive(Clone, Debug)]
struct Call {
    kind: Kind,
    effect: SmolStr,
    customer: usize,
    entry: SocketAddr,
    tokens: u64,
    prompt: String,
    /// How long after its arrival it is sent again.
    again: Option<(Duration, SocketAddr)>,
}

impl Settings {
    /// Calls to the balanced entries of a fleet, spread over its customers.
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
    /// Starts to send calls.
    pub fn spawn(settings: Settings) -> Load {
        let shared = Arc::new(Shared {
            settings,
            client: Client::new(),
            started: Instant::now(),
            stop: AtomicBool::new(false),
            under_way: Mutex::default(),
            totals: Mutex::default(),
        });
        let arrivals = tokio::spawn(arrive(shared.clone()));
        Load { shared, arrivals }
    }

    /// The totals so far.
    pub fn totals(&self) -> Totals {
        self.shared.totals.lock().clone()
    }

    /// Seconds since the load began, as records count them.
    pub fn elapsed(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Sends no more calls, waits for those under way and sums up.
    pub async fn stop(self) -> Totals {
        self.shared.stop.store(true, Ordering::Relaxed);
        let _ = self.arrivals.await;
        loop {
            let waiting = std::mem::take(&mut *self.shared.under_way.lock());
            if waiting.is_empty() {
                break;
            }
            for call in waiting {
                let _ = call.await;
            }
        }
        self.shared.totals.lock().clone()
    }
}

async fn arrive(shared: Arc<Shared>) {
    let mut rng = ChaCha8Rng::seed_from_u64(shared.settings.seed);
    let mut next = tokio::time::Instant::now();
    let mut number = 0;
    while !shared.stop.load(Ordering::Relaxed) {
        // Poisson arrivals: exponential gaps.
        let gap = -(1.0 - rng.random::<f64>()).ln() / shared.settings.rps;
        next += Duration::from_secs_f64(gap);
        tokio::time::sleep_until(next).await;
        number += 1;
        let Some(call) = shared.settings.draw(&mut rng, number) else {
            continue;
        };
        let task = tokio::spawn(carry(shared.clone(), call));
        let mut under_way = shared.under_way.lock();
        if under_way.len() >= SWEEP_AT {
            under_way.retain(|task| !task.is_finished());
        }
        under_way.push(task);
    }
}

/// Tasks that are kept before finished ones are let go.
const SWEEP_AT: usize = 1024;
/// The longest wait before a duplicate is sent, in milliseconds.
const AGAIN_MAX_MS: u64 = 300;

async fn carry(shared: Arc<Shared>, call: Call) {
    match call.again {
        None => send(&shared, &call).await,
        Some((delay, entry)) => {
            let again = Call {
                entry,
                ..call.clone()
            };
            let second = async {
                tokio::time::sleep(delay).await;
                send(&shared, &again).await;
            };
            tokio::join!(send(&shared, &call), second);
        }
    }
}

async fn send(shared: &Shared, call: &Call) {
    let sent = shared.started.elapsed();
    let asked = ask::ask(&shared.client, &shared.settings, call).await;
    let record = Record {
        kind: call.kind,
        outcome: asked.outcome,
        effect: call.effect.clone(),
        customer: call.customer,
        entry: call.entry,
        sent,
        duration: shared.started.elapsed().saturating_sub(sent),
        status: asked.status,
        code: asked.code,
        version: asked.version,
    };
    let mut totals = shared.totals.lock();
    totals.add(record, asked.first_token, &asked.gaps);
}

impl Settings {
    fn draw(&self, rng: &mut ChaCha8Rng, number: u64) -> Option<Call> {
        let effect = format_smolstr!("{}-{number}", self.name);
        let percent = rng.random_range(0..100);
        let streamed = rng.random_range(0..100) < self.stream_percent;
        let kind = match (&self.non_repeatable, &self.plain) {
            (Some(_), _) if percent < self.non_repeatable_percent => Kind::NonRepeatable,
            (_, Some(_)) if percent < self.non_repeatable_percent + self.plain_percent => {
                Kind::Plain
            }
            _ if streamed => Kind::Stream,
            _ => Kind::Buffered,
        };
        let repeats = rng.random_range(0..100) < self.duplicate_percent;
        let delay = Duration::from_millis(rng.random_range(0..=AGAIN_MAX_MS));
        let entry = self.balance(rng)?;
        let second = self.balance(rng)?;
        let tokens = rng.random_range(self.tokens_min..=self.tokens_max);
        let mut prompt = self.customer_text(rng);
        prompt.push(' ');
        prompt.push_str(&effect);
        Some(Call {
            kind,
            effect,
            customer: self.customer(rng),
            entry,
            tokens,
            prompt,
            again: (kind == Kind::NonRepeatable && repeats).then_some((delay, second)),
        })
    }

    fn balance(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let entries = self.entries.read();
        match entries.len() {
            0 => None,
            count => Some(entries[rng.random_range(0..count)]),
        }
    }

    fn customer(&self, rng: &mut ChaCha8Rng) -> usize {
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

    /// A prompt's beginning, one of a few that recur.
    fn customer_text(&self, rng: &mut ChaCha8Rng) -> String {
        let theme = rng.random_range(0..16);
        let text = format!("song {theme} of the hollow, ");
        let mut prompt = text.repeat(self.prompt_bytes / text.len() + 1);
        prompt.truncate(self.prompt_bytes);
        prompt
    }
}
