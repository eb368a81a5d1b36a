//! Tests that a stream which broke off is not continued by what is no stream.

mod harness;

use harness::Action;
use harness::Harness;
use harness::Options;
use harness::Part;
use harness::Server;
use harness::body;
use harness::chunk;
use harness::configuration;
use harness::event;
use harness::events;
use harness::field;
use harness::request;
use harness::status;
use harness::stream_head;

/// A text that must not reach a caller inside a stream. It has the form of an event.
const TRAP: &str = "id: 9\ndata: trap\n\n";

/// A server whose stream breaks off after so many events.
async fn breaking_after(count: usize, end: Part) -> Server {
    let sent = match count {
        0 => stream_head(),
        count => stream_head() + &events(1..=count),
    };
    Server::spawn(vec![Action::Steps(vec![Part::Send(sent), end])]).await
}

/// Answers that carry the trap, each with a status and a type.
fn trapped(status: &str, content_type: &str) -> Vec<Vec<Part>> {
    let head = format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {{id}}\r\nX-Server-Signature: sig\r\n{content_type}"
    );
    let length = TRAP.len();
    vec![
        vec![Part::Send(format!(
            "{head}Content-Length: {length}\r\n\r\n{TRAP}"
        ))],
        vec![Part::Send(format!(
            "{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
            chunk(TRAP)
        ))],
        vec![Part::Send(format!("{head}\r\n{TRAP}")), Part::Close],
    ]
}

/// Errors, and successes that are no stream, with all framings.
fn traps() -> Vec<Vec<Part>> {
    let plain = "Content-Type: text/plain\r\n";
    let stream = "Content-Type: text/event-stream\r\n";
    let refused = "X-Not-Executed: 1\r\n";
    let mut all = Vec::new();
    for (status, fields) in [
        ("500 X", plain),
        ("500 X", stream),
        ("500 X", ""),
        ("404 X", plain),
        ("302 X", plain),
        ("503 X", refused),
        ("503 X", plain),
        ("200 X", plain),
        ("200 X", "Content-Type: application/json\r\n"),
        ("206 X", plain),
    ] {
        all.extend(trapped(status, fields));
    }
    for nothing in ["200 X\r\nContent-Length: 0\r\n", "204 X\r\n"] {
        all.push(vec![Part::Send(format!(
            "HTTP/1.1 {nothing}X-Attempt-Id: {{id}}\r\nX-Server-Signature: sig\r\n\r\n"
        ))]);
    }
    all
}

async fn ask(first: &Server, others: &[&Server], attempts: u32) -> String {
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().expect("a list") {
        route["maxAttempts"] = attempts.into();
    }
    let servers: Vec<&Server> = [first].into_iter().chain(others.iter().copied()).collect();
    let harness = Harness::start_with(&servers, &Options::default(), &configuration).await;
    harness.ask(&request("POST", "/draft/", "", "")).await
}

/// What the caller has got is a stream of the first events, and nothing else.
#[track_caller]
fn assert_broken_off(answer: &str, case: &[Part]) {
    assert_eq!(status(answer), 200, "{case:?}: {answer:?}");
    assert!(!answer.contains("trap"), "{case:?}: {answer:?}");
    assert_eq!(
        answer.matches("HTTP/1.1").count(),
        1,
        "{case:?}: {answer:?}"
    );
    assert_eq!(
        body(answer),
        None,
        "{case:?}: it looks complete: {answer:?}"
    );
    assert!(answer.contains("data: 1"), "{case:?}: {answer:?}");
}

/// Guards against the text of an error in the middle of a stream, and against a stream
/// that looks complete though its end is missing.
#[tokio::test]
async fn a_begun_stream_is_not_continued_by_an_answer_that_is_no_stream() {
    for end in [Part::Close, Part::Reset] {
        for case in traps() {
            let first = breaking_after(1, end.clone()).await;
            let second = Server::spawn(vec![Action::Steps(case.clone())]).await;
            let answer = ask(&first, &[&second], 2).await;
            assert_broken_off(&answer, &case);
            assert_eq!(second.requests().len(), 1, "{case:?}");
        }
    }
}

/// Guards against giving such a stream up while a server is left that can go on.
#[tokio::test]
async fn a_begun_stream_goes_on_at_a_third_server_after_an_answer_that_is_no_stream() {
    let rest = stream_head() + &events(2..=3) + "0\r\n\r\n";
    for case in traps() {
        let first = breaking_after(1, Part::Close).await;
        let second = Server::spawn(vec![Action::Steps(case.clone())]).await;
        let third = Server::spawn(vec![Action::Send(rest.clone())]).await;
        let answer = ask(&first, &[&second, &third], 3).await;
        let expected: String = (1..=3).map(event).collect();
        assert_eq!(body(&answer), Some(expected), "{case:?}: {answer:?}");
        let resumed = third.requests();
        assert_eq!(field(&resumed[0], "last-event-id").as_deref(), Some("1"));
    }
}

/// Guards against a mixture where no event has been sent yet: the caller gets the answer
/// of the second server as it is, or a failure of the entry.
#[tokio::test]
async fn a_stream_that_has_not_begun_ends_with_the_whole_answer() {
    for case in traps() {
        let first = breaking_after(0, Part::Close).await;
        let second = Server::spawn(vec![Action::Steps(case.clone())]).await;
        let answer = ask(&first, &[&second], 2).await;
        assert_eq!(
            answer.matches("HTTP/1.1").count(),
            1,
            "{case:?}: {answer:?}"
        );
        let Some(found) = body(&answer) else {
            panic!("{case:?}: it is not complete: {answer:?}");
        };
        let is_signed = field(&answer, "x-server-signature").is_some();
        match status(&answer) {
            _ if is_signed => assert!(found == TRAP || found.is_empty(), "{case:?}"),
            502..=504 => {}
            _ => panic!("{case:?}: {answer:?}"),
        }
    }
}
