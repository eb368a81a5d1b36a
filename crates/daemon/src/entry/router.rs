//! Chooses backend servers for calls, and which hosts are linked to.
//!
//! The edge around [`routing::Table`]: it feeds the table with the membership
//! view and with what links tell, and dials the hosts that
//! [`routing::subset`] names.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use peer::link;
use peer::link::Event;
use snipewinch::Digest;
use snipewinch::host;
use snipewinch::membership::View;
use snipewinch::routing;
use snipewinch::routing::Capacity;
use snipewinch::routing::Need;
use snipewinch::routing::Notice;
use snipewinch::routing::Outcome;
use snipewinch::routing::Refusal;
use snipewinch::routing::Table;
use tokio::sync::watch;

use crate::node::Node;

mod links;
mod metrics;

use metrics::Metrics;

/// A call that looks for a host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask<'a> {
    /// The service.
    pub(crate) service: &'a str,
    /// What the host's engine must have confirmed.
    pub(crate) needs: &'a [Need<'a>],
    /// Digests of the prompt's prefixes, the longest first.
    pub(crate) prefixes: &'a [Digest],
    /// Hosts that the call has been to.
    pub(crate) avoid: &'a [host::Name],
    /// How long the call may still wait to be run.
    pub(crate) patience: Option<Duration>,
}

/// Chooses backend servers for calls; clones share one table.
#[derive(Clone)]
pub(crate) struct Router {
    shared: Arc<Shared>,
}

struct Shared {
    node: Node,
    state: Mutex<State>,
    seed: AtomicU64,
    /// The links wanted at the start are up, or were waited for long enough.
    settled: watch::Sender<bool>,
    metrics: Metrics,
}

struct State {
    table: Table,
    /// Open links to agents; a host may for a moment have two.
    links: HashMap<link::Key, host::Name>,
}

impl fmt::Debug for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Router").finish_non_exhaustive()
    }
}

/// Starts the part.
pub(crate) fn spawn(node: &Node) -> Router {
    let table = Table::new(node.identity.zone.clone(), node.identity.region.clone());
    let state = State {
        table,
        links: HashMap::new(),
    };
    let router = Router {
        shared: Arc::new(Shared {
            node: node.clone(),
            state: Mutex::new(state),
            seed: AtomicU64::new(rand::random()),
            settled: watch::Sender::new(false),
            metrics: Metrics::open(&node.registry),
        }),
    };
    tokio::spawn(links::run(router.clone()));
    router
}

impl Router {
    /// The host that shall answer a call. [`Router::started`] must follow, or
    /// nothing if the call is not sent after all.
    pub(crate) fn pick(&self, ask: &Ask<'_>) -> Result<host::Name, Refusal> {
        let shared = &self.shared;
        let mut state = shared.state.lock();
        let table = &mut state.table;
        let tried: Vec<routing::Key> = ask
            .avoid
            .iter()
            .filter_map(|host| table.key(host))
            .collect();
        let request = routing::Request {
            service: ask.service,
            needs: ask.needs,
            prefixes: ask.prefixes,
            tried: &tried,
            wait_max: ask.patience,
            seed: shared.seed.fetch_add(1, Ordering::Relaxed),
        };
        let picked = table.pick(shared.node.now(), &request);
        match picked {
            Ok(key) => Ok(table.host(key).cloned().unwrap_or_else(|| "".into())),
            Err(refusal) => {
                shared.metrics.refused(refusal.reason);
                Err(refusal)
            }
        }
    }

    /// Resolves once a process that has just started has the links it wants, or
    /// has waited for them long enough.
    pub(crate) async fn settled(&self) {
        let mut settled = self.shared.settled.subscribe();
        // The sender lives in `self`, so waiting can't fail.
        let _ = settled.wait_for(|settled| *settled).await;
    }

    /// A call is sent to `host`.
    pub(crate) fn started(&self, host: &host::Name, prefixes: &[Digest]) {
        let now = self.shared.node.now();
        let table = &mut self.shared.state.lock().table;
        if let Some(key) = table.key(host) {
            table.start(now, key, prefixes);
        }
    }

    /// A call that was sent to `host` has ended.
    pub(crate) fn ended(&self, host: &host::Name, outcome: &Outcome) {
        let now = self.shared.node.now();
        let mut state = self.shared.state.lock();
        if let Some(key) = state.table.key(host) {
            state.table.end(now, key, outcome);
        }
        let notices = state.table.take_notices();
        drop(state);
        tell(notices);
    }

    /// What the hosts of a service can run.
    pub(crate) fn room(&self, service: &str) -> Capacity {
        let now = self.shared.node.now();
        self.shared.state.lock().table.capacity(now, service)
    }

    /// Something has happened on a link.
    pub(crate) fn link<M>(&self, event: &Event<M>) {
        let now = self.shared.node.now();
        let mut state = self.shared.state.lock();
        let State { table, links } = &mut *state;
        match event {
            Event::Up { link, peer, .. } if peer.role == host::Role::Agent => {
                links.insert(*link, peer.host.clone());
                table.handle(now, routing::Event::Up { peer });
            }
            Event::Summary { link, summary } => {
                if let Some(host) = links.get(link) {
                    table.handle(now, routing::Event::Summary { host, summary });
                }
            }
            Event::Down { link, .. } => {
                let Some(host) = links.remove(link) else {
                    return;
                };
                if !links.values().any(|other| *other == host) {
                    table.handle(now, routing::Event::Down { host: &host });
                }
            }
            Event::Messages { .. } | Event::Up { .. } => {}
        }
        let notices = state.table.take_notices();
        drop(state);
        tell(notices);
    }

    fn view(&self, view: &View) {
        let now = self.shared.node.now();
        let mut state = self.shared.state.lock();
        state.table.handle(now, routing::Event::View(view));
        let notices = state.table.take_notices();
        drop(state);
        tell(notices);
    }

    /// Whether all of these hosts are linked to and have reported.
    fn has_heard_of<'a>(&self, mut hosts: impl Iterator<Item = &'a host::Name>) -> bool {
        let table = &self.shared.state.lock().table;
        hosts.all(|host| table.has_reported(host))
    }

    /// Whether a link to `host` is of use although it is not wanted any more.
    fn is_busy(&self, host: &host::Name, listed: bool) -> bool {
        let state = self.shared.state.lock();
        let Some(key) = state.table.key(host) else {
            return false;
        };
        let linked = state.table.is_linked(host);
        state.table.inflight(key) > 0 || (linked && !listed)
    }

    fn measure(&self) {
        let now = self.shared.node.now();
        let state = self.shared.state.lock();
        let (known, ejected) = (state.table.len(), state.table.ejected(now));
        let (links, counts) = (state.links.len(), state.table.counts());
        drop(state);
        self.shared.metrics.set(known, links, ejected, counts);
    }
}

fn tell(notices: Vec<Notice>) {
    for notice in notices {
        match notice {
            Notice::Ejected { host, duration } => {
                log::warn!("E2201 {host} fails or is slow: no calls for {duration:?}");
            }
            Notice::EjectionSkipped { host } => {
                log::warn!("E2202 {host} fails or is slow, but too much of its zone is out");
            }
            Notice::Leaving { host } => log::info!("E2203 {host} is leaving: no new calls"),
        }
    }
}
