//! Tests what an entry logs and counts of answers that it does not complete.

use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

mod harness;

use harness::Action;
use harness::Harness;
use harness::Logging;
use harness::Options;
use harness::Server;
use harness::body;
use harness::chunk;
use harness::complete_answer;
use harness::configuration;
use harness::request;
use harness::status;
use harness::stream_head;

/// The index of the streaming route in the shared configuration.
const DRAFT: usize = 3;
/// Longer than an answer that is buffered until it is complete.
const LONG_ANSWER_BYTES: usize = 400 << 10;

fn first_event() -> String {
    stream_head() + &chunk("id: 1\ndata: a\n\n")
}

fn messages(lines: &[Value]) -> Vec<&str> {
    lines
        .iter()
        .filter_map(|line| line["message"].as_str())
        .collect()
}

/// Asserts that one answer was cut, and returns the line that says so.
async fn only_cut(harness: &Harness, route: &str, cause: &str) -> String {
    let lines = harness.wait_lines("E7118", 1).await;
    let messages = messages(&lines);
    let [message] = messages[..] else {
        panic!("not one line: {messages:?}");
    };
    assert_eq!(lines[0]["level"], "INFO");
    let beginning = format!("answer to request a1 on route {route} cut: {cause}, ");
    assert!(message.starts_with(&beginning), "{message}");
    let counter = format!("snipewinch_answers_cut_total{{cause=\"{cause}\"}}");
    assert_eq!(harness.metric(&counter).await, 1);
    assert_eq!(harness.metric("snipewinch_callers_left_total").await, 0);
    assert!(harness.lines("E7111").is_empty());
    message.to_owned()
}

/// The number before ` ms` and `unit` in a line.
fn milliseconds(message: &str, unit: &str) -> u64 {
    let (before, _) = message.split_once(unit).expect("the unit");
    let number = before.rsplit(' ').next().expect("a number");
    number.parse().expect("a number")
}

/// Sends a request over a new connection and reads until `expected` has
/// arrived.
async fn ask_until(harness: &Harness, request: &str, expected: &str) -> TcpStream {
    let mut caller = TcpStream::connect(harness.callers)
        .await
        .expect("the entry listens");
    caller.write_all(request.as_bytes()).await.expect("sent");
    let mut received = Vec::new();
    let reading = async {
        while !String::from_utf8_lossy(&received).contains(expected) {
            assert_ne!(caller.read_buf(&mut received).await.expect("read"), 0);
        }
    };
    timeout(Duration::from_secs(10), reading)
        .await
        .expect("the expected text arrives");
    caller
}

/// Opens a stream and waits for its first event.
async fn open_stream(harness: &Harness) -> TcpStream {
    ask_until(harness, &request("POST", "/draft/", "", "x"), "data: a").await
}

async fn read_to_close(mut caller: TcpStream) {
    let mut rest = Vec::new();
    timeout(Duration::from_secs(10), caller.read_to_end(&mut rest))
        .await
        .expect("the entry closes the connection")
        .expect("read");
}

#[tokio::test]
async fn a_stream_without_a_retry_left_is_logged_as_cut() {
    let first = Server::spawn(vec![Action::SendAndClose(first_event())]).await;
    let second = Server::spawn(vec![Action::SendAndClose(first_event())]).await;
    let harness = Harness::start_logged(&[&first, &second], &configuration(1)).await;
    let answer = harness.ask(&request("POST", "/draft/", "", "x")).await;
    assert_eq!(body(&answer), None);
    let message = only_cut(&harness, "draft", "no_retry").await;
    assert!(
        message.ends_with(", deadline 3000 ms, configuration 1 at arrival, 1 now"),
        "{message}"
    );
}

#[tokio::test]
async fn a_stream_without_a_slot_for_its_retry_is_logged_as_cut() {
    let server = Server::spawn(vec![Action::SendAndClose(first_event())]).await;
    let harness = Harness::start_logged(&[&server], &configuration(1)).await;
    let answer = harness.ask(&request("POST", "/draft/", "", "x")).await;
    assert_eq!(body(&answer), None);
    only_cut(&harness, "draft", "no_slot").await;
}

#[tokio::test]
async fn a_long_answer_that_is_broken_off_is_logged_as_cut() {
    let long = complete_answer(200, "", &"x".repeat(LONG_ANSWER_BYTES));
    let cut = long[..long.len() - 1].to_owned();
    let server = Server::spawn(vec![Action::SendAndClose(cut)]).await;
    let harness = Harness::start_logged(&[&server], &configuration(1)).await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert_eq!(body(&answer), None);
    only_cut(&harness, "read", "broken_off").await;
}

#[tokio::test]
async fn a_cut_by_a_timeout_that_was_replaced_names_both_configurations() {
    let server = Server::spawn(vec![Action::Send(first_event())]).await;
    let mut before = configuration(1);
    // Without a goal for gaps, the stream may be silent for longer than this.
    before["routes"][DRAFT]["gapGoalMs"] = 0.into();
    before["routes"][DRAFT]["timeoutMs"] = 1_200.into();
    let harness = Harness::start_logged(&[&server], &before).await;
    let caller = open_stream(&harness).await;
    harness.store.put("op", "config", &configuration(2));
    harness.wait_lines("E7020", 2).await;
    read_to_close(caller).await;
    let message = only_cut(&harness, "draft", "deadline").await;
    assert!(
        message.ends_with(", deadline 1200 ms, configuration 1 at arrival, 2 now"),
        "{message}"
    );
    let (age, silence) = (
        milliseconds(&message, " ms after arrival"),
        milliseconds(&message, " ms after the last event"),
    );
    assert!(age >= 1_200 && silence <= age, "{message}");
    assert_eq!(harness.wait_lines("E7101", 1).await.len(), 1);
}

#[tokio::test]
async fn a_caller_that_leaves_is_not_logged_as_cut() {
    let server = Server::spawn(vec![Action::Send(first_event())]).await;
    let harness = Harness::start_logged(&[&server], &configuration(1)).await;
    drop(open_stream(&harness).await);
    let left = harness.wait_lines("E7111", 1).await;
    assert_eq!(
        messages(&left),
        ["caller closed its connection before the answer to request a1 was complete"]
    );
    assert!(harness.lines("E7118").is_empty());
    assert_eq!(harness.metric("snipewinch_callers_left_total").await, 1);
}

#[tokio::test]
async fn a_server_that_stalls_is_logged_with_the_length_of_its_silence() {
    let first = Server::spawn(vec![Action::Send(first_event())]).await;
    let rest = stream_head() + &chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n";
    let second = Server::spawn(vec![Action::Send(rest)]).await;
    let harness = Harness::start_logged(&[&first, &second], &configuration(1)).await;
    let answer = harness.ask(&request("POST", "/draft/", "", "x")).await;
    assert_eq!(
        body(&answer).as_deref(),
        Some("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
    );
    let lines = harness.wait_lines("E7116", 1).await;
    let messages = messages(&lines);
    let [message] = messages[..] else {
        panic!("not one line: {messages:?}");
    };
    assert!(
        message.starts_with("backend server s0 has sent nothing of request a1 for "),
        "{message}"
    );
    assert!(milliseconds(message, " ms") >= 1_000, "{message}");
    harness.wait_lines("E7107", 1).await;
    assert!(harness.lines("E7105").is_empty());
    assert!(harness.lines("E7118").is_empty());
}

#[tokio::test]
async fn an_idle_connection_closed_by_a_replaced_limit_is_logged() {
    let server = Server::spawn(vec![Action::Send(complete_answer(200, "", "whole"))]).await;
    let mut before = configuration(1);
    before["limits"]["idleTimeoutMs"] = 1_200.into();
    let harness = Harness::start_logged(&[&server], &before).await;
    let kept = request("GET", "/read/", "", "").replace("Connection: close\r\n", "");
    read_to_close(ask_until(&harness, &kept, "whole").await).await;
    let waiting = ask_until(&harness, &kept, "whole").await;
    let mut after = configuration(2);
    after["limits"]["idleTimeoutMs"] = 600.into();
    harness.store.put("op", "config", &after);
    harness.wait_lines("E7020", 2).await;
    read_to_close(waiting).await;
    let lines = harness.wait_lines("E7119", 2).await;
    let levels: Vec<_> = lines.iter().map(|line| &line["level"]).collect();
    assert_eq!(levels, ["DEBUG", "INFO"]);
    assert_eq!(
        messages(&lines),
        [
            "closing an idle connection at its limit of 1200 ms; the limit in force is 1200 ms",
            "closing an idle connection at its limit of 1200 ms; the limit in force is 600 ms",
        ]
    );
    let counter = "snipewinch_idle_connections_closed_total";
    assert_eq!(harness.metric(counter).await, 2);
    assert!(harness.lines("E7111").is_empty());
}

/// Guards against a process that stands still because nobody reads its log.
#[tokio::test]
async fn an_entry_whose_log_is_not_read_goes_on() {
    let server = Server::spawn(vec![Action::Send(complete_answer(200, "", "read"))]).await;
    let options = Options {
        logging: Logging::Unread,
        ..Options::default()
    };
    let mut harness = Harness::start_with(&[&server], &options, &configuration(1)).await;
    for _ in 0..200 {
        let answers = [
            harness.ask(&request("GET", "/read/", "", "")).await,
            harness.ask(&request("GET", "/nowhere/", "", "")).await,
        ];
        assert_eq!(answers.map(|answer| status(&answer)), [200, 404]);
    }
    harness.terminate();
    harness.wait_ended().await;
}
