//! Weights at the agent: downloaded and verified chunk by chunk, uploaded to
//! other hosts, and loaded by the engine.
//!
//! A task that exchanges chunks, a task that sends orders to the engine, and
//! the HTTP routes from which the engine loads weights share the state here.

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

use crate::daemon::Context;

mod engine;
mod exchange;
mod metrics;
mod source;

/// The state that the tasks and the HTTP routes share.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    context: Context,
    swarm: Arc<Mutex<Swarm>>,
    /// The state of each linked agent's host.
    peers: Arc<Mutex<HashMap<host::Name, PeerState>>>,
    /// Predecessors in the rollout that this host waits for; links to them are
    /// kept, as their heartbeats carry the versions that they have confirmed.
    awaited: Arc<Mutex<Vec<Candidate>>>,
    /// Manifests whose version the engine has confirmed (`true`) or does not
    /// hold (`false`).
    loaded: mpsc::UnboundedSender<(Digest, bool)>,
    /// Wakes the engine's task after a change that may allow a load.
    engine_wakeup: Arc<Notify>,
}

/// The state of a linked host.
#[derive(Clone, Debug, Default)]
struct PeerState {
    /// The number of open links to it.
    links: usize,
    /// The versions that its engine has confirmed.
    confirmed: Vec<Confirmed>,
}

/// Starts the tasks and returns the routes from which the engine loads weights.
pub(crate) fn spawn(
    context: &Context,
    inbox: mpsc::Receiver<Event<Message>>,
) -> BoxEndpoint<'static> {
    let swarm = Swarm::new(swarm::Config {
        host: context.config.host.clone(),
        region: context.config.region.clone(),
        origin_region: context.config.origin_region.clone(),
        policy: context.config.weights_policy,
        host_mbit: context.config.upload_mbit.map(|mbit| mbit as f64),
        region_mbit: context.config.region_mbit.map(|mbit| mbit as f64),
        memory_bytes: context.config.chunk_memory_bytes,
        seed: rand::rng().random(),
    });
    let (loaded, loaded_inbox) = mpsc::unbounded_channel();
    let shared = Shared {
        context: context.clone(),
        swarm: Arc::new(Mutex::new(swarm)),
        peers: Arc::default(),
        awaited: Arc::default(),
        loaded,
        engine_wakeup: Arc::default(),
    };
    tokio::spawn(exchange::run(shared.clone(), inbox, loaded_inbox));
    tokio::spawn(engine::run(shared.clone()));
    Route::new()
        .at("/weights/:digest", get(source::weights))
        .data(shared)
        .boxed()
}

/// The targets of this host's engine by the configuration: its service's model,
/// then the model's adapters.
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

/// The manifests that this host must hold, each with the services whose hosts
/// need it, too.
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
            waits: false,
            manifest: target.manifest,
            services: services.clone(),
        })
        .collect()
}
