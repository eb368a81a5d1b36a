//! Tests an entry as callers and backend servers see it, also when either
//! violates the protocol.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

mod harness;

use harness::Action;
use harness::Harness;
use harness::Server;
use harness::body;
use harness::chunk;
use harness::complete_answer;
use harness::configuration;
use harness::exchange;
use harness::field;
use harness::listed;
use harness::proxy::Link;
use harness::proxy::Proxy;
use harness::request;
use harness::status;
use harness::stream_head;

/// The time after an outage of the store from which on the bounds of its tables
/// hold again.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The time within which a request is refused that cannot be served.
const REFUSAL_TIME_MAX: Duration = Duration::from_millis(100);

fn answering(text: &str) -> Vec<Action> {
    vec![Action::Send(complete_answer(200, "", text))]
}

#[tokio::test]
async fn a_request_is_forwarded_unchanged_except_for_fields_of_the_entry() {
    let server = Server::spawn(answering("granted")).await;
    let harness = Harness::start(&[&server]).await;
    let fields = "X-Tenant: forged\r\nX-Expect-Instance: forged\r\nPath: 1.2.3.4:5=0-1\r\nX-Model: m\r\nKeep-Alive: 5\r\n";
    let answer = harness
        .ask(&request("POST", "/grant/7?a=b", fields, "the body"))
        .await;
    assert_eq!(
        (status(&answer), body(&answer).as_deref()),
        (200, Some("granted"))
    );
    assert_eq!(field(&answer, "x-server-signature").as_deref(), Some("sig"));
    let seen = server.requests();
    let [seen] = &seen[..] else {
        panic!("it was sent {} times", seen.len());
    };
    assert!(
        seen.starts_with("POST /grant/7?a=b HTTP/1.1\r\n") && seen.ends_with("\r\n\r\nthe body")
    );
    assert_eq!(field(seen, "x-tenant").as_deref(), Some("archive"));
    assert_eq!(field(seen, "x-expect-instance").as_deref(), Some("s0"));
    assert_eq!(field(seen, "x-model").as_deref(), Some("m"));
    assert_eq!(field(seen, "host").as_deref(), Some("songs.example"));
    for absent in ["api-key", "path", "keep-alive", "transfer-encoding"] {
        assert_eq!(field(seen, absent), None, "{absent}");
    }
    let deadline_ms: u64 = field(seen, "x-deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("an X-Deadline-Ms field");
    assert!((1_000..=3_000).contains(&deadline_ms), "{deadline_ms}");
}

#[tokio::test]
async fn an_invalid_request_is_refused_and_not_forwarded() {
    let server = Server::spawn(answering("no")).await;
    let harness = Harness::start(&[&server]).await;
    let long = "x".repeat(5_000);
    let head =
        "POST /grant/ HTTP/1.1\r\nHost: songs.example\r\nX-Attempt-Id: a1\r\nApi-Key: k1\r\n";
    let smuggled =
        "GET /read/ HTTP/1.1\r\nHost: songs.example\r\nX-Attempt-Id: a2\r\nApi-Key: k1\r\n\r\n";
    let cases = [
        (
            format!("{head}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab{smuggled}"),
            400,
        ),
        (
            format!(
                "{head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{smuggled}"
            ),
            400,
        ),
        (
            format!(
                "{head}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n{smuggled}"
            ),
            400,
        ),
        (
            format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n{smuggled}"),
            400,
        ),
        (
            format!("{head}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n{smuggled}"),
            501,
        ),
        (format!("{head}Content-Length: 2000\r\n\r\n{long}"), 413),
        (format!("{head}A: {long}\r\n\r\n"), 431),
        (format!("{head}A: b"), 408),
        ("nonsense\r\n\r\n".to_owned(), 400),
        (request("GET", "/nowhere/", "", ""), 404),
        (
            request("GET", "/read/", "", "").replace("songs.example", "other.example"),
            404,
        ),
        (request("GET", "/read/", "", "").replace("k1", "k2"), 401),
        (
            request("GET", "/read/", "", "").replace("Api-Key: k1\r\n", ""),
            401,
        ),
        (
            request("GET", "/read/", "", "").replace("X-Attempt-Id: a1\r\n", ""),
            400,
        ),
    ];
    for (bytes, expected) in cases {
        let answer = harness.ask(&bytes).await;
        let prefix = bytes.get(..120).unwrap_or(&bytes);
        assert_eq!(status(&answer), expected, "{prefix:?}");
        assert_eq!(
            answer.matches("HTTP/1.1 ").count(),
            1,
            "one answer to {prefix:?}"
        );
    }
    assert!(server.requests().is_empty(), "{:?}", server.requests());
    assert_eq!(
        status(
            &harness
                .ask(&request("GET", "/open/", "", "").replace("Api-Key: k1\r\n", ""))
                .await
        ),
        200
    );
}

#[tokio::test]
async fn before_the_first_configuration_any_request_may_be_retried() {
    let server = Server::spawn(answering("ok")).await;
    let harness = Harness::without_configuration(&[&server]).await;
    assert!(!harness.is_ready().await);
    let answer = harness.ask(&request("GET", "/nowhere/", "", "")).await;
    assert_eq!(status(&answer), 503);
    assert!(field(&answer, "retry-after").is_some());
    harness.store.put("op", "config", &configuration(3));
    harness.wait_ready(true).await;
    assert_eq!(
        status(&harness.ask(&request("GET", "/read/", "", "")).await),
        200
    );
}

#[tokio::test]
async fn an_older_configuration_is_ignored() {
    let server = Server::spawn(answering("ok")).await;
    let harness = Harness::start(&[&server]).await;
    let mut newer = configuration(5);
    newer["tenants"][0]["apiKeys"] = serde_json::json!(["k9"]);
    harness.store.put("op", "config", &newer);
    let revoked = async {
        while status(&harness.ask(&request("GET", "/read/", "", "")).await) != 401 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(10), revoked)
        .await
        .expect("the key is revoked");
    harness.store.put("op", "config", &configuration(4));
    harness.store.compact();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(
        status(&harness.ask(&request("GET", "/read/", "", "")).await),
        401
    );
}

#[tokio::test]
async fn what_may_run_once_is_not_sent_again_after_a_broken_connection() {
    let first = Server::spawn(vec![Action::Close]).await;
    let second = Server::spawn(answering("ok")).await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = harness.ask(&request("POST", "/grant/", "", "x")).await;
    assert_eq!(status(&answer), 502);
    assert_eq!((first.requests().len(), second.requests().len()), (1, 0));
}

/// A pooled connection may be reset while it carries a request that must not be
/// executed twice. The outcome of the request is then unknown (incident
/// inc-3c87, request 7c129b939b9e8df8).
#[tokio::test]
async fn what_may_run_once_never_goes_over_a_kept_connection() {
    let server = Server::spawn(vec![Action::Send(complete_answer(200, "", "ok"))]).await;
    let harness = Harness::start(&[&server]).await;
    for _ in 0..3 {
        assert_eq!(
            status(&harness.ask(&request("POST", "/grant/", "", "x")).await),
            200
        );
    }
    assert_eq!(*server.opened.lock().expect("not poisoned"), 3);
}

/// A backend server that stops answering may have executed the request. A 503
/// at the timeout of the route would wrongly say that it has not. Seen on
/// bluebonnet-hollow, day `fresh-70ce` (rule REFUSED).
#[tokio::test]
async fn a_stream_that_cannot_resume_never_goes_over_a_kept_connection() {
    let whole = stream_head() + &chunk("data: 1\n\n") + "0\r\n\r\n";
    let server = Server::spawn(vec![Action::Send(whole)]).await;
    let harness = Harness::start(&[&server]).await;
    for _ in 0..2 {
        let answer = harness.ask(&request("POST", "/reel/", "", "x")).await;
        assert_eq!(body(&answer).as_deref(), Some("data: 1\n\n"));
    }
    assert_eq!(*server.opened.lock().expect("not poisoned"), 2);
}

#[tokio::test]
async fn a_silent_server_is_no_proof_that_nothing_ran() {
    let server = Server::spawn(vec![Action::Hang]).await;
    let harness = Harness::start(&[&server]).await;
    let answer = harness.ask(&request("POST", "/brief/", "", "x")).await;
    assert_eq!(status(&answer), 504);
}

#[tokio::test]
async fn an_idempotent_request_is_sent_to_another_server_after_a_failure() {
    let failures = [
        Action::Close,
        Action::Send(complete_answer(500, "", "oh")),
        Action::Send(complete_answer(503, "X-Not-Executed: 1\r\n", "")),
        Action::Send(complete_answer(421, "", "")),
        Action::Send("nonsense\r\n\r\n".to_owned()),
        Action::SendAndClose("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s\r\nContent-Length: 9\r\n\r\nab".to_owned()),
        Action::Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nab".to_owned()),
    ];
    for action in failures {
        let first = Server::spawn(vec![action.clone()]).await;
        let second = Server::spawn(answering("ok")).await;
        let harness = Harness::start(&[&first, &second]).await;
        let answer = harness.ask(&request("GET", "/read/", "", "")).await;
        assert_eq!(
            (status(&answer), body(&answer).as_deref()),
            (200, Some("ok")),
            "{action:?}"
        );
        assert_eq!(first.requests().len(), 1, "{action:?}");
    }
}

/// The address of a server that does not come back after a crash may go to
/// another service. 137 requests were sent to such addresses in vain (incident
/// inc-3c87).
#[tokio::test]
async fn a_server_whose_address_another_has_is_not_asked_again() {
    let first = Server::spawn(vec![Action::Send(complete_answer(
        421,
        "X-Instance-Id: other\r\n",
        "",
    ))])
    .await;
    let second = Server::spawn(answering("ok")).await;
    let harness = Harness::start(&[&first, &second]).await;
    for _ in 0..4 {
        let answer = harness.ask(&request("POST", "/grant/", "", "x")).await;
        assert_eq!(status(&answer), 200);
    }
    assert_eq!(first.requests().len(), 1);
}

#[tokio::test]
async fn a_failure_of_all_servers_is_relayed() {
    let first = Server::spawn(vec![Action::Send(complete_answer(500, "", "one"))]).await;
    let second = Server::spawn(vec![Action::Send(complete_answer(500, "", "two"))]).await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert_eq!(
        (status(&answer), body(&answer).as_deref()),
        (500, Some("two"))
    );
}

#[tokio::test]
async fn a_refusal_of_all_servers_is_answered_as_not_executed() {
    let refusing = vec![Action::Send(complete_answer(
        503,
        "X-Not-Executed: 1\r\n",
        "",
    ))];
    let first = Server::spawn(refusing.clone()).await;
    let second = Server::spawn(refusing).await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = harness.ask(&request("POST", "/grant/", "", "x")).await;
    assert_eq!(status(&answer), 503);
    let retry_after: f64 = field(&answer, "retry-after")
        .and_then(|text| text.parse().ok())
        .expect("a Retry-After field");
    assert!(retry_after > 0.0);
}

#[tokio::test]
async fn an_answer_to_another_request_is_skipped() {
    let extra = complete_answer(200, "", "mine")
        + &complete_answer(200, "", "stale").replace("{id}", "other");
    let server = Server::spawn(vec![
        Action::Send(extra),
        Action::Send(complete_answer(200, "", "second")),
    ])
    .await;
    let harness = Harness::start(&[&server]).await;
    for expected in ["mine", "second"] {
        let answer = harness.ask(&request("GET", "/read/", "", "")).await;
        assert_eq!(body(&answer).as_deref(), Some(expected));
    }
    let before = complete_answer(200, "", "stale").replace("{id}", "other")
        + &complete_answer(200, "", "mine");
    let server = Server::spawn(vec![Action::Send(before)]).await;
    let harness = Harness::start(&[&server]).await;
    let answer = harness.ask(&request("GET", "/read/", "", "")).await;
    assert_eq!(body(&answer).as_deref(), Some("mine"));
}

#[tokio::test]
async fn a_stream_resumes_at_another_server_after_the_last_complete_event() {
    let cut = stream_head() + &chunk("id: 1\ndata: a\n\n") + &chunk("id: 2\ndata: b\n\nid: 3\nda");
    let rest = stream_head() + &chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";
    let first = Server::spawn(vec![Action::SendAndClose(cut)]).await;
    let second = Server::spawn(vec![Action::Send(rest)]).await;
    let harness = Harness::start(&[&first, &second]).await;
    let answer = harness
        .ask(&request("POST", "/draft/", "Last-Event-Id: 0\r\n", "x"))
        .await;
    let expected = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(body(&answer).as_deref(), Some(expected));
    let resumed = second.requests();
    assert_eq!(field(&resumed[0], "last-event-id").as_deref(), Some("2"));
    assert_eq!(resumed[0].matches("ast-Event-Id").count(), 1);
}

#[tokio::test]
async fn a_stream_that_no_server_completes_is_not_terminated() {
    let cut = stream_head() + &chunk("id: 1\ndata: a\n\n");
    let first = Server::spawn(vec![Action::SendAndClose(cut)]).await;
    let harness = Harness::start(&[&first]).await;
    let answer = harness.ask(&request("POST", "/draft/", "", "x")).await;
    assert_eq!((status(&answer), body(&answer)), (200, None));
}

#[tokio::test]
async fn a_request_is_cancelled_when_its_caller_disconnects() {
    let server = Server::spawn(vec![Action::Hang]).await;
    let harness = Harness::start(&[&server]).await;
    let mut caller = TcpStream::connect(harness.callers)
        .await
        .expect("the entry listens");
    let sent = request("POST", "/draft/", "", "x");
    caller.write_all(sent.as_bytes()).await.expect("sent");
    let arrived = async {
        while server.requests().is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(10), arrived)
        .await
        .expect("the request reaches the server");
    drop(caller);
    let ended = async {
        while *server.closed.lock().expect("not poisoned") == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(10), ended)
        .await
        .expect("the connection to the server is closed");
}

#[tokio::test]
async fn a_leaving_server_gets_no_new_requests() {
    let first = Server::spawn(answering("first")).await;
    let second = Server::spawn(answering("second")).await;
    let harness = Harness::start(&[&first, &second]).await;
    let ask = || async { body(&harness.ask(&request("GET", "/read/", "", "")).await) };
    assert_eq!(ask().await.as_deref(), Some("first"));
    harness
        .store
        .put("servers", "s0", &listed(first.address, "za", "draining"));
    let left = async {
        while ask().await.as_deref() != Some("second") {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(10), left)
        .await
        .expect("the leaving server gets no more requests");
    let before = first.requests().len();
    for _ in 0..10 {
        ask().await;
    }
    assert_eq!(first.requests().len(), before);
}

#[tokio::test]
async fn requests_are_answered_during_an_outage_of_the_store() {
    let server = Server::spawn(answering("ok")).await;
    let harness = Harness::start(&[&server]).await;
    harness.store.set_down(true);
    sleep(Duration::from_millis(300)).await;
    assert!(harness.is_ready().await);
    assert_eq!(
        status(&harness.ask(&request("GET", "/read/", "", "")).await),
        200
    );
}

#[tokio::test]
async fn a_stopping_entry_answers_what_is_open_and_ends() {
    let server = Server::spawn(answering("ok")).await;
    let mut harness = Harness::start(&[&server]).await;
    let mut kept = TcpStream::connect(harness.callers)
        .await
        .expect("the entry listens");
    harness.terminate();
    harness.wait_ready(false).await;
    let open = request("GET", "/read/", "", "").replace("Connection: close\r\n", "");
    kept.write_all(open.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    kept.read_to_end(&mut answer)
        .await
        .expect("it answers and closes");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert_eq!(status(&answer), 200);
    assert_eq!(field(&answer, "connection").as_deref(), Some("close"));
    harness.wait_ended().await;
}

/// A caller's connection of which the entry can fill the buffers with little.
async fn connect_slowly(harness: &Harness) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4 << 10).expect("set");
    SockRef::from(&socket).set_tcp_mss(536).expect("set");
    let connecting = socket.connect(harness.callers);
    connecting.await.expect("the entry listens")
}

#[tokio::test]
async fn nothing_follows_an_answer_that_is_half_sent_at_its_deadline() {
    let whole = "w".repeat(250 << 10);
    let server = Server::spawn(answering(&whole)).await;
    let harness = Harness::start(&[&server]).await;
    let mut caller = connect_slowly(&harness).await;
    let asking = request("GET", "/read/", "", "").replace("3000", "500");
    caller.write_all(asking.as_bytes()).await.expect("sent");
    sleep(Duration::from_secs(1)).await;
    let mut answer = Vec::new();
    let _ = timeout(Duration::from_secs(10), caller.read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (_, received) = answer.split_once("\r\n\r\n").expect("a head");
    assert!(received.len() < whole.len(), "all of it was sent at once");
    let other = received.trim_start_matches('w');
    assert_eq!((status(&answer), other), (200, ""));
}

#[tokio::test]
async fn a_kept_connection_takes_a_head_by_the_limit_that_was_raised() {
    let server = Server::spawn(answering("ok")).await;
    let harness = Harness::start(&[&server]).await;
    let mut kept = TcpStream::connect(harness.callers)
        .await
        .expect("the entry listens");
    // The entry has begun to wait for a head on it.
    sleep(Duration::from_millis(100)).await;
    let mut newer = configuration(2);
    newer["limits"]["maxHeaderBytes"] = 8_192.into();
    harness.store.put("op", "config", &newer);
    let long = request(
        "GET",
        "/read/",
        &format!("X-Long: {}\r\n", "l".repeat(5_000)),
        "",
    );
    let applied = async {
        while status(&harness.ask(&long).await) != 200 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(10), applied)
        .await
        .expect("the configuration is in force");
    kept.write_all(long.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    kept.read_to_end(&mut answer).await.expect("it answers");
    assert_eq!(status(&String::from_utf8_lossy(&answer)), 200);
}

#[tokio::test]
async fn a_request_on_a_new_connection_to_a_closing_entry_is_refused() {
    const CONNECTIONS: usize = 20;
    let server = Server::spawn(vec![Action::Hang]).await;
    let harness = Harness::start(&[&server]).await;
    harness.terminate();
    harness.wait_ready(false).await;
    sleep(Duration::from_millis(1_500)).await;
    let open = request("POST", "/grant/", "", "x");
    let (callers, refused) = (harness.callers, request("GET", "/read/", "", ""));
    let opened = tokio::spawn(async move { harness::exchange(callers, &open).await });
    sleep(Duration::from_millis(1_800)).await;
    let mut statuses = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut caller = TcpStream::connect(callers).await.expect("it listens");
        let _ = caller.write_all(refused.as_bytes()).await;
        let mut answer = Vec::new();
        let _ = caller.read_to_end(&mut answer).await;
        statuses.push(status(&String::from_utf8_lossy(&answer)));
    }
    assert_eq!(statuses, [503; CONNECTIONS]);
    assert!(!opened.is_finished(), "the entry was not closing");
}

/// Guards against the default action of SIGHUP, which ends the process: twenty
/// processes ended that way when they were signalled to reload their settings
/// (ptcr fresh-7870).
#[tokio::test]
async fn a_process_that_is_told_to_read_its_settings_goes_on() {
    let server = Server::spawn(answering("ok")).await;
    let harness = Harness::start(&[&server]).await;
    for _ in 0..3 {
        harness.signal("-HUP");
        sleep(Duration::from_millis(50)).await;
        assert_eq!(
            status(&harness.ask(&request("GET", "/read/", "", "")).await),
            200
        );
    }
}

/// Guards against requests to a server that left just after its entry of the list
/// could not be followed: it was taken for one that is about to reappear.
#[tokio::test]
async fn a_server_missing_after_an_outage_gets_nothing_while_others_are_listed() {
    let missing = Server::spawn(answering("missing")).await;
    let listed = Server::spawn(answering("listed")).await;
    let harness = Harness::start(&[&missing, &listed]).await;
    harness.store.set_down(true);
    sleep(Duration::from_millis(1_500)).await;
    harness.store.remove("servers", "s0");
    harness.store.set_down(false);
    sleep(Duration::from_millis(900)).await;
    for _ in 0..5 {
        let answer = harness.ask(&request("GET", "/read/1", "", "")).await;
        assert_eq!(body(&answer).as_deref(), Some("listed"));
    }
}

/// Guards against a service without servers after an outage in which all entries of
/// the list expired.
#[tokio::test]
async fn servers_that_are_all_missing_after_an_outage_are_used() {
    let server = Server::spawn(answering("missing")).await;
    let harness = Harness::start(&[&server]).await;
    harness.store.set_down(true);
    sleep(Duration::from_millis(1_500)).await;
    harness.store.remove("servers", "s0");
    harness.store.set_down(false);
    sleep(Duration::from_millis(900)).await;
    let answer = harness.ask(&request("GET", "/read/1", "", "")).await;
    assert_eq!(body(&answer).as_deref(), Some("missing"));
}

/// Guards against requests that each wait for a connection to the only server of
/// their service and are refused then, though it is known that it can't be reached.
#[tokio::test]
async fn requests_wait_for_a_server_that_is_known_to_be_unreachable() {
    let server = Server::spawn(answering("granted")).await;
    let proxy = Proxy::spawn(Ipv4Addr::LOCALHOST.into(), server.address).await;
    let harness = Harness::start(&[]).await;
    let row = listed(proxy.address, "za", "ready");
    harness.store.put("servers", "s0", &row);
    let ask = |index: usize| {
        let callers = harness.callers;
        let text = request("POST", "/grant/1", "", "x");
        let text = text.replacen("X-Attempt-Id: a1", &format!("X-Attempt-Id: a{index}"), 1);
        async move {
            let sent = Instant::now();
            (exchange(callers, &text).await, sent.elapsed())
        }
    };
    let until_served = async {
        while status(&ask(0).await.0) != 200 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(STABLE_WINDOW, until_served).await.expect("served");
    proxy.fill().await;
    // They find out that it can't be reached.
    (1..4).map(ask).collect::<JoinSet<_>>().join_all().await;
    let mut asked = JoinSet::new();
    for index in 4..34 {
        asked.spawn(ask(index));
        sleep(Duration::from_millis(20)).await;
    }
    let answers = asked.join_all().await;
    assert!(answers.iter().all(|(answer, _)| status(answer) == 503));
    let waited = answers.iter().filter(|(_, took)| *took > REFUSAL_TIME_MAX);
    let waited = waited.count();
    assert!(waited <= 3, "{waited} of {} waited", answers.len());
    proxy.set_link(Link::Up);
    // A connection that is just being tried may open a second later only.
    sleep(Duration::from_millis(1_100)).await;
    let served = async {
        while status(&ask(34).await.0) != 200 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(STABLE_WINDOW, served).await.expect("served again");
}
