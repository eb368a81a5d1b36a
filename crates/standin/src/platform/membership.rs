//! The membership list: lagging, and reached under other addresses from other
//! regions.

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
use super::wall_ms;
use crate::http::Refusal;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::query_parameter;
use crate::http::read_json;

/// How long older lists are kept.
const HISTORY: Duration = Duration::from_secs(600);
/// How many older lists are kept.
const HISTORY_MAX: usize = 4096;

/// A host as the deployer announces it.
#[derive(Clone, Debug, Deserialize)]
struct Host {
    #[serde(flatten)]
    member: Member,
    /// Its address as reached from other regions, where that differs.
    #[serde(default)]
    reached: BTreeMap<String, SocketAddr>,
}

type Hosts = Arc<BTreeMap<String, Host>>;

/// The list now and as it was.
#[derive(Debug)]
pub(super) struct Listing {
    lag: Duration,
    now: Hosts,
    history: VecDeque<(Instant, Hosts)>,
}

impl Listing {
    pub(super) fn open(lag: Duration) -> Listing {
        Listing {
            lag,
            now: Hosts::default(),
            history: VecDeque::new(),
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<String, Host>)) {
        change(Arc::make_mut(&mut self.now));
        let now = Instant::now();
        self.history.push_back((now, self.now.clone()));
        while self.history.len() > HISTORY_MAX
            || self
                .history
                .front()
                .is_some_and(|(at, _)| now.duration_since(*at) > HISTORY)
        {
            self.history.pop_front();
        }
    }

    fn seen(&self, back: Duration) -> Hosts {
        let Some(when) = Instant::now().checked_sub(self.lag + back) else {
            return Hosts::default();
        };
        self.history
            .iter()
            .rev()
            .find(|(at, _)| *at <= when)
            .map_or_else(Hosts::default, |(_, hosts)| hosts.clone())
    }
}

impl Platform {
    pub(super) async fn membership(
        &self,
        host: &str,
        request: Request,
        fault: &Fault,
    ) -> Result<Response, Refusal> {
        match request.method().clone() {
            Method::GET => {
                self.counters.lock().membership_reads += 1;
                let region = query_parameter(&request, "region").unwrap_or_default();
                let listing = self.listing.lock();
                let behind = listing.lag + Duration::from_millis(fault.back_ms);
                let hosts: Vec<Member> = listing
                    .seen(Duration::from_millis(fault.back_ms))
                    .values()
                    .map(|host| reached(host, &region))
                    .collect();
                let as_of_ms = wall_ms().saturating_sub(behind.as_millis() as u64);
                Ok(json(
                    StatusCode::OK,
                    &json!({"as_of_ms": as_of_ms, "hosts": hosts}),
                ))
            }
            Method::PUT => {
                let wanted: Host = read_json(request).await?;
                self.listing
                    .lock()
                    .change(|hosts| drop(hosts.insert(host.to_owned(), wanted)));
                Ok(json(StatusCode::OK, &json!({})))
            }
            Method::DELETE => {
                self.listing.lock().change(|hosts| drop(hosts.remove(host)));
                Ok(json(StatusCode::OK, &json!({})))
            }
            _ => Err(Refusal::new(error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
            ))),
        }
    }
}

fn reached(host: &Host, region: &str) -> Member {
    let mut member = host.member.clone();
    if let Some(address) = host.reached.get(region) {
        member.address = *address;
    }
    member
}
