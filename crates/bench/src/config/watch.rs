//! Polls every host for the configuration version in force there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use snipewinch::host;
use standin::client::Client;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Error;
use crate::fleet::Fleet;

/// The polling interval of a host that lacks the newest accepted version.
const POLL_BEHIND: Duration = Duration::from_millis(50);
/// The polling interval of a host that has the newest accepted version.
const POLL_CURRENT: Duration = Duration::from_millis(1000);
/// The time limit of one poll.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The metric with the version in force.
const VERSION_METRIC: &str = "snipewinch_configuration_version ";

/// The last known state of a host.
#[derive(Clone, Debug)]
struct Host {
    http: SocketAddr,
    /// Since when the host is reachable; `None` while it is down or cut off.
    reachable_since: Option<Instant>,
    /// The version in force at the last poll; 0 before any.
    version: u64,
    /// The highest version seen in force on this host.
    highest: u64,
}

#[derive(Debug, Default)]
struct State {
    hosts: BTreeMap<host::Name, Host>,
    /// When an operator was first shown each version as accepted.
    accepted: BTreeMap<u64, Instant>,
    /// The time until each version came into force, by version and host.
    delays: BTreeMap<u64, BTreeMap<host::Name, Duration>>,
    reverts: usize,
}

/// The measured delays, and the faults seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Summary {
    /// The median over the versions of the time until the last host has the
    /// version, in seconds.
    pub(super) p50_s: f64,
    /// The longest of these times, in seconds.
    pub(super) max_s: f64,
    /// Pairs of a version and a host on which it was never seen in force.
    pub(super) missing: usize,
    /// Polls in which a host had an older version than before.
    pub(super) reverts: usize,
}

/// Polls all hosts in background tasks; clones share the state.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    state: Arc<Mutex<State>>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
    wake: Arc<Notify>,
    client: Client,
}

impl Watch {
    /// Starts to poll all hosts of a fleet.
    pub(super) fn new(fleet: &Fleet) -> Watch {
        let watch = Watch {
            state: Arc::default(),
            tasks: Arc::default(),
            wake: Arc::default(),
            client: Client::new(),
        };
        for host in fleet.hosts() {
            watch.add(&host.name, host.http);
        }
        watch
    }

    fn add(&self, name: &host::Name, http: SocketAddr) {
        let host = Host {
            http,
            reachable_since: Some(Instant::now()),
            version: 0,
            highest: 0,
        };
        self.state.lock().hosts.insert(name.clone(), host);
        let task = tokio::spawn(poll(self.clone(), name.clone()));
        self.tasks.lock().push(task);
    }

    /// Records that an operator was shown a version as accepted, and ends the
    /// pauses between polls.
    pub(super) fn accepted(&self, version: u64) {
        let mut state = self.state.lock();
        state.accepted.entry(version).or_insert_with(Instant::now);
        drop(state);
        self.wake.notify_waiters();
    }

    /// Records that a host is down or cut off from now on.
    pub(super) fn mark_unreachable(&self, name: &host::Name) {
        if let Some(host) = self.state.lock().hosts.get_mut(name) {
            host.reachable_since = None;
        }
    }

    /// Records that a host is reachable again, at this address. After a restart
    /// its version is taken as 0 until it is polled.
    pub(super) fn mark_reachable(&self, name: &host::Name, http: SocketAddr, restarted: bool) {
        if let Some(host) = self.state.lock().hosts.get_mut(name) {
            host.reachable_since = Some(Instant::now());
            host.http = http;
            if restarted {
                host.version = 0;
            }
        }
    }

    /// Waits until every host has the newest accepted version.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if some hosts lack it after `limit`.
    pub(super) async fn wait_current(&self, limit: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + limit;
        loop {
            let hosts_behind = self.hosts_behind();
            if hosts_behind.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Error::Broken {
                    what: format!("hosts without the newest accepted version: {hosts_behind:?}"),
                });
            }
            sleep(POLL_BEHIND).await;
        }
    }

    fn hosts_behind(&self) -> Vec<(String, u64)> {
        let state = self.state.lock();
        let newest = newest(&state);
        let hosts = state.hosts.iter();
        hosts
            .filter(|(_, host)| host.version < newest)
            .map(|(name, host)| (name.to_string(), host.version))
            .collect()
    }

    /// Discards the delays and the accepted versions recorded so far.
    pub(super) fn reset(&self) {
        let mut state = self.state.lock();
        state.delays.clear();
        state.accepted.clear();
    }

    fn record(&self, name: &host::Name, version: u64) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(host) = state.hosts.get_mut(name) else {
            return;
        };
        if version < host.version || (version > 0 && version < host.highest) {
            eprintln!(
                "E5112 configuration version on {name} went back from {} to {version}",
                host.highest
            );
            state.reverts += 1;
        }
        host.version = version;
        host.highest = host.highest.max(version);
        let reachable_since = host.reachable_since;
        for (accepted, at) in state.accepted.range(..=version) {
            let delays = state.delays.entry(*accepted).or_default();
            // The time in which a host was unreachable does not count.
            let start = reachable_since.map_or(now, |since| since.max(*at));
            delays
                .entry(name.clone())
                .or_insert_with(|| now.saturating_duration_since(start));
        }
    }

    /// Stops polling and returns the measurements.
    pub(super) fn finish(self) -> Summary {
        for task in self.tasks.lock().drain(..) {
            task.abort();
        }
        let state = self.state.lock();
        let mut delays_s = Vec::new();
        let mut missing = 0;
        for version in state.accepted.keys() {
            let delays = state.delays.get(version);
            missing += state.hosts.len() - delays.map_or(0, BTreeMap::len);
            let longest = delays.and_then(|delays| delays.values().max().copied());
            delays_s.extend(longest.map(|longest| longest.as_secs_f64()));
        }
        delays_s.sort_by(f64::total_cmp);
        Summary {
            p50_s: delays_s.get(delays_s.len() / 2).copied().unwrap_or(0.0),
            max_s: delays_s.last().copied().unwrap_or(0.0),
            missing,
            reverts: state.reverts,
        }
    }
}

fn newest(state: &State) -> u64 {
    state.accepted.keys().last().copied().unwrap_or(0)
}

async fn poll(watch: Watch, name: host::Name) {
    loop {
        let target = {
            let state = watch.state.lock();
            state
                .hosts
                .get(&name)
                .map(|host| (host.http, host.version < newest(&state)))
        };
        let Some((http, hosts_behind)) = target else {
            return;
        };
        let answer = timeout(ANSWER_TIMEOUT, watch.client.get(http, "/metrics")).await;
        if let Ok(Ok(answer)) = answer
            && let Some(version) = version(&answer.body)
            && watch.state.lock().hosts.get(&name).map(|host| host.http) == Some(http)
        {
            watch.record(&name, version);
        }
        let pause = if hosts_behind {
            POLL_BEHIND
        } else {
            POLL_CURRENT
        };
        // A newly accepted version ends the pause early.
        let _ = timeout(pause, watch.wake.notified()).await;
    }
}

fn version(metrics: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(metrics).ok()?;
    let mut lines = text.lines();
    lines
        .find_map(|line| line.strip_prefix(VERSION_METRIC))?
        .parse()
        .ok()
}
