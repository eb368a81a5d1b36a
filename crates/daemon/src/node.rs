//! One running daemon and what its parts share.

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

/// What the parts of one daemon share.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) config: Arc<Config>,
    pub(crate) identity: Arc<Identity>,
    pub(crate) hub: Hub,
    pub(crate) registry: Registry,
    pub(crate) platform: platform::Client,
    /// Where the console hands over what it has published.
    pub(crate) publications: mpsc::Sender<Snapshot>,
    pub(crate) tracer: Tracer,
    pub(crate) shutdown: Shutdown,
    /// The configuration in force.
    pub(crate) configuration: watch::Receiver<Arc<Snapshot>>,
    /// The hosts that this process knows.
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// What the linked processes last said of themselves.
    pub(crate) summaries: membership::Summaries,
    /// The versions that this host's engine has confirmed, for agents.
    pub(crate) confirmed: watch::Sender<Vec<wire::Confirmed>>,
    /// Where HTTP is served, once it is.
    pub(crate) http_address: Arc<OnceLock<SocketAddr>>,
    /// The start of the process: the epoch of the library's time.
    pub(crate) started: Instant,
}

impl Node {
    /// The library's time.
    pub(crate) fn now(&self) -> std::time::Duration {
        self.started.elapsed()
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    node: Node,
    http: http::Server,
}

#[derive(Serialize)]
struct Ready {
    ready: bool,
    peers: SocketAddr,
    http: SocketAddr,
    operators: SocketAddr,
}

impl Daemon {
    /// Starts the role and returns once it listens.
    ///
    /// # Errors
    ///
    /// When an address can't be bound or the exporter of traces can't start.
    pub async fn open(config: Config) -> Result<Daemon, Error> {
        let config = Arc::new(config);
        let registry = Registry::new();
        let tracer = Tracer::open(&config)?;
        let hub_config = hub::Config {
            listen: config.listen_peers,
            identity: identity(&config),
            key: config.fleet_key.clone(),
            heartbeat: hub::HEARTBEAT,
            silence: hub::SILENCE,
        };
        let (hub, inbox) = Hub::bind(hub_config, &registry).await.context(PeersSnafu)?;
        let (configuration, configuration_feed) = configuration::channel();
        let (publications, published) = configuration::publications();
        let (view, view_feed) = membership::channel();
        let node = Node {
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
            node.clone(),
            inbox.configuration,
            published,
            configuration_feed,
        ));
        tokio::spawn(membership::run(node.clone(), inbox.membership, view_feed));
        let routes = match config.role {
            Role::Agent => agent::spawn(&node, inbox.calls, inbox.weights),
            Role::Entry => entry::spawn(&node, inbox.calls, inbox.limits),
        };
        let http = http::Server::bind(&node, routes).await?;
        // Set once, here.
        let _ = node.http_address.set(http.address());
        ::log::info!("E1001 {:?} host {} is up", config.role, config.host);
        Ok(Daemon { node, http })
    }

    /// Where peers reach this process.
    pub fn peer_address(&self) -> SocketAddr {
        self.node.identity.address
    }

    /// Where HTTP is served.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// One JSON line that says where the daemon listens.
    pub fn ready_line(&self) -> String {
        let ready = Ready {
            ready: true,
            peers: self.peer_address(),
            http: self.http_address(),
            operators: self.http.operators_address(),
        };
        serde_json::to_string(&ready).unwrap_or_default()
    }

    /// Stops gracefully: announces it, finishes what it has, then ends.
    pub async fn shutdown(self) {
        let Daemon { node, http } = self;
        ::log::info!("E1002 leaving");
        node.hub.change_summary(|summary| summary.leaving = true);
        node.shutdown.leave();
        if node.config.role == Role::Entry {
            tokio::time::sleep(node.config.leave_grace).await;
        }
        if !node.shutdown.drain(node.config.drain_limit).await {
            ::log::warn!("E1003 calls were still running at --drain-limit-ms and are cut");
        }
        node.shutdown.stop();
        http.closed().await;
        node.hub.shutdown().await;
        node.tracer.shutdown().await;
        ::log::info!("E1004 stopped");
    }
}

fn identity(config: &Config) -> Identity {
    // A host that starts again must count higher than before and keeps
    // nothing, so the count is the time of its start.
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
