//! The entry: callers' requests, straight to backend servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use peer::datagram::Socket;
use platform::boot::Bounds;
use platform::follow;
use platform::follow::Pace;
use platform::http::Caller;
use platform::listing;
use platform::rows::Store;
use rand::RngExt;
use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ResultExt;
use snipewinch::dispatch;
use snipewinch::dispatch::Shortage;
use snipewinch::engine_config::EngineConfig;
use snipewinch::grant::Credit;
use snipewinch::retry;
use snipewinch::route::Limits;
use snipewinch::route::Table;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Config;
use crate::Error;
use crate::clock::Clock;
use crate::discovery::Listing;
use crate::error::BindSnafu;
use crate::error::SystemSnafu;
use crate::error::UsageSnafu;
use crate::fleet_key;
use crate::metrics::EntryMetrics;
use crate::operator::OperatorState;
use crate::operator::VERSION_MARGIN;
use crate::shutdown;
use crate::shutdown::Phase;
use crate::shutdown::Schedule;
use crate::shutdown::wait_for_signal;
use crate::status_server;

mod answer;
mod backends;
mod call;
mod connection;
mod dispatcher;
mod events;
mod pool;

use answer::Reason;
use call::Call;
use dispatcher::Desk;
use pool::Pool;

/// The part of the time in which a backend server that leaves must be left
/// alone after which the list is asked for again: heartbeats change the list all
/// the time, and each poll costs a call.
const LISTING_PART: f64 = 0.45;
/// The most that is read of the list in a second.
const LISTING_BYTES_PER_S: f64 = 200_000.0;
/// The least time between two reads of what operators write.
const OPERATOR_GAP: Duration = Duration::from_millis(150);
/// The most that is read of it in a second: a configuration of 90 KB once.
const OPERATOR_BYTES_PER_S: f64 = 90_000.0;
/// The part of the time in which a configuration must be in force for which
/// the reading of the next one may be held up.
const OPERATOR_REST_PART: f64 = 0.35;
/// How often the desk is looked after while requests wait.
const BUSY_TICK: Duration = Duration::from_millis(7);
/// How often otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// The part of the shared budget of retries that is used: entries that start
/// or stop count wrongly for a while.
const RETRY_PART: f64 = 0.75;
/// How many entries share the budget while that is not known.
const ENTRIES: u16 = 40;
/// How long a request waits for the first configuration and list of a process
/// that has just started.
const START_WAIT: Duration = Duration::from_millis(700);
/// The wait of a caller that came before the configuration.
const STARTING: Duration = Duration::from_millis(300);
/// The pause after the system refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What all connections share.
pub(crate) struct Entry {
    pub(crate) clock: Clock,
    pub(crate) desk: Desk,
    pub(crate) pool: Pool,
    pub(crate) metrics: EntryMetrics,
    bounds: Cell<Bounds>,
    operator: RefCell<OperatorState>,
    listing: RefCell<Listing>,
    retries: RefCell<HashMap<SmolStr, retry::Budget>>,
    phase: watch::Sender<Phase>,
    /// Whether a configuration and the list of backend servers are known.
    started: watch::Sender<bool>,
    under_way: Rc<Cell<usize>>,
}

/// Counts a request as under way until it is dropped.
pub(crate) struct Work {
    under_way: Rc<Cell<usize>>,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.under_way.set(self.under_way.get() - 1);
    }
}

impl Entry {
    pub(crate) fn table(&self) -> Option<Rc<Table>> {
        self.operator.borrow().table.clone()
    }

    pub(crate) fn limits(&self) -> Option<Limits> {
        let operator = self.operator.borrow();
        operator
            .table
            .as_ref()
            .map(|table| table.configuration().limits)
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Resolves when a stop has come as far as `phase`.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        // The sender lives in `self`, so waiting can't fail.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    pub(crate) fn work(&self) -> Work {
        self.under_way.set(self.under_way.get() + 1);
        Work {
            under_way: self.under_way.clone(),
        }
    }

    /// The oldest version of a model's weights on which a request may start.
    fn version_floor(&self, model: &str) -> u64 {
        let age = self.bounds.get().version.saturating_sub(VERSION_MARGIN);
        let operator = self.operator.borrow();
        operator.newest_older_than(model, self.clock.now(), age)
    }

    /// Tells the desk which versions of weights are old by now.
    fn floor(&self) {
        let table = self.table();
        let services = table
            .iter()
            .flat_map(|table| &table.configuration().services);
        for service in services {
            let model = service
                .engine
                .as_ref()
                .and_then(|engine| engine.model.as_ref());
            if let Some(model) = model {
                let operator = self.operator.borrow();
                let (found, newest) = (operator.initial_version(model), operator.newest(model));
                let own = self.version_floor(model);
                self.desk.set_versions(&service.name, own, found, newest);
            }
        }
    }

    /// Tells the desk what the configuration says of engines.
    fn set_terms(&self) {
        let Some(table) = self.table() else {
            return;
        };
        for service in &table.configuration().services {
            if let Some(terms) = EngineConfig::for_service(&table, &service.name) {
                self.desk.set_terms(&service.name, terms);
            }
        }
    }

    /// A first try was sent.
    pub(crate) fn earn(&self, service: &SmolStr) {
        self.budget(service, |budget| budget.deposit());
    }

    /// Takes one retry out of this entry's share of the budget.
    pub(crate) fn spend(&self, service: &SmolStr) -> bool {
        self.budget(service, |budget| budget.withdraw())
    }

    fn budget<T>(&self, service: &SmolStr, act: impl FnOnce(&mut retry::Budget) -> T) -> T {
        let bounds = self.bounds.get();
        let percent = (bounds.retry_ratio * RETRY_PART * 100.0) as u32;
        let entries = self.desk.entries().unwrap_or(ENTRIES).max(1);
        let most = (bounds.retry_burst * RETRY_PART / f64::from(entries)) as u32;
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(service.clone()).or_insert_with(|| {
            let mut budget = retry::Budget::with_balance_max(percent, most);
            budget.fill();
            budget
        });
        budget.set_balance_max(most);
        act(budget)
    }

    /// When a refused caller with so much time left may come back.
    pub(crate) fn retry_after(&self, reason: Reason, left: Duration) -> Duration {
        let draw = rand::rng().random();
        match reason {
            Reason::Starting => STARTING,
            Reason::Leaving => Duration::ZERO,
            Reason::Nobody => dispatch::retry_after(Shortage::NoServer, left, draw),
            _ => dispatch::retry_after(Shortage::Busy, left, draw),
        }
    }

    /// Waits for the first configuration and list, for a while.
    pub(crate) async fn started(&self) {
        let mut started = self.started.subscribe();
        let _ = timeout(START_WAIT, started.wait_for(|started| *started)).await;
    }

    fn check_started(&self) {
        let known = self.operator.borrow().table.is_some() && self.listing.borrow().is_loaded();
        self.started
            .send_if_modified(|started| !std::mem::replace(started, known) && known);
    }

    /// An answer goes to a caller.
    pub(crate) fn answered(&self, call: &Call, status: u16) {
        let took = self.clock.now().saturating_sub(call.arrived);
        log::debug!(
            "E7114 request {} is answered {status} after {} ms",
            call.id,
            took.as_millis()
        );
        self.metrics
            .answers
            .with_label_values(&[status.to_string().as_str()])
            .inc();
        if !call.route.repeat.is_stream() {
            self.metrics.first_byte.observe(took.as_secs_f64());
        }
    }

    fn is_ready(&self) -> bool {
        *self.started.borrow() && self.phase() == Phase::Running
    }
}

/// Runs an entry until it is told to stop.
pub(crate) async fn run(config: Config) -> Result<(), Error> {
    let settings = &config.settings;
    let missing = UsageSnafu {
        detail: "an entry needs addresses for callers and readiness",
    };
    let callers = settings.callers.context(missing)?;
    let missing = UsageSnafu {
        detail: "an entry needs addresses for callers and readiness",
    };
    let readiness = settings.readiness.context(missing)?;
    log::info!("E7000 entry {} starts", settings.identity.host);
    let clock = Clock::start();
    let entry = Rc::new(Entry {
        clock,
        desk: Desk::open(clock, settings),
        pool: Pool::default(),
        metrics: EntryMetrics::new(),
        bounds: Cell::new(settings.bounds),
        operator: RefCell::default(),
        listing: RefCell::default(),
        retries: RefCell::default(),
        phase: watch::Sender::new(Phase::Running),
        started: watch::Sender::new(false),
        under_way: Rc::default(),
    });
    let shared = entry.clone();
    let page = move |path: &str| match path {
        "/readyz" if shared.is_ready() => (200, "ready".to_owned()),
        "/readyz" => (503, "not ready".to_owned()),
        _ => (404, "no such page; ask for /readyz".to_owned()),
    };
    status_server::serve(readiness, "readiness", page).await?;
    let shared = entry.clone();
    let page = move |_: &str| (200, shared.metrics.text());
    let metrics = SocketAddr::new(settings.identity.address.ip(), config.metrics_port);
    status_server::serve(metrics, "metrics", page).await?;
    accept(entry.clone(), callers).await?;
    let store = Store::open(Caller::open(), settings.store);
    spawn_local(follow_operators(entry.clone(), store.clone()));
    spawn_local(follow_listing(entry.clone(), store.clone()));
    spawn_local(talk(entry.clone(), store, settings.identity.address));
    spawn_local(tick(entry.clone()));
    spawn_local(reload(entry.clone(), config.path.clone()));
    wait_for_signal(&entry.phase).await.context(SystemSnafu)?;
    stop(&entry).await;
    Ok(())
}

/// Says that it leaves and serves on while callers still come; then closes what
/// is idle, and ends once nothing is under way.
async fn stop(entry: &Entry) {
    log::info!(
        "E7005 the entry leaves, with {} requests under way",
        entry.under_way.get()
    );
    let started = entry.clock.now();
    let stop = Schedule::within(entry.bounds.get().stop);
    sleep(stop.close).await;
    entry.phase.send_replace(Phase::Closing);
    sleep(Duration::from_millis(50)).await;
    while entry.under_way.get() > 0 && entry.clock.now() - started < stop.end {
        sleep(Duration::from_millis(20)).await;
    }
    log::info!(
        "E7006 the entry ends, with {} requests under way",
        entry.under_way.get()
    );
}

async fn accept(entry: Rc<Entry>, address: SocketAddr) -> Result<(), Error> {
    let what = "callers";
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address, what })?;
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(connection::serve(entry.clone(), stream));
                }
                Err(error) => {
                    log::warn!("E7115 a caller's connection was not accepted: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn follow_operators(entry: Rc<Entry>, store: Store) {
    let pace = Pace {
        gap: OPERATOR_GAP,
        bytes_per_s: OPERATOR_BYTES_PER_S,
        rest_max: entry.bounds.get().configuration.mul_f64(OPERATOR_REST_PART),
        relaxed: None,
        settle: Duration::ZERO,
    };
    let (mut changes, _task) = follow::spawn(store, platform::operator::TABLE, pace);
    while let Some(change) = changes.recv().await {
        let now = entry.clock.now();
        if entry.operator.borrow_mut().apply(now, change) {
            entry.set_terms();
        }
        entry.check_started();
    }
}

async fn follow_listing(entry: Rc<Entry>, store: Store) {
    let gap = entry.bounds.get().drain.mul_f64(LISTING_PART);
    let pace = Pace {
        gap,
        bytes_per_s: LISTING_BYTES_PER_S,
        rest_max: gap,
        relaxed: None,
        settle: Duration::ZERO,
    };
    let (mut changes, _task) = follow::spawn(store, listing::TABLE, pace);
    while let Some(change) = changes.recv().await {
        let now = entry.clock.now();
        let news = entry.listing.borrow_mut().apply(now, change);
        entry.desk.news(news);
        entry.check_started();
    }
}

/// Hears what agents say.
async fn talk(entry: Rc<Entry>, store: Store, address: SocketAddr) {
    let socket = match Socket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log::error!(
                "E7007 {address} can't be bound for agents: {error}; places are used without them"
            );
            return;
        }
    };
    let key = fleet_key::obtain(&store).await;
    entry.desk.link(socket.clone(), key.clone());
    loop {
        match socket.receive::<Credit>(&key).await {
            Ok((give, from)) => entry.desk.hear(from, &give),
            Err(error) => {
                log::warn!("E7008 nothing was read from agents: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Reads the settings again when told to.
async fn reload(entry: Rc<Entry>, path: PathBuf) {
    let told = shutdown::on_reload(&path, |settings| entry.bounds.set(settings.bounds)).await;
    if let Err(error) = told {
        log::error!("E7009 SIGHUP is not heard: {error}");
    }
}

async fn tick(entry: Rc<Entry>) {
    loop {
        match entry.desk.is_waiting() {
            true => sleep(BUSY_TICK).await,
            false => {
                let _ = timeout(IDLE_TICK, entry.desk.queued()).await;
            }
        }
        let news = entry.listing.borrow_mut().tick(entry.clock.now());
        if !news.is_empty() {
            entry.desk.news(news);
        }
        entry.floor();
        entry.desk.tick();
        entry.pool.sweep();
    }
}
