//! Tests an entry whose backend servers are silent for longer than a stream may
//! pause, and then go on or never do.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

mod harness;

use harness::Action;
use harness::Harness;
use harness::Options;
use harness::Part;
use harness::Server;
use harness::body;
use harness::complete_answer;
use harness::configuration;
use harness::event;
use harness::events;
use harness::request;
use harness::status;
use harness::stream_head;

/// Longer than the pause after which a stream moves to another server.
const SILENCE: Duration = Duration::from_millis(1_300);
/// The end of a chunked body.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// A server that sends the first of three events, is silent and goes on.
async fn silent_after_first_event() -> Server {
    Server::spawn(vec![Action::Steps(vec![
        Part::Send(stream_head() + &events(1..=1)),
        Part::Pause(SILENCE),
        Part::Send(events(2..=3) + LAST_CHUNK),
    ])])
    .await
}

/// A server that has no more than the rest of a stream after its first event.
async fn resuming() -> Server {
    Server::spawn(vec![Action::Send(
        stream_head() + &events(2..=3) + LAST_CHUNK,
    )])
    .await
}

async fn refusing() -> Server {
    Server::spawn(vec![Action::Send(complete_answer(
        503,
        "X-Not-Executed: 1\r\n",
        "",
    ))])
    .await
}

async fn silent_before_the_rest() -> Server {
    Server::spawn(vec![Action::Steps(vec![
        Part::Pause(SILENCE),
        Part::Send(stream_head() + &events(2..=3) + LAST_CHUNK),
    ])])
    .await
}

async fn breaking_off_inside_an_event() -> Server {
    Server::spawn(vec![Action::SendAndClose(
        stream_head() + &harness::chunk("id: 2\nda"),
    )])
    .await
}

fn three_events() -> String {
    (1..=3).map(event).collect()
}

#[track_caller]
fn assert_complete(answer: &str, expected: &str) {
    assert_eq!(
        (status(answer), body(answer).as_deref()),
        (200, Some(expected)),
        "{answer:?}"
    );
}

async fn ask_for_stream(harness: &Harness) -> String {
    harness.ask(&request("POST", "/draft/", "", "x")).await
}

/// Asks for a stream and raises the timeouts once the server has the request.
async fn ask_beside_a_configuration(harness: &Harness, server: &Server) -> String {
    let changing = async {
        while server.requests().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        let newer = with_timeouts(configuration(2), 5_000);
        harness.store.put("op", "config", &newer);
    };
    let (answer, ()) = tokio::join!(ask_for_stream(harness), changing);
    answer
}

fn with_timeouts(mut configuration: Value, timeout_ms: u64) -> Value {
    for route in configuration["routes"].as_array_mut().expect("a list") {
        route["timeoutMs"] = timeout_ms.into();
    }
    configuration
}

#[tokio::test]
async fn a_stream_that_falls_silent_with_no_other_server_is_not_cut() {
    let first = silent_after_first_event().await;
    let harness = Harness::start(&[&first]).await;
    assert_complete(&ask_for_stream(&harness).await, &three_events());
}

#[tokio::test]
async fn a_stream_that_falls_silent_while_the_other_server_refuses_is_not_cut() {
    let (first, second) = (silent_after_first_event().await, refusing().await);
    let harness = Harness::start(&[&first, &second]).await;
    assert_complete(&ask_for_stream(&harness).await, &three_events());
}

#[tokio::test]
async fn a_stream_that_falls_silent_while_the_other_server_is_silent_is_not_cut() {
    let first = silent_after_first_event().await;
    let second = silent_before_the_rest().await;
    let harness = Harness::start(&[&first, &second]).await;
    assert_complete(&ask_for_stream(&harness).await, &three_events());
}

#[tokio::test]
async fn a_stream_that_falls_silent_while_the_other_server_breaks_off_is_not_cut() {
    let first = silent_after_first_event().await;
    let second = breaking_off_inside_an_event().await;
    let harness = Harness::start(&[&first, &second]).await;
    assert_complete(&ask_for_stream(&harness).await, &three_events());
}

#[tokio::test]
async fn a_stream_that_falls_silent_while_the_other_server_breaks_off_later_is_not_cut() {
    let first = silent_after_first_event().await;
    let cut = stream_head() + &events(2..=2);
    let second = Server::spawn(vec![Action::SendAndClose(cut)]).await;
    let harness = Harness::start(&[&first, &second]).await;
    assert_complete(&ask_for_stream(&harness).await, &three_events());
}

#[tokio::test]
async fn a_configuration_cuts_no_silent_stream_with_no_other_server() {
    let first = silent_after_first_event().await;
    let harness = Harness::start(&[&first]).await;
    let answer = ask_beside_a_configuration(&harness, &first).await;
    assert_complete(&answer, &three_events());
}

#[tokio::test]
async fn a_configuration_cuts_no_silent_stream_whose_other_server_refuses() {
    let (first, second) = (silent_after_first_event().await, refusing().await);
    let harness = Harness::start(&[&first, &second]).await;
    let answer = ask_beside_a_configuration(&harness, &first).await;
    assert_complete(&answer, &three_events());
}

#[tokio::test]
async fn a_configuration_cuts_no_silent_stream_whose_other_server_is_silent() {
    let first = silent_after_first_event().await;
    let second = silent_before_the_rest().await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = ask_beside_a_configuration(&harness, &first).await;
    assert_complete(&answer, &three_events());
}

#[tokio::test]
async fn a_configuration_cuts_no_silent_stream_whose_other_server_breaks_off() {
    let first = silent_after_first_event().await;
    let second = breaking_off_inside_an_event().await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = ask_beside_a_configuration(&harness, &first).await;
    assert_complete(&answer, &three_events());
}

#[tokio::test]
async fn streams_that_fall_silent_at_once_are_not_cut_when_no_retry_is_left() {
    const STREAMS: usize = 30;
    let (first, second) = (silent_after_first_event().await, resuming().await);
    let options = Options {
        retry_ratio: 0.0,
        retry_burst: 0,
        slots: 100,
        ..Options::default()
    };
    let harness = Harness::start_with(&[&first, &second], &options, &configuration(1)).await;
    let callers = harness.callers;
    let mut asking = JoinSet::new();
    for _ in 0..STREAMS {
        asking.spawn(async move {
            harness::exchange(callers, &request("POST", "/draft/", "", "x")).await
        });
    }
    let answers = asking.join_all().await;
    assert_eq!(first.requests().len(), STREAMS);
    let expected = three_events();
    let cut = answers
        .iter()
        .filter(|answer| body(answer).as_deref() != Some(expected.as_str()))
        .count();
    assert_eq!(cut, 0, "of {STREAMS} answers");
}

#[tokio::test]
async fn a_stream_that_is_silent_before_its_first_event_is_not_refused() {
    let first = Server::spawn(vec![Action::Steps(vec![
        Part::Send(stream_head()),
        Part::Pause(SILENCE),
        Part::Send(events(1..=3) + LAST_CHUNK),
    ])])
    .await;
    let harness = Harness::start(&[&first]).await;
    assert_complete(&ask_for_stream(&harness).await, &three_events());
}

#[tokio::test]
async fn a_stream_that_is_silent_before_its_head_is_not_refused() {
    let first = Server::spawn(vec![Action::Steps(vec![
        Part::Pause(SILENCE),
        Part::Send(stream_head() + &events(1..=3) + LAST_CHUNK),
    ])])
    .await;
    let harness = Harness::start(&[&first]).await;
    assert_complete(&ask_for_stream(&harness).await, &three_events());
}

#[tokio::test]
async fn a_read_whose_only_server_is_silent_is_answered() {
    let first = Server::spawn(vec![Action::Steps(vec![
        Part::Pause(SILENCE),
        Part::Send(complete_answer(200, "", "late")),
    ])])
    .await;
    let harness = Harness::start(&[&first]).await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert_complete(&answer, "late");
}

#[tokio::test]
async fn a_stream_that_cannot_resume_is_not_refused_before_its_first_event() {
    let first = Server::spawn(vec![Action::Steps(vec![
        Part::Send(stream_head()),
        Part::Pause(SILENCE),
        Part::Send(events(1..=3) + LAST_CHUNK),
    ])])
    .await;
    let second = resuming().await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = harness.ask(&request("POST", "/reel/", "", "x")).await;
    assert_complete(&answer, &three_events());
    assert_eq!(second.requests().len(), 0);
}

#[tokio::test]
async fn a_stream_that_cannot_resume_is_not_cut_in_the_middle() {
    let (first, second) = (silent_after_first_event().await, resuming().await);
    let harness = Harness::start(&[&first, &second]).await;
    let answer = harness.ask(&request("POST", "/reel/", "", "x")).await;
    assert_complete(&answer, &three_events());
    assert_eq!(second.requests().len(), 0);
}

#[tokio::test]
async fn a_stream_of_a_dead_server_is_taken_over_within_two_seconds() {
    let first = Server::spawn(vec![Action::Send(stream_head() + &events(1..=1))]).await;
    let second = resuming().await;
    let harness = Harness::start(&[&first, &second]).await;
    let asked = Instant::now();
    let answer = ask_for_stream(&harness).await;
    assert_complete(&answer, &three_events());
    let took = asked.elapsed();
    assert!(took < Duration::from_secs(2), "{took:?}");
}

#[tokio::test]
async fn a_server_that_wakes_up_after_its_stream_moved_repeats_and_loses_no_event() {
    let first = silent_after_first_event().await;
    let second = Server::spawn(vec![Action::Steps(vec![
        Part::Send(stream_head() + &events(2..=2)),
        Part::Pause(Duration::from_millis(600)),
        Part::Send(events(3..=3) + LAST_CHUNK),
    ])])
    .await;
    let harness = Harness::start(&[&first, &second]).await;
    assert_complete(&ask_for_stream(&harness).await, &three_events());
}

#[tokio::test]
async fn a_server_that_wakes_up_while_its_stream_moves_repeats_and_loses_no_event() {
    let first = Server::spawn(vec![Action::Steps(vec![
        Part::Send(stream_head() + &events(1..=1)),
        Part::Pause(SILENCE),
        Part::Send(events(2..=2)),
        Part::Pause(Duration::from_millis(300)),
        Part::Send(events(3..=3) + LAST_CHUNK),
    ])])
    .await;
    let second = Server::spawn(vec![Action::Steps(vec![
        Part::Send(stream_head()),
        Part::Pause(Duration::from_millis(450)),
        Part::Send(events(2..=3) + LAST_CHUNK),
    ])])
    .await;
    let harness = Harness::start(&[&first, &second]).await;
    assert_complete(&ask_for_stream(&harness).await, &three_events());
}

#[tokio::test]
async fn a_silent_attempt_is_cancelled_once_a_long_answer_is_relayed() {
    let first = Server::spawn(vec![Action::Hang]).await;
    let (begin, end) = ("b".repeat(300 << 10), "e".repeat(1 << 10));
    let length = begin.len() + end.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Server-Signature: sig\r\nContent-Length: {length}\r\n\r\n"
    );
    let second = Server::spawn(vec![Action::Steps(vec![
        Part::Send(head + &begin),
        Part::Pause(SILENCE),
        Part::Send(end),
    ])])
    .await;
    let harness = Harness::start(&[&first, &second]).await;
    let cancelled = async {
        while *first.closed.lock().expect("not poisoned") == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        Instant::now()
    };
    let asking = async {
        let answer = harness.ask(&request("GET", "/read/", "", "")).await;
        (answer, Instant::now())
    };
    let ((answer, ended), cancelled) = tokio::join!(asking, cancelled);
    assert_eq!(body(&answer).map(|body| body.len()), Some(length));
    assert!(cancelled + SILENCE / 2 < ended);
}

#[tokio::test]
async fn a_server_is_not_ejected_for_the_silence_of_one_request() {
    let ok = Action::Send(complete_answer(200, "", "ok"));
    let near = Server::spawn(vec![Action::Hang, ok.clone()]).await;
    let far = Server::spawn(vec![ok]).await;
    let options = Options {
        retry_ratio: 0.0,
        retry_burst: 0,
        ..Options::default()
    };
    let harness = Harness::start_with(&[&near, &far], &options, &configuration(1)).await;
    let silent = request("GET", "/read/", "", "").replace("3000", "3900");
    let later = async {
        // Three times as long as the entry takes to call a server silent.
        sleep(Duration::from_millis(3_000)).await;
        harness.ask(&request("GET", "/read/", "", "")).await
    };
    let (_, answer) = tokio::join!(harness.ask(&silent), later);
    assert_complete(&answer, "ok");
    assert_eq!((near.requests().len(), far.requests().len()), (2, 0));
}

fn unnumbered(numbers: std::ops::RangeInclusive<usize>) -> String {
    numbers
        .map(|number| harness::chunk(&format!("data: {number}\n\n")))
        .collect()
}

#[tokio::test]
async fn a_begun_stream_without_ids_is_not_repeated_by_another_server() {
    let first = Server::spawn(vec![Action::Steps(vec![
        Part::Send(stream_head() + &unnumbered(1..=1)),
        Part::Pause(SILENCE),
        Part::Send(unnumbered(2..=3) + LAST_CHUNK),
    ])])
    .await;
    let whole = stream_head() + &unnumbered(1..=3) + LAST_CHUNK;
    let second = Server::spawn(vec![Action::Send(whole)]).await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = ask_for_stream(&harness).await;
    assert_complete(&answer, "data: 1\n\ndata: 2\n\ndata: 3\n\n");
    assert_eq!(second.requests().len(), 0);
}

#[tokio::test]
async fn a_stream_without_ids_is_not_repeated_by_a_server_that_was_silent() {
    let whole = unnumbered(1..=3) + LAST_CHUNK;
    let first = Server::spawn(vec![Action::Steps(vec![
        Part::Pause(SILENCE),
        Part::Send(stream_head() + &whole),
    ])])
    .await;
    let cut = stream_head() + &unnumbered(1..=1);
    let second = Server::spawn(vec![Action::SendAndClose(cut)]).await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = ask_for_stream(&harness).await;
    assert_eq!((status(&answer), body(&answer)), (200, None), "{answer:?}");
    assert_eq!(answer.matches("data: 1\n").count(), 1, "{answer:?}");
}

#[tokio::test]
async fn a_stream_without_ids_is_not_ended_by_a_server_that_sent_no_event() {
    let first = Server::spawn(vec![Action::Steps(vec![
        Part::Pause(SILENCE),
        Part::Send(stream_head() + LAST_CHUNK),
    ])])
    .await;
    let cut = stream_head() + &unnumbered(1..=1);
    let second = Server::spawn(vec![Action::SendAndClose(cut)]).await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = ask_for_stream(&harness).await;
    assert_eq!((status(&answer), body(&answer)), (200, None), "{answer:?}");
}

/// The idle limit that a newer configuration replaces.
const OLD_IDLE_LIMIT: Duration = Duration::from_millis(1_500);

fn with_idle_limit(version: u64, limit: Duration) -> Value {
    let mut configuration = configuration(version);
    configuration["limits"]["idleTimeoutMs"] = (limit.as_millis() as u64).into();
    configuration
}

async fn start_with_old_idle_limit(server: &Server) -> Harness {
    let old = with_idle_limit(1, OLD_IDLE_LIMIT);
    Harness::start_with(&[server], &Options::default(), &old).await
}

/// Puts a configuration with another idle limit and waits until it is in force.
async fn change_idle_limit(harness: &Harness, limit: Duration) {
    let mut newer = with_idle_limit(2, limit);
    newer["tenants"][0]["apiKeys"] = json!(["k1", "k2"]);
    harness.store.put("op", "config", &newer);
    let probe = request("GET", "/read/", "", "").replace("k1", "k2");
    let put = Instant::now();
    while status(&harness.ask(&probe).await) != 200 {
        sleep(Duration::from_millis(10)).await;
    }
    let took = put.elapsed();
    assert!(took < OLD_IDLE_LIMIT / 2, "in force only after {took:?}");
}

async fn connect(harness: &Harness) -> TcpStream {
    let connecting = TcpStream::connect(harness.callers);
    connecting.await.expect("the entry listens")
}

/// Sends a request over a connection that stays open and returns the answer; an
/// empty one if the entry has closed it.
async fn ask_over(stream: &mut TcpStream) -> String {
    let kept = request("GET", "/read/", "", "").replace("Connection: close\r\n", "");
    let _ = stream.write_all(kept.as_bytes()).await;
    let mut answer = Vec::new();
    let reading = async {
        while body(&String::from_utf8_lossy(&answer)).is_none() {
            match stream.read_buf(&mut answer).await {
                Ok(1..) => {}
                Ok(0) | Err(_) => break,
            }
        }
    };
    let _ = timeout(Duration::from_secs(5), reading).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn a_kept_connection_is_not_closed_by_an_idle_limit_that_was_raised() {
    let server = Server::spawn(vec![Action::Send(complete_answer(200, "", "ok"))]).await;
    let harness = start_with_old_idle_limit(&server).await;
    let mut kept = connect(&harness).await;
    assert_complete(&ask_over(&mut kept).await, "ok");
    let idle_since = Instant::now();
    change_idle_limit(&harness, Duration::from_secs(5)).await;
    sleep((OLD_IDLE_LIMIT + Duration::from_millis(500)).saturating_sub(idle_since.elapsed())).await;
    assert_complete(&ask_over(&mut kept).await, "ok");
}

#[tokio::test]
async fn an_unused_connection_is_not_closed_by_an_idle_limit_that_was_raised() {
    let server = Server::spawn(vec![Action::Send(complete_answer(200, "", "ok"))]).await;
    let harness = start_with_old_idle_limit(&server).await;
    let mut unused = connect(&harness).await;
    let idle_since = Instant::now();
    change_idle_limit(&harness, Duration::from_secs(5)).await;
    sleep((OLD_IDLE_LIMIT + Duration::from_millis(500)).saturating_sub(idle_since.elapsed())).await;
    assert_complete(&ask_over(&mut unused).await, "ok");
}

#[tokio::test]
async fn an_idle_connection_is_closed_after_a_limit_that_was_raised() {
    let server = Server::spawn(vec![Action::Send(complete_answer(200, "", "ok"))]).await;
    let harness = start_with_old_idle_limit(&server).await;
    let mut kept = connect(&harness).await;
    assert_complete(&ask_over(&mut kept).await, "ok");
    let raised = OLD_IDLE_LIMIT + Duration::from_millis(500);
    change_idle_limit(&harness, raised).await;
    let mut byte = [0; 1];
    let closed = timeout(raised + Duration::from_secs(1), kept.read(&mut byte)).await;
    assert_eq!(closed.expect("closed in time").expect("closed cleanly"), 0);
}
