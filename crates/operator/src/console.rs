//! The console of one entry host: settings, shared state and routes.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use parking_lot::Mutex;
use platform::Client;
use poem::Endpoint;
use poem::EndpointExt;
use poem::Route;
use poem::get;
use poem::middleware::AddData;
use poem::post;
use snipewinch::Digest;
use snipewinch::configuration::Snapshot;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::handlers;
use crate::session::Operators;
use crate::session::Session;
use crate::session::Signer;
use crate::status::Source;
use crate::throttle::Throttle;

/// The configuration of a [`Console`].
#[derive(Debug)]
pub struct Config {
    /// The client of the platform.
    pub platform: Client,
    /// The configuration in force in this process.
    pub in_force: watch::Receiver<Arc<Snapshot>>,
    /// Receives each version that was accepted through this console, so that
    /// this process need not wait until it reads the version from the table.
    pub publications: mpsc::Sender<Snapshot>,
    /// The source of this process's view of the fleet.
    pub status: Source,
    /// The fleet secret, from which the keys that sign sessions and form tokens
    /// are derived.
    pub fleet_secret: String,
    /// The digest of the first operator's key, valid for signing in while the
    /// document names no operators.
    pub first_operator: Option<Digest>,
}

/// The console of one entry host; clones share its state.
#[derive(Clone, Debug)]
pub struct Console {
    pub(crate) shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) platform: Client,
    pub(crate) in_force: watch::Receiver<Arc<Snapshot>>,
    pub(crate) publications: mpsc::Sender<Snapshot>,
    pub(crate) status: Source,
    pub(crate) signer: Signer,
    pub(crate) first_operator: Option<Digest>,
    pub(crate) throttle: Mutex<Throttle>,
    started: Instant,
}

impl Console {
    /// Creates a console.
    pub fn open(config: Config) -> Console {
        let shared = Shared {
            platform: config.platform,
            in_force: config.in_force,
            publications: config.publications,
            status: config.status,
            signer: Signer::new(&config.fleet_secret),
            first_operator: config.first_operator,
            throttle: Mutex::default(),
            started: Instant::now(),
        };
        Console {
            shared: Arc::new(shared),
        }
    }

    /// Returns the routes of the pages, to be nested under `/console`.
    pub fn routes(&self) -> impl Endpoint<Output = poem::Response> + use<> {
        let sign_in = get(handlers::sign_in_page).post(handlers::sign_in);
        let document = get(handlers::document_page).post(handlers::submit_document);
        let edit = get(handlers::edit_page).post(handlers::submit_edit);
        Route::new()
            .at("/", get(handlers::overview))
            .at("/style.css", get(handlers::stylesheet))
            .at("/sign-in", sign_in)
            .at("/sign-out", post(handlers::sign_out))
            .at("/edit", edit)
            .at("/document", document)
            .at("/publish", post(handlers::publish))
            .at("/history", get(handlers::history_page))
            .at("/history/:version", get(handlers::version_page))
            .at("/restore/:version", post(handlers::restore))
            .at("/fleet", get(handlers::fleet))
            .with(AddData::new(self.clone()))
            .map_to_response()
    }

    /// Returns the endpoint of this process's status as JSON, for the CLI and
    /// scripts.
    pub fn status(&self) -> impl Endpoint<Output = poem::Response> + use<> {
        get(handlers::status_json)
            .with(AddData::new(self.clone()))
            .map_to_response()
    }
}

impl Shared {
    /// Returns the session of a cookie, or `None` if it is invalid.
    pub(crate) fn session(&self, cookie: &str) -> Option<Session> {
        let in_force = self.in_force.borrow().clone();
        let operators = Operators {
            document: &in_force.document,
            first_operator: self.first_operator.as_ref(),
        };
        self.signer.verify(cookie, wall_clock(), &operators)
    }

    /// Returns the time since this console was created.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Returns the time since the Unix epoch. Sessions expire by it, as other hosts
/// verify them as well and do not share this process's monotonic clock.
pub(crate) fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
