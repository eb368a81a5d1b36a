//! The stand-in for the platform: table service, object store, membership list
//! and weight origin, with faults that can be injected into each of them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use http::Method;
use http::StatusCode;
use parking_lot::Mutex;
use parking_lot::RwLock;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

use crate::http::Handler;
use crate::http::Refusal;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Response;
use crate::http::error;
use crate::http::json;
use crate::http::patch;
use crate::http::percent_decode;
use crate::http::read_json;

mod membership;
mod objects;
mod origin;
mod tables;

/// The settings of a platform.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The origin's rate over all readers, in megabits a second; 0 for no
    /// limit.
    pub origin_mbit: f64,
    /// Concurrent readers of the origin; it answers further ones with 429.
    pub origin_readers_max: usize,
    /// How far the membership list lags behind the announcements.
    pub membership_lag: Duration,
    /// Seed of the random draws that decide which requests a fault in percent
    /// hits.
    pub seed: u64,
}

/// The injected faults of each interface, changed by `POST /admin/faults`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults of the table service.
    pub tables: Fault,
    /// Faults of the object store.
    pub objects: Fault,
    /// Faults of the membership list.
    pub membership: Fault,
    /// Faults of the weight origin.
    pub origin: Fault,
}

/// The injected faults of one interface.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Answers every request with 503.
    pub down: bool,
    /// Accepts requests and never answers them.
    pub silent: bool,
    /// Delay before a request is processed, in milliseconds.
    pub slow_ms: u64,
    /// Percentage of writes that take effect but whose reply is lost.
    pub lose_percent: u8,
    /// Percentage of requests that fail with 503 without any effect.
    pub fail_percent: u8,
    /// Age of the content that reads return, in milliseconds.
    #[serde(rename = "back_ms")]
    pub stale_ms: u64,
    /// Percentage of segments that the origin corrupts.
    pub corrupt_percent: u8,
}

/// Counts of what the platform has processed, read by `GET /admin/counters`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counters {
    /// Reads of the table service.
    pub table_reads: u64,
    /// Transactions on the table service.
    pub table_writes: u64,
    /// Transactions that conflicted.
    pub table_conflicts: u64,
    /// Replies dropped after the write took effect.
    pub lost_replies: u64,
    /// Reads of the object store.
    pub object_reads: u64,
    /// Writes to the object store.
    pub object_writes: u64,
    /// Reads of the membership list.
    pub membership_reads: u64,
    /// Requests refused with 503 by an injected fault.
    pub refused: u64,
    /// Bytes sent from the origin, by manifest digest.
    pub origin_bytes: std::collections::BTreeMap<String, u64>,
    /// Requests to the origin.
    pub origin_requests: u64,
    /// Requests to the origin that were answered 429.
    pub origin_refused: u64,
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    tables: Mutex<tables::Tables>,
    objects: objects::Objects,
    membership: Mutex<membership::List>,
    origin: origin::Origin,
    faults: RwLock<Faults>,
    counters: Mutex<Counters>,
    rng: Mutex<StdRng>,
}

/// Starts a platform and returns the address it listens on.
///
/// # Errors
///
/// The I/O error if binding the address fails.
pub async fn spawn(config: Config) -> io::Result<SocketAddr> {
    let platform = Arc::new(Platform {
        tables: Mutex::default(),
        objects: objects::Objects::default(),
        membership: Mutex::new(membership::List::new(config.membership_lag)),
        origin: origin::Origin::new(config.origin_mbit, config.origin_readers_max),
        faults: RwLock::default(),
        counters: Mutex::default(),
        rng: Mutex::new(StdRng::seed_from_u64(config.seed)),
    });
    crate::http::spawn(config.listen, platform).await
}

/// The interfaces of a platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Interface {
    Tables,
    Objects,
    Membership,
    Origin,
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, request: Request) -> Reply {
        let path = percent_decode(request.uri().path());
        let Some((top, subpath)) = path.trim_start_matches('/').split_once('/') else {
            return match path.as_str() {
                "/membership" => self.inject_faults(Interface::Membership, "", request).await,
                "/healthz" => Reply::Answer(json(StatusCode::OK, &"ok")),
                _ => Reply::Answer(error(StatusCode::NOT_FOUND, "path")),
            };
        };
        let interface = match top {
            "admin" => return self.admin(subpath, request).await.into(),
            "tables" => Interface::Tables,
            "objects" => Interface::Objects,
            "membership" => Interface::Membership,
            "origin" => Interface::Origin,
            _ => return Reply::Answer(error(StatusCode::NOT_FOUND, "path")),
        };
        self.inject_faults(interface, subpath, request).await
    }
}

impl Platform {
    /// Processes a request under the faults injected into its interface.
    async fn inject_faults(
        self: Arc<Self>,
        interface: Interface,
        subpath: &str,
        request: Request,
    ) -> Reply {
        // The deployer's writes, of announcements and weights, are exempt from
        // faults.
        let is_deployer_write =
            *request.method() == Method::PUT || *request.method() == Method::DELETE;
        let is_exempt =
            is_deployer_write && matches!(interface, Interface::Membership | Interface::Origin);
        let fault = match is_exempt {
            true => Fault::default(),
            false => self.fault(interface),
        };
        if fault.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if fault.silent {
            std::future::pending::<()>().await;
        }
        if fault.down || self.draw_fault(fault.fail_percent) {
            self.counters.lock().refused += 1;
            return Reply::Answer(error(StatusCode::SERVICE_UNAVAILABLE, "out of reach"));
        }
        let is_write = *request.method() != Method::GET && *request.method() != Method::HEAD;
        let result = match interface {
            Interface::Tables => self.handle_tables(subpath, request, &fault).await,
            Interface::Objects => self.handle_objects(subpath, request).await,
            Interface::Membership => self.handle_membership(subpath, request, &fault).await,
            Interface::Origin => self.clone().handle_origin(subpath, request, &fault).await,
        };
        if is_write && self.draw_fault(fault.lose_percent) {
            self.counters.lock().lost_replies += 1;
            return Reply::Disconnect;
        }
        result.into()
    }

    fn fault(&self, interface: Interface) -> Fault {
        let faults = self.faults.read();
        match interface {
            Interface::Tables => faults.tables.clone(),
            Interface::Objects => faults.objects.clone(),
            Interface::Membership => faults.membership.clone(),
            Interface::Origin => faults.origin.clone(),
        }
    }

    /// Draws whether a fault that hits `percent` of the requests hits this one.
    fn draw_fault(&self, percent: u8) -> bool {
        percent > 0 && self.rng.lock().random_range(0..100) < percent
    }

    /// Draws a random number, for choices within a response body.
    fn random(&self) -> u64 {
        self.rng.lock().next_u64()
    }

    async fn admin(&self, subpath: &str, request: Request) -> Result<Response, Refusal> {
        match (request.method().clone(), subpath) {
            (Method::GET, "counters") => Ok(json(StatusCode::OK, &*self.counters.lock())),
            (Method::GET, "faults") => Ok(json(StatusCode::OK, &*self.faults.read())),
            (Method::POST, "faults") => {
                let change = read_json(request).await?;
                let mut faults = self.faults.write();
                *faults = patch(&*faults, change)?;
                Ok(json(StatusCode::OK, &*faults))
            }
            (Method::POST, "origin") => {
                let settings: origin::Settings = read_json(request).await?;
                self.origin.apply(&settings);
                Ok(json(StatusCode::OK, &settings))
            }
            (Method::POST, "lag") => {
                let lag_ms: u64 = read_json(request).await?;
                self.membership
                    .lock()
                    .set_lag(Duration::from_millis(lag_ms));
                Ok(json(StatusCode::OK, &lag_ms))
            }
            _ => Err(Refusal::new(error(StatusCode::NOT_FOUND, "path"))),
        }
    }
}

/// Milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
