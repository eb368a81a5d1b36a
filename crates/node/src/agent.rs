//! The agent: grants the slots of the model engine on its host to entries and
//! loads weights into it.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use peer::FleetKey;
use peer::datagram::Socket;
use peer::hub;
use peer::hub::Hub;
use platform::boot::Bounds;
use platform::boot::Settings;
use platform::engine::Engine;
use platform::follow;
use platform::follow::Change;
use platform::follow::Control;
use platform::follow::PollPolicy;
use platform::follow::Urgency;
use platform::http::Transport;
use platform::listing;
use platform::rows::Row;
use platform::rows::Store;
use prometheus::Registry;
use rand::RngExt;
use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ResultExt;
use snipewinch::cold;
use snipewinch::cutover;
use snipewinch::engine_config::EngineConfig;
use snipewinch::grant;
use snipewinch::host::Identity;
use snipewinch::host::Name;
use snipewinch::host::Role;
use snipewinch::membership::Member;
use snipewinch::membership::State;
use snipewinch::membership::View;
use snipewinch::route;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::Config;
use crate::Error;
use crate::clock::Clock;
use crate::discovery::Listing;
use crate::error::LinksSnafu;
use crate::error::SystemSnafu;
use crate::error::UsageSnafu;
use crate::fleet_key;
use crate::metrics::AgentMetrics;
use crate::operator::OperatorState;
use crate::shutdown;
use crate::shutdown::Phase;
use crate::shutdown::wait_for_signal;
use crate::status_server;

mod chunks;
mod loader;
mod slot_pool;
mod timeline;

use slot_pool::SlotPool;
use slot_pool::loaded_version;
use timeline::Timeline;

/// How often the list of backend servers is read. An agent needs it only to
/// find the other agents.
const LISTING_POLL_POLICY: PollPolicy = PollPolicy {
    wait_max: Duration::from_secs(4),
    interval_min: Duration::from_millis(2_000),
    bytes_per_s: 100_000.0,
    pause_max: Duration::from_secs(4),
    relaxed_interval: Some(Duration::from_secs(8)),
    settle_time: Duration::from_secs(15),
    copied: None,
};
/// How often published versions of weights are read from the store. Entries
/// announce them sooner.
const VERSION_READ_INTERVAL: Duration = Duration::from_secs(10);
/// The delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(700);
/// The longest delay between reads while the engine's configuration is unknown.
const CONFIG_READ_DELAY_MAX: Duration = Duration::from_secs(2);
/// The jitter of these delays, as factors, so that agents do not read at the
/// same time.
const READ_JITTER: std::ops::Range<f64> = 0.7..1.3;
/// How long an agent waits for an entry to send the configuration of its engine
/// before it reads the whole configuration from the store. Requests that need
/// it come from entries, which send it, too.
const CONFIG_WAIT: Duration = Duration::from_secs(6);

/// State that the tasks of an agent share.
pub(crate) struct Agent {
    clock: Clock,
    settings: Settings,
    service: SmolStr,
    engine: Engine,
    /// The HTTP client for the origin of weights, which all agents read from.
    origin_transport: Transport,
    slot_pool: SlotPool,
    /// The versions of weights that operators have published.
    operator_state: RefCell<OperatorState>,
    /// Notified when the published versions must be read again.
    versions_doubted: Notify,
    /// The version that the origin has refused last.
    refused_version: Cell<Option<u64>>,
    /// The configuration of the engine; `None` until it is known.
    engine_config: RefCell<Option<EngineConfig>>,
    listing: RefCell<Listing>,
    /// The listed backend servers, as hosts of agents.
    view: RefCell<Rc<View>>,
    /// Notified when anything changes that the loading of weights depends on.
    changed: Notify,
    phase: watch::Sender<Phase>,
    bounds: Cell<Bounds>,
    /// Set while changes of the list of agents are needed without delay.
    urgency: Urgency,
    /// How far the engine is with new versions of the weights.
    timeline: RefCell<Timeline>,
    metrics: AgentMetrics,
}

/// The weights that the engine should hold.
#[derive(Clone, Debug, PartialEq)]
struct Target {
    model: SmolStr,
    version: u64,
    /// When this process learned of the version.
    learned_at: Duration,
    origin: route::Origin,
}

impl Agent {
    /// The parameters of the engine on this host, from the configuration.
    fn engine_spec(&self) -> Option<route::Engine> {
        let config = self.engine_config.borrow();
        config.as_ref().map(|config| config.engine.clone())
    }

    /// The longest gap between events that all routes to the engine allow.
    fn max_gap(&self) -> Duration {
        let config = self.engine_config.borrow();
        config
            .as_ref()
            .map(|config| config.max_gap)
            .unwrap_or_default()
    }

    /// How fast slots may be granted while the engine is cold; none if its service has no
    /// cold servers.
    fn cold_pace(&self) -> Option<cold::Pace> {
        let terms = self.engine_config.borrow().as_ref()?.cold?;
        let bounds = self.bounds.get();
        Some(cold::Pace::new(
            terms,
            bounds.cold_overage,
            bounds.cold_burst,
        ))
    }

    /// Applies a configuration of the engine unless it is older than the
    /// current one or equal to it.
    fn apply_engine_config(&self, new: EngineConfig) {
        let mut config = self.engine_config.borrow_mut();
        let known = config.as_ref().map_or(0, |config| config.version);
        if new.version < known || config.as_ref() == Some(&new) {
            return;
        }
        log::info!(
            "E7205 applied configuration {} to the engine, with {} slots",
            new.version,
            new.engine.slots
        );
        self.slot_pool.set_config_digest(new.digest());
        *config = Some(new);
        drop(config);
        self.learn_target();
        self.changed.notify_waiters();
    }

    /// The oldest version of the weights on which requests may start.
    fn min_version(&self) -> u64 {
        let Some(model) = self.engine_spec().and_then(|spec| spec.model) else {
            return 0;
        };
        let publications = self.operator_state.borrow().publications(&model);
        let bound = self.bounds.get().version_skew;
        cutover::min_version(self.clock.now(), &publications, bound)
    }

    /// Applies the operators' rows as of a read that was `sent` at a moment. What it
    /// shows for the first time has been written after `after`, when the read before
    /// it was sent.
    fn apply_rows(&self, after: Duration, sent: Duration, rows: Change) {
        let made = cutover::Interval {
            earliest: after,
            latest: self.clock.now(),
        };
        let is_new = self.operator_state.borrow_mut().apply(made, rows);
        self.operator_state.borrow_mut().confirm(sent);
        let table = self.operator_state.borrow().table.clone();
        let config = table.and_then(|table| EngineConfig::for_service(&table, &self.service));
        if let Some(config) = config.filter(|_| is_new) {
            self.apply_engine_config(config);
        }
        self.learn_target();
        self.changed.notify_waiters();
    }

    /// Has the published versions read again, as the origin has refused one: it no longer
    /// has a version once two newer ones are published.
    fn doubt_version(&self, version: u64) {
        if self.refused_version.replace(Some(version)) != Some(version) {
            self.versions_doubted.notify_one();
        }
    }

    /// Records the newest published version of the weights as an entry
    /// announced it.
    fn record_published(&self, published: grant::Published) {
        let Some(model) = self.engine_spec().and_then(|spec| spec.model) else {
            return;
        };
        let now = self.clock.now();
        let mut state = self.operator_state.borrow_mut();
        let known = state.newest(&model).map_or(0, |newest| newest.version);
        if !state.record_published(now, model, published) {
            return;
        }
        drop(state);
        if published.version > known {
            self.urgency.set(true);
        }
        self.learn_target();
        self.changed.notify_waiters();
    }

    /// Passes on to the grants of slots until when the weights of the engine may
    /// be used.
    fn update_cutover(&self) {
        let held = self.slot_pool.report().as_ref().map_or(0, loaded_version);
        self.slot_pool
            .set_min_version(self.min_version(), self.publish_time_known());
        let newest = self.publication(|state, model| Some(state.newest(model)?.to_cutover()));
        let first_newer = self.publication(|state, model| state.first_newer(model, held));
        self.slot_pool
            .set_cutover(newest, first_newer, self.begin_by(held));
    }

    /// A publication of the model of the engine, if it is known.
    fn publication(
        &self,
        find: impl FnOnce(&OperatorState, &str) -> Option<cutover::Publication>,
    ) -> Option<cutover::Publication> {
        let model = self.engine_spec()?.model?;
        find(&self.operator_state.borrow(), &model)
    }

    /// The earliest time at which a version of the weights may have been
    /// published; none if that is unknown.
    fn published_at(&self, version: u64) -> Option<Duration> {
        let model = self.engine_spec()?.model?;
        let publications = self.operator_state.borrow().publications(&model);
        let publication = publications.iter().find(|one| one.version == version)?;
        Some(publication.published?.interval().earliest)
    }

    /// Whether no request may begin at the engine, as the weights that it holds
    /// are too old.
    fn is_outdated(&self) -> bool {
        let held = self.slot_pool.report().as_ref().map_or(0, loaded_version);
        self.begin_by(held).is_some_and(|by| by <= self.clock.now())
    }

    /// The latest time at which requests may begin on version `held` of the
    /// weights; none if it is the newest.
    fn begin_by(&self, held: u64) -> Option<Duration> {
        let model = self.engine_spec()?.model?;
        let publications = self.operator_state.borrow().publications(&model);
        cutover::begin_by(&publications, held, self.bounds.get().version_skew)
    }

    /// Whether it is known when the newest version of the weights was
    /// published.
    fn publish_time_known(&self) -> bool {
        let model = self.engine_spec().and_then(|spec| spec.model);
        model.is_some_and(|model| self.operator_state.borrow().publish_time_known(&model))
    }

    /// What the engine should hold; `None` while that is not known.
    fn target(&self) -> Option<Target> {
        let model = self.engine_spec()?.model?;
        let origin = self.engine_config.borrow().as_ref()?.origin.clone()?;
        let published = self.operator_state.borrow().newest_or_first(&model)?;
        Some(Target {
            model,
            version: published.version,
            learned_at: published.learned_at,
            origin,
        })
    }

    /// Follows the list closely while the engine holds an older version than
    /// the newest: chunks come from other agents, which must be known for that.
    /// `held` is the version that the engine holds.
    fn update_urgency(&self, held: u64) {
        let newest = self.target().map_or(0, |target| target.version);
        self.urgency.set(held < newest);
    }

    /// Rebuilds the membership view from the list. An agent is named by the
    /// address of its engine.
    fn update_view(&self) {
        let listing = self.listing.borrow();
        let members = listing
            .entries()
            .filter(|(_, entry)| entry.service == self.service)
            .map(|(_, entry)| Member {
                host: agent_name(entry.address),
                role: Role::Agent,
                zone: entry.zone.as_str().into(),
                region: self.region(&entry.zone),
                service: Some(entry.service.clone()),
                address: SocketAddr::new(entry.address.ip(), self.settings.peer_port),
                state: match entry.state {
                    listing::State::Ready => State::Live,
                    listing::State::Draining => State::Leaving,
                },
                incarnation: 0,
            })
            .collect();
        *self.view.borrow_mut() = Rc::new(View { members });
        self.changed.notify_waiters();
    }

    /// The name of this host among agents.
    fn host(&self) -> Name {
        let own = self.settings.identity.address;
        agent_name(self.settings.backend.unwrap_or(own))
    }

    /// The id of the backend server on this host, or its address while it is
    /// not listed.
    fn server_id(&self) -> SmolStr {
        let address = self.settings.backend;
        let listing = self.listing.borrow();
        let own = listing
            .entries()
            .find(|(_, entry)| Some(entry.address) == address);
        match own {
            Some((id, _)) => id.clone(),
            None => self.host().0,
        }
    }

    fn region(&self, zone: &str) -> snipewinch::host::Region {
        let region = self.settings.regions.get(zone);
        region.map_or(zone, SmolStr::as_str).into()
    }
}

fn agent_name(address: SocketAddr) -> Name {
    address.ip().to_string().as_str().into()
}

/// Runs an agent until SIGTERM or SIGINT.
pub(crate) async fn run(config: Config) -> Result<(), Error> {
    let settings = config.settings;
    let missing = UsageSnafu {
        detail: "an agent needs the address and the service of its engine",
    };
    let backend = settings.backend.context(missing)?;
    let missing = UsageSnafu {
        detail: "an agent needs the address and the service of its engine",
    };
    let service = settings.identity.service.clone().context(missing)?;
    log::info!(
        "E7200 agent {} starts for the backend server at {backend}",
        settings.identity.host
    );
    let transport = Transport::open();
    let store = Store::open(transport.clone(), settings.store);
    let agent = Rc::new(Agent {
        clock: Clock::start(),
        service,
        engine: Engine::open(transport, backend),
        origin_transport: Transport::without_idle(),
        slot_pool: SlotPool::default(),
        operator_state: RefCell::default(),
        versions_doubted: Notify::new(),
        refused_version: Cell::default(),
        engine_config: RefCell::default(),
        listing: RefCell::default(),
        view: RefCell::default(),
        changed: Notify::new(),
        phase: watch::Sender::new(Phase::Running),
        bounds: Cell::new(settings.bounds),
        urgency: Urgency::default(),
        timeline: RefCell::default(),
        metrics: AgentMetrics::new(),
        settings,
    });
    spawn_local(follow_operators(agent.clone(), store.clone()));
    spawn_local(follow_listing(agent.clone(), store.clone()));
    spawn_local(slot_pool::poll_engine(agent.clone()));
    spawn_local(start_peering(agent.clone(), store, backend));
    spawn_local(reload(agent.clone(), config.path.clone()));
    let metrics_address =
        SocketAddr::new(agent.settings.identity.address.ip(), config.metrics_port);
    let shared = agent.clone();
    let respond = move |_: &str| {
        shared.slot_pool.update_metrics(&shared.metrics);
        (200, shared.metrics.text())
    };
    status_server::serve(metrics_address, "metrics", respond).await?;
    wait_for_signal(&agent.phase).await.context(SystemSnafu)?;
    log::info!("E7201 agent stops");
    Ok(())
}

/// Reloads the settings on each SIGHUP.
async fn reload(agent: Rc<Agent>, path: PathBuf) {
    let result = shutdown::on_reload(&path, |settings| agent.bounds.set(settings.bounds)).await;
    if let Err(error) = result {
        log::error!(
            "E7009 installing the SIGHUP handler failed, settings will not be reloaded: {error}"
        );
    }
}

/// Obtains the fleet key and starts the tasks that need it: the grants of slots
/// to entries, the exchange of chunks and the loader.
async fn start_peering(agent: Rc<Agent>, store: Store, backend: SocketAddr) {
    let key = FleetKey::new(&fleet_key::obtain(&store).await);
    let address = agent.settings.identity.address;
    match Socket::bind(address).await {
        Ok(socket) => {
            spawn_local(slot_pool::serve_demands(agent.clone(), socket, key.clone()));
        }
        Err(error) => log::error!("E7202 binding {address} for entries' messages failed: {error}"),
    }
    match open_links(&agent, key, backend).await {
        Ok((hub, inbox)) => {
            let (chunks, task) = chunks::spawn(agent.clone(), hub, inbox.weights);
            spawn_local(loader::run(agent, chunks));
            if let Err(error) = task.await {
                log::error!("E7203 the exchange of chunks ended: {error}");
            }
        }
        Err(error) => log::error!("E7204 opening links to other agents failed: {error}"),
    }
}

async fn open_links(
    agent: &Agent,
    key: FleetKey,
    backend: SocketAddr,
) -> Result<(Hub, hub::Inbox), Error> {
    let identity = Identity {
        host: agent_name(backend),
        ..agent.settings.identity.clone()
    };
    let config = hub::Config {
        listen: identity.address,
        identity,
        key,
        heartbeat_interval: hub::HEARTBEAT_INTERVAL,
        idle_timeout: hub::IDLE_TIMEOUT,
    };
    Hub::bind(config, &Registry::new())
        .await
        .context(LinksSnafu)
}

/// Reads the published versions of weights periodically, and the configuration
/// if no entry has sent the part about the engine.
async fn follow_operators(agent: Rc<Agent>, store: Store) {
    let mut failures = 0;
    let mut read_at = Duration::ZERO;
    loop {
        let config_wait = CONFIG_WAIT.mul_f64(rand::rng().random_range(READ_JITTER));
        let read_config =
            agent.engine_config.borrow().is_none() && agent.clock.uptime() >= config_wait;
        let from = match read_config {
            true => platform::operator::CONFIGURATION,
            false => platform::operator::VERSION_PREFIX,
        };
        let until = platform::operator::VERSION_END;
        let sent = agent.clock.now();
        let read = store.read_range(platform::operator::TABLE, from, until);
        let delay = match read.await {
            Ok(mut rows) => {
                failures = 0;
                // Entries demand nothing in an evacuated zone.
                let is_evacuation =
                    |row: &Row| platform::operator::evacuated_zone(&row.key).is_some();
                rows.rows.retain(|row| !is_evacuation(row));
                agent.apply_rows(read_at, sent, Change::Rows(rows.rows));
                read_at = sent;
                VERSION_READ_INTERVAL
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log::warn!("E7206 reading the operators' rows failed: {error}");
                }
                READ_RETRY_DELAY
            }
        };
        // Without the engine's configuration an agent grants no slots.
        let config_missing = agent.engine_config.borrow().is_none();
        let delay = if config_missing {
            delay.min(CONFIG_READ_DELAY_MAX)
        } else {
            delay
        };
        let jitter = rand::rng().random_range(READ_JITTER);
        tokio::select! {
            () = sleep(delay.mul_f64(jitter)) => {}
            () = agent.versions_doubted.notified() => {
                sleep(READ_RETRY_DELAY.mul_f64(jitter)).await;
            }
        }
    }
}

async fn follow_listing(agent: Rc<Agent>, store: Store) {
    let control = Control {
        urgency: agent.urgency.clone(),
        ..Control::default()
    };
    let (mut changes, _task) =
        follow::spawn_with(store, listing::TABLE, LISTING_POLL_POLICY, control);
    while let Some(update) = changes.recv().await {
        let now = agent.clock.now();
        let mut updates = agent.listing.borrow_mut().apply(now, update.change);
        updates.extend(agent.listing.borrow_mut().tick(now));
        if !updates.is_empty() {
            agent.update_view();
        }
    }
}
