//! Tests an entry whose operators allow second attempts, before a backend server that is
//! slow.

use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

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
use harness::request;
use harness::status;
use harness::stream_head;

/// Requests from which the entry learns how long answers take.
const LEARNED: usize = 10;
/// Less than the silence after which a request moves without second attempts.
const SOON: Duration = Duration::from_millis(450);
/// The end of a chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";

fn sound() -> Action {
    Action::Send(complete_answer(200, "", "first"))
}

/// A server that answers what the entry learns from, and then does something else.
async fn sound_until(last: Action) -> Server {
    let mut script = vec![sound(); LEARNED];
    script.push(last);
    Server::spawn(script).await
}

async fn other() -> Server {
    Server::spawn(vec![Action::Send(complete_answer(200, "", "second"))]).await
}

async fn start(servers: &[&Server], second_attempts: &'static str) -> Harness {
    let options = Options {
        second_attempts,
        ..Options::default()
    };
    Harness::start_with(servers, &options, &configuration(1)).await
}

async fn learn(harness: &Harness, path: &str) {
    for _ in 0..LEARNED {
        let answer = harness.ask(&request("GET", path, "", "")).await;
        assert_eq!(body(&answer).as_deref(), Some("first"), "{answer:?}");
    }
}

#[tokio::test]
async fn a_second_attempt_answers_while_the_first_hangs_and_the_first_is_withdrawn() {
    let (first, second) = (sound_until(Action::Hang).await, other().await);
    let harness = start(&[&first, &second], "1").await;
    learn(&harness, "/read/").await;
    let closed = *first.closed.lock().unwrap();
    let asked = Instant::now();
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    let took = asked.elapsed();
    assert_eq!(
        (status(&answer), body(&answer).as_deref()),
        (200, Some("second"))
    );
    assert!(took < SOON, "{took:?}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer:?}");
    assert_eq!(
        (first.requests().len(), second.requests().len()),
        (LEARNED + 1, 1)
    );
    let waited = Instant::now();
    while *first.closed.lock().unwrap() == closed {
        assert!(waited.elapsed() < SOON, "the first attempt is still open");
        sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn the_first_attempt_answers_if_the_second_hangs() {
    let slow = Action::Steps(vec![
        Part::Pause(Duration::from_millis(250)),
        Part::Send(complete_answer(200, "", "late")),
    ]);
    let first = sound_until(slow).await;
    let second = Server::spawn(vec![Action::Hang]).await;
    let harness = start(&[&first, &second], "1").await;
    learn(&harness, "/read/").await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert_eq!(
        (status(&answer), body(&answer).as_deref()),
        (200, Some("late"))
    );
    assert_eq!(second.requests().len(), 1);
}

#[tokio::test]
async fn an_error_of_the_second_attempt_is_not_the_answer() {
    let slow = Action::Steps(vec![
        Part::Pause(Duration::from_millis(250)),
        Part::Send(complete_answer(200, "", "late")),
    ]);
    let first = sound_until(slow).await;
    let second = Server::spawn(vec![Action::Send(complete_answer(500, "", ""))]).await;
    let harness = start(&[&first, &second], "1").await;
    learn(&harness, "/read/").await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert_eq!(
        (status(&answer), body(&answer).as_deref()),
        (200, Some("late"))
    );
    assert_eq!(second.requests().len(), 1);
}

#[tokio::test]
async fn a_stream_that_has_not_begun_gets_a_second_attempt() {
    let whole = Action::Send(stream_head() + &events(1..=3) + LAST_CHUNK);
    let mut script = vec![whole.clone(); LEARNED];
    script.push(Action::Send(stream_head()));
    let first = Server::spawn(script).await;
    let second = Server::spawn(vec![whole]).await;
    let harness = start(&[&first, &second], "1").await;
    for _ in 0..LEARNED {
        harness.ask(&request("POST", "/draft/", "", "x")).await;
    }
    let asked = Instant::now();
    let answer = harness.ask(&request("POST", "/draft/", "", "x")).await;
    let took = asked.elapsed();
    let expected: String = (1..=3).map(harness::event).collect();
    assert_eq!((status(&answer), body(&answer)), (200, Some(expected)));
    assert!(took < SOON, "{took:?}");
    assert_eq!(second.requests().len(), 1);
}

#[tokio::test]
async fn a_request_that_may_not_be_repeated_gets_no_second_attempt() {
    let slow = Action::Steps(vec![
        Part::Pause(SOON),
        Part::Send(complete_answer(200, "", "late")),
    ]);
    let (first, second) = (sound_until(slow).await, other().await);
    let harness = start(&[&first, &second], "1").await;
    learn(&harness, "/grant/").await;
    let answer = harness.ask(&request("GET", "/grant/", "", "")).await;
    assert_eq!(
        (status(&answer), body(&answer).as_deref()),
        (200, Some("late"))
    );
    assert_eq!(second.requests().len(), 0);
}

#[tokio::test]
async fn with_the_limit_0_there_are_no_second_attempts() {
    let slow = Action::Steps(vec![
        Part::Pause(SOON),
        Part::Send(complete_answer(200, "", "late")),
    ]);
    let (first, second) = (sound_until(slow).await, other().await);
    let harness = start(&[&first, &second], "0").await;
    learn(&harness, "/read/").await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert_eq!(
        (status(&answer), body(&answer).as_deref()),
        (200, Some("late"))
    );
    assert_eq!(second.requests().len(), 0);
}

#[test]
fn a_limit_that_is_no_share_ends_the_start() {
    let directory = tempfile::tempdir().unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_snipewinch-node"))
        .arg("--settings")
        .arg(directory.path().join("missing.toml"))
        .args(["--second-attempts", "2"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(
        text.contains("invalid share of second attempts") && text.contains("from 0 to 1"),
        "{text}"
    );
}
