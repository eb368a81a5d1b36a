//! Chooses backend servers for calls, and the hosts to have links to.
//!
//! Embeds [`routing::Table`]: updates it from the membership view and from the
//! events of links, and dials the hosts that [`routing::subset`] selects.

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

use crate::daemon::Context;

mod links;
mod metrics;

use metrics::Metrics;

/// The parameters of [`Router::pick`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct PickRequest<'a> {
    /// The service.
    pub(crate) service: &'a str,
    /// The models and adapters that the host's engine must have confirmed.
    pub(crate) needs: &'a [Need<'a>],
    /// Digests of the prompt's prefixes, the longest first.
    pub(crate) prefixes: &'a [Digest],
    /// Hosts that an earlier attempt at the call was sent to.
    pub(crate) avoid: &'a [host::Name],
    /// How long the call may still wait before it is run.
    pub(crate) wait_max: Option<Duration>,
}

/// Chooses backend servers for calls; clones share one [`routing::Table`].
#[derive(Clone)]
pub(crate) struct Router {
    shared: Arc<Shared>,
}

struct Shared {
    context: Context,
    state: Mutex<State>,
    seed: AtomicU64,
    /// Whether the initial links are open or waiting for them has timed out.
    links_ready: watch::Sender<bool>,
    metrics: Metrics,
}

struct State {
    table: Table,
    /// Open links to agents; a host may briefly have two.
    links: HashMap<link::Key, host::Name>,
}

impl fmt::Debug for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Router").finish_non_exhaustive()
    }
}

/// Creates the router and starts the task that keeps its links.
pub(crate) fn spawn(context: &Context) -> Router {
    let table = Table::new(
        context.identity.zone.clone(),
        context.identity.region.clone(),
    );
    let state = State {
        table,
        links: HashMap::new(),
    };
    let router = Router {
        shared: Arc::new(Shared {
            context: context.clone(),
            state: Mutex::new(state),
            seed: AtomicU64::new(rand::random()),
            links_ready: watch::Sender::new(false),
            metrics: Metrics::open(&context.registry),
        }),
    };
    tokio::spawn(links::run(router.clone()));
    router
}

impl Router {
    /// Chooses a host for a call. If the call is sent to it,
    /// [`Router::started`] must follow.
    ///
    /// # Errors
    ///
    /// When no host can take the call.
    pub(crate) fn pick(&self, pick_request: &PickRequest<'_>) -> Result<host::Name, Refusal> {
        let shared = &self.shared;
        let mut state = shared.state.lock();
        let table = &mut state.table;
        let tried: Vec<routing::Key> = pick_request
            .avoid
            .iter()
            .filter_map(|host| table.key(host))
            .collect();
        let request = routing::Request {
            service: pick_request.service,
            needs: pick_request.needs,
            prefixes: pick_request.prefixes,
            tried: &tried,
            wait_max: pick_request.wait_max,
            seed: shared.seed.fetch_add(1, Ordering::Relaxed),
        };
        let picked = table.pick(shared.context.now(), &request);
        match picked {
            Ok(key) => Ok(table.host(key).cloned().unwrap_or_else(|| "".into())),
            Err(refusal) => {
                shared.metrics.refused(refusal.reason);
                Err(refusal)
            }
        }
    }

    /// Waits until the initial links of a process that has just started are
    /// open or waiting for them has timed out.
    pub(crate) async fn links_ready(&self) {
        let mut ready = self.shared.links_ready.subscribe();
        // `self` keeps the sender, so waiting cannot fail.
        let _ = ready.wait_for(|ready| *ready).await;
    }

    /// Counts a call that is sent to `host`.
    pub(crate) fn started(&self, host: &host::Name, prefixes: &[Digest]) {
        let now = self.shared.context.now();
        let table = &mut self.shared.state.lock().table;
        if let Some(key) = table.key(host) {
            table.start(now, key, prefixes);
        }
    }

    /// Reports the outcome of a call that was sent to `host`.
    pub(crate) fn ended(&self, host: &host::Name, outcome: &Outcome) {
        let now = self.shared.context.now();
        let mut state = self.shared.state.lock();
        if let Some(key) = state.table.key(host) {
            state.table.end(now, key, outcome);
        }
        let notices = state.table.take_notices();
        drop(state);
        log_notices(notices);
    }

    /// The capacity of the hosts of a service.
    pub(crate) fn capacity(&self, service: &str) -> Capacity {
        let now = self.shared.context.now();
        self.shared.state.lock().table.capacity(now, service)
    }

    /// Updates the table after an event of a link.
    pub(crate) fn handle_link_event<M>(&self, event: &Event<M>) {
        let now = self.shared.context.now();
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
        log_notices(notices);
    }

    fn handle_view(&self, view: &View) {
        let now = self.shared.context.now();
        let mut state = self.shared.state.lock();
        state.table.handle(now, routing::Event::View(view));
        let notices = state.table.take_notices();
        drop(state);
        log_notices(notices);
    }

    /// Whether all of these hosts have a link and have sent a load report.
    fn have_all_reported<'a>(&self, mut hosts: impl Iterator<Item = &'a host::Name>) -> bool {
        let table = &self.shared.state.lock().table;
        hosts.all(|host| table.has_reported(host))
    }

    /// Whether a link to a host that is not selected is kept: while calls are
    /// in flight to the host, or while the link is open and the host is not
    /// listed.
    fn is_in_use(&self, host: &host::Name, listed: bool) -> bool {
        let state = self.shared.state.lock();
        let Some(key) = state.table.key(host) else {
            return false;
        };
        let linked = state.table.is_linked(host);
        state.table.inflight(key) > 0 || (linked && !listed)
    }

    fn update_metrics(&self) {
        let now = self.shared.context.now();
        let state = self.shared.state.lock();
        let (known, ejected) = (state.table.len(), state.table.ejected(now));
        let (links, counts) = (state.links.len(), state.table.counts());
        drop(state);
        self.shared.metrics.set(known, links, ejected, counts);
    }
}

fn log_notices(notices: Vec<Notice>) {
    for notice in notices {
        match notice {
            Notice::Ejected { host, duration } => {
                log::warn!("E2201 {host} fails or is slow: ejected for {duration:?}");
            }
            Notice::EjectionSkipped { host } => {
                log::warn!(
                    "E2202 {host} fails or is slow, but is not ejected: too many hosts of its zone are"
                );
            }
            Notice::Leaving { host } => log::info!("E2203 {host} is leaving: it gets no new calls"),
        }
    }
}
