//! A running daemon, and the context that its tasks share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use peer::hub;
use peer::hub::Hub;
use prometheus::Registry;
use serde::Serialize;
use snafu::ResultExt;
use snipewinch::configuration::Snapshot;
use snipewinch::host::Identity;
use snipewinch::host::Role;
use snipewinch::membership::View;
use snipewinch::wire;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Config;
use crate::Error;
use crate::agent;
use crate::configuration;
use crate::entry;
use crate::error::PeersSnafu;
use crate::http;
use crate::membership;
use crate::shutdown::Shutdown;
use crate::trace::Tracer;

/// The context that all tasks of one daemon share.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) config: Arc<Config>,
    pub(crate) identity: Arc<Identity>,
    pub(crate) hub: Hub,
    pub(crate) registry: Registry,
    pub(crate) platform: platform::Client,
    /// Takes the versions that the console has published.
    pub(crate) publications: mpsc::Sender<Snapshot>,
    pub(crate) tracer: Tracer,
    pub(crate) shutdown: Shutdown,
    /// The configuration in force.
    pub(crate) configuration: watch::Receiver<Arc<Snapshot>>,
    /// The membership view of this process.
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// The latest summaries of the linked processes.
    pub(crate) summaries: membership::Summaries,
    /// At an agent: the versions that this host's engine has confirmed.
    pub(crate) confirmed: watch::Sender<Vec<wire::Confirmed>>,
    /// The address of the HTTP listener, once it is bound.
    pub(crate) http_address: Arc<OnceLock<SocketAddr>>,
    /// When the daemon started: the epoch of [`Context::now`].
    pub(crate) started: Instant,
}

impl Context {
    /// The time since the daemon started, as the library's state machines take
    /// it.
    pub(crate) fn now(&self) -> std::time::Duration {
        self.started.elapsed()
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    context: Context,
    http: http::Server,
}

#[derive(Serialize)]
struct ReadyLine {
    ready: bool,
    peers: SocketAddr,
    http: SocketAddr,
    operators: SocketAddr,
}

impl Daemon {
    /// Starts the role and returns once all listeners are bound.
    ///
    /// # Errors
    ///
    /// When an address cannot be bound or the exporter of traces cannot start.
    pub async fn open(config: Config) -> Result<Daemon, Error> {
        let config = Arc::new(config);
        let registry = Registry::new();
        let tracer = Tracer::open(&config)?;
        let hub_config = hub::Config {
            listen: config.listen_peers,
            identity: identity(&config),
            key: config.fleet_key.clone(),
            heartbeat_interval: hub::HEARTBEAT_INTERVAL,
            idle_timeout: hub::IDLE_TIMEOUT,
        };
        let (hub, inbox) = Hub::bind(hub_config, &registry).await.context(PeersSnafu)?;
        let (configuration, configuration_sender) = configuration::channel();
        let (publications, published) = configuration::publications();
        let (view, view_sender) = membership::channel();
        let context = Context {
            identity: hub.identity().clone(),
            config: config.clone(),
            hub,
            platform: platform::Client::open(&config.platform, &registry),
            publications,
            registry,
            tracer,
            shutdown: Shutdown::new(),
            configuration,
            view,
            summaries: membership::Summaries::default(),
            confirmed: watch::Sender::new(Vec::new()),
            http_address: Arc::default(),
            started: Instant::now(),
        };
        tokio::spawn(configuration::run(
            context.clone(),
            inbox.configuration,
            published,
            configuration_sender,
        ));
        tokio::spawn(membership::run(
            context.clone(),
            inbox.membership,
            view_sender,
        ));
        let routes = match config.role {
            Role::Agent => agent::spawn(&context, inbox.calls, inbox.weights),
            Role::Entry => entry::spawn(&context, inbox.calls, inbox.limits),
        };
        let http = http::Server::bind(&context, routes).await?;
        // This is the only place that sets it, so it cannot fail.
        let _ = context.http_address.set(http.address());
        ::log::info!("E1001 {:?} host {} has started", config.role, config.host);
        Ok(Daemon { context, http })
    }

    /// The address at which peers reach this process.
    pub fn peer_address(&self) -> SocketAddr {
        self.context.identity.address
    }

    /// The address of the HTTP listener for callers.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// One JSON line with the addresses of all listeners, for a parent process.
    pub fn ready_line(&self) -> String {
        let line = ReadyLine {
            ready: true,
            peers: self.peer_address(),
            http: self.http_address(),
            operators: self.http.operator_address(),
        };
        serde_json::to_string(&line).unwrap_or_default()
    }

    /// Shuts down gracefully: announces to peers that this process is leaving,
    /// drains running calls, then closes connections and links.
    pub async fn shutdown(self) {
        let Daemon { context, http } = self;
        ::log::info!("E1002 graceful shutdown begins");
        context.hub.update_summary(|summary| summary.leaving = true);
        context.shutdown.leave();
        if context.config.role == Role::Entry {
            tokio::time::sleep(context.config.leave_grace).await;
        }
        if !context.shutdown.drain(context.config.drain_limit).await {
            ::log::warn!("E1003 some calls did not end within --drain-limit-ms and are cut off");
        }
        context.shutdown.stop();
        http.wait_closed().await;
        context.hub.shutdown().await;
        context.tracer.shutdown().await;
        ::log::info!("E1004 shutdown is complete");
    }
}

fn identity(config: &Config) -> Identity {
    // The incarnation must rise with every start of the host. No state survives
    // a restart, so the time of the start serves as incarnation.
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Identity {
        host: config.host.clone(),
        incarnation: since_epoch.as_micros() as u64,
        role: config.role,
        zone: config.zone.clone(),
        region: config.region.clone(),
        service: config.service.clone(),
        address: config.advertise.unwrap_or(config.listen_peers),
    }
}
