//! Tests that a planned stop of one entry leaves no request without an answer, at each
//! moment of its grace.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;

mod harness;

use harness::Action;
use harness::Harness;
use harness::Options;
use harness::Part;
use harness::Server;
use harness::body;
use harness::complete_answer;
use harness::configuration;
use harness::events;
use harness::field;
use harness::request;
use harness::status;
use harness::stream_head;

/// The grace in the settings of the harness.
const GRACE: Duration = Duration::from_secs(8);
/// The longest `timeoutMs` of the users' routes, and the deadline of their callers.
const TIMEOUT_MS: u64 = 6_000;
/// The time between two requests.
const INTERVAL: Duration = Duration::from_millis(350);
/// Until when a request may be sent that is not finished in the grace.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);

/// What became of one request.
struct Outcome {
    id: String,
    /// When it was sent, counted from the signal.
    sent: Duration,
    /// Whether its connection was opened before the signal.
    is_kept: bool,
    answer: String,
    was_passed_on: bool,
}

impl Outcome {
    fn is_complete(&self) -> bool {
        body(&self.answer).is_some()
    }

    /// Checks what a caller may expect; with the reason if that is broken.
    fn fault(&self, path: &str) -> Option<&'static str> {
        let has_begun = status(&self.answer) == 200;
        let promises_not_run = status(&self.answer) == 503;
        match path {
            _ if promises_not_run && self.was_passed_on => Some("was run in spite of its refusal"),
            _ if self.is_complete() => None,
            _ if !self.was_passed_on && self.answer.is_empty() => None,
            // A stream that has begun cannot be answered otherwise.
            "/draft/" | "/reel/" if has_begun && self.sent < EXCUSED_UNTIL => None,
            _ => Some("ended without a complete answer"),
        }
    }
}

fn slow_configuration() -> Value {
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().expect("a list") {
        route["timeoutMs"] = TIMEOUT_MS.into();
    }
    configuration
}

/// A server that answers after a time; a stream begins at its half.
async fn working(path: &str, work: Duration) -> Server {
    let steps = match path {
        "/draft/" | "/reel/" => vec![
            Part::Pause(work / 2),
            Part::Send(stream_head() + &events(1..=1)),
            Part::Pause(work / 2),
            Part::Send(events(2..=3) + "0\r\n\r\n"),
        ],
        _ => vec![
            Part::Pause(work),
            Part::Send(complete_answer(200, "", "done")),
        ],
    };
    Server::spawn(vec![Action::Steps(steps)]).await
}

fn request_text(path: &str, id: &str) -> String {
    let method = match path {
        "/read/" => "GET",
        _ => "POST",
    };
    let text = request(method, path, "", if method == "GET" { "" } else { "x" });
    let text = text.replace("Connection: close\r\n", "");
    let text = text.replace("X-Attempt-Id: a1", &format!("X-Attempt-Id: {id}"));
    text.replace("Deadline-Ms: 3000", &format!("Deadline-Ms: {TIMEOUT_MS}"))
}

/// Sends a request and reads until the entry closes the connection.
async fn ask(connection: std::io::Result<TcpStream>, text: String) -> String {
    let Ok(mut connection) = connection else {
        return String::new();
    };
    let _ = connection.write_all(text.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = connection.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Stops an entry and sends it requests until its process has ended.
async fn stop_under_requests(path: &'static str, work: Duration) -> Vec<Outcome> {
    let server = working(path, work).await;
    let options = Options {
        slots: 100,
        ..Options::default()
    };
    let mut harness = Harness::start_with(&[&server], &options, &slow_configuration()).await;
    let count = (GRACE.as_millis() / INTERVAL.as_millis()) as u32;
    let mut kept = Vec::new();
    for _ in 0..count {
        kept.push(TcpStream::connect(harness.callers).await);
    }
    sleep(Duration::from_millis(200)).await;
    harness.terminate();
    let signalled = Instant::now();
    let mut asked = JoinSet::new();
    for (index, connection) in (0..count).zip(kept) {
        sleep_until((signalled + INTERVAL * index).into()).await;
        let sent = signalled.elapsed();
        let callers = harness.callers;
        let (old, new) = (format!("old-{index}"), format!("new-{index}"));
        let texts = [&old, &new].map(|id| request_text(path, id));
        let [old_text, new_text] = texts;
        asked.spawn(async move { (old, sent, true, ask(connection, old_text).await) });
        asked.spawn(async move {
            let connection = TcpStream::connect(callers).await;
            (new, sent, false, ask(connection, new_text).await)
        });
    }
    harness.wait_ended().await;
    let ended = signalled.elapsed();
    assert!(ended < GRACE, "the entry ended after {ended:?}");
    let answers = asked.join_all().await;
    let passed_on = server.requests();
    let was_passed_on = |id: &str| {
        let mut requests = passed_on.iter();
        requests.any(|one| field(one, "x-attempt-id").as_deref() == Some(id))
    };
    let outcomes = answers
        .into_iter()
        .map(|(id, sent, is_kept, answer)| Outcome {
            was_passed_on: was_passed_on(&id),
            id,
            sent,
            is_kept,
            answer,
        });
    outcomes.collect()
}

async fn assert_answered(work: Duration) {
    let mut runs = JoinSet::new();
    for path in ["/read/", "/grant/", "/draft/", "/reel/"] {
        runs.spawn(async move { (path, stop_under_requests(path, work).await) });
    }
    let mut faults = Vec::new();
    for (path, outcomes) in runs.join_all().await {
        let passed_on = outcomes.iter().filter(|one| one.was_passed_on).count();
        assert!(passed_on > 0, "{path}: nothing was passed on");
        for one in &outcomes {
            if let Some(fault) = one.fault(path) {
                let (id, sent, kept) = (&one.id, one.sent, one.is_kept);
                faults.push(format!(
                    "{path} {id}, sent after {sent:?}, kept {kept}: {fault}: {:?}",
                    one.answer.lines().next()
                ));
            }
        }
    }
    assert!(faults.is_empty(), "{}\n{}", faults.len(), faults.join("\n"));
}

/// Guards against requests of a planned stop that are taken, passed on and cut without
/// an answer. These end well before the grace does.
#[tokio::test(flavor = "multi_thread")]
async fn short_requests_at_each_moment_of_the_grace_are_answered() {
    assert_answered(Duration::from_millis(300)).await;
}

/// The same for requests of which the last ones are at work at the end of the grace.
#[tokio::test(flavor = "multi_thread")]
async fn long_requests_at_each_moment_of_the_grace_are_answered() {
    assert_answered(Duration::from_millis(5_000)).await;
}

/// The same for requests that would last longer than the grace.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_outlast_the_grace_are_answered() {
    assert_answered(Duration::from_millis(7_500)).await;
}
