//! What callers and backend servers see of an entry, also when either does not
//! keep to the protocol.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

mod harness;

use harness::Act;
use harness::Server;
use harness::World;
use harness::body;
use harness::chunk;
use harness::configuration;
use harness::field;
use harness::listed;
use harness::request;
use harness::status;
use harness::stream_head;
use harness::whole;

fn answers(text: &str) -> Vec<Act> {
    vec![Act::Say(whole(200, "", text))]
}

#[tokio::test]
async fn a_request_goes_on_unchanged_but_for_what_the_entry_sets() {
    let server = Server::spawn(answers("granted")).await;
    let world = World::start(&[&server]).await;
    let fields = "X-Tenant: forged\r\nX-Expect-Instance: forged\r\nPath: 1.2.3.4:5=0-1\r\nX-Model: m\r\nKeep-Alive: 5\r\n";
    let answer = world
        .ask(&request("POST", "/grant/7?a=b", fields, "the body"))
        .await;
    assert_eq!(
        (status(&answer), body(&answer).as_deref()),
        (200, Some("granted"))
    );
    assert_eq!(field(&answer, "x-server-signature").as_deref(), Some("sig"));
    let seen = server.requests();
    let [seen] = &seen[..] else {
        panic!("it ran {} times", seen.len());
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
    let left: u64 = field(seen, "x-deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("a deadline");
    assert!((1_000..=3_000).contains(&left), "{left}");
}

#[tokio::test]
async fn bad_input_is_refused_and_reaches_nobody() {
    let server = Server::spawn(answers("no")).await;
    let world = World::start(&[&server]).await;
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
        let answer = world.ask(&bytes).await;
        let shown = bytes.get(..120).unwrap_or(&bytes);
        assert_eq!(status(&answer), expected, "{shown:?}");
        assert_eq!(
            answer.matches("HTTP/1.1 ").count(),
            1,
            "one answer to {shown:?}"
        );
    }
    assert!(server.requests().is_empty(), "{:?}", server.requests());
    assert_eq!(
        status(
            &world
                .ask(&request("GET", "/open/", "", "").replace("Api-Key: k1\r\n", ""))
                .await
        ),
        200
    );
}

#[tokio::test]
async fn before_the_first_configuration_nothing_is_judged() {
    let server = Server::spawn(answers("ok")).await;
    let world = World::without_configuration(&[&server]).await;
    assert!(!world.is_ready().await);
    let answer = world.ask(&request("GET", "/nowhere/", "", "")).await;
    assert_eq!(status(&answer), 503);
    assert!(field(&answer, "retry-after").is_some());
    world.store.put("op", "config", &configuration(3));
    world.wait_ready(true).await;
    assert_eq!(
        status(&world.ask(&request("GET", "/read/", "", "")).await),
        200
    );
}

#[tokio::test]
async fn a_configuration_never_goes_back() {
    let server = Server::spawn(answers("ok")).await;
    let world = World::start(&[&server]).await;
    let mut newer = configuration(5);
    newer["tenants"][0]["apiKeys"] = serde_json::json!(["k9"]);
    world.store.put("op", "config", &newer);
    let revoked = async {
        while status(&world.ask(&request("GET", "/read/", "", "")).await) != 401 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(10), revoked)
        .await
        .expect("the key is revoked");
    world.store.put("op", "config", &configuration(4));
    world.store.compact();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(
        status(&world.ask(&request("GET", "/read/", "", "")).await),
        401
    );
}

#[tokio::test]
async fn what_may_run_once_is_not_sent_again_after_a_break() {
    let first = Server::spawn(vec![Act::Close]).await;
    let second = Server::spawn(answers("ok")).await;
    let world = World::start(&[&first, &second]).await;
    let answer = world.ask(&request("POST", "/grant/", "", "x")).await;
    assert_eq!(status(&answer), 502);
    assert_eq!((first.requests().len(), second.requests().len()), (1, 0));
}

/// A kept connection was reset under a grant, whose outcome was then unknown
/// (incident inc-3c87, request 7c129b939b9e8df8).
#[tokio::test]
async fn what_may_run_once_never_goes_over_a_kept_connection() {
    let server = Server::spawn(vec![Act::Say(whole(200, "", "ok"))]).await;
    let world = World::start(&[&server]).await;
    for _ in 0..3 {
        assert_eq!(
            status(&world.ask(&request("POST", "/grant/", "", "x")).await),
            200
        );
    }
    assert_eq!(*server.opened.lock().expect("not poisoned"), 3);
}

/// A backend server went dark in the middle of a grant; the route's time-out
/// was answered by 503, which says that nothing ran (hunt, REFUSED).
#[tokio::test]
async fn a_silent_server_is_no_proof_that_nothing_ran() {
    let server = Server::spawn(vec![Act::Silent]).await;
    let world = World::start(&[&server]).await;
    let answer = world.ask(&request("POST", "/brief/", "", "x")).await;
    assert_eq!(status(&answer), 504);
}

#[tokio::test]
async fn what_may_be_repeated_goes_to_another_server() {
    let broken = [
        Act::Close,
        Act::Say(whole(500, "", "oh")),
        Act::Say(whole(503, "X-Not-Executed: 1\r\n", "")),
        Act::Say(whole(421, "", "")),
        Act::Say("nonsense\r\n\r\n".to_owned()),
        Act::SayAndClose("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: s\r\nContent-Length: 9\r\n\r\nab".to_owned()),
        Act::Say("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nab".to_owned()),
    ];
    for act in broken {
        let first = Server::spawn(vec![act.clone()]).await;
        let second = Server::spawn(answers("ok")).await;
        let world = World::start(&[&first, &second]).await;
        let answer = world.ask(&request("GET", "/read/", "", "")).await;
        assert_eq!(
            (status(&answer), body(&answer).as_deref()),
            (200, Some("ok")),
            "{act:?}"
        );
        assert_eq!(first.requests().len(), 1, "{act:?}");
    }
}

/// The addresses of servers that crashed for good went to another service, and
/// 137 requests were sent there in vain (incident inc-3c87).
#[tokio::test]
async fn a_server_whose_address_another_has_is_not_asked_again() {
    let first = Server::spawn(vec![Act::Say(whole(421, "X-Instance-Id: other\r\n", ""))]).await;
    let second = Server::spawn(answers("ok")).await;
    let world = World::start(&[&first, &second]).await;
    for _ in 0..4 {
        let answer = world.ask(&request("POST", "/grant/", "", "x")).await;
        assert_eq!(status(&answer), 200);
    }
    assert_eq!(first.requests().len(), 1);
}

#[tokio::test]
async fn a_failure_that_nobody_does_better_is_passed_on() {
    let first = Server::spawn(vec![Act::Say(whole(500, "", "one"))]).await;
    let second = Server::spawn(vec![Act::Say(whole(500, "", "two"))]).await;
    let world = World::start(&[&first, &second]).await;
    let answer = world.ask(&request("GET", "/read/", "", "")).await;
    assert_eq!(
        (status(&answer), body(&answer).as_deref()),
        (500, Some("two"))
    );
}

#[tokio::test]
async fn a_refusal_of_all_servers_is_a_promise_that_nothing_ran() {
    let full = vec![Act::Say(whole(503, "X-Not-Executed: 1\r\n", ""))];
    let first = Server::spawn(full.clone()).await;
    let second = Server::spawn(full).await;
    let world = World::start(&[&first, &second]).await;
    let answer = world.ask(&request("POST", "/grant/", "", "x")).await;
    assert_eq!(status(&answer), 503);
    let after: f64 = field(&answer, "retry-after")
        .and_then(|text| text.parse().ok())
        .expect("when to come back");
    assert!(after > 0.0);
}

#[tokio::test]
async fn a_late_answer_to_another_request_is_passed_over() {
    let extra = whole(200, "", "mine") + &whole(200, "", "stale").replace("{id}", "other");
    let server = Server::spawn(vec![Act::Say(extra), Act::Say(whole(200, "", "second"))]).await;
    let world = World::start(&[&server]).await;
    for expected in ["mine", "second"] {
        let answer = world.ask(&request("GET", "/read/", "", "")).await;
        assert_eq!(body(&answer).as_deref(), Some(expected));
    }
    let before = whole(200, "", "stale").replace("{id}", "other") + &whole(200, "", "mine");
    let server = Server::spawn(vec![Act::Say(before)]).await;
    let world = World::start(&[&server]).await;
    let answer = world.ask(&request("GET", "/read/", "", "")).await;
    assert_eq!(body(&answer).as_deref(), Some("mine"));
}

#[tokio::test]
async fn a_stream_goes_on_at_another_server_after_the_last_whole_event() {
    let cut = stream_head() + &chunk("id: 1\ndata: a\n\n") + &chunk("id: 2\ndata: b\n\nid: 3\nda");
    let rest = stream_head() + &chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";
    let first = Server::spawn(vec![Act::SayAndClose(cut)]).await;
    let second = Server::spawn(vec![Act::Say(rest)]).await;
    let world = World::start(&[&first, &second]).await;
    let answer = world
        .ask(&request("POST", "/draft/", "Last-Event-Id: 0\r\n", "x"))
        .await;
    let expected = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(body(&answer).as_deref(), Some(expected));
    let resumed = second.requests();
    assert_eq!(field(&resumed[0], "last-event-id").as_deref(), Some("2"));
    assert_eq!(resumed[0].matches("ast-Event-Id").count(), 1);
}

#[tokio::test]
async fn a_stream_that_nobody_ends_does_not_look_whole() {
    let cut = stream_head() + &chunk("id: 1\ndata: a\n\n");
    let first = Server::spawn(vec![Act::SayAndClose(cut)]).await;
    let world = World::start(&[&first]).await;
    let answer = world.ask(&request("POST", "/draft/", "", "x")).await;
    assert_eq!((status(&answer), body(&answer)), (200, None));
}

#[tokio::test]
async fn work_ends_when_its_caller_leaves() {
    let server = Server::spawn(vec![Act::Silent]).await;
    let world = World::start(&[&server]).await;
    let mut caller = TcpStream::connect(world.callers)
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
        .expect("it arrives");
    drop(caller);
    let ended = async {
        while *server.closed.lock().expect("not poisoned") == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(10), ended)
        .await
        .expect("its connection is closed");
}

#[tokio::test]
async fn a_server_that_leaves_gets_nothing_new() {
    let first = Server::spawn(answers("first")).await;
    let second = Server::spawn(answers("second")).await;
    let world = World::start(&[&first, &second]).await;
    let ask = || async { body(&world.ask(&request("GET", "/read/", "", "")).await) };
    assert_eq!(ask().await.as_deref(), Some("first"));
    world
        .store
        .put("servers", "s0", &listed(first.address, "za", "draining"));
    let left = async {
        while ask().await.as_deref() != Some("second") {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(10), left)
        .await
        .expect("it is left alone");
    let before = first.requests().len();
    for _ in 0..10 {
        ask().await;
    }
    assert_eq!(first.requests().len(), before);
}

#[tokio::test]
async fn an_outage_of_the_store_changes_nothing_for_callers() {
    let server = Server::spawn(answers("ok")).await;
    let world = World::start(&[&server]).await;
    world.store.set_down(true);
    sleep(Duration::from_millis(300)).await;
    assert!(world.is_ready().await);
    assert_eq!(
        status(&world.ask(&request("GET", "/read/", "", "")).await),
        200
    );
}

#[tokio::test]
async fn a_stopping_entry_answers_what_is_open_and_ends() {
    let server = Server::spawn(answers("ok")).await;
    let mut world = World::start(&[&server]).await;
    let mut kept = TcpStream::connect(world.callers)
        .await
        .expect("the entry listens");
    world.terminate();
    world.wait_ready(false).await;
    let open = request("GET", "/read/", "", "").replace("Connection: close\r\n", "");
    kept.write_all(open.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    kept.read_to_end(&mut answer)
        .await
        .expect("it answers and closes");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert_eq!(status(&answer), 200);
    assert_eq!(field(&answer, "connection").as_deref(), Some("close"));
    world.wait_ended().await;
}

/// Twenty processes ended by SIGHUP (ptcr fresh-7870, exits of their own).
#[tokio::test]
async fn a_process_that_is_told_to_read_its_settings_goes_on() {
    let server = Server::spawn(answers("ok")).await;
    let world = World::start(&[&server]).await;
    for _ in 0..3 {
        world.signal("-HUP");
        sleep(Duration::from_millis(50)).await;
        assert_eq!(
            status(&world.ask(&request("GET", "/read/", "", "")).await),
            200
        );
    }
}
