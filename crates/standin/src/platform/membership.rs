//! The membership list, which lags behind the announcements and gives each
//! region the addresses under which it reaches the hosts.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use snipewinch::membership::Member;
use tokio::time::Instant;

use super::Fault;
use super::Platform;
use super::unix_ms;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::query_parameter;
use crate::http::read_json;

/// How long older snapshots are kept.
const HISTORY_RETENTION: Duration = Duration::from_secs(600);
/// How many older snapshots are kept.
const SNAPSHOTS_MAX: usize = 4096;

/// A host as the deployer announces it.
#[derive(Clone, Debug, Deserialize)]
struct Host {
    #[serde(flatten)]
    member: Member,
    /// The host's address for callers in other regions, by region, where it
    /// differs.
    #[serde(default)]
    #[serde(rename = "reached")]
    addresses_by_region: BTreeMap<String, SocketAddr>,
}

type Snapshot = Arc<BTreeMap<String, Host>>;

/// The current list and its earlier snapshots.
#[derive(Debug)]
pub(super) struct List {
    lag: Duration,
    current: Snapshot,
    history: VecDeque<(Instant, Snapshot)>,
}

impl List {
    pub(super) fn new(lag: Duration) -> List {
        List {
            lag,
            current: Snapshot::default(),
            history: VecDeque::new(),
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    fn update(&mut self, update: impl FnOnce(&mut BTreeMap<String, Host>)) {
        update(Arc::make_mut(&mut self.current));
        let now = Instant::now();
        self.history.push_back((now, self.current.clone()));
        while self.history.len() > SNAPSHOTS_MAX
            || self
                .history
                .front()
                .is_some_and(|(at, _)| now.duration_since(*at) > HISTORY_RETENTION)
        {
            self.history.pop_front();
        }
    }

    fn visible(&self, staleness: Duration) -> Snapshot {
        let Some(as_of) = Instant::now().checked_sub(self.lag + staleness) else {
            return Snapshot::default();
        };
        self.history
            .iter()
            .rev()
            .find(|(at, _)| *at <= as_of)
            .map_or_else(Snapshot::default, |(_, hosts)| hosts.clone())
    }
}

impl Platform {
    pub(super) async fn handle_membership(
        &self,
        host: &str,
        request: Request,
        fault: &Fault,
    ) -> Result<Response, Refusal> {
        match request.method().clone() {
            Method::GET => {
                self.counters.lock().membership_reads += 1;
                let region = query_parameter(&request, "region").unwrap_or_default();
                let list = self.membership.lock();
                let lag = list.lag + Duration::from_millis(fault.stale_ms);
                let hosts: Vec<Member> = list
                    .visible(Duration::from_millis(fault.stale_ms))
                    .values()
                    .map(|host| member_reached_from(host, &region))
                    .collect();
                let as_of_ms = unix_ms().saturating_sub(lag.as_millis() as u64);
                Ok(json(
                    StatusCode::OK,
                    &json!({"as_of_ms": as_of_ms, "hosts": hosts}),
                ))
            }
            Method::PUT => {
                let announced: Host = read_json(request).await?;
                self.membership
                    .lock()
                    .update(|hosts| drop(hosts.insert(host.to_owned(), announced)));
                Ok(json(StatusCode::OK, &json!({})))
            }
            Method::DELETE => {
                self.membership
                    .lock()
                    .update(|hosts| drop(hosts.remove(host)));
                Ok(json(StatusCode::OK, &json!({})))
            }
            _ => Err(Refusal::new(error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
            ))),
        }
    }
}

fn member_reached_from(host: &Host, region: &str) -> Member {
    let mut member = host.member.clone();
    if let Some(address) = host.addresses_by_region.get(region) {
        member.address = *address;
    }
    member
}
