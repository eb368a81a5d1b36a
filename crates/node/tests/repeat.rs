//! Tests entries whose backend servers end under one request that comes again
//! with the same path, caller and body.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use snipewinch::quarantine;
use tokio::task::JoinSet;
use tokio::time::sleep;

mod harness;

use harness::body;
use harness::configuration;
use harness::crashing::Naming;
use harness::crashing::Reaction;
use harness::crashing::Trigger;
use harness::exchange;
use harness::fleet::Fleet;
use harness::request;
use harness::status;

/// The body under which servers end.
const BAD_BODY: &str = "title=%00";
/// How long a server refuses connections after its end.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Longer than any test.
const DOWNTIME_LONG: Duration = Duration::from_secs(60);
/// The time between two copies of the request.
const INTERVAL: Duration = Duration::from_millis(40);
/// How many copies of the request the longer tests send.
const TRAFFIC: usize = 150;
/// How many servers the request may end before it must be blocked.
const ENDS_MAX: usize = 3;
/// The time after that in which copies may still reach servers.
const STABLE_WINDOW: Duration = Duration::from_secs(1);
/// The longest time to the refusal of a blocked request.
const REFUSAL_TIME_MAX: Duration = Duration::from_millis(100);

/// An answer to a caller.
#[derive(Clone, Debug)]
struct Answer {
    is_bad: bool,
    sent: Instant,
    took: Duration,
    text: String,
}

fn trigger(path: &str) -> Trigger {
    Trigger::Request {
        path: path.to_owned(),
        body: BAD_BODY.to_owned(),
    }
}

async fn start(path: &str, reaction: Reaction, servers: usize, downtime: Duration) -> Fleet {
    let reactions = vec![reaction; servers];
    Fleet::start_with(&trigger(path), &reactions, 3, downtime, &configuration(1)).await
}

/// Sends a request to an entry, with an id of its own.
async fn ask(callers: SocketAddr, path: &str, id: usize, content: &str) -> Answer {
    let text = request("POST", path, &format!("X-Trace: {id}\r\n"), content);
    let text = text.replacen("X-Attempt-Id: a1", &format!("X-Attempt-Id: a{id}"), 1);
    let sent = Instant::now();
    let text = exchange(callers, &text).await;
    Answer {
        is_bad: content == BAD_BODY,
        sent,
        took: sent.elapsed(),
        text,
    }
}

/// Sends copies of the bad request to the entries in turn, and a sound request
/// on the same path after each; one body in three is sent again and again.
async fn send_traffic(fleet: &Fleet, path: &'static str, copies: usize) -> Vec<Answer> {
    let callers = fleet.callers();
    let mut tasks = JoinSet::new();
    for index in 0..copies {
        let caller = callers[index % callers.len()];
        tasks.spawn(async move { ask(caller, path, 2 * index, BAD_BODY).await });
        sleep(INTERVAL / 2).await;
        let content = match index % 3 {
            0 => "title=again".to_owned(),
            _ => format!("title={index}"),
        };
        tasks.spawn(async move { ask(caller, path, 2 * index + 1, &content).await });
        sleep(INTERVAL / 2).await;
    }
    tasks.join_all().await
}

/// Asserts that no copy reached a server once the verdict was due, and that
/// sound requests were answered.
fn assert_contained(fleet: &Fleet, answers: &[Answer]) {
    let ends = fleet.ends();
    let last = ends.get(ENDS_MAX - 1).expect("servers have ended");
    let due = *last + STABLE_WINDOW;
    let copies = answers.iter().filter(|one| one.is_bad && one.sent > due);
    assert!(copies.count() >= 40, "the traffic ended too early");
    let late = fleet.suspects().iter().filter(|at| **at > due).count();
    assert_eq!(late, 0, "copies reached servers late, {} ended", ends.len());
    let sound: Vec<&Answer> = answers
        .iter()
        .filter(|one| !one.is_bad && one.sent > due + DOWNTIME)
        .collect();
    assert!(!sound.is_empty(), "the traffic ended too early");
    let unanswered: Vec<&&Answer> = sound
        .iter()
        .filter(|one| status(&one.text) != 200)
        .collect();
    assert!(
        unanswered.is_empty(),
        "{} of {} sound requests were not answered: {unanswered:?}",
        unanswered.len(),
        sound.len()
    );
}

/// Guards against a request that ends servers for ever which return under their ids: only
/// their first end was counted.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_servers_which_keep_their_ids_is_blocked() {
    let trigger = trigger("/draft/");
    let reactions = [Reaction::End; 3];
    let (downtime, naming) = (Duration::from_millis(500), Naming::Stays);
    let configuration = configuration(1);
    let fleet = Fleet::start_named(&trigger, &reactions, 3, downtime, &configuration, naming).await;
    let answers = send_traffic(&fleet, "/draft/", TRAFFIC).await;
    assert_contained(&fleet, &answers);
}

/// Guards against a request without a prompt of which nothing is remembered.
#[tokio::test]
async fn a_plain_request_that_has_ended_three_servers_is_not_sent_to_further_ones() {
    let fleet = start("/read/1", Reaction::End, 8, DOWNTIME).await;
    let answers = send_traffic(&fleet, "/read/1", TRAFFIC).await;
    assert_contained(&fleet, &answers);
}

/// Guards against a request that is remembered only where it may run again.
#[tokio::test]
async fn a_request_that_may_run_once_and_has_ended_three_servers_is_not_sent_to_further_ones() {
    let fleet = start("/grant/1", Reaction::End, 8, DOWNTIME).await;
    let answers = send_traffic(&fleet, "/grant/1", TRAFFIC).await;
    assert_contained(&fleet, &answers);
}

/// Guards against a stream without a prompt of which nothing is remembered.
#[tokio::test]
async fn a_stream_that_has_ended_three_servers_is_not_sent_to_further_ones() {
    let fleet = start("/draft/1", Reaction::End, 8, DOWNTIME).await;
    let answers = send_traffic(&fleet, "/draft/1", TRAFFIC).await;
    assert_contained(&fleet, &answers);
}

/// Guards against a server that fails the request before it ends.
#[tokio::test]
async fn a_request_that_servers_fail_before_they_end_is_not_sent_to_further_ones() {
    let fleet = start("/read/1", Reaction::FailAndEnd, 8, DOWNTIME).await;
    let answers = send_traffic(&fleet, "/read/1", TRAFFIC).await;
    assert_contained(&fleet, &answers);
}

/// Guards against the end of a server within a long answer that counts against nothing.
#[tokio::test]
async fn a_request_that_ends_servers_within_a_long_answer_is_not_sent_to_further_ones() {
    let fleet = start("/read/1", Reaction::EndMidway, 8, DOWNTIME).await;
    let answers = send_traffic(&fleet, "/read/1", TRAFFIC).await;
    assert_contained(&fleet, &answers);
}

/// Guards against an entry that learns of a blocked request only from its own ends.
#[tokio::test]
async fn an_entry_that_starts_after_the_verdict_does_not_send_the_request() {
    let mut fleet = start("/read/1", Reaction::End, 8, DOWNTIME).await;
    let _ = send_traffic(&fleet, "/read/1", 40).await;
    sleep(STABLE_WINDOW).await;
    fleet.wait_up().await;
    let callers = fleet.add_entry().await;
    sleep(STABLE_WINDOW).await;
    let before = fleet.suspects().len();
    let refused = ask(callers, "/read/1", 1000, BAD_BODY).await;
    assert_eq!(fleet.suspects().len(), before, "{refused:?}");
    let sound = ask(callers, "/read/1", 1001, "title=1").await;
    assert_eq!(status(&sound.text), 200, "{sound:?}");
}

/// Guards against a caller that tries again what will be refused.
#[tokio::test]
async fn the_caller_whose_request_ended_two_servers_is_not_invited_to_try_again() {
    let fleet = start("/read/1", Reaction::End, 8, DOWNTIME_LONG).await;
    let answer = ask(fleet.callers()[0], "/read/1", 1, BAD_BODY).await;
    assert_eq!(fleet.ends().len(), 2);
    assert_eq!(status(&answer.text), 422, "{answer:?}");
    let reason = body(&answer.text).unwrap_or_default();
    assert!(reason.contains("may have run"), "{answer:?}");
}

/// Guards against a caller that is told to try again, or waits for its refusal.
#[tokio::test]
async fn the_refusal_of_a_blocked_request_is_final_and_not_late() {
    let fleet = start("/read/1", Reaction::End, 8, DOWNTIME).await;
    let _ = send_traffic(&fleet, "/read/1", 40).await;
    sleep(STABLE_WINDOW).await;
    fleet.wait_up().await;
    for (index, callers) in fleet.callers().into_iter().enumerate() {
        let answer = ask(callers, "/read/1", 1000 + index, BAD_BODY).await;
        assert!((400..500).contains(&status(&answer.text)), "{answer:?}");
        assert!(answer.took < REFUSAL_TIME_MAX, "{answer:?}");
        let reason = body(&answer.text).unwrap_or_default();
        assert!(reason.contains("not run"), "no reason, {answer:?}");
    }
}

/// Guards against the end of a server under a plain request of which nothing tells.
#[tokio::test]
async fn the_end_of_a_server_under_a_plain_request_is_counted() {
    let fleet = start("/read/1", Reaction::End, 2, DOWNTIME).await;
    ask(fleet.callers()[0], "/read/1", 1, BAD_BODY).await;
    let ends = fleet.ends().len() as u64;
    let counted = fleet.entries[0].metric("snipewinch_requests_at_server_end_total");
    assert!(ends > 0);
    assert_eq!(counted.await, ends);
}

/// Guards against blocking a request because servers end for other reasons.
#[tokio::test]
async fn a_request_that_comes_again_is_not_blocked_by_servers_that_end_by_themselves() {
    let fleet = start("/read/1", Reaction::Answer, 8, DOWNTIME_LONG).await;
    let ending = async {
        for server in &fleet.servers[..5] {
            sleep(Duration::from_millis(300)).await;
            server.end();
        }
    };
    let (answers, ()) = tokio::join!(send_traffic(&fleet, "/read/1", 60), ending);
    assert_eq!(fleet.ends().len(), 5);
    let refused: Vec<&Answer> = answers
        .iter()
        .filter(|one| status(&one.text) != 200)
        .collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against a body whose fingerprint delays other requests.
#[test]
fn the_keys_of_a_request_with_a_body_of_1_mib_cost_little() {
    let content = vec![7; 1 << 20];
    let request = quarantine::Request {
        host: "songs.example",
        method: "POST",
        path: "/read/1",
        query: "",
        customer: Some("archive"),
        body: &content,
    };
    let least = (0..10).map(|_| {
        let start = Instant::now();
        assert!(request.keys().iter().all(|key| key.is_request()));
        start.elapsed()
    });
    let least = least.min().expect("there are ten");
    println!("keys of 1 MiB in {least:?}");
    assert!(least < Duration::from_millis(20), "{least:?}");
}
