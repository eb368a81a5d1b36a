//! The agent: grants the places of the model engine on its host and brings
//! weights to it.

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
use platform::follow::Hurry;
use platform::follow::Pace;
use platform::http::Caller;
use platform::listing;
use platform::rows::Store;
use prometheus::Registry;
use rand::RngExt;
use smol_str::SmolStr;
use snafu::OptionExt;
use snafu::ResultExt;
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
use crate::operator::Publication;
use crate::operator::VERSION_MARGIN;
use crate::shutdown;
use crate::shutdown::Phase;
use crate::shutdown::wait_for_signal;
use crate::status_server;

mod chunks;
mod loader;
mod slot_pool;

use slot_pool::SlotPool;

/// How often the list of backend servers is asked for, of which an agent needs
/// only who the other agents are.
const LISTING_PACE: Pace = Pace {
    gap: Duration::from_millis(2_000),
    bytes_per_s: 100_000.0,
    rest_max: Duration::from_secs(4),
    relaxed: Some(Duration::from_secs(8)),
    settle: Duration::from_secs(15),
};
/// How often named versions of weights are read; entries tell of them sooner.
const VERSIONS_GAP: Duration = Duration::from_secs(10);
/// The pause after a failed read.
const VERSIONS_PAUSE: Duration = Duration::from_millis(700);
/// The longest pause while it is not known how the engine works.
const TERMS_PAUSE: Duration = Duration::from_secs(2);
/// How far these pauses are spread, so that agents do not read together.
const VERSIONS_SPREAD: std::ops::Range<f64> = 0.7..1.3;
/// How long an agent waits for an entry to tell it what the configuration says
/// of its engine before it reads it whole. Requests that need it come with an
/// entry's word.
const TERMS_PATIENCE: Duration = Duration::from_secs(6);
/// The version of weights that is meant before any is named.
const FIRST_VERSION: u64 = 1;

/// What the tasks of an agent share.
pub(crate) struct Agent {
    clock: Clock,
    settings: Settings,
    service: SmolStr,
    engine: Engine,
    /// For the origin of weights, which all agents ask.
    caller: Caller,
    slot_pool: SlotPool,
    /// The versions of weights that operators have named.
    operator: RefCell<OperatorState>,
    /// What the configuration says of the engine; none until that is known.
    terms: RefCell<Option<EngineConfig>>,
    listing: RefCell<Listing>,
    /// The engines that are listed, as hosts of agents.
    view: RefCell<Rc<View>>,
    /// Something changed that weights depend on.
    news: Notify,
    phase: watch::Sender<Phase>,
    bounds: Cell<Bounds>,
    /// The newest version of the weights that any entry spoke of.
    heard_version: Cell<u64>,
    /// Whether the list of agents matters at once.
    hurry: Hurry,
}

/// The weights that the engine is to hold.
#[derive(Clone, Debug, PartialEq)]
struct Target {
    model: SmolStr,
    version: u64,
    /// When this process learned of it.
    learned: Duration,
    origin: route::Origin,
}

impl Agent {
    /// How the configuration says that the engine on this host works.
    fn spec(&self) -> Option<route::Engine> {
        let terms = self.terms.borrow();
        terms.as_ref().map(|terms| terms.engine.clone())
    }

    /// The shortest pause between events that any route to the engine bears.
    fn pause(&self) -> Duration {
        let terms = self.terms.borrow();
        terms
            .as_ref()
            .map(|terms| terms.max_gap)
            .unwrap_or_default()
    }

    /// Takes in what a configuration says of the engine.
    fn take_terms(&self, new: EngineConfig) {
        let mut terms = self.terms.borrow_mut();
        let known = terms.as_ref().map_or(0, |terms| terms.version);
        if new.version < known || terms.as_ref() == Some(&new) {
            return;
        }
        log::info!(
            "E7205 configuration {} holds for the engine, with {} places",
            new.version,
            new.engine.slots
        );
        self.slot_pool.set_terms(new.digest());
        *terms = Some(new);
        self.news.notify_waiters();
    }

    /// The oldest version of weights on which requests may start.
    fn floor(&self) -> u64 {
        let Some(model) = self.spec().and_then(|spec| spec.model) else {
            return 0;
        };
        let age = self.bounds.get().version.saturating_sub(VERSION_MARGIN);
        let operator = self.operator.borrow();
        operator.newest_older_than(&model, self.clock.now(), age)
    }

    /// Takes in rows of the operators.
    fn take_rows(&self, rows: Change) {
        let now = self.clock.now();
        let is_new = self.operator.borrow_mut().apply(now, rows);
        let table = self.operator.borrow().table.clone();
        let terms = table.and_then(|table| EngineConfig::for_service(&table, &self.service));
        if let Some(terms) = terms.filter(|_| is_new) {
            self.take_terms(terms);
        }
        self.news.notify_waiters();
    }

    /// An entry says which version of the weights is the newest named.
    fn hear_named(&self, word: grant::Published) {
        if word.version <= self.heard_version.get() {
            return;
        }
        let Some(model) = self.spec().and_then(|spec| spec.model) else {
            return;
        };
        self.heard_version.set(word.version);
        let now = self.clock.now();
        if self
            .operator
            .borrow_mut()
            .record_published(now, model, word)
        {
            self.hurry.set(true);
            self.news.notify_waiters();
        }
    }

    /// Whether this process saw the newest version of the weights named.
    fn publish_time_known(&self) -> bool {
        let model = self.spec().and_then(|spec| spec.model);
        model.is_some_and(|model| self.operator.borrow().publish_time_known(&model))
    }

    /// What the engine is to hold; none while that is not known.
    fn target(&self) -> Option<Target> {
        let model = self.spec()?.model?;
        let origin = self.terms.borrow().as_ref()?.origin.clone()?;
        let newest = self.operator.borrow().newest(&model);
        let named = newest.unwrap_or(Publication {
            version: FIRST_VERSION,
            learned_at: Duration::ZERO,
            found_at_start: true,
        });
        Some(Target {
            model,
            version: named.version,
            learned: named.learned_at,
            origin,
        })
    }

    /// Has the list followed closely while weights are on their way: they pass
    /// through agents that must be there.
    fn hasten(&self, held: u64) {
        let newest = self.target().map_or(0, |target| target.version);
        self.hurry.set(held < newest);
    }

    /// The agents of the list. Each is named by its address, which is that of
    /// its engine.
    fn look(&self) {
        let listing = self.listing.borrow();
        let members = listing
            .entries()
            .filter(|(_, entry)| entry.service == self.service)
            .map(|(_, entry)| Member {
                host: host_name(entry.address),
                role: Role::Agent,
                zone: entry.zone.as_str().into(),
                region: self.region(&entry.zone),
                service: Some(entry.service.clone()),
                address: SocketAddr::new(entry.address.ip(), self.settings.peer_port),
                state: match entry.state {
                    listing::State::Ready => State::Live,
                    listing::State::Leaving => State::Leaving,
                },
                incarnation: 0,
            })
            .collect();
        *self.view.borrow_mut() = Rc::new(View { members });
        self.news.notify_waiters();
    }

    /// This host's name among agents.
    fn host(&self) -> Name {
        let own = self.settings.identity.address;
        host_name(self.settings.backend.unwrap_or(own))
    }

    fn region(&self, zone: &str) -> snipewinch::host::Region {
        let region = self.settings.regions.get(zone);
        region.map_or(zone, SmolStr::as_str).into()
    }
}

fn host_name(address: SocketAddr) -> Name {
    address.ip().to_string().as_str().into()
}

/// Runs an agent until it is told to stop.
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
        "E7200 agent {} starts beside {backend}",
        settings.identity.host
    );
    let caller = Caller::open();
    let store = Store::open(caller.clone(), settings.store);
    let agent = Rc::new(Agent {
        clock: Clock::start(),
        service,
        engine: Engine::open(caller, backend),
        caller: Caller::without_idle(),
        slot_pool: SlotPool::default(),
        operator: RefCell::default(),
        terms: RefCell::default(),
        listing: RefCell::default(),
        view: RefCell::default(),
        news: Notify::new(),
        phase: watch::Sender::new(Phase::Running),
        bounds: Cell::new(settings.bounds),
        heard_version: Cell::new(0),
        hurry: Hurry::default(),
        settings,
    });
    spawn_local(follow_operators(agent.clone(), store.clone()));
    spawn_local(follow_listing(agent.clone(), store.clone()));
    spawn_local(slot_pool::watch(agent.clone()));
    spawn_local(join(agent.clone(), store, backend));
    spawn_local(reload(agent.clone(), config.path.clone()));
    let metrics = SocketAddr::new(agent.settings.identity.address.ip(), config.metrics_port);
    let (shown, gauges) = (agent.clone(), AgentMetrics::new());
    let page = move |_: &str| {
        shown.slot_pool.show(&gauges);
        (200, gauges.text())
    };
    status_server::serve(metrics, "metrics", page).await?;
    wait_for_signal(&agent.phase).await.context(SystemSnafu)?;
    log::info!("E7201 the agent stops");
    Ok(())
}

/// Reads the settings again when told to.
async fn reload(agent: Rc<Agent>, path: PathBuf) {
    let told = shutdown::on_reload(&path, |settings| agent.bounds.set(settings.bounds)).await;
    if let Err(error) = told {
        log::error!("E7009 SIGHUP is not heard: {error}");
    }
}

/// Starts what needs the fleet's key.
async fn join(agent: Rc<Agent>, store: Store, backend: SocketAddr) {
    let key = fleet_key::obtain(&store).await;
    let address = agent.settings.identity.address;
    match Socket::bind(address).await {
        Ok(socket) => {
            spawn_local(slot_pool::talk(agent.clone(), socket, key.clone()));
        }
        Err(error) => log::error!("E7202 {address} can't be bound for entries: {error}"),
    }
    match open_links(&agent, key, backend).await {
        Ok((hub, inbox)) => {
            let (chunks, task) = chunks::spawn(agent.clone(), hub, inbox.weights);
            spawn_local(loader::run(agent, chunks));
            if let Err(error) = task.await {
                log::error!("E7203 the exchange of pieces ended: {error}");
            }
        }
        Err(error) => log::error!("E7204 no links to other agents: {error}"),
    }
}

async fn open_links(
    agent: &Agent,
    key: FleetKey,
    backend: SocketAddr,
) -> Result<(Hub, hub::Inbox), Error> {
    let identity = Identity {
        host: host_name(backend),
        ..agent.settings.identity.clone()
    };
    let config = hub::Config {
        listen: identity.address,
        identity,
        key,
        heartbeat: hub::HEARTBEAT,
        silence: hub::SILENCE,
    };
    Hub::bind(config, &Registry::new())
        .await
        .context(LinksSnafu)
}

/// Reads the named versions of weights now and then, and the configuration if no
/// entry has told what it says of the engine.
async fn follow_operators(agent: Rc<Agent>, store: Store) {
    let mut failures = 0;
    loop {
        let patience = TERMS_PATIENCE.mul_f64(rand::rng().random_range(VERSIONS_SPREAD));
        let alone = agent.terms.borrow().is_none() && agent.clock.now() >= patience;
        let from = match alone {
            true => platform::operator::CONFIGURATION,
            false => platform::operator::VERSION_PREFIX,
        };
        let until = platform::operator::VERSION_END;
        let read = store.read_keys(platform::operator::TABLE, from, until);
        let pause = match read.await {
            Ok(rows) => {
                failures = 0;
                agent.take_rows(Change::Rows(rows.rows));
                VERSIONS_GAP
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log::warn!("E7206 the operators' rows are not read: {error}");
                }
                VERSIONS_PAUSE
            }
        };
        // Until it is known how the engine works, an agent is of no use.
        let waits = agent.terms.borrow().is_none();
        let pause = if waits { pause.min(TERMS_PAUSE) } else { pause };
        sleep(pause.mul_f64(rand::rng().random_range(VERSIONS_SPREAD))).await;
    }
}

async fn follow_listing(agent: Rc<Agent>, store: Store) {
    let hurry = agent.hurry.clone();
    let (mut changes, _task) = follow::spawn_hurried(store, listing::TABLE, LISTING_PACE, hurry);
    while let Some(change) = changes.recv().await {
        let now = agent.clock.now();
        let mut news = agent.listing.borrow_mut().apply(now, change);
        news.extend(agent.listing.borrow_mut().tick(now));
        if !news.is_empty() {
            agent.look();
        }
    }
}
