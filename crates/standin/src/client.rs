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

/// Limit for a request, from sending it to the end of the response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A request that got no complete response.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed before the response headers arrived.
    #[snafu(display("no response from {url}: {source}; check that the process runs"))]
    Connection {
        /// The requested URL.
        url: String,
        /// The cause.
        source: legacy::Error,
    },
    /// The connection failed while the response body was read.
    #[snafu(display("response body from {url} truncated: {source}; send the request again"))]
    Truncated {
        /// The requested URL.
        url: String,
        /// The cause.
        source: hyper::Error,
    },
    /// No complete response within `REQUEST_TIMEOUT`.
    #[snafu(display(
        "no complete response from {url} before the time-out; check that the process is not suspended"
    ))]
    Timeout {
        /// The requested URL.
        url: String,
    },
    /// The URL or the method is invalid.
    #[snafu(display("invalid request to {url}: {source}; correct the address"))]
    InvalidRequest {
        /// The requested URL.
        url: String,
        /// The cause.
        source: http::Error,
    },
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: http::HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Response {
    /// The body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// An HTTP client with a connection pool that its clones share.
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
    /// A client without open connections.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client {
            pool: legacy::Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and returns the response with its body unread, without a
    /// time-out.
    ///
    /// # Errors
    ///
    /// [`Error::Connection`] if no response headers arrive.
    pub async fn send_streaming(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, Error> {
        let url = request.uri().to_string();
        let response = self.pool.request(request).await;
        response.context(ConnectionSnafu { url })
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`Error`] if no complete response arrives within `REQUEST_TIMEOUT`.
    pub async fn send(&self, request: http::Request<Full<Bytes>>) -> Result<Response, Error> {
        let url = request.uri().to_string();
        let exchange = async {
            let response = self.send_streaming(request).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await;
            let body = body.context(TruncatedSnafu { url: url.clone() })?;
            Ok(Response {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => TimeoutSnafu { url: url.clone() }.fail(),
        }
    }

    /// Sends a request without additional headers.
    ///
    /// # Errors
    ///
    /// [`Error`] if no complete response arrives within `REQUEST_TIMEOUT`.
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
            .context(InvalidRequestSnafu { url })?;
        self.send(request).await
    }

    /// Sends a `GET` request.
    ///
    /// # Errors
    ///
    /// [`Error`] if no complete response arrives within `REQUEST_TIMEOUT`.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Response, Error> {
        self.call(Method::GET, address, path, Bytes::new()).await
    }

    /// Sends a `POST` request with a JSON body.
    ///
    /// # Errors
    ///
    /// [`Error`] if no complete response arrives within `REQUEST_TIMEOUT`.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Response, Error> {
        self.call(Method::POST, address, path, body.to_string())
            .await
    }

    /// Sends a `PUT` request with a body of raw bytes.
    ///
    /// # Errors
    ///
    /// [`Error`] if no complete response arrives within `REQUEST_TIMEOUT`.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response, Error> {
        self.call(Method::PUT, address, path, body).await
    }
}
