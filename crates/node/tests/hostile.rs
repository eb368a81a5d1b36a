//! Tests an entry whose backend servers end answers only with their connection
//! or break off.

mod harness;

use harness::Action;
use harness::Harness;
use harness::Part;
use harness::Server;
use harness::body;
use harness::complete_answer;
use harness::event;
use harness::events;
use harness::field;
use harness::request;
use harness::status;
use harness::stream_head;

/// The end of a chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";
/// More than the entry buffers of an answer.
const LONG_BODY_BYTES: usize = 400 << 10;

/// The head of an answer that ends with its connection.
fn unframed_head() -> String {
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig\r\n\r\n".to_owned()
}

/// The text of numbered events without chunks.
fn plain_events(numbers: std::ops::RangeInclusive<usize>) -> String {
    numbers.map(event).collect()
}

/// A server that sends bytes and closes the connection cleanly.
async fn closing_after(text: String) -> Server {
    Server::spawn(vec![Action::Steps(vec![Part::Send(text), Part::Close])]).await
}

/// A server that sends bytes and resets the connection.
async fn reset_after(text: String) -> Server {
    Server::spawn(vec![Action::Steps(vec![Part::Send(text), Part::Reset])]).await
}

async fn answering(text: &str) -> Server {
    Server::spawn(vec![Action::Send(complete_answer(200, "", text))]).await
}

/// A server that has the events after the first `sent` of three.
async fn resuming_after(sent: usize) -> Server {
    let rest = events(sent + 1..=3);
    Server::spawn(vec![Action::Send(stream_head() + &rest + LAST_CHUNK)]).await
}

#[track_caller]
fn assert_complete(answer: &str, expected: &str) {
    let found = body(answer);
    assert!(
        status(answer) == 200 && found.as_deref() == Some(expected),
        "{:?}",
        answer.get(..600).unwrap_or(answer)
    );
}

async fn ask_for_stream(harness: &Harness) -> String {
    harness.ask(&request("POST", "/draft/", "", "x")).await
}

/// Asks for a stream of three events of which the first server completes `sent`.
async fn assert_resumed(first: &Server, sent: usize) {
    let second = resuming_after(sent).await;
    let harness = Harness::start(&[first, &second]).await;
    assert_complete(&ask_for_stream(&harness).await, &plain_events(1..=3));
    let resumed = second.requests();
    let last = (sent > 0).then(|| sent.to_string());
    assert_eq!(field(&resumed[0], "last-event-id"), last);
}

/// Asks for a stream that its only server does not complete.
async fn assert_not_complete(path: &str, first: &Server) {
    let harness = Harness::start(&[first]).await;
    let answer = harness.ask(&request("POST", path, "", "x")).await;
    let presented = status(&answer) == 200 && body(&answer).is_some();
    assert!(!presented && !answer.is_empty(), "{answer:?}");
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_not_lost() {
    for (method, path) in [("GET", "/read/"), ("POST", "/grant/")] {
        for version in ["HTTP/1.0", "HTTP/1.1"] {
            let head = unframed_head().replace("HTTP/1.1", version);
            let first = closing_after(head + "whole").await;
            let harness = Harness::start(&[&first]).await;
            let answer = harness.ask(&request(method, path, "", "")).await;
            assert_complete(&answer, "whole");
        }
    }
}

#[tokio::test]
async fn a_long_answer_that_ends_with_its_connection_is_not_lost() {
    let long = "x".repeat(LONG_BODY_BYTES);
    let first = closing_after(unframed_head() + &long).await;
    let harness = Harness::start(&[&first]).await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert_complete(&answer, &long);
}

#[tokio::test]
async fn an_empty_answer_that_ends_with_its_connection_is_not_lost() {
    let first = closing_after(unframed_head()).await;
    let harness = Harness::start(&[&first]).await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert_complete(&answer, "");
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_not_lost() {
    for path in ["/draft/", "/reel/"] {
        let first = closing_after(unframed_head() + &plain_events(1..=3)).await;
        let harness = Harness::start(&[&first]).await;
        let answer = harness.ask(&request("POST", path, "", "x")).await;
        assert_complete(&answer, &plain_events(1..=3));
    }
}

#[tokio::test]
async fn an_unframed_stream_that_ends_inside_an_event_is_resumed() {
    for sent in 0..=2 {
        let text = unframed_head() + &plain_events(1..=sent) + "id: 3\nda";
        assert_resumed(&closing_after(text).await, sent).await;
    }
}

#[tokio::test]
async fn an_unframed_stream_that_ends_inside_an_event_is_not_presented_as_complete() {
    for path in ["/draft/", "/reel/"] {
        for sent in 0..=2 {
            let text = unframed_head() + &plain_events(1..=sent) + "id: 3\nda";
            assert_not_complete(path, &closing_after(text).await).await;
        }
    }
}

#[tokio::test]
async fn an_unframed_stream_that_is_reset_after_an_event_is_resumed() {
    for sent in 0..=2 {
        let text = unframed_head() + &plain_events(1..=sent);
        assert_resumed(&reset_after(text).await, sent).await;
    }
}

#[tokio::test]
async fn an_unframed_stream_that_is_reset_inside_an_event_is_resumed() {
    for sent in 0..=2 {
        let text = unframed_head() + &plain_events(1..=sent) + "id: 3\nda";
        assert_resumed(&reset_after(text).await, sent).await;
    }
}

#[tokio::test]
async fn an_unframed_stream_that_is_reset_is_not_presented_as_complete() {
    for path in ["/draft/", "/reel/"] {
        for end in ["", "id: 3\nda"] {
            for sent in 0..=2 {
                let text = unframed_head() + &plain_events(1..=sent) + end;
                assert_not_complete(path, &reset_after(text).await).await;
            }
        }
    }
}

#[tokio::test]
async fn a_chunked_stream_that_is_reset_is_resumed() {
    for end in ["", "5\r\nid: ", "4"] {
        for sent in 0..=2 {
            let text = stream_head() + &events(1..=sent) + end;
            assert_resumed(&reset_after(text).await, sent).await;
        }
    }
}

#[tokio::test]
async fn a_chunked_stream_that_is_reset_is_not_presented_as_complete() {
    for path in ["/draft/", "/reel/"] {
        for end in ["", "5\r\nid: ", "4"] {
            let text = stream_head() + &events(1..=2) + end;
            assert_not_complete(path, &reset_after(text).await).await;
        }
    }
}

#[tokio::test]
async fn an_unframed_answer_that_is_reset_is_asked_of_another_server() {
    for sent in ["", "part"] {
        let first = reset_after(unframed_head() + sent).await;
        let second = answering("ok").await;
        let harness = Harness::start(&[&first, &second]).await;
        let answer = harness.ask(&request("GET", "/read/", "", "")).await;
        assert_complete(&answer, "ok");
    }
}

#[tokio::test]
async fn an_unframed_answer_that_is_reset_is_not_presented_as_complete() {
    for (method, path) in [("GET", "/read/"), ("POST", "/grant/")] {
        let first = reset_after(unframed_head() + "part").await;
        let harness = Harness::start(&[&first]).await;
        let answer = harness.ask(&request(method, path, "", "")).await;
        assert_eq!(status(&answer), 502, "{answer:?}");
    }
}

#[tokio::test]
async fn a_long_unframed_answer_that_is_reset_is_not_presented_as_complete() {
    let long = "x".repeat(LONG_BODY_BYTES);
    let first = reset_after(unframed_head() + &long).await;
    let harness = Harness::start(&[&first]).await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert!(status(&answer) != 200 || body(&answer).is_none());
}
