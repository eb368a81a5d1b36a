//! Tests an entry whose backend servers answer with statuses that are none.

mod harness;

use harness::Action;
use harness::Harness;
use harness::Server;
use harness::body;
use harness::complete_answer;
use harness::event;
use harness::events;
use harness::request;
use harness::status;
use harness::stream_head;

/// Statuses that no answer has.
const NONE: [u16; 5] = [0, 99, 600, 700, 999];

/// An answer with a status that is none, and a success behind it.
fn odd_answer(status: u16) -> Action {
    let odd = complete_answer(200, "", "odd").replacen("200", &format!("{status:03}"), 1);
    Action::Send(odd + &complete_answer(200, "", "behind"))
}

fn sound() -> Vec<Action> {
    vec![Action::Send(complete_answer(200, "", "sound"))]
}

/// Guards against callers that get an answer whose status is none, or what follows it.
#[tokio::test]
async fn an_answer_with_a_status_that_is_none_reaches_no_caller() {
    for odd in NONE {
        let server = Server::spawn(vec![odd_answer(odd)]).await;
        let harness = Harness::start(&[&server]).await;
        for (method, path) in [("GET", "/read/"), ("POST", "/grant/")] {
            let answer = harness.ask(&request(method, path, "", "")).await;
            assert!((500..600).contains(&status(&answer)), "{odd:03}: {answer}");
            let text = body(&answer).unwrap_or_default();
            assert!(!["odd", "behind"].contains(&&*text), "{odd:03}: {answer}");
        }
    }
}

/// Guards against requests that are lost although another server answers.
#[tokio::test]
async fn a_request_whose_answer_has_a_status_that_is_none_is_sent_elsewhere() {
    for odd in NONE {
        let first = Server::spawn(vec![odd_answer(odd)]).await;
        let second = Server::spawn(sound()).await;
        let harness = Harness::start(&[&first, &second]).await;
        let answer = harness.ask(&request("GET", "/read/", "", "")).await;
        assert_eq!(
            body(&answer).as_deref(),
            Some("sound"),
            "{odd:03}: {answer}"
        );
    }
}

/// Guards against a connection that is used again after such an answer.
#[tokio::test]
async fn a_connection_with_a_status_that_is_none_is_not_used_again() {
    for odd in NONE {
        // A server goes on with its script on each connection.
        let script = vec![
            odd_answer(odd),
            Action::Send(complete_answer(200, "", "sound")),
        ];
        let server = Server::spawn(script).await;
        let harness = Harness::start(&[&server]).await;
        harness.ask(&request("GET", "/read/", "", "")).await;
        let answer = harness.ask(&request("GET", "/read/", "", "")).await;
        assert_eq!(
            body(&answer).as_deref(),
            Some("sound"),
            "{odd:03}: {answer}"
        );
    }
}

/// Guards against a stream that begins with, or goes on by, an answer whose status is none.
#[tokio::test]
async fn a_stream_neither_begins_nor_goes_on_with_a_status_that_is_none() {
    let whole = stream_head() + &events(1..=4) + "0\r\n\r\n";
    let broken = stream_head() + &events(1..=2);
    for odd in NONE {
        let odd_head = stream_head().replacen("200", &format!("{odd:03}"), 1);
        let odd_stream = Action::SendAndClose(odd_head + &events(3..=4) + "0\r\n\r\n");
        for first in [Action::SendAndClose(broken.clone()), odd_stream.clone()] {
            let first = Server::spawn(vec![first]).await;
            let second = Server::spawn(vec![odd_stream.clone()]).await;
            let harness = Harness::start(&[&first, &second]).await;
            let answer = harness.ask(&request("POST", "/draft/", "", "")).await;
            assert!(!answer.contains(&event(3)), "{odd:03}: {answer}");
            assert!(!answer.ends_with("0\r\n\r\n"), "{odd:03}: {answer}");
        }
        let server = Server::spawn(vec![Action::Send(whole.clone())]).await;
        let harness = Harness::start(&[&server]).await;
        let answer = harness.ask(&request("POST", "/draft/", "", "")).await;
        assert!(answer.contains(&event(3)), "{answer}");
    }
}
