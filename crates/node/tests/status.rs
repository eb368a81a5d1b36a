//! Tests an entry whose backend servers answer with statuses that are none.

mod harness;

use harness::Action;
use harness::Harness;
use harness::Server;
use harness::body;
use harness::complete_answer;
use harness::request;
use harness::status;

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
