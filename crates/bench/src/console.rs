//! The console as an operator's browser uses it: pages are read, forms sent.

use std::net::SocketAddr;

use bytes::Bytes;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use snafu::ResultExt;
use snipewinch::document::Document;
use standin::client::Client;
use standin::client::Response;

use crate::fleet::AnswerSnafu;
use crate::fleet::Error;
use crate::fleet::HttpSnafu;

/// The field that proves that a form was made for the session.
const TOKEN: &str = "token";
/// How often a publication without an answer is asked about.
const ASKS_MAX: usize = 10;
/// How long to wait before asking again.
const ASK_AGAIN: std::time::Duration = std::time::Duration::from_millis(500);

/// What the console says of a document that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Publication {
    /// It is accepted as this version.
    Accepted(u64),
    /// Another operator's came first.
    Conflict,
    /// It does not validate.
    Invalid,
    /// The platform is out of reach and the document is not accepted.
    Unreachable,
    /// The platform did not answer: nobody knows yet.
    Unknown,
}

/// An operator at one entry.
#[derive(Clone, Debug)]
pub struct Console {
    client: Client,
    entry: SocketAddr,
    cookie: String,
}

/// A form of a page: its fields as the page has them.
#[derive(Clone, Debug, Default)]
pub struct Form(Vec<(String, String)>);

impl Console {
    /// Signs in with an operator's key.
    ///
    /// # Errors
    ///
    /// [`Error`] if the console does not answer or refuses the key.
    pub async fn sign_in(entry: SocketAddr, key: &str) -> Result<Console, Error> {
        let mut console = Console {
            client: Client::new(),
            entry,
            cookie: String::new(),
        };
        let form = Form(vec![("key".to_owned(), key.to_owned())]);
        let answer = console.send("/console/sign-in", &form).await?;
        let cookie = answer.headers.get(header::SET_COOKIE);
        let cookie = cookie.and_then(|value| value.to_str().ok()?.split(';').next());
        match cookie {
            Some(cookie) if answer.status.is_redirection() => {
                cookie.clone_into(&mut console.cookie);
                Ok(console)
            }
            _ => refused("the console's sign-in", &answer),
        }
    }

    /// Publishes a document and asks again while the outcome is open.
    ///
    /// # Errors
    ///
    /// [`Error`] if it is not accepted.
    pub async fn publish(&self, document: &Document) -> Result<u64, Error> {
        let mut review = self.review(document).await?;
        let mut last = Publication::Unknown;
        for _ in 0..ASKS_MAX {
            let (outcome, next) = self.confirm(&review).await?;
            match outcome {
                Publication::Accepted(version) => return Ok(version),
                // The page that was answered holds the draft and what is known.
                Publication::Conflict | Publication::Unknown | Publication::Unreachable => {
                    last = outcome;
                    review = next;
                }
                Publication::Invalid => {
                    last = outcome;
                    break;
                }
            }
            tokio::time::sleep(ASK_AGAIN).await;
        }
        AnswerSnafu {
            what: "publishing",
            status: 0_u16,
            body: format!("{last:?}"),
        }
        .fail()
    }

    /// Sends a document for review and returns the form that publishes it.
    ///
    /// # Errors
    ///
    /// [`Error`] if it does not validate.
    pub async fn review(&self, document: &Document) -> Result<Form, Error> {
        let page = self.page("/console/document").await?;
        let mut form = Form::find(&text(&page), "/console/document");
        form.set("text", &document.pretty());
        let answer = self.send("/console/document", &form).await?;
        let review = Form::find(&text(&answer), "/console/publish");
        match review.get("operation") {
            Some(_) => Ok(review),
            None => refused("the console's review", &answer),
        }
    }

    /// Presses publish once; answers what the console says and the form that
    /// asks again.
    ///
    /// # Errors
    ///
    /// [`Error`] if the console does not answer.
    pub async fn confirm(&self, review: &Form) -> Result<(Publication, Form), Error> {
        let answer = self.send("/console/publish", review).await?;
        let page = text(&answer);
        let next = Form::find(&page, "/console/publish");
        let outcome = match (answer.status, accepted(&page)) {
            (StatusCode::OK, Some(version)) => Publication::Accepted(version),
            (StatusCode::CONFLICT, _) => Publication::Conflict,
            (StatusCode::GATEWAY_TIMEOUT, _) => Publication::Unknown,
            (StatusCode::SERVICE_UNAVAILABLE, _) => Publication::Unreachable,
            (StatusCode::UNPROCESSABLE_ENTITY, _) => Publication::Invalid,
            _ => return refused("the console's publish", &answer),
        };
        Ok((outcome, next))
    }

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// [`Error`] if the console does not show it.
    pub async fn page(&self, path: &str) -> Result<Response, Error> {
        let request = http::Request::get(format!("http://{}{path}", self.entry))
            .header(header::COOKIE, &self.cookie)
            .body(Full::default())
            .expect("the parts are valid");
        let answer = self.client.send(request).await.context(HttpSnafu)?;
        match answer.status {
            StatusCode::OK => Ok(answer),
            _ => refused(path, &answer),
        }
    }

    async fn send(&self, path: &str, form: &Form) -> Result<Response, Error> {
        let request = http::Request::post(format!("http://{}{path}", self.entry))
            .header(header::COOKIE, &self.cookie)
            .header(header::CONTENT_TYPE, "application/x-www-form-urlencoded")
            .body(Full::new(Bytes::from(form.encode())))
            .expect("the parts are valid");
        self.client.send(request).await.context(HttpSnafu)
    }
}

fn refused<T>(what: &str, answer: &Response) -> Result<T, Error> {
    AnswerSnafu {
        what,
        status: answer.status.as_u16(),
        body: text(answer),
    }
    .fail()
}

fn text(answer: &Response) -> String {
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// The version that a page says is accepted.
fn accepted(page: &str) -> Option<u64> {
    let (_, rest) = page.split_once("id=\"accepted\">")?;
    rest.split('<').next()?.parse().ok()
}

impl Form {
    /// The fields of the form of a page that is sent to `action`.
    pub fn find(page: &str, action: &str) -> Form {
        let forms = page.split("<form").skip(1);
        let mut forms = forms.filter_map(|form| form.split("</form>").next());
        let wanted = format!("action=\"{action}\"");
        let Some(form) = forms.find(|form| form.contains(&wanted)) else {
            return Form::default();
        };
        let inputs = form.split("<input").skip(1);
        let fields = inputs.filter_map(|input| {
            let tag = input.split('>').next()?;
            let name = attribute(tag, "name")?;
            Some((name, attribute(tag, "value").unwrap_or_default()))
        });
        Form(fields.collect())
    }

    /// The value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Fills a field in.
    pub fn set(&mut self, name: &str, value: &str) {
        self.0.retain(|(field, _)| field != name);
        self.0.push((name.to_owned(), value.to_owned()));
    }

    /// Whether the form carries the proof of its session.
    pub fn has_token(&self) -> bool {
        self.get(TOKEN).is_some()
    }

    fn encode(&self) -> String {
        let mut encoded = form_urlencoded::Serializer::new(String::new());
        for (name, value) in &self.0 {
            encoded.append_pair(name, value);
        }
        encoded.finish()
    }
}

fn attribute(tag: &str, name: &str) -> Option<String> {
    let (_, rest) = tag.split_once(&format!(" {name}=\""))?;
    rest.split('"').next().map(unescape)
}

fn unescape(text: &str) -> String {
    text.replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&quot;", "\"")
        .replace("&#39;", "'")
        .replace("&amp;", "&")
}
