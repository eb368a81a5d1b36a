//! The entry: a reverse proxy that sends each request of a caller directly to a
//! backend server and the answer back.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use peer::FleetKey;
use peer::datagram::Socket;
use platform::boot::Bounds;
use platform::follow;
use platform::follow::Control;
use platform::follow::CopyPolicy;
use platform::follow::Freshness;
use platform::follow::PollPolicy;
use platform::http::Transport;
use platform::listing;
use platform::rows::Store;
use rand::RngExt;
use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ResultExt;
use snipewinch::cold;
use snipewinch::cutover;
use snipewinch::dispatch;
use snipewinch::dispatch::Shortage;
use snipewinch::engine_config::EngineConfig;
use snipewinch::grant::Credit;
use snipewinch::grant::Published;
use snipewinch::hedge::Hedge;
use snipewinch::region;
use snipewinch::region::Mask;
use snipewinch::retry;
use snipewinch::route::Limits;
use snipewinch::route::Match;
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
use crate::operator::log_evacuations;
use crate::shutdown;
use crate::shutdown::Phase;
use crate::shutdown::Schedule;
use crate::shutdown::wait_for_signal;
use crate::status_server;

mod answer;
mod attempt;
mod backends;
mod call;
mod connection;
mod cut;
mod dispatcher;
mod events;
mod exchange;
mod limits;
mod old_weights;
mod pool;
mod quarantine;
mod relay;
mod second_attempt;

use answer::Reason;
use call::Call;
use dispatcher::Dispatcher;
use dispatcher::Prober;
use dispatcher::Versions;
use pool::Pool;
use quarantine::Quarantine;

/// The interval between polls of the list of backend servers, as a fraction of
/// the time within which a leaving backend server must get no more requests.
/// Heartbeats change the list all the time, so polls without a pause would
/// return at once, and each costs a call to the store.
const LISTING_INTERVAL_FRACTION: f64 = 0.45;
/// How long the store may hold back the response to a poll at most, in multiples of
/// the time within which a change of the table must take effect.
const POLL_WAIT_BOUNDS: f64 = 1.8;
/// The time from the end of the wait of a poll that was lost until its changes are in
/// force: it is suspected, the store is asked whether it answers, and the poll is sent
/// again.
const LOST_POLL_TIME: Duration = Duration::from_millis(1_200);
/// The shortest such wait.
const POLL_WAIT_MIN: Duration = Duration::from_millis(400);
/// The maximum read rate of the list.
const LISTING_BYTES_PER_S_MAX: f64 = 200_000.0;
/// The minimum interval between two reads of the operators' table.
const OPERATOR_INTERVAL_MIN: Duration = Duration::from_millis(150);
/// The maximum read rate of that table: a configuration of 90 KB each second.
const OPERATOR_BYTES_PER_S_MAX: f64 = 90_000.0;
/// The longest pause that this rate imposes before the next read, as a fraction
/// of the time within which a configuration must be in force.
const OPERATOR_PAUSE_FRACTION: f64 = 0.35;
/// The length of the operators' rows from which on entries share compressed
/// copies of them.
const OPERATOR_COPIED_BYTES: usize = 64 << 10;
/// The interval of the dispatcher's timer while requests wait for slots.
const QUEUED_TICK_INTERVAL: Duration = Duration::from_millis(7);
/// The interval of that timer otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The delay of a timer from which on it is logged.
const LATE_TIMER_MIN: Duration = Duration::from_millis(100);
/// The fraction of the shared retry budget that is used. Each entry divides the
/// budget by the number of entries that it knows, which may be outdated for a
/// while after entries start or stop.
const RETRY_BUDGET_FRACTION: f64 = 0.75;
/// The number of entries that share the budget until agents report it.
const ENTRY_COUNT_DEFAULT: u16 = 40;
/// How long a request waits in a process that has just started for the first
/// configuration and list of backend servers.
const STARTUP_WAIT_MAX: Duration = Duration::from_millis(700);
/// The retry delay for a caller whose request arrived before the first
/// configuration.
const RETRY_AFTER_STARTING: Duration = Duration::from_millis(300);
/// The age of a table from which on it counts as outdated, in multiples of the
/// time within which its changes must take effect.
const OUTDATED_BOUNDS: f64 = 2.2;
/// How long the last answers of a process that ends may take to be sent.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// The most routes and customers without an allowed region that are reported while one
/// configuration is in force.
const NO_REGION_REPORTS_MAX: usize = 256;
/// The pause after an error of the listening socket or the agents' socket.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(20);

/// The route and the customer of requests.
type Origin = (SmolStr, Option<SmolStr>);

/// The state that all connections share.
pub(crate) struct Entry {
    pub(crate) clock: Clock,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) pool: Pool,
    pub(crate) metrics: EntryMetrics,
    pub(crate) quarantine: Quarantine,
    pub(crate) hedge: RefCell<Hedge>,
    bounds: Cell<Bounds>,
    operator: RefCell<OperatorState>,
    listing: RefCell<Listing>,
    region_index: region::Index,
    /// The route and customer of requests that were refused because of their regions,
    /// since the configuration of a version came into force.
    without_region: RefCell<(u64, HashSet<Origin>)>,
    retry_budgets: RefCell<HashMap<SmolStr, retry::Budget>>,
    phase: watch::Sender<Phase>,
    /// Whether a configuration and the list of backend servers are known.
    started: watch::Sender<bool>,
    in_flight: Rc<Cell<usize>>,
    /// When the process ends, once it was told to.
    ends_at: Cell<Option<Duration>>,
    tables: Tables,
}

/// How old what an entry knows of the store's tables is.
#[derive(Default)]
struct Tables {
    operator: Freshness,
    listing: Freshness,
    /// Whether the age of each was over its bound at the last check.
    outdated: Cell<[bool; 2]>,
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight {
    in_flight: Rc<Cell<usize>>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.in_flight.set(self.in_flight.get() - 1);
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

    /// The version of the configuration in force; 0 before the first.
    pub(crate) fn configuration_version(&self) -> u64 {
        self.operator.borrow().configuration_version()
    }

    /// The regions that a route and a customer allow.
    pub(crate) fn regions_of(&self, matched: &Match<'_>) -> Mask {
        let route = self.region_index.mask(&matched.route.regions);
        let customer = matched.customer.map(|one| &one.regions);
        let customer = customer.map_or(Mask::ALL, |set| self.region_index.mask(set));
        route.intersection(customer)
    }

    /// The regions to which a request may go by the configuration in force.
    pub(crate) fn regions(&self, call: &Call) -> Mask {
        match self.table() {
            Some(table) if table.configuration().version != call.configuration_version => {
                let customer = call.customer.as_deref();
                self.named_regions(&table, &call.route.name, customer, call.regions)
            }
            Some(_) | None => call.regions,
        }
    }

    /// The regions that a route and a customer allow by a configuration; `known` takes
    /// the place of one that it does not have.
    fn named_regions(
        &self,
        table: &Table,
        route: &str,
        customer: Option<&str>,
        known: Mask,
    ) -> Mask {
        let by_route = match table.route_named(route) {
            Some(route) => self.region_index.mask(&route.regions),
            None => known,
        };
        let by_customer = match customer.map(|name| table.customer(name)) {
            Some(Some(customer)) => self.region_index.mask(&customer.regions),
            Some(None) => known,
            None => Mask::ALL,
        };
        by_route.intersection(by_customer)
    }

    /// Applies the regions of a new configuration to the requests that wait.
    fn update_regions(&self) {
        let Some(table) = self.table() else {
            return;
        };
        self.dispatcher.update_regions(|request| {
            let customer = request.customer.as_deref();
            self.named_regions(&table, &request.route, customer, request.regions)
        });
    }

    /// Passes the evacuated availability zones on to the dispatcher.
    fn update_evacuations(&self) {
        let zones: BTreeSet<SmolStr> = {
            let operator = self.operator.borrow();
            operator.evacuations.names().cloned().collect()
        };
        self.metrics.evacuated_zones.set(zones.len() as i64);
        for zone in zones
            .iter()
            .filter(|zone| !self.region_index.has_zone(zone))
        {
            if self.dispatcher.is_evacuated(zone) {
                continue;
            }
            log::error!(
                "E7145 the row {}{zone} evacuates an availability zone that the settings do not name; check its name, or add it to the settings",
                platform::operator::EVACUATION_PREFIX
            );
        }
        self.dispatcher.set_evacuated(zones);
    }

    /// Ends evacuations that a restored store does not have again in time.
    fn expire_evacuations(&self) {
        let expired = {
            let mut operator = self.operator.borrow_mut();
            operator.evacuations.expire(self.clock.now())
        };
        if !expired.is_empty() {
            log_evacuations(expired);
            self.update_evacuations();
        }
    }

    /// Records that no backend server is where a request may go, once for its route and
    /// customer while a configuration is in force.
    pub(crate) fn record_no_region(&self, call: &Call) {
        let mut without_region = self.without_region.borrow_mut();
        let (version, reported) = &mut *without_region;
        if std::mem::replace(version, self.configuration_version()) != *version {
            reported.clear();
        }
        let customer = call.customer.clone();
        if reported.len() >= NO_REGION_REPORTS_MAX
            || !reported.insert((call.route.name.clone(), customer))
        {
            return;
        }
        let customer = call.customer.as_deref().unwrap_or("(none)");
        match self.regions(call).is_empty() {
            true => log::error!(
                "E7144 requests of route {} and customer {customer} are refused: no region of the settings is allowed by both; give them a common one",
                call.route.name
            ),
            false => log::error!(
                "E7144 requests of route {} and customer {customer} are refused: service {} has no backend server in a region that both allow; start one there, or allow further regions",
                call.route.name,
                call.service
            ),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether the process ends before a deadline, as far as it was told to.
    pub(crate) fn ends_before(&self, deadline: Duration) -> bool {
        self.ends_at.get().is_some_and(|at| at < deadline)
    }

    /// Waits until shutdown has reached `phase`.
    pub(crate) async fn wait_for_phase(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    pub(crate) fn track_request(&self) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight {
            in_flight: self.in_flight.clone(),
        }
    }

    /// Records which versions of the weights of a service were published, and when,
    /// as an agent says it.
    fn record_published(&self, service: Option<SmolStr>, credit: &Credit) {
        let announced = [credit.first_newer, credit.published];
        let announced: Vec<Published> = announced.into_iter().flatten().collect();
        let Some(service) = service.filter(|_| !announced.is_empty()) else {
            return;
        };
        let table = self.table();
        let engine = table
            .as_ref()
            .and_then(|table| table.service(&service))
            .and_then(|service| service.engine.as_ref());
        let Some(model) = engine.and_then(|engine| engine.model.clone()) else {
            return;
        };
        let now = self.clock.now();
        let mut is_new = false;
        for published in announced {
            let mut operator = self.operator.borrow_mut();
            is_new |= operator.record_published(now, model.clone(), published);
        }
        if is_new {
            self.update_versions();
        }
    }

    /// Passes the oldest and newest versions of weights on to the dispatcher.
    fn update_versions(&self) {
        let table = self.table();
        let services = table
            .iter()
            .flat_map(|table| &table.configuration().services);
        for service in services {
            let engine = service.engine.as_ref();
            let versions = match engine.and_then(|engine| engine.model.as_ref()) {
                Some(model) => self.versions(model),
                None => Versions::default(),
            };
            self.dispatcher.set_versions(&service.name, versions);
        }
    }

    /// The published versions of a model.
    fn versions(&self, model: &SmolStr) -> Versions {
        let operator = self.operator.borrow();
        Versions {
            publications: operator.publications(model),
            bound: self.bounds.get().version_skew,
            of_unknown_age: operator.newest_of_unknown_age(model),
            newest: operator.newest(model),
        }
    }

    /// Passes the engine configurations on to the dispatcher.
    fn update_engine_configs(&self) {
        let Some(table) = self.table() else {
            return;
        };
        let bounds = self.bounds.get();
        for service in &table.configuration().services {
            let pace = service
                .cold
                .map(|terms| cold::Pace::new(terms, bounds.cold_overage, bounds.cold_burst));
            self.dispatcher.set_cold_pace(&service.name, pace);
            if let Some(engine_config) = EngineConfig::for_service(&table, &service.name) {
                self.dispatcher
                    .set_engine_config(&service.name, engine_config);
            }
        }
    }

    /// Adds the share of a retry that a first attempt earns to the budget of a
    /// service.
    pub(crate) fn record_first_attempt(&self, service: &SmolStr) {
        self.with_retry_budget(service, |budget| budget.deposit());
        let now = self.clock.now();
        self.hedge.borrow_mut().record_request(now, service);
    }

    /// Takes one retry out of this entry's share of the budget. Returns false
    /// if none is left.
    pub(crate) fn try_retry(&self, service: &SmolStr) -> bool {
        self.with_retry_budget(service, |budget| budget.withdraw())
    }

    fn with_retry_budget<T>(
        &self,
        service: &SmolStr,
        apply: impl FnOnce(&mut retry::Budget) -> T,
    ) -> T {
        let bounds = self.bounds.get();
        let percent = (bounds.retry_ratio * RETRY_BUDGET_FRACTION * 100.0) as u32;
        let entries = self
            .dispatcher
            .entry_count()
            .unwrap_or(ENTRY_COUNT_DEFAULT)
            .max(1);
        let balance_max = (bounds.retry_burst * RETRY_BUDGET_FRACTION / f64::from(entries)) as u32;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
            let mut budget = retry::Budget::with_balance_max(percent, balance_max);
            budget.fill();
            budget
        });
        budget.set_balance_max(balance_max);
        apply(budget)
    }

    /// The delay after which a refused caller with `left` time should retry.
    pub(crate) fn retry_after(&self, reason: Reason, left: Duration) -> Duration {
        let jitter = rand::rng().random();
        match reason {
            Reason::Starting => RETRY_AFTER_STARTING,
            Reason::Leaving => Duration::ZERO,
            Reason::Evacuated | Reason::Nobody | Reason::Region => {
                dispatch::retry_after(Shortage::NoServer, left, jitter)
            }
            Reason::Resting(rest) => dispatch::retry_after(Shortage::Rest(rest), left, jitter),
            _ => dispatch::retry_after(Shortage::Busy, left, jitter),
        }
    }

    /// Waits for the first configuration and list of backend servers, for at
    /// most [`STARTUP_WAIT_MAX`].
    pub(crate) async fn wait_started(&self) {
        let mut started = self.started.subscribe();
        let _ = timeout(STARTUP_WAIT_MAX, started.wait_for(|started| *started)).await;
    }

    fn update_started(&self) {
        let known = self.operator.borrow().table.is_some() && self.listing.borrow().is_loaded();
        self.started
            .send_if_modified(|started| !std::mem::replace(started, known) && known);
    }

    /// Counts an answer that is sent to a caller.
    pub(crate) fn record_answer(&self, call: &Call, status: u16) {
        let took = self.clock.now().saturating_sub(call.arrived);
        log::debug!(
            "E7114 request {} answered with {status} after {} ms",
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

    /// Records how old the configuration and the list are, and says so when one
    /// is older than its bound allows.
    fn check_tables(&self) {
        let bounds = self.bounds.get();
        let tables = [
            (
                platform::operator::TABLE,
                &self.tables.operator,
                bounds.configuration_apply,
            ),
            (listing::TABLE, &self.tables.listing, bounds.drain),
        ];
        let before = self.tables.outdated.get();
        let mut outdated = [false; 2];
        for (index, (table, freshness, bound)) in tables.into_iter().enumerate() {
            let age = freshness.age();
            self.metrics
                .table_age
                .with_label_values(&[table])
                .set(age.as_secs_f64());
            outdated[index] = age > bound.mul_f64(OUTDATED_BOUNDS);
            if outdated[index] && !before[index] {
                log::warn!(
                    "E7013 table {table} was last confirmed {} ms ago; requests are handled by what was known then",
                    age.as_millis()
                );
            }
            if before[index] && !outdated[index] {
                log::info!("E7014 table {table} is confirmed again");
            }
        }
        self.tables.outdated.set(outdated);
    }

    /// Records how late a timer has fired that was due at a time.
    fn record_timer(&self, due: Duration) {
        let now = self.clock.now();
        let delay = now.saturating_sub(due);
        self.dispatcher.record_lateness(now, delay);
        self.metrics.timer_delay.observe(delay.as_secs_f64());
        if delay >= LATE_TIMER_MIN {
            log::info!(
                "E7130 the process stood still or was busy for {} ms",
                delay.as_millis()
            );
        }
    }

    fn is_ready(&self) -> bool {
        *self.started.borrow() && self.phase() == Phase::Running
    }
}

/// Runs an entry until SIGTERM or SIGINT and the shutdown that follows.
pub(crate) async fn run(config: Config) -> Result<(), Error> {
    let settings = &config.settings;
    let missing = UsageSnafu {
        detail: "an entry needs the settings listen.frontend and listen.readiness",
    };
    let frontend = settings.frontend.context(missing)?;
    let missing = UsageSnafu {
        detail: "an entry needs the settings listen.frontend and listen.readiness",
    };
    let readiness = settings.readiness.context(missing)?;
    log::info!("E7000 starting entry {}", settings.identity.host);
    let clock = Clock::start();
    let entry = Rc::new(Entry {
        clock,
        dispatcher: Dispatcher::open(clock, settings),
        pool: Pool::default(),
        metrics: EntryMetrics::new(),
        quarantine: Quarantine::open(),
        hedge: RefCell::new(Hedge::open(config.second_attempts)),
        bounds: Cell::new(settings.bounds),
        operator: RefCell::default(),
        listing: RefCell::default(),
        region_index: region::Index::new(settings.regions.iter()),
        without_region: RefCell::default(),
        retry_budgets: RefCell::default(),
        phase: watch::Sender::new(Phase::Running),
        started: watch::Sender::new(false),
        in_flight: Rc::default(),
        ends_at: Cell::default(),
        tables: Tables::default(),
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
    accept(entry.clone(), frontend).await?;
    let store = Store::open(Transport::open(), settings.store);
    spawn_local(follow_operators(entry.clone(), store.clone()));
    spawn_local(follow_listing(entry.clone(), store.clone()));
    spawn_local(quarantine::run(
        entry.clone(),
        store.clone(),
        settings.identity.host.as_str().into(),
    ));
    spawn_local(limits::run(
        entry.clone(),
        store.clone(),
        settings.identity.host.as_str().into(),
    ));
    spawn_local(receive_credits(
        entry.clone(),
        store,
        settings.identity.address,
    ));
    spawn_local(run_timer(entry.clone()));
    spawn_local(reload_settings(entry.clone(), config.path.clone()));
    wait_for_signal(&entry.phase).await.context(SystemSnafu)?;
    shut_down(&entry).await;
    Ok(())
}

/// Waits until no request is in flight or the time is up.
async fn wait_answered(entry: &Entry, until: Duration) {
    while entry.in_flight.get() > 0 && entry.clock.now() < until {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Shuts down gracefully. The readiness page has said "not ready" since the
/// signal; requests are still answered while callers arrive. Then idle
/// connections are closed, and the entry ends once no request is in flight. When
/// its time is up, it tells callers that wait what is known of their requests.
async fn shut_down(entry: &Entry) {
    log::info!(
        "E7005 entry shutting down with {} requests in flight",
        entry.in_flight.get()
    );
    let started = entry.clock.now();
    let schedule = Schedule::within(entry.bounds.get().shutdown_grace);
    entry.ends_at.set(Some(started + schedule.end));
    sleep(schedule.close).await;
    entry.phase.send_replace(Phase::Closing);
    sleep(Duration::from_millis(50)).await;
    wait_answered(entry, started + schedule.end).await;
    entry.phase.send_replace(Phase::Ending);
    wait_answered(entry, entry.clock.now() + LAST_ANSWERS_TIME).await;
    log::info!(
        "E7006 entry exiting with {} requests in flight",
        entry.in_flight.get()
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
                    log::warn!("E7115 failed to accept a caller's connection: {error}");
                    sleep(SOCKET_ERROR_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

/// How long the store may hold back the response to a poll of a table whose changes
/// have a bound. The poll that was lost last, as a disturbance ended, must have been
/// sent again when the bounds hold again.
fn poll_wait(bounds: Bounds, bound: impl Fn(&Bounds) -> Duration) -> Duration {
    let unnoticed = bounds.recovery.saturating_sub(LOST_POLL_TIME);
    let wait = bound(&bounds).mul_f64(POLL_WAIT_BOUNDS);
    wait.min(unnoticed).max(POLL_WAIT_MIN)
}

async fn follow_operators(entry: Rc<Entry>, store: Store) {
    let policy = PollPolicy {
        wait_max: poll_wait(entry.bounds.get(), |bounds| bounds.configuration_apply),
        interval_min: OPERATOR_INTERVAL_MIN,
        bytes_per_s: OPERATOR_BYTES_PER_S_MAX,
        pause_max: entry
            .bounds
            .get()
            .configuration_apply
            .mul_f64(OPERATOR_PAUSE_FRACTION),
        relaxed_interval: None,
        settle_time: Duration::ZERO,
        copied: Some(CopyPolicy {
            bytes_min: OPERATOR_COPIED_BYTES,
            bound: entry.bounds.get().configuration_apply,
        }),
    };
    let control = Control {
        freshness: entry.tables.operator.clone(),
        ..Control::default()
    };
    let (mut changes, _task) =
        follow::spawn_with(store, platform::operator::TABLE, policy, control);
    while let Some(update) = changes.recv().await {
        let made = cutover::Interval {
            earliest: entry.clock.time_of(update.after),
            latest: entry.clock.time_of(update.before),
        };
        if entry.operator.borrow_mut().apply(made, update.change) {
            entry.update_engine_configs();
            entry.update_regions();
        }
        entry.update_evacuations();
        entry.update_started();
    }
}

async fn follow_listing(entry: Rc<Entry>, store: Store) {
    let interval_min = entry.bounds.get().drain.mul_f64(LISTING_INTERVAL_FRACTION);
    let policy = PollPolicy {
        wait_max: poll_wait(entry.bounds.get(), |bounds| bounds.drain),
        interval_min,
        bytes_per_s: LISTING_BYTES_PER_S_MAX,
        pause_max: interval_min,
        relaxed_interval: None,
        settle_time: Duration::ZERO,
        copied: None,
    };
    let control = Control {
        freshness: entry.tables.listing.clone(),
        ..Control::default()
    };
    let (mut changes, _task) = follow::spawn_with(store, listing::TABLE, policy, control);
    while let Some(update) = changes.recv().await {
        let now = entry.clock.now();
        let updates = entry.listing.borrow_mut().apply(now, update.change);
        entry.dispatcher.apply_updates(updates);
        entry.update_started();
    }
}

/// Receives the credits that agents send.
async fn receive_credits(entry: Rc<Entry>, store: Store, address: SocketAddr) {
    let socket = match Socket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log::error!(
                "E7007 failed to bind {address} for messages of agents: {error}; no slots are demanded from them"
            );
            return;
        }
    };
    let secret = fleet_key::obtain(&store).await;
    let key = FleetKey::new(&secret);
    spawn_local(fleet_key::keep(store, secret));
    entry.dispatcher.connect_agents(socket.clone(), key.clone());
    loop {
        match socket.receive::<Credit>(&key).await {
            Ok((credit, from)) => {
                let service = entry.dispatcher.receive_credit(from, &credit);
                entry.record_published(service, &credit);
            }
            Err(error) => {
                log::warn!("E7008 failed to receive from agents: {error}");
                sleep(SOCKET_ERROR_DELAY).await;
            }
        }
    }
}

/// Applies the settings again after each SIGHUP.
async fn reload_settings(entry: Rc<Entry>, path: PathBuf) {
    let result = shutdown::on_reload(&path, |settings| entry.bounds.set(settings.bounds)).await;
    if let Err(error) = result {
        log::error!(
            "E7009 installing the SIGHUP handler failed, settings will not be reloaded: {error}"
        );
    }
}

async fn run_timer(entry: Rc<Entry>) {
    let mut prober = Prober::open();
    loop {
        let begin = entry.clock.now();
        let interval = match entry.dispatcher.is_waiting() {
            true => QUEUED_TICK_INTERVAL,
            false => IDLE_TICK_INTERVAL,
        };
        tokio::select! {
            () = sleep(interval) => entry.record_timer(begin + interval),
            () = entry.dispatcher.wait_queued(), if interval == IDLE_TICK_INTERVAL => {}
        }
        let updates = entry.listing.borrow_mut().tick(entry.clock.now());
        if !updates.is_empty() {
            entry.dispatcher.apply_updates(updates);
        }
        entry.update_versions();
        entry.check_tables();
        entry.expire_evacuations();
        entry.dispatcher.tick();
        prober.tick(&entry);
        entry.pool.sweep();
        let blocked = entry.quarantine.tick(entry.clock.now());
        entry.metrics.blocked_parts.set(blocked as i64);
        let limited = entry.dispatcher.limited_servers();
        entry.metrics.limited_servers.set(limited as i64);
        let (cold_servers, cold_held_back) = entry.dispatcher.cold_servers();
        entry.metrics.cold_servers.set(cold_servers as i64);
        entry.metrics.cold_held_back.set(cold_held_back as i64);
        let resting = entry.dispatcher.resting_servers();
        entry.metrics.resting_servers.set(resting as i64);
        let slowed = entry.dispatcher.slowed_servers();
        entry.metrics.slowed_servers.set(slowed as i64);
    }
}
