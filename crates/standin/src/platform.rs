//! The platform: tables, objects, the membership list and the weight origin.

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

/// How a platform behaves.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The origin's rate over all readers, in megabits a second; 0 for none.
    pub origin_mbit: f64,
    /// Readers of the origin at once before it answers 429.
    pub origin_readers_max: usize,
    /// How far the membership list lags.
    pub membership_lag: Duration,
    /// Decides which requests a partial fault hits.
    pub seed: u64,
}

/// The faults that are switched on, changed by `POST /admin/faults`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Of the table service.
    pub tables: Fault,
    /// Of the object store.
    pub objects: Fault,
    /// Of the membership list.
    pub membership: Fault,
    /// Of the weight origin.
    pub origin: Fault,
}

/// The faults of one interface.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Answers 503 to everything.
    pub down: bool,
    /// Never answers.
    pub silent: bool,
    /// Waits this long before doing anything, in milliseconds.
    pub slow_ms: u64,
    /// Percent of writes that take effect and whose reply is lost.
    pub lose_percent: u8,
    /// Percent of requests that fail with 503 without any effect.
    pub fail_percent: u8,
    /// Reads see the content of this long ago, in milliseconds.
    pub back_ms: u64,
    /// Percent of pieces that the origin corrupts.
    pub corrupt_percent: u8,
}

/// What really happened, read by `GET /admin/counters`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counters {
    /// Reads of the table service.
    pub table_reads: u64,
    /// Transactions on the table service.
    pub table_writes: u64,
    /// Transactions that conflicted.
    pub table_conflicts: u64,
    /// Replies that were lost after the write took effect.
    pub lost_replies: u64,
    /// Reads of the object store.
    pub object_reads: u64,
    /// Writes to the object store.
    pub object_writes: u64,
    /// Reads of the membership list.
    pub membership_reads: u64,
    /// Requests refused by a fault.
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
    listing: Mutex<membership::Listing>,
    origin: origin::Origin,
    faults: RwLock<Faults>,
    counters: Mutex<Counters>,
    dice: Mutex<StdRng>,
}

/// Starts a platform and returns where it listens.
///
/// # Errors
///
/// What the system says when the address can't be bound.
pub async fn spawn(config: Config) -> io::Result<SocketAddr> {
    let platform = Arc::new(Platform {
        tables: Mutex::default(),
        objects: objects::Objects::default(),
        listing: Mutex::new(membership::Listing::open(config.membership_lag)),
        origin: origin::Origin::open(config.origin_mbit, config.origin_readers_max),
        faults: RwLock::default(),
        counters: Mutex::default(),
        dice: Mutex::new(StdRng::seed_from_u64(config.seed)),
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
        let Some((top, rest)) = path.trim_start_matches('/').split_once('/') else {
            return match path.as_str() {
                "/membership" => self.guarded(Interface::Membership, "", request).await,
                "/healthz" => Reply::Answer(json(StatusCode::OK, &"ok")),
                _ => Reply::Answer(error(StatusCode::NOT_FOUND, "path")),
            };
        };
        let interface = match top {
            "admin" => return self.admin(rest, request).await.into(),
            "tables" => Interface::Tables,
            "objects" => Interface::Objects,
            "membership" => Interface::Membership,
            "origin" => Interface::Origin,
            _ => return Reply::Answer(error(StatusCode::NOT_FOUND, "path")),
        };
        self.guarded(interface, rest, request).await
    }
}

impl Platform {
    /// Puts a request through the faults that are switched on.
    async fn guarded(self: Arc<Self>, interface: Interface, rest: &str, request: Request) -> Reply {
        // The deployer's writes are no part of what can fail.
        let deployer = *request.method() == Method::PUT || *request.method() == Method::DELETE;
        let exempt = deployer && matches!(interface, Interface::Membership | Interface::Origin);
        let fault = match exempt {
            true => Fault::default(),
            false => self.fault(interface),
        };
        if fault.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if fault.silent {
            std::future::pending::<()>().await;
        }
        if fault.down || self.hits(fault.fail_percent) {
            self.counters.lock().refused += 1;
            return Reply::Answer(error(StatusCode::SERVICE_UNAVAILABLE, "out of reach"));
        }
        let write = *request.method() != Method::GET && *request.method() != Method::HEAD;
        let answer = match interface {
            Interface::Tables => self.tables(rest, request, &fault).await,
            Interface::Objects => self.object(rest, request).await,
            Interface::Membership => self.membership(rest, request, &fault).await,
            Interface::Origin => self.clone().weights(rest, request, &fault).await,
        };
        if write && self.hits(fault.lose_percent) {
            self.counters.lock().lost_replies += 1;
            return Reply::Disconnect;
        }
        answer.into()
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

    /// Whether a fault of so many percent hits this time.
    fn hits(&self, percent: u8) -> bool {
        percent > 0 && self.dice.lock().random_range(0..100) < percent
    }

    /// A draw for decisions inside a stream.
    fn draw(&self) -> u64 {
        self.dice.lock().next_u64()
    }

    async fn admin(&self, rest: &str, request: Request) -> Result<Response, Refusal> {
        match (request.method().clone(), rest) {
            (Method::GET, "counters") => Ok(json(StatusCode::OK, &*self.counters.lock())),
            (Method::GET, "faults") => Ok(json(StatusCode::OK, &*self.faults.read())),
            (Method::POST, "faults") => {
                let wanted = read_json(request).await?;
                let mut faults = self.faults.write();
                *faults = patch(&*faults, wanted)?;
                Ok(json(StatusCode::OK, &*faults))
            }
            (Method::POST, "origin") => {
                let settings: origin::Settings = read_json(request).await?;
                self.origin.set(&settings);
                Ok(json(StatusCode::OK, &settings))
            }
            (Method::POST, "lag") => {
                let lag_ms: u64 = read_json(request).await?;
                self.listing.lock().set_lag(Duration::from_millis(lag_ms));
                Ok(json(StatusCode::OK, &lag_ms))
            }
            _ => Err(Refusal::new(error(StatusCode::NOT_FOUND, "path"))),
        }
    }
}

/// Milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
