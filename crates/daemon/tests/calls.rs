//! Calls through a real entry and real agents over sockets, to stand-in backend
//! servers.

mod harness;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use harness::Fleet;
use harness::MODEL;
use http::StatusCode;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_are_complete() {
    let fleet = Fleet::open().await;
    let body = json!({"model": MODEL, "prompt": "a song one", "max_tokens": 9});
    let answer = fleet.post("/v1/completions", &body, &[]).await;
    assert_eq!(answer.status, StatusCode::OK);
    let text = &answer.json()["choices"][0]["text"];
    assert_eq!(*text, harness::expected_text("a song one", 9).as_str());
    assert_eq!(answer.headers["x-model-version"], "1");

    let body = json!({"model": MODEL, "prompt": "a song two", "max_tokens": 9, "stream": true});
    let answer = fleet.post("/v1/completions", &body, &[]).await;
    let (text, complete) = harness::parse_stream(&answer.body);
    assert_eq!(
        (text, complete),
        (harness::expected_text("a song two", 9), true)
    );

    let answer = fleet
        .post("/porch/x?y=1", &json!({"effect": "p"}), &[])
        .await;
    assert_eq!(answer.json()["run"], 1);
    let models = fleet.client.get(fleet.entry.http_address(), "/v1/models");
    assert_eq!(models.await.unwrap().status, StatusCode::UNAUTHORIZED);
}

/// Invalid requests of a caller, with the expected status and error code.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn invalid_requests_are_refused_as_not_run() {
    let fleet = Fleet::open().await;
    let valid_body = json!({"model": MODEL, "prompt": "x", "max_tokens": 1}).to_string();
    let oversized_body = "x".repeat(3 << 20);
    let authorization = format!("Bearer {}", harness::KEY);
    let authorization = authorization.as_str();
    let long_key = "k".repeat(201);
    let table: [(&str, &str, &str, &str, &str, u16, &str); 11] = [
        (
            "POST",
            "/v1/completions",
            authorization,
            "",
            "{",
            400,
            "malformed",
        ),
        (
            "POST",
            "/v1/completions",
            authorization,
            "",
            "[]",
            400,
            "malformed",
        ),
        (
            "POST",
            "/v1/completions",
            authorization,
            "",
            "{}",
            400,
            "malformed",
        ),
        (
            "POST",
            "/v1/completions",
            authorization,
            "",
            &oversized_body,
            413,
            "body_too_large",
        ),
        (
            "POST",
            "/v1/completions",
            "",
            "",
            &valid_body,
            401,
            "unauthorized",
        ),
        (
            "POST",
            "/v1/completions",
            "Bearer no",
            "",
            &valid_body,
            401,
            "unauthorized",
        ),
        (
            "POST",
            "/v1/completions",
            authorization,
            "",
            r#"{"model":"no"}"#,
            404,
            "unknown_model",
        ),
        (
            "POST",
            "/nowhere",
            authorization,
            "",
            "",
            404,
            "unknown_path",
        ),
        (
            "GET",
            "/v1/completions",
            authorization,
            "",
            "",
            405,
            "method_not_allowed",
        ),
        (
            "POST",
            "/ledger/x",
            authorization,
            "a b",
            "",
            400,
            "bad_idempotency_key",
        ),
        (
            "POST",
            "/ledger/x",
            authorization,
            &long_key,
            "",
            400,
            "bad_idempotency_key",
        ),
    ];
    for (method, path, authorization, idempotency, body, status, code) in table {
        let entry = fleet.entry.http_address();
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header("authorization", authorization);
        if !idempotency.is_empty() {
            request = request.header("idempotency-key", idempotency);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())));
        let answer = fleet.client.send(request.unwrap()).await.unwrap();
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

/// Connections that are closed in the middle of a body or send bytes that are
/// not HTTP: the truncated call must not run, and others must succeed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn broken_connections_do_not_affect_other_calls() {
    use tokio::io::AsyncWriteExt;
    let fleet = Fleet::open().await;
    let entry = fleet.entry.http_address();
    let head = format!(
        "POST /ledger/x HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 100\r\n\r\n{{\"effect\":\"truncated\"",
        harness::KEY
    );
    for bytes in [head.as_bytes(), b"\x16\x03\x01 not http\r\n\r\n", b"GET"] {
        let mut socket = tokio::net::TcpStream::connect(entry).await.unwrap();
        socket.write_all(bytes).await.unwrap();
        drop(socket);
    }
    let answer = fleet
        .post("/ledger/x", &json!({"effect": "whole"}), &[])
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fleet.run_count("truncated").await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_call_under_a_key_runs_once_and_its_answer_is_replayed() {
    let fleet = Fleet::open().await;
    for (path, stream) in [("/ledger/x", false), ("/v1/completions", true)] {
        let effect = format!("once{stream}");
        let body = json!({"effect": effect, "model": MODEL, "prompt": effect,
            "max_tokens": 5, "stream": stream});
        let headers = [("idempotency-key", effect.as_str())];
        let first = fleet.post(path, &body, &headers).await;
        assert_eq!(first.status, StatusCode::OK, "{first:?}");
        assert!(!first.headers.contains_key("idempotency-replayed"));
        let second = loop {
            let second = fleet.post(path, &body, &headers).await;
            // The outcome is recorded after the answer has been sent; until
            // then the claim counts as in progress.
            if second.status != StatusCode::CONFLICT {
                break second;
            }
        };
        assert_eq!(second.status, StatusCode::OK, "{second:?}");
        assert_eq!(second.headers["idempotency-replayed"], "true");
        assert_eq!(first.body, second.body);
        assert_eq!(fleet.run_count(&effect).await, 1);
        let other = json!({"effect": "other", "model": MODEL, "prompt": "other"});
        let reused = fleet.post(path, &other, &headers).await;
        assert_eq!(reused.json()["error"]["code"], "idempotency_key_reused");
    }
}

/// Faults of the platform's table of claims, with the expected answer to a call
/// under an idempotency key and the number of times that it must run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn faults_of_the_claims_table_never_run_a_call_twice() {
    let table = [
        ("down", json!({"down": true}), 503, json!(true), 0),
        ("silent", json!({"silent": true}), 503, json!(true), 0),
        ("lost", json!({"lose_percent": 100}), 200, Value::Null, 1),
        ("slow", json!({"slow_ms": 100}), 200, Value::Null, 1),
    ];
    for (name, fault, status, not_run, run_count) in table {
        // Each fault gets a new fleet, because the circuit breaker to the
        // platform stays open after a fault.
        let fleet = Fleet::open().await;
        fleet
            .admin(fleet.platform, "/admin/faults", json!({"tables": fault}))
            .await;
        let headers = [("idempotency-key", name)];
        let body = json!({"effect": name});
        let answer = fleet.post("/ledger/x", &body, &headers).await;
        assert_eq!(answer.status.as_u16(), status, "{name}: {answer:?}");
        assert_eq!(answer.json()["error"]["not_run"], not_run, "{name}");
        assert_eq!(fleet.run_count(name).await, run_count, "{name}");
    }
}

/// A plain service that loses all its answers: a call that must run at most
/// once is not repeated, and its outcome is reported as unknown.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_answer_of_an_at_most_once_call_is_reported_as_unknown() {
    let fleet = Fleet::open().await;
    fleet
        .admin(
            fleet.services,
            "/admin/faults",
            json!({"lose_percent": 100}),
        )
        .await;
    let answer = fleet
        .post("/ledger/x", &json!({"effect": "lost"}), &[])
        .await;
    assert_eq!(answer.status, StatusCode::FAILED_DEPENDENCY);
    assert_eq!(answer.json()["error"]["not_run"], "unknown");
    assert_eq!(fleet.run_count("lost").await, 1);
}

/// Streams in flight while an agent, and later the entry, shuts down
/// gracefully: none of them may be cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_graceful_shutdown_completes_streams_in_flight() {
    let mut fleet = Fleet::open().await;
    let agents = std::mem::take(&mut fleet.agents);
    let fleet = Arc::new(fleet);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..20 {
        let fleet = fleet.clone();
        calls.spawn(async move {
            let prompt = format!("drain {number}");
            let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 60, "stream": true});
            let answer = fleet.post("/v1/completions", &body, &[]).await;
            (prompt, answer)
        });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut shutdowns = tokio::task::JoinSet::new();
    let mut agents = agents.into_iter();
    let first = agents.next().expect("an engine's agent");
    shutdowns.spawn(first.shutdown());
    while let Some(call) = calls.join_next().await {
        let (prompt, answer) = call.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        let (text, complete) = harness::parse_stream(&answer.body);
        assert_eq!(
            (text, complete),
            (harness::expected_text(&prompt, 60), true)
        );
    }
    while shutdowns.join_next().await.is_some() {}

    let body = json!({"model": MODEL, "prompt": "last", "max_tokens": 60, "stream": true});
    let request = fleet.request("/v1/completions", &body, &[]);
    let client = fleet.client.clone();
    let last = tokio::spawn(async move { client.send(request).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let Ok(fleet) = Arc::try_unwrap(fleet) else {
        panic!("a call still holds the fleet");
    };
    fleet.entry.shutdown().await;
    let answer = last.await.unwrap().unwrap();
    let (text, complete) = harness::parse_stream(&answer.body);
    assert_eq!((text, complete), (harness::expected_text("last", 60), true));
}

/// An entry that has just started has no links to agents yet; its first call
/// must wait for them instead of being refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_first_calls_of_a_new_entry_wait_for_its_links() {
    let mut fleet = Fleet::open().await;
    for round in 0..5 {
        fleet.replace_entry().await;
        let prompt = format!("first {round}");
        let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 3});
        let answer = fleet.post("/v1/completions", &body, &[]).await;
        assert_eq!(answer.status, StatusCode::OK, "round {round}: {answer:?}");
    }
}
