//! A small HTTP client for tests and benches.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;

/// How long a request may take.
const LIMIT: Duration = Duration::from_secs(60);

/// Why a request got no whole answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed or broke.
    #[snafu(display("no answer from {url}: {source}; check that the process runs"))]
    Connection {
        /// What was asked.
        url: String,
        /// What the library said.
        source: legacy::Error,
    },
    /// The answer broke off.
    #[snafu(display("the answer from {url} broke off: {source}; ask again"))]
    Cut {
        /// What was asked.
        url: String,
        /// What the library said.
        source: hyper::Error,
    },
    /// The answer took too long.
    #[snafu(display("no answer from {url} in time; check that the process is not stopped"))]
    Slow {
        /// What was asked.
        url: String,
    },
    /// The request itself is malformed.
    #[snafu(display("{url} can't be asked: {source}; correct the address"))]
    Request {
        /// What was asked.
        url: String,
        /// What the library said.
        source: http::Error,
    },
}

/// An answer read whole.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// The body as JSON, null where it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// A pool of connections; clones share it.
#[derive(Clone, Debug)]
pub struct Client {
    pool: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// An empty pool.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client {
            pool: legacy::Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and returns the answer with its body unread.
    ///
    /// # Errors
    ///
    /// [`Error`] when no answer begins.
    pub async fn send_streaming(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, Error> {
        let url = request.uri().to_string();
        let answer = self.pool.request(request).await;
        answer.context(ConnectionSnafu { url })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`Error`] when no whole answer arrives in time.
    pub async fn send(&self, request: http::Request<Full<Bytes>>) -> Result<Response, Error> {
        let url = request.uri().to_string();
        let whole = async {
            let response = self.send_streaming(request).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await;
            let body = body.context(CutSnafu { url: url.clone() })?;
            Ok(Response {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        match tokio::time::timeout(LIMIT, whole).await {
            Ok(result) => result,
            Err(_) => SlowSnafu { url: url.clone() }.fail(),
        }
    }

    /// Sends a request without special headers.
    ///
    /// # Errors
    ///
    /// [`Error`] when no whole answer arrives in time.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response, Error> {
        let url = format!("http://{address}{path}");
        let request = http::Request::builder()
            .method(method)
            .uri(&url)
            .body(Full::new(body.into()))
            .context(RequestSnafu { url })?;
        self.send(request).await
    }

    /// `GET`.
    ///
    /// # Errors
    ///
    /// [`Error`] when no whole answer arrives in time.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Response, Error> {
        self.call(Method::GET, address, path, Bytes::new()).await
    }

    /// `POST` of JSON.
    ///
    /// # Errors
    ///
    /// [`Error`] when no whole answer arrives in time.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Response, Error> {
        self.call(Method::POST, address, path, body.to_string())
            .await
    }

    /// `PUT` of raw bytes.
    ///
    /// # Errors
    ///
    /// [`Error`] when no whole answer arrives in time.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response, Error> {
        self.call(Method::PUT, address, path, body).await
    }
}
