//! The console of one entry.

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

/// What a console needs.
#[derive(Debug)]
pub struct Config {
    /// The platform's client.
    pub platform: Client,
    /// The configuration in force at this process.
    pub in_force: watch::Receiver<Arc<Snapshot>>,
    /// Takes what this console has published.
    pub publications: mpsc::Sender<Snapshot>,
    /// What this process knows of the fleet.
    pub status: Source,
    /// The fleet's secret, by which sessions are signed.
    pub fleet_secret: String,
    /// Who may sign in until a document names operators.
    pub first_operator: Option<Digest>,
}

/// The console of one entry; clones share it.
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
    /// Makes a console.
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

    /// Its pages, to be nested under `/console`.
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

    /// What this process knows, as JSON for the CLI and scripts.
    pub fn status(&self) -> impl Endpoint<Output = poem::Response> + use<> {
        get(handlers::status_json)
            .with(AddData::new(self.clone()))
            .map_to_response()
    }
}

impl Shared {
    /// The session of a cookie.
    pub(crate) fn session(&self, cookie: &str) -> Option<Session> {
        let in_force = self.in_force.borrow().clone();
        let operators = Operators {
            document: &in_force.document,
            first_operator: self.first_operator.as_ref(),
        };
        self.signer.verify(cookie, wall_clock(), &operators)
    }

    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Time since the Unix epoch: sessions are shared with other hosts.
pub(crate) fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
