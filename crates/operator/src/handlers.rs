//! Request handlers of the console.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;

use poem::Addr;
use poem::IntoResponse;
use poem::Response;
use poem::handler;
use poem::http::StatusCode;
use poem::http::header;
use poem::web::Data;
use poem::web::Json;
use poem::web::Path;
use poem::web::Query;
use poem::web::RemoteAddr;
use serde::Deserialize;
use snipewinch::Digest;
use snipewinch::configuration::Record;
use snipewinch::configuration::Snapshot;
use snipewinch::configuration::publish::Outcome;
use snipewinch::document::Document;
use snipewinch::document::check::Fault;

use crate::check;
use crate::console::Console;
use crate::console::wall_clock;
use crate::draft::Draft;
use crate::error::Error;
use crate::page;
use crate::page::Review;
use crate::publisher;
use crate::publisher::Proposal;
use crate::request::Form;
use crate::request::SignIn;
use crate::session;
use crate::session::Operators;
use crate::session::Session;
use crate::status::Status;

/// The number of versions on one page of the history.
const HISTORY_PAGE_VERSIONS: usize = 50;
/// The longest note of a version, in characters; the rest is cut off.
const NOTE_MAX_CHARS: usize = 200;

#[handler]
pub(crate) fn stylesheet() -> impl IntoResponse {
    page::STYLESHEET.with_content_type("text/css; charset=utf-8")
}

#[handler]
pub(crate) fn status_json(Data(console): Data<&Console>) -> Json<Status> {
    Json(console.shared.status.gather())
}

#[handler]
pub(crate) fn sign_in_page() -> Response {
    page::sign_in(StatusCode::OK, None)
}

#[handler]
pub(crate) fn sign_in(
    Data(console): Data<&Console>,
    RemoteAddr(address): &RemoteAddr,
    SignIn(fields): SignIn,
) -> Response {
    let shared = &console.shared;
    let address = ip(address);
    let now = shared.now();
    if !shared.throttle.lock().allows(now, address) {
        let problem = "Too many wrong keys: wait a minute, then try again.";
        return page::sign_in(StatusCode::TOO_MANY_REQUESTS, Some(problem));
    }
    let key = Digest::of(fields.get("key").as_bytes());
    let in_force = shared.in_force.borrow().clone();
    let operators = Operators {
        document: &in_force.document,
        first_operator: shared.first_operator.as_ref(),
    };
    let text = key.to_string();
    match operators.find(|digest| session::constant_time_eq(&digest.to_string(), &text)) {
        Some(operator) => {
            log::info!("E4201 operator {operator} signed in");
            let cookie = shared.signer.issue(&key, wall_clock());
            page::redirect("/console/")
                .with_header(
                    header::SET_COOKIE,
                    set_cookie(&cookie, session::LIFETIME.as_secs()),
                )
                .into_response()
        }
        None => {
            log::warn!("E4202 sign-in from {address} with an unknown operator key");
            shared.throttle.lock().record_failure(now, address);
            let problem = "This key is not that of an operator: check it and type it again.";
            page::sign_in(StatusCode::FORBIDDEN, Some(problem))
        }
    }
}

#[handler]
pub(crate) fn sign_out(_form: Form) -> Response {
    page::redirect("/console/sign-in")
        .with_header(header::SET_COOKIE, set_cookie("", 0))
        .into_response()
}

fn set_cookie(value: &str, max_age_s: u64) -> String {
    let name = session::COOKIE_NAME;
    format!("{name}={value}; Path=/console; HttpOnly; SameSite=Strict; Max-Age={max_age_s}")
}

fn ip(address: &Addr) -> IpAddr {
    match address {
        Addr::SocketAddr(address) => address.ip(),
        Addr::Custom(..) | Addr::Unix(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
    }
}

#[handler]
pub(crate) fn overview(Data(console): Data<&Console>, session: Session) -> Response {
    let in_force = console.shared.in_force.borrow().clone();
    let status = console.shared.status.gather();
    page::overview(&session, &in_force, &status)
}

#[handler]
pub(crate) fn fleet(Data(console): Data<&Console>, session: Session) -> Response {
    let status = console.shared.status.gather();
    page::fleet(&session, &status)
}

#[handler]
pub(crate) fn edit_page(Data(console): Data<&Console>, session: Session) -> Response {
    let in_force = console.shared.in_force.borrow().clone();
    page::edit(&session, &Draft::new(&in_force.document))
}

#[handler]
pub(crate) async fn submit_edit(Data(console): Data<&Console>, form: Form) -> Response {
    let Some(mut draft) = Draft::parse(&form.fields) else {
        return Error::Malformed.into_page();
    };
    match form.fields.get("action").split_once(':') {
        Some(("add", path)) => draft.add_row(path),
        Some(("remove", path)) => draft.remove_row(path),
        Some(_) => return Error::Malformed.into_page(),
        None if form.fields.get("action") == "review" => {
            return review_draft(console, &form.session, draft).await;
        }
        None => {}
    }
    // Adding or removing a row does not validate the draft, as it may not be
    // finished yet.
    draft.problems.clear();
    page::edit(&form.session, &draft)
}

async fn review_draft(console: &Console, session: &Session, mut draft: Draft) -> Response {
    let Some(document) = draft.document() else {
        return page::edit(session, &draft);
    };
    let in_force = console.shared.in_force.borrow().clone();
    let faults = check::faults(&console.shared.platform, &document, &in_force).await;
    if !faults.is_empty() {
        draft.add_faults(&faults);
        return page::edit(session, &draft);
    }
    new_review(session, document, &in_force)
}

fn new_review(session: &Session, document: Document, in_force: &Snapshot) -> Response {
    let review = Review {
        document: document.canonical(),
        operation: check::new_operation(),
        sent: false,
        note: String::new(),
        problem: None,
    };
    page::review(StatusCode::OK, session, &review, in_force)
}

#[handler]
pub(crate) fn document_page(Data(console): Data<&Console>, session: Session) -> Response {
    let in_force = console.shared.in_force.borrow().clone();
    page::document(&session, &in_force.document.pretty(), &[])
}

#[handler]
pub(crate) async fn submit_document(Data(console): Data<&Console>, form: Form) -> Response {
    let text = form.fields.get("text");
    let document = match Document::parse(text) {
        Ok(document) => document,
        Err(error) => return page::document(&form.session, text, &[error.to_string()]),
    };
    let in_force = console.shared.in_force.borrow().clone();
    let faults = check::faults(&console.shared.platform, &document, &in_force).await;
    if !faults.is_empty() {
        let problems: Vec<String> = faults.iter().map(Fault::to_string).collect();
        return page::document(&form.session, text, &problems);
    }
    new_review(&form.session, document, &in_force)
}

#[handler]
pub(crate) async fn publish(Data(console): Data<&Console>, form: Form) -> Response {
    let fields = &form.fields;
    let operation = fields.get("operation");
    let base: Result<u64, _> = fields.get("base").parse();
    let (Ok(document), Ok(base)) = (Document::parse(fields.get("draft")), base) else {
        return Error::Malformed.into_page();
    };
    if !check::is_operation(operation) {
        return Error::Malformed.into_page();
    }
    let in_force = console.shared.in_force.borrow().clone();
    let faults = check::faults(&console.shared.platform, &document, &in_force).await;
    if !faults.is_empty() {
        let mut draft = Draft::new(&document);
        draft.add_faults(&faults);
        return page::edit(&form.session, &draft);
    }
    let document = document.canonical();
    let review = Review {
        operation: operation.into(),
        sent: fields.get("sent") == "1",
        note: fields.get("note").chars().take(NOTE_MAX_CHARS).collect(),
        problem: None,
        document,
    };
    let proposal = Proposal {
        operation: review.operation.clone(),
        operator: form.session.operator.clone(),
        note: review.note.clone(),
        base,
        sent: review.sent,
        text: review.document.json(),
    };
    let outcome = publisher::publish(&console.shared.platform, &proposal).await;
    finish_publication(console, &form.session, review, outcome).await
}

/// Logs the outcome of a publication and returns the page that reports it.
async fn finish_publication(
    console: &Console,
    session: &Session,
    review: Review,
    outcome: Outcome,
) -> Response {
    let operator = &session.operator;
    let (status, problem, review) = match outcome {
        Outcome::Accepted { version } => {
            log::info!("E4203 configuration version {version} by {operator} was accepted");
            let in_force = Snapshot::new(version, review.document);
            // A failed send loses nothing: the table holds the version, and the
            // other hosts read it from there even if this process ends now.
            let _ = console.shared.publications.send(in_force).await;
            return page::accepted(session, version);
        }
        Outcome::Conflict => {
            log::info!(
                "E4204 configuration by {operator} not accepted: another one was accepted first"
            );
            let review = Review {
                operation: check::new_operation(),
                sent: false,
                ..review
            };
            let problem = "Not accepted: another operator published first. Your draft is kept; \
                           look at how it differs now, then publish it or go back to the forms.";
            (StatusCode::CONFLICT, problem, review)
        }
        Outcome::Unreachable => {
            log::warn!(
                "E4205 configuration by {operator} not accepted: configuration table unreachable"
            );
            let problem = "Not accepted: the platform's table is out of reach. Your draft is \
                           kept on this page; press publish again when the outage is over.";
            (StatusCode::SERVICE_UNAVAILABLE, problem, review)
        }
        Outcome::Unknown => {
            log::warn!(
                "E4206 outcome of a configuration by {operator} unknown: no answer from the table"
            );
            let review = Review {
                sent: true,
                ..review
            };
            let problem = "Not known yet whether this is accepted: the platform's table did not \
                           answer. Your draft is kept; press publish again to find out. It is \
                           never published twice.";
            (StatusCode::GATEWAY_TIMEOUT, problem, review)
        }
    };
    let review = Review {
        problem: Some(problem.to_owned()),
        ..review
    };
    let base = comparison_base(console, status).await;
    page::review(status, session, &review, &base)
}

/// Returns the version with which the draft is compared on the review page:
/// after a conflict the current one of the table, which this process may not
/// have received yet, otherwise the one in force here.
async fn comparison_base(console: &Console, status: StatusCode) -> Arc<Snapshot> {
    let in_force = console.shared.in_force.borrow().clone();
    if status != StatusCode::CONFLICT {
        return in_force;
    }
    let record = console.shared.platform.current().await.ok().flatten();
    let newest = record.and_then(|record| Snapshot::parse(record.version, &record.text).ok());
    match newest {
        Some(newest) if newest.version > in_force.version => Arc::new(newest),
        _ => in_force,
    }
}

/// The query of the history page: only versions before `before` are listed.
#[derive(Debug, Deserialize)]
struct HistoryQuery {
    before: Option<u64>,
}

#[handler]
pub(crate) async fn history_page(
    Data(console): Data<&Console>,
    session: Session,
    Query(query): Query<HistoryQuery>,
) -> Response {
    match console
        .shared
        .platform
        .history(query.before, HISTORY_PAGE_VERSIONS)
        .await
    {
        Ok(records) => page::history(&session, &records, records.len() == HISTORY_PAGE_VERSIONS),
        Err(source) => Error::Platform { source }.into_page(),
    }
}

async fn read_version(console: &Console, version: u64) -> Result<Record, Error> {
    match console.shared.platform.version(version).await {
        Ok(Some(record)) => Ok(record),
        Ok(None) => Err(Error::VersionNotFound),
        Err(source) => Err(Error::Platform { source }),
    }
}

#[handler]
pub(crate) async fn version_page(
    Data(console): Data<&Console>,
    session: Session,
    Path(version): Path<u64>,
) -> Response {
    let record = match read_version(console, version).await {
        Ok(record) => record,
        Err(error) => return error.into_page(),
    };
    let in_force = console.shared.in_force.borrow().clone();
    match Snapshot::parse(record.version, &record.text) {
        Ok(content) => page::version(&session, &record, Ok(&content), &in_force),
        Err(error) => page::version(&session, &record, Err(&error.to_string()), &in_force),
    }
}

#[handler]
pub(crate) async fn restore(
    Data(console): Data<&Console>,
    form: Form,
    Path(version): Path<u64>,
) -> Response {
    let record = match read_version(console, version).await {
        Ok(record) => record,
        Err(error) => return error.into_page(),
    };
    match Document::parse(&record.text) {
        Ok(document) => review_draft(console, &form.session, Draft::new(&document)).await,
        Err(error) => page::document(&form.session, &record.text, &[error.to_string()]),
    }
}
