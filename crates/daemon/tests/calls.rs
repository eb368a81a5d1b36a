//! Calls through a real entry and real agents over sockets.

mod harness;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use harness::MODEL;
use harness::Small;
use http::StatusCode;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_are_whole() {
    let small = Small::open().await;
    let body = json!({"model": MODEL, "prompt": "a song one", "max_tokens": 9});
    let answer = small.post("/v1/completions", &body, &[]).await;
    assert_eq!(answer.status, StatusCode::OK);
    let text = &answer.json()["choices"][0]["text"];
    assert_eq!(*text, harness::expected("a song one", 9).as_str());
    assert_eq!(answer.headers["x-model-version"], "1");

    let body = json!({"model": MODEL, "prompt": "a song two", "max_tokens": 9, "stream": true});
    let answer = small.post("/v1/completions", &body, &[]).await;
    let (text, done) = harness::streamed(&answer.body);
    assert_eq!((text, done), (harness::expected("a song two", 9), true));

    let answer = small
        .post("/porch/x?y=1", &json!({"effect": "p"}), &[])
        .await;
    assert_eq!(answer.json()["run"], 1);
    let models = small.client.get(small.entry.http_address(), "/v1/models");
    assert_eq!(models.await.unwrap().status, StatusCode::UNAUTHORIZED);
}

/// What a caller can get wrong, and what it is told.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_requests_are_refused_as_not_run() {
    let small = Small::open().await;
    let good = json!({"model": MODEL, "prompt": "x", "max_tokens": 1}).to_string();
    let long = "x".repeat(3 << 20);
    let key = format!("Bearer {}", harness::KEY);
    let key = key.as_str();
    let long_key = "k".repeat(201);
    let table: [(&str, &str, &str, &str, &str, u16, &str); 11] = [
        ("POST", "/v1/completions", key, "", "{", 400, "malformed"),
        ("POST", "/v1/completions", key, "", "[]", 400, "malformed"),
        ("POST", "/v1/completions", key, "", "{}", 400, "malformed"),
        (
            "POST",
            "/v1/completions",
            key,
            "",
            &long,
            413,
            "body_too_large",
        ),
        (
            "POST",
            "/v1/completions",
            "",
            "",
            &good,
            401,
            "unauthorized",
        ),
        (
            "POST",
            "/v1/completions",
            "Bearer no",
            "",
            &good,
            401,
            "unauthorized",
        ),
        (
            "POST",
            "/v1/completions",
            key,
            "",
            r#"{"model":"no"}"#,
            404,
            "unknown_model",
        ),
        ("POST", "/nowhere", key, "", "", 404, "unknown_path"),
        (
            "GET",
            "/v1/completions",
            key,
            "",
            "",
            405,
            "method_not_allowed",
        ),
        (
            "POST",
            "/ledger/x",
            key,
            "a b",
            "",
            400,
            "bad_idempotency_key",
        ),
        (
            "POST",
            "/ledger/x",
            key,
            &long_key,
            "",
            400,
            "bad_idempotency_key",
        ),
    ];
    for (method, path, key, idempotency, body, status, code) in table {
        let entry = small.entry.http_address();
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("authorization", key);
        if !idempotency.is_empty() {
            request = request.header("idempotency-key", idempotency);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())));
        let answer = small.client.send(request.unwrap()).await.unwrap();
        let error = &answer.json()["error"];
        assert_eq!(answer.status.as_u16(), status, "{method} {path} {error}");
        assert_eq!(error["code"], code, "{method} {path}");
        assert_eq!(error["not_run"], true, "{method} {path}");
        assert!(
            error["remedy"]
                .as_str()
                .is_some_and(|text| !text.is_empty())
        );
    }
}

/// A body that breaks off, and bytes that are not HTTP, disturb nothing else.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn broken_connections_disturb_nothing() {
    use tokio::io::AsyncWriteExt;
    let small = Small::open().await;
    let entry = small.entry.http_address();
    let head = format!(
        "POST /ledger/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 100\r\n\r\n{{\"effect\":\"truncated\"",
        harness::KEY
    );
    for bytes in [head.as_bytes(), b"\x16\x03\x01 not http\r\n\r\n", b"GET"] {
        let mut socket = tokio::net::TcpStream::connect(entry).await.unwrap();
        socket.write_all(bytes).await.unwrap();
        drop(socket);
    }
    let answer = small
        .post("/ledger/x", &json!({"effect": "whole"}), &[])
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(small.runs("truncated").await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_key_runs_once_and_its_answer_is_replayed() {
    let small = Small::open().await;
    for (path, stream) in [("/ledger/x", false), ("/v1/completions", true)] {
        let effect = format!("once{stream}");
        let body = json!({"effect": effect, "model": MODEL, "prompt": effect,
            "max_tokens": 5, "stream": stream});
        let headers = [("idempotency-key", effect.as_str())];
        let first = small.post(path, &body, &headers).await;
        assert_eq!(first.status, StatusCode::OK, "{first:?}");
        assert!(!first.headers.contains_key("idempotency-replayed"));
        let second = loop {
            let second = small.post(path, &body, &headers).await;
            // The outcome is written down after the answer has gone out.
            if second.status != StatusCode::CONFLICT {
                break second;
            }
        };
        assert_eq!(second.status, StatusCode::OK, "{second:?}");
        assert_eq!(second.headers["idempotency-replayed"], "true");
        assert_eq!(first.body, second.body);
        assert_eq!(small.runs(&effect).await, 1);
        let other = json!({"effect": "other", "model": MODEL, "prompt": "other"});
        let reused = small.post(path, &other, &headers).await;
        assert_eq!(reused.json()["error"]["code"], "idempotency_key_reused");
    }
}

/// Faults of the table, what a call under a key is told, and how often it ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn faults_of_the_table_never_run_a_key_twice() {
    let table = [
        ("down", json!({"down": true}), 503, json!(true), 0),
        ("silent", json!({"silent": true}), 503, json!(true), 0),
        ("lost", json!({"lose_percent": 100}), 200, Value::Null, 1),
        ("slow", json!({"slow_ms": 100}), 200, Value::Null, 1),
    ];
    for (name, fault, status, not_run, runs) in table {
        // A new fleet each: the breaker to the platform remembers a fault.
        let small = Small::open().await;
        small
            .admin(small.platform, "/admin/faults", json!({"tables": fault}))
            .await;
        let headers = [("idempotency-key", name)];
        let body = json!({"effect": name});
        let answer = small.post("/ledger/x", &body, &headers).await;
        assert_eq!(answer.status.as_u16(), status, "{name}: {answer:?}");
        assert_eq!(answer.json()["error"]["not_run"], not_run, "{name}");
        assert_eq!(small.runs(name).await, runs, "{name}");
    }
}

/// A service that loses its answers: what may repeat is repeated, what must
/// run once is not.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_answers_of_a_plain_service_are_told_truly() {
    let small = Small::open().await;
    small
        .admin(
            small.services,
            "/admin/faults",
            json!({"lose_percent": 100}),
        )
        .await;
    let once = small
        .post("/ledger/x", &json!({"effect": "lost"}), &[])
        .await;
    assert_eq!(once.status, StatusCode::FAILED_DEPENDENCY);
    assert_eq!(once.json()["error"]["not_run"], "unknown");
    assert_eq!(small.runs("lost").await, 1);
}

/// Streams in flight while agents, then the entry, stop gracefully.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_graceful_stop_cuts_nothing() {
    let mut small = Small::open().await;
    let agents = std::mem::take(&mut small.agents);
    let small = Arc::new(small);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..20 {
        let small = small.clone();
        calls.spawn(async move {
            let prompt = format!("drain {number}");
            let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 60, "stream": true});
            let answer = small.post("/v1/completions", &body, &[]).await;
            (prompt, answer)
        });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut stops = tokio::task::JoinSet::new();
    let mut agents = agents.into_iter();
    let first = agents.next().expect("an engine's agent");
    stops.spawn(first.shutdown());
    while let Some(call) = calls.join_next().await {
        let (prompt, answer) = call.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        let (text, done) = harness::streamed(&answer.body);
        assert_eq!((text, done), (harness::expected(&prompt, 60), true));
    }
    while stops.join_next().await.is_some() {}

    let body = json!({"model": MODEL, "prompt": "last", "max_tokens": 60, "stream": true});
    let request = small.request("/v1/completions", &body, &[]);
    let client = small.client.clone();
    let last = tokio::spawn(async move { client.send(request).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let Ok(small) = Arc::try_unwrap(small) else {
        panic!("all calls have ended");
    };
    small.entry.shutdown().await;
    let answer = last.await.unwrap().unwrap();
    let (text, done) = harness::streamed(&answer.body);
    assert_eq!((text, done), (harness::expected("last", 60), true));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_first_calls_of_a_new_entry_wait_for_its_links() {
    let mut small = Small::open().await;
    for round in 0..5 {
        small.replace_entry().await;
        let prompt = format!("first {round}");
        let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 3});
        let answer = small.post("/v1/completions", &body, &[]).await;
        assert_eq!(answer.status, StatusCode::OK, "round {round}: {answer:?}");
    }
}
