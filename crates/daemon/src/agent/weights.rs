//! Weights at the agent: fetched, checked, passed on and loaded.
//!
//! Three tasks share what is here: one drives the exchange of chunks, one the
//! engine's orders, and the HTTP routes hand out whole weights to the engine.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use peer::link::Event;
use poem::EndpointExt;
use poem::Route;
use poem::endpoint::BoxEndpoint;
use poem::get;
use rand::RngExt;
use snipewinch::Digest;
use snipewinch::document::Backend;
use snipewinch::document::Document;
use snipewinch::host;
use snipewinch::weights::Message;
use snipewinch::weights::load::Kind;
use snipewinch::weights::load::Target;
use snipewinch::weights::plan::Candidate;
use snipewinch::weights::swarm;
use snipewinch::weights::swarm::Swarm;
use snipewinch::weights::swarm::Want;
use snipewinch::wire::Confirmed;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::node::Node;

mod engine;
mod exchange;
mod metrics;
mod source;

/// What the tasks of the part share.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    node: Node,
    swarm: Arc<Mutex<Swarm>>,
    /// What the engines of linked hosts have confirmed.
    peers: Arc<Mutex<HashMap<host::Name, Seen>>>,
    /// Hosts that the engine's task wants links to.
    watched: Arc<Mutex<Vec<Candidate>>>,
    /// Versions that the engine has confirmed, or has lost.
    loaded: mpsc::UnboundedSender<(Digest, bool)>,
    /// Something has changed that may let the engine load.
    news: Arc<Notify>,
}

/// What is seen of a linked host.
#[derive(Clone, Debug, Default)]
struct Seen {
    links: usize,
    confirmed: Vec<Confirmed>,
}

/// Starts the part; answers the routes from which the engine loads weights.
pub(crate) fn spawn(node: &Node, inbox: mpsc::Receiver<Event<Message>>) -> BoxEndpoint<'static> {
    let swarm = Swarm::new(swarm::Config {
        host: node.config.host.clone(),
        region: node.config.region.clone(),
        origin_region: node.config.origin_region.clone(),
        policy: node.config.weights_policy,
        host_mbit: node.config.upload_mbit.map(|mbit| mbit as f64),
        region_mbit: node.config.region_mbit.map(|mbit| mbit as f64),
        memory_bytes: node.config.chunk_memory_bytes,
        seed: rand::rng().random(),
    });
    let (loaded, loaded_inbox) = mpsc::unbounded_channel();
    let shared = Shared {
        node: node.clone(),
        swarm: Arc::new(Mutex::new(swarm)),
        peers: Arc::default(),
        watched: Arc::default(),
        loaded,
        news: Arc::default(),
    };
    tokio::spawn(exchange::run(shared.clone(), inbox, loaded_inbox));
    tokio::spawn(engine::run(shared.clone()));
    Route::new()
        .at("/weights/:digest", get(source::weights))
        .data(shared)
        .boxed()
}

/// What this host's engine must hold by the configuration: its service's
/// model, then the model's adapters.
fn targets(document: &Document, service: Option<&str>) -> Vec<Target> {
    let found = document
        .services
        .iter()
        .find(|one| Some(one.name.as_str()) == service);
    let Some(Backend::Engine { model }) = found.map(|service| &service.backend) else {
        return Vec::new();
    };
    let Some(model) = document.models.iter().find(|one| one.name == *model) else {
        return Vec::new();
    };
    let mut targets = vec![Target {
        kind: Kind::Model,
        name: model.name.clone(),
        version: model.version.clone(),
        manifest: model.manifest,
    }];
    targets.extend(model.adapters.iter().map(|adapter| Target {
        kind: Kind::Adapter {
            of: model.name.clone(),
        },
        name: adapter.name.clone(),
        version: adapter.version.clone(),
        manifest: adapter.manifest,
    }));
    targets
}

/// What this host must hold, and which services' hosts want it as well.
fn wants(document: &Document, service: Option<&str>) -> Vec<Want> {
    let targets = targets(document, service);
    let model = targets.first().map(|target| target.name.clone());
    let services: Vec<_> = document
        .services
        .iter()
        .filter(
            |one| matches!(&one.backend, Backend::Engine { model: m } if Some(m) == model.as_ref()),
        )
        .map(|one| one.name.clone())
        .collect();
    targets
        .into_iter()
        .map(|target| Want {
            manifest: target.manifest,
            services: services.clone(),
        })
        .collect()
}
