//! Watches every host for the version in force there.

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

/// How often a host that is behind is asked.
const BEHIND: Duration = Duration::from_millis(50);
/// How often a host that is not behind is asked.
const CURRENT: Duration = Duration::from_millis(1000);
/// How long a host may take to answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// The metric that says which version is in force.
const METRIC: &str = "snipewinch_configuration_version ";

/// What is known of a host.
#[derive(Clone, Debug)]
struct Host {
    http: SocketAddr,
    /// None while it is down or cut off; else since when it can be reached.
    reachable: Option<Instant>,
    /// The version in force now, and the highest ever on this host.
    version: u64,
    highest: u64,
}

#[derive(Debug, Default)]
struct State {
    hosts: BTreeMap<host::Name, Host>,
    /// When each version was shown as accepted.
    accepted: BTreeMap<u64, Instant>,
    /// For each version and host, how long it took.
    times: BTreeMap<u64, BTreeMap<host::Name, Duration>>,
    reverts: usize,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Times {
    pub(super) p50_s: f64,
    pub(super) max_s: f64,
    /// Versions and hosts on which they never came into force.
    pub(super) missing: usize,
    pub(super) reverts: usize,
}

/// The watch over all hosts; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Watch {
    state: Arc<Mutex<State>>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
    news: Arc<Notify>,
    client: Client,
}

impl Watch {
    pub(super) fn open(fleet: &Fleet) -> Watch {
        let watch = Watch {
            state: Arc::default(),
            tasks: Arc::default(),
            news: Arc::default(),
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
            reachable: Some(Instant::now()),
            version: 0,
            highest: 0,
        };
        self.state.lock().hosts.insert(name.clone(), host);
        let task = tokio::spawn(follow(self.clone(), name.clone()));
        self.tasks.lock().push(task);
    }

    /// A version was shown as accepted.
    pub(super) fn accepted(&self, version: u64) {
        let mut state = self.state.lock();
        state.accepted.entry(version).or_insert_with(Instant::now);
        drop(state);
        self.news.notify_waiters();
    }

    /// The host can't be reached from now on.
    pub(super) fn lose(&self, name: &host::Name) {
        if let Some(host) = self.state.lock().hosts.get_mut(name) {
            host.reachable = None;
        }
    }

    /// The host can be reached again, at this address.
    pub(super) fn find(&self, name: &host::Name, http: SocketAddr, restarted: bool) {
        if let Some(host) = self.state.lock().hosts.get_mut(name) {
            host.reachable = Some(Instant::now());
            host.http = http;
            if restarted {
                host.version = 0;
            }
        }
    }

    /// Waits until every reachable host has the newest accepted version.
    pub(super) async fn settle(&self, limit: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + limit;
        loop {
            let behind = self.behind();
            if behind.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Error::Broken {
                    what: format!("behind the newest version are {behind:?}"),
                });
            }
            sleep(BEHIND).await;
        }
    }

    fn behind(&self) -> Vec<(String, u64)> {
        let state = self.state.lock();
        let newest = newest(&state);
        let hosts = state.hosts.iter();
        hosts
            .filter(|(_, host)| host.version < newest)
            .map(|(name, host)| (name.to_string(), host.version))
            .collect()
    }

    /// Starts the measurement anew.
    pub(super) fn forget_times(&self) {
        let mut state = self.state.lock();
        state.times.clear();
        state.accepted.clear();
    }

    fn see(&self, name: &host::Name, version: u64) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let Some(host) = state.hosts.get_mut(name) else {
            return;
        };
        if version < host.version || (version > 0 && version < host.highest) {
            eprintln!("E5112 {name} went back from {} to {version}", host.highest);
            state.reverts += 1;
        }
        host.version = version;
        host.highest = host.highest.max(version);
        let since = host.reachable;
        for (accepted, at) in state.accepted.range(..=version) {
            let times = state.times.entry(*accepted).or_default();
            // What a host was out of reach for is not held against it.
            let start = since.map_or(now, |since| since.max(*at));
            times
                .entry(name.clone())
                .or_insert_with(|| now.saturating_duration_since(start));
        }
    }

    /// Ends the watch.
    pub(super) fn finish(self) -> Times {
        for task in self.tasks.lock().drain(..) {
            task.abort();
        }
        let state = self.state.lock();
        let mut slowest = Vec::new();
        let mut missing = 0;
        for version in state.accepted.keys() {
            let times = state.times.get(version);
            missing += state.hosts.len() - times.map_or(0, BTreeMap::len);
            let longest = times.and_then(|times| times.values().max().copied());
            slowest.extend(longest.map(|longest| longest.as_secs_f64()));
        }
        slowest.sort_by(f64::total_cmp);
        Times {
            p50_s: slowest.get(slowest.len() / 2).copied().unwrap_or(0.0),
            max_s: slowest.last().copied().unwrap_or(0.0),
            missing,
            reverts: state.reverts,
        }
    }
}

fn newest(state: &State) -> u64 {
    state.accepted.keys().last().copied().unwrap_or(0)
}

async fn follow(watch: Watch, name: host::Name) {
    loop {
        let asked = {
            let state = watch.state.lock();
            state
                .hosts
                .get(&name)
                .map(|host| (host.http, host.version < newest(&state)))
        };
        let Some((http, behind)) = asked else {
            return;
        };
        let answer = timeout(ANSWER_LIMIT, watch.client.get(http, "/metrics")).await;
        if let Ok(Ok(answer)) = answer
            && let Some(version) = version(&answer.body)
            && watch.state.lock().hosts.get(&name).map(|host| host.http) == Some(http)
        {
            watch.see(&name, version);
        }
        let pause = if behind { BEHIND } else { CURRENT };
        // A new version is looked for at once.
        let _ = timeout(pause, watch.news.notified()).await;
    }
}

fn version(metrics: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(metrics).ok()?;
    let mut lines = text.lines();
    lines
        .find_map(|line| line.strip_prefix(METRIC))?
        .parse()
        .ok()
}
