//! The connection to the one backend server of a host.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use smol_str::SmolStr;

use crate::Error;

/// How long an idle connection is kept.
const IDLE: Duration = Duration::from_secs(20);
/// How long opening a connection may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// A backend server, reached over plain HTTP on the same host.
#[derive(Clone, Debug)]
pub struct Server {
    client: Client<HttpConnector, Full<Bytes>>,
    authority: SmolStr,
}

impl Server {
    /// A client of the server at `authority`, as in `127.0.0.1:8000`.
    pub fn open(authority: &str) -> Server {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        // A call that may run only once must not be sent again behind the
        // agent's back, so the library's own retry is off.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE)
            .build(connector);
        Server {
            client,
            authority: SmolStr::new(authority),
        }
    }

    /// Where the server is.
    pub fn authority(&self) -> &str {
        &self.authority
    }

    /// The address of a path on the server.
    pub(crate) fn uri(&self, path: &str) -> String {
        let mut uri = String::with_capacity(8 + self.authority.len() + path.len());
        uri.push_str("http://");
        uri.push_str(&self.authority);
        uri.push_str(path);
        uri
    }

    /// Sends one request, once.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        self.client.request(request).await.map_err(|source| {
            let authority = self.authority.to_string();
            match source.is_connect() {
                true => Error::Connect { authority, source },
                false => Error::Exchange { authority, source },
            }
        })
    }
}
