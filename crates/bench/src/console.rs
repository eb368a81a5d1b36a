//! A client of the operator console that reads its HTML pages and submits its
//! forms, as a browser does.

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

/// The form field with the CSRF token of the session.
const CSRF_FIELD: &str = "token";
/// How often a publication is submitted before it is given up.
const PUBLISH_ATTEMPTS_MAX: usize = 10;
/// The pause before a publication is submitted again.
const PUBLISH_RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(500);

/// What the console answers to a publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Publication {
    /// Accepted as this version.
    Accepted(u64),
    /// Not accepted: another version was accepted first.
    Conflict,
    /// Not accepted: the document is invalid.
    Invalid,
    /// Not accepted: the platform is unreachable.
    Unreachable,
    /// The platform did not answer in time: the document may or may not be
    /// accepted.
    Unknown,
}

/// A session of an operator at one entry.
#[derive(Clone, Debug)]
pub struct Console {
    client: Client,
    entry: SocketAddr,
    cookie: String,
}

/// The names and values of the fields of an HTML form.
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
            _ => unexpected_answer("the console's sign-in", &answer),
        }
    }

    /// Publishes a document, and submits it again until it is accepted, found
    /// invalid, or the attempts are used up. Returns the accepted version.
    ///
    /// # Errors
    ///
    /// [`Error`] if the document is not accepted or the console does not
    /// answer.
    pub async fn publish(&self, document: &Document) -> Result<u64, Error> {
        let mut review = self.review(document).await?;
        let mut last = Publication::Unknown;
        for _ in 0..PUBLISH_ATTEMPTS_MAX {
            let (outcome, next) = self.confirm(&review).await?;
            match outcome {
                Publication::Accepted(version) => return Ok(version),
                // The answer contains a form with the same draft.
                Publication::Conflict | Publication::Unknown | Publication::Unreachable => {
                    last = outcome;
                    review = next;
                }
                Publication::Invalid => {
                    last = outcome;
                    break;
                }
            }
            tokio::time::sleep(PUBLISH_RETRY_PAUSE).await;
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
    /// [`Error`] if the document is invalid or the console does not answer.
    pub async fn review(&self, document: &Document) -> Result<Form, Error> {
        let page = self.page("/console/document").await?;
        let mut form = Form::find(&text(&page), "/console/document");
        form.set("text", &document.pretty());
        let answer = self.send("/console/document", &form).await?;
        let review = Form::find(&text(&answer), "/console/publish");
        match review.get("operation") {
            Some(_) => Ok(review),
            None => unexpected_answer("the console's review", &answer),
        }
    }

    /// Submits the form of a review once. Returns the answer and the form that
    /// submits the draft again.
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
            _ => return unexpected_answer("the console's publish", &answer),
        };
        Ok((outcome, next))
    }

    /// Fetches a page.
    ///
    /// # Errors
    ///
    /// [`Error`] if the console does not answer with 200 OK.
    pub async fn page(&self, path: &str) -> Result<Response, Error> {
        let request = http::Request::get(format!("http://{}{path}", self.entry))
            .header(header::COOKIE, &self.cookie)
            .body(Full::default())
            .expect("valid URI and header values");
        let answer = self.client.send(request).await.context(HttpSnafu)?;
        match answer.status {
            StatusCode::OK => Ok(answer),
            _ => unexpected_answer(path, &answer),
        }
    }

    async fn send(&self, path: &str, form: &Form) -> Result<Response, Error> {
        let request = http::Request::post(format!("http://{}{path}", self.entry))
            .header(header::COOKIE, &self.cookie)
            .header(header::CONTENT_TYPE, "application/x-www-form-urlencoded")
            .body(Full::new(Bytes::from(form.encode())))
            .expect("valid URI and header values");
        self.client.send(request).await.context(HttpSnafu)
    }
}

fn unexpected_answer<T>(what: &str, answer: &Response) -> Result<T, Error> {
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

/// The accepted version that a page shows.
fn accepted(page: &str) -> Option<u64> {
    let (_, rest) = page.split_once("id=\"accepted\">")?;
    rest.split('<').next()?.parse().ok()
}

impl Form {
    /// The input fields of the form on `page` whose action is `action`, or no
    /// fields if the page has no such form.
    pub fn find(page: &str, action: &str) -> Form {
        let forms = page.split("<form").skip(1);
        let mut forms = forms.filter_map(|form| form.split("</form>").next());
        let target = format!("action=\"{action}\"");
        let Some(form) = forms.find(|form| form.contains(&target)) else {
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

    /// Sets the value of a field, adding the field if there is none.
    pub fn set(&mut self, name: &str, value: &str) {
        self.0.retain(|(field, _)| field != name);
        self.0.push((name.to_owned(), value.to_owned()));
    }

    /// Whether the form has the CSRF token of its session.
    pub fn has_token(&self) -> bool {
        self.get(CSRF_FIELD).is_some()
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
