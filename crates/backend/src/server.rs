//! Connections to the backend server of a host.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use http1::head::STATUSES;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::TokioExecutor;
use smol_str::SmolStr;

use crate::Error;
use crate::error::StatusSnafu;

/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client for a backend server, over plain HTTP on the same host.
#[derive(Clone, Debug)]
pub struct Server {
    client: Client<HttpConnector, Full<Bytes>>,
    authority: SmolStr,
}

impl Server {
    /// Creates a client for the server at `authority`, such as
    /// `127.0.0.1:8000`. It connects with the first request.
    pub fn open(authority: &str) -> Server {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // The HTTP library must not retry on its own: it would repeat calls
        // that may run at most once, without the agent's knowledge.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Server {
            client,
            authority: SmolStr::new(authority),
        }
    }

    /// The host and port of the server.
    pub fn authority(&self) -> &str {
        &self.authority
    }

    /// The URI of a path on the server.
    pub(crate) fn uri(&self, path: &str) -> String {
        let mut uri = String::with_capacity(8 + self.authority.len() + path.len());
        uri.push_str("http://");
        uri.push_str(&self.authority);
        uri.push_str(path);
        uri
    }

    /// Sends a request without retries.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let connection = capture_connection(&mut request);
        let sent = self.client.request(request).await;
        let response = sent.map_err(|source| {
            let authority = self.authority.to_string();
            match source.is_connect() {
                true => Error::Connect { authority, source },
                false => Error::Exchange { authority, source },
            }
        })?;
        let status = response.status();
        if STATUSES.contains(&status.as_u16()) {
            return Ok(response);
        }
        // What follows on the connection is no answer either.
        if let Some(connected) = &*connection.connection_metadata() {
            connected.poison();
        }
        StatusSnafu { status }.fail()
    }
}
