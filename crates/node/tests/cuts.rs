//! Tests the entry against answers that are cut at each byte and closed or reset.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

mod harness;

use harness::Action;
use harness::Harness;
use harness::Options;
use harness::Server;
use harness::body;
use harness::chunk;
use harness::configuration;
use harness::cutting::CuttingServer;
use harness::cutting::End;
use harness::cutting::Template;
use harness::event;
use harness::events;
use harness::exchange;
use harness::field;
use harness::request;
use harness::status;

/// An id of an attempt as long as the place that it takes in templates.
const ID: &str = "a123";
/// The requests at a time.
const PARALLEL: usize = 48;
/// How often a request is sent until a server has got it.
const TRIES_MAX: usize = 8;
const TRY_INTERVAL: Duration = Duration::from_millis(100);
/// More than the entry buffers of an answer.
const LONG_BYTES: usize = 300 << 10;
/// What the entry buffers of an answer.
const BUFFERED_BYTES: usize = 256 << 10;
/// The statuses that promise that the request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The fields that each answer of a server has.
const SIGNED: &str = "X-Attempt-Id: {id}\r\nX-Server-Signature: sig\r\n";
const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    Trailer,
    Unframed,
}

impl Framing {
    const ALL: [Framing; 4] = [
        Framing::Length,
        Framing::Chunks,
        Framing::Trailer,
        Framing::Unframed,
    ];

    /// The head and the body of an answer.
    fn encode(self, status: &str, fields: &str, parts: &[&str]) -> (String, String) {
        let whole: String = parts.concat();
        let chunks: String = parts.iter().map(|part| chunk(part)).collect();
        let (field, body) = match self {
            Framing::Length => (format!("Content-Length: {}\r\n", whole.len()), whole),
            Framing::Chunks => (
                "Transfer-Encoding: chunked\r\n".into(),
                chunks + "0\r\n\r\n",
            ),
            Framing::Trailer => (
                "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n".into(),
                chunks + "0\r\nX-Sum: 12345\r\n\r\n",
            ),
            Framing::Unframed => (String::new(), whole),
        };
        let head = format!("HTTP/1.1 {status}\r\n{SIGNED}{fields}{field}\r\n");
        (head, body)
    }
}

/// A template, and what the entry may make of it.
#[derive(Clone, Debug)]
struct Case {
    /// The name of the route.
    route: &'static str,
    template: Template,
    status: u16,
    /// The body without framing, with the events before it.
    expected: String,
    /// The expected body, of which the template has only the end.
    before: String,
    framing: Framing,
    /// Where else than at its ends a long body is cut.
    bounds: &'static [usize],
    /// Whether a whole answer comes first, whose connection is kept.
    is_kept: bool,
}

impl Case {
    fn is_stream(&self) -> bool {
        matches!(self.route, "draft" | "reel")
    }

    /// Whether a body that the caller got as whole may be the whole of the answer.
    fn may_be_whole(&self, cut: usize, end: End, found: &str) -> bool {
        let ends_with_connection = self.framing == Framing::Unframed && cut >= self.template.head;
        match end {
            // All that was to come has come, whatever follows it.
            _ if cut == self.template.text.len() && found == self.expected => {
                self.framing != Framing::Unframed || end == End::Close
            }
            End::Close if ends_with_connection => {
                let sent = &self.template.text[self.template.head..cut];
                let body = format!("{}{sent}", self.before);
                let is_event_end = body.ends_with("\n\n");
                found == body && (!self.is_stream() || is_event_end)
            }
            End::Close | End::Reset => false,
        }
    }

    /// What is wrong with an answer of the entry; none if nothing is.
    fn fault(&self, cut: usize, end: End, answer: &str, runs: usize) -> Option<&'static str> {
        let is_signed = field(answer, "x-server-signature").is_some();
        let is_head_whole = cut >= self.template.head;
        let is_refusal = self.template.text.contains("X-Not-Executed");
        let promises = PROMISES.contains(&status(answer)) && self.route != "read";
        if answer.matches("HTTP/1.1").count() != 1 {
            return Some("not one answer");
        }
        match body(answer) {
            _ if promises && runs > 0 && !(is_refusal && is_head_whole) => Some("a false promise"),
            _ if self.route == "grant" && runs > 1 && !is_refusal => Some("run twice"),
            _ if !is_signed && status(answer) < 400 => Some("no signature"),
            Some(_) if !is_signed => None,
            _ if !is_head_whole && self.template.begin.is_none() => Some("no head had arrived"),
            _ if status(answer) != self.status => Some("another status"),
            Some(found) if !self.may_be_whole(cut, end, &found) => Some("framed as whole"),
            Some(_) => None,
            None if cut == self.template.text.len() && self.framing != Framing::Unframed => {
                Some("a whole answer was broken off")
            }
            None => None,
        }
    }
}

fn case(
    route: &'static str,
    name: String,
    line: &'static str,
    fields: &str,
    framing: Framing,
    parts: &[&str],
) -> Case {
    let (head, body) = framing.encode(line, fields, parts);
    Case {
        route,
        template: Template::new(name.leak(), &head, &body),
        status: line[..3].parse().expect("a status"),
        expected: parts.concat(),
        before: String::new(),
        framing,
        bounds: &[],
        is_kept: false,
    }
}

/// Cuts the answer of each case at each byte and returns what is wrong, with how many
/// cuts have reached no server.
async fn faults(cases: Vec<Case>) -> (Vec<String>, usize) {
    let templates: Vec<Template> = cases.iter().map(|case| case.template.clone()).collect();
    let servers = [
        Arc::new(CuttingServer::spawn(templates.clone()).await),
        Arc::new(CuttingServer::spawn(templates).await),
    ];
    let options = Options {
        retry_ratio: 1.0,
        retry_burst: 100_000,
        slots: 200,
        ..Options::default()
    };
    let mut document = configuration(1);
    document["services"][0]["maxConns"] = 1_000.into();
    let listed = [&servers[0].server, &servers[1].server];
    let harness = Harness::start_with(&listed, &options, &document).await;
    let callers = harness.callers;
    let places = Arc::new(Semaphore::new(PARALLEL));
    let found = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = JoinSet::new();
    for case in cases.into_iter().map(Arc::new) {
        for (cut, end) in case
            .template
            .cuts(case.bounds)
            .into_iter()
            .flat_map(|cut| End::ALL.map(|end| (cut, end)))
        {
            let (case, servers) = (Arc::clone(&case), servers.clone());
            let (places, found) = (Arc::clone(&places), Arc::clone(&found));
            tasks.spawn(async move {
                let _place = places.acquire().await;
                for number in 0..TRIES_MAX {
                    let name = case.template.name;
                    let path = format!("/{}/{name}/{cut}/{end:?}/{number}", case.route);
                    let method = if case.route == "read" { "GET" } else { "POST" };
                    let text = request(method, &path, "", "")
                        .replace("X-Attempt-Id: a1", &format!("X-Attempt-Id: {ID}"));
                    if case.is_kept {
                        let length = case.template.text.len();
                        let kept = text.replace(&path, &format!("/read/{name}/{length}/Keep"));
                        exchange(callers, &kept).await;
                    }
                    let answer = exchange(callers, &text).await;
                    let runs = servers.iter().map(|server| server.count(&path)).sum();
                    if let Some(fault) = case.fault(cut, end, &answer, runs) {
                        let sent = &case.template.text[cut.saturating_sub(30)..cut];
                        let shown = answer.get(..300).unwrap_or(&answer);
                        let line = format!("{path} after {sent:?}: {fault}: {shown:?}");
                        found.lock().unwrap().push(line);
                    }
                    if runs > 0 {
                        return true;
                    }
                    sleep(TRY_INTERVAL).await;
                }
                false
            });
        }
    }
    let reached = tasks.join_all().await;
    let missed = reached.iter().filter(|reached| !**reached).count();
    println!("{} cuts, {missed} reached no server", reached.len());
    let found = std::mem::take(&mut *found.lock().unwrap());
    (found, missed)
}

async fn assert_no_faults(cases: Vec<Case>) {
    let (faults, missed) = faults(cases).await;
    let shown = faults.iter().take(12).cloned().collect::<Vec<_>>();
    assert!(
        faults.is_empty(),
        "{} faults:\n{}",
        faults.len(),
        shown.join("\n")
    );
    assert_eq!(missed, 0, "each cut is made");
}

/// Guards against a success, or a whole body, of an answer that its server cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_not_framed_as_whole() {
    let mut cases = Vec::new();
    for route in ["read", "grant"] {
        for framing in Framing::ALL {
            for line in ["200 OK", "500 X"] {
                let name = format!("{route}-{framing:?}-{}", &line[..3]);
                cases.push(case(route, name, line, "", framing, &["first ", "second"]));
            }
            let name = format!("{route}-{framing:?}-refusal");
            let fields = "X-Not-Executed: 1\r\n";
            cases.push(case(route, name, "503 X", fields, framing, &["full"]));
        }
    }
    assert_no_faults(cases).await;
}

/// Guards against the same, and a second run, where the connection had served before.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_on_a_kept_connection_is_not_framed_as_whole() {
    let mut one = case(
        "grant",
        "kept".into(),
        "200 OK",
        "",
        Framing::Length,
        &["whole"],
    );
    one.is_kept = true;
    assert_no_faults(vec![one]).await;
}

/// Guards against the same in streams, whether they may be resumed or not.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_not_framed_as_whole() {
    let written: Vec<String> = (1..=3).map(event).collect();
    let parts: Vec<&str> = written.iter().map(String::as_str).collect();
    let mut cases = Vec::new();
    for framing in Framing::ALL {
        let name = format!("reel-{framing:?}");
        cases.push(case("reel", name, "200 OK", EVENT_STREAM, framing, &parts));
    }
    assert_no_faults(cases).await;
}

/// Guards against a stream that looks complete as the server that resumes it is cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_resumed_stream_is_not_framed_as_whole() {
    let written: Vec<String> = (2..=3).map(event).collect();
    let parts: Vec<&str> = written.iter().map(String::as_str).collect();
    let mut cases = Vec::new();
    for framing in Framing::ALL {
        let name = format!("draft-{framing:?}");
        let mut one = case("draft", name, "200 OK", EVENT_STREAM, framing, &parts);
        let (head, _) = Framing::Chunks.encode("200 OK", EVENT_STREAM, &[]);
        one.template.begin = Some(head + &events(1..=1));
        one.before = event(1);
        one.expected = (1..=3).map(event).collect();
        cases.push(one);
    }
    assert_no_faults(cases).await;
}

/// Guards against the same in answers that are relayed before they are complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_long_answer_is_not_framed_as_whole() {
    let half = "x".repeat(LONG_BYTES / 2);
    let mut cases = Vec::new();
    for framing in Framing::ALL {
        let name = format!("long-{framing:?}");
        let mut one = case("read", name, "200 OK", "", framing, &[&half, &half]);
        one.bounds = &[LONG_BYTES / 2, BUFFERED_BYTES];
        cases.push(one);
    }
    assert_no_faults(cases).await;
}

/// Guards against an interim head that is taken for the answer when that is cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_after_interim_heads_is_not_framed_as_whole() {
    let interim = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n{SIGNED}Content-Length: 0\r\n\r\n"
    );
    let mut cases = Vec::new();
    for route in ["read", "grant"] {
        for framing in [Framing::Length, Framing::Unframed] {
            let name = format!("interim-{route}-{framing:?}");
            let mut one = case(route, name, "200 OK", "", framing, &["whole"]);
            one.template.text.insert_str(0, &interim);
            one.template.head += interim.len();
            cases.push(one);
        }
    }
    assert_no_faults(cases).await;
}

/// Guards against a body that loses its beginning where its head ends with bare line feeds
/// and an empty line follows in the body.
#[tokio::test]
async fn a_head_with_bare_line_feeds_does_not_shorten_the_body() {
    let lines = "HTTP/1.1 200 OK|X-Attempt-Id: {id}|X-Server-Signature: sig||";
    for line_end in ["\n", "\r\n"] {
        let mut head = lines.replace('|', line_end);
        // The empty line alone suffices.
        head.truncate(head.len() - line_end.len());
        let text = format!("{head}\nfirst\r\n\r\nsecond");
        let server = Server::spawn(vec![Action::SendAndClose(text)]).await;
        let harness = Harness::start(&[&server]).await;
        for (method, path) in [("GET", "/read/"), ("POST", "/grant/")] {
            let answer = harness.ask(&request(method, path, "", "")).await;
            let found = body(&answer);
            let is_whole = found.as_deref() == Some("first\r\n\r\nsecond");
            assert!(is_whole || status(&answer) == 502, "{answer:?}");
        }
    }
}
