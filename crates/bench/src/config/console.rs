//! Requests to the operator console, as a browser sends them.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use standin::client;
use standin::client::Client;

/// An answer of the console.
#[derive(Clone, Debug)]
pub(super) struct Page {
    pub(super) status: StatusCode,
    pub(super) cookie: Option<String>,
    text: String,
}

impl Page {
    /// The value of a hidden form field.
    pub(super) fn field(&self, name: &str) -> Option<String> {
        let prefix = format!("name=\"{name}\" value=\"");
        let (_, rest) = self.text.split_once(&prefix)?;
        let (value, _) = rest.split_once('"')?;
        Some(unescape(value))
    }

    /// The text in the edit form of the document.
    pub(super) fn document(&self) -> Option<String> {
        let (_, rest) = self.text.split_once("<textarea")?;
        let (_, rest) = rest.split_once('>')?;
        let (text, _) = rest.split_once("</textarea>")?;
        Some(unescape(text))
    }

    /// The accepted version that the page shows.
    pub(super) fn accepted(&self) -> Option<u64> {
        let (_, rest) = self.text.split_once("<output id=\"accepted\">")?;
        let (version, _) = rest.split_once('<')?;
        version.parse().ok()
    }
}

fn unescape(text: &str) -> String {
    text.replace("&quot;", "\"")
        .replace("&#39;", "'")
        .replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&amp;", "&")
}

/// Fetches a page.
pub(super) async fn get(
    client: &Client,
    entry: SocketAddr,
    path: &str,
    cookie: &str,
) -> Result<Page, client::Error> {
    send(client, entry, Method::GET, path, cookie, String::new()).await
}

/// Submits a form.
pub(super) async fn post(
    client: &Client,
    entry: SocketAddr,
    path: &str,
    cookie: &str,
    fields: &[(&str, &str)],
) -> Result<Page, client::Error> {
    let body = form_urlencoded::Serializer::new(String::new())
        .extend_pairs(fields)
        .finish();
    send(client, entry, Method::POST, path, cookie, body).await
}

async fn send(
    client: &Client,
    entry: SocketAddr,
    method: Method,
    path: &str,
    cookie: &str,
    body: String,
) -> Result<Page, client::Error> {
    let mut request = http::Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    let uri = format!("http://{entry}{path}");
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let headers = request.headers_mut();
    let content_type = "application/x-www-form-urlencoded";
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    if let Ok(cookie) = cookie.parse() {
        headers.insert(header::COOKIE, cookie);
    }
    let answer = client.send(request).await?;
    let cookie = answer.headers.get(header::SET_COOKIE);
    let cookie = cookie.and_then(|line| line.to_str().ok());
    Ok(Page {
        status: answer.status,
        cookie: cookie.and_then(|line| line.split(';').next().map(str::to_owned)),
        text: String::from_utf8_lossy(&answer.body).into_owned(),
    })
}
