//! Tests the stand-ins for model engines and plain services over HTTP.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use standin::client::Client;
use standin::client::Response;
use standin::engine;
use standin::platform;
use standin::service;
use standin::tokens;

const FREE_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct Setup {
    client: Client,
    origin: SocketAddr,
    engine: SocketAddr,
    admin: SocketAddr,
}

async fn start(check_fence: bool, slots: usize, step_duration: Duration) -> Setup {
    let platform = platform::Config {
        listen: FREE_PORT,
        origin_mbit: 0.0,
        origin_readers_max: 100,
        membership_lag: Duration::ZERO,
        seed: 1,
    };
    let origin = platform::spawn(platform).await.expect("platform");
    let config = engine::Config {
        listen: FREE_PORT,
        count: 1,
        slots,
        step_duration,
        prefill_per_block: Duration::ZERO,
        swap_duration: Duration::ZERO,
        load_report_lag: Duration::ZERO,
        cache_blocks: 2,
        check_fence,
    };
    let ready = engine::spawn(config).await.expect("engine");
    let client = Client::new();
    for digest in ["d1", "d2"] {
        let path = format!("/origin/{digest}");
        client.put(origin, &path, digest).await.expect("put");
    }
    Setup {
        client,
        origin,
        engine: ready.engines[0],
        admin: ready.admin,
    }
}

impl Setup {
    async fn order_load(&self, fence: u64, digest: &str, size: u64) -> Response {
        let source = format!("http://{}/origin/{digest}", self.origin);
        let order = json!({"fence": fence, "order": {"kind": "load", "model": "m",
            "version": digest, "manifest": digest, "size": size, "source": source}});
        let answer = self.client.post(self.engine, "/orders", &order).await;
        answer.expect("order")
    }

    async fn complete(&self, id: &str, body: Value) -> Response {
        let request = http::Request::post(format!("http://{}/v1/completions", self.engine))
            .header("x-request-id", id)
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("request");
        self.client.send(request).await.expect("answer")
    }

    async fn get(&self, path: &str) -> Value {
        let answer = self.client.get(self.engine, path).await;
        answer.expect("get").json()
    }
}

fn completion(prompt: &str) -> Value {
    json!({"model": "m", "prompt": prompt, "max_tokens": 5})
}

#[tokio::test]
async fn an_engine_serves_only_completely_loaded_weights() {
    let setup = start(true, 4, Duration::ZERO).await;
    assert_eq!(setup.complete("1", completion("a")).await.status, 503);
    assert_eq!(setup.order_load(1, "d1", 3).await.status, 502, "wrong size");
    assert_eq!(setup.complete("2", completion("a")).await.status, 503);
    assert_eq!(setup.order_load(2, "d1", 2).await.status, 200);
    let answer = setup.complete("3", completion("a")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["x-model-version"], "d1");
    let digest = blake3::hash(b"d1").to_hex().to_string();
    assert_eq!(answer.headers["x-weights-digest"], digest.as_str());
    let text = tokens::Answer::new("a").text(0, 5);
    assert_eq!(answer.json()["choices"][0]["text"], text);
    let served = setup.client.get(setup.admin, "/admin/served").await;
    assert_eq!(served.expect("served").json()[0]["calls"], 1);
}

#[tokio::test]
async fn a_lower_fencing_number_is_refused_if_it_is_checked() {
    for (check_fence, status, version) in [(true, 409, "d2"), (false, 200, "d1")] {
        let setup = start(check_fence, 4, Duration::ZERO).await;
        assert_eq!(setup.order_load(7, "d2", 2).await.status, 200);
        assert_eq!(setup.order_load(6, "d1", 2).await.status, status);
        let state = setup.get("/state").await;
        assert_eq!(
            state["models"][0]["version"], version,
            "check_fence: {check_fence}"
        );
        assert_eq!(state["fence"], 7);
    }
}

#[tokio::test]
async fn a_stream_resumes_at_the_requested_token() {
    let setup = start(true, 4, Duration::ZERO).await;
    setup.order_load(1, "d1", 2).await;
    let mut body = completion("a prompt");
    body["stream"] = json!(true);
    body["resume_from"] = json!(2);
    let answer = setup.complete("1", body).await;
    let text = String::from_utf8(answer.body.to_vec()).expect("text");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let resumed: String = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: {"))
        .map(|rest| serde_json::from_str::<Value>(&format!("{{{rest}")).expect("json"))
        .map(|event| {
            event["choices"][0]["text"]
                .as_str()
                .unwrap_or("")
                .to_owned()
        })
        .collect();
    assert_eq!(resumed, tokens::Answer::new("a prompt").text(2, 5));
}

#[tokio::test]
async fn a_cancelled_call_stops_and_answers_409() {
    let setup = start(true, 1, Duration::from_secs(3600)).await;
    setup.order_load(1, "d1", 2).await;
    let cancel = async {
        while setup.get("/load").await["running"] != 1 {
            tokio::task::yield_now().await;
        }
        let cancel = setup.client.post(setup.engine, "/cancel/1", &Value::Null);
        cancel.await.expect("cancel").json()
    };
    let (answer, state) = tokio::join!(setup.complete("1", completion("a")), cancel);
    assert_eq!(answer.status, 409);
    assert_eq!(state["state"], "cancelled");
    let unknown = setup.client.post(setup.engine, "/cancel/9", &Value::Null);
    assert_eq!(unknown.await.expect("cancel").json()["state"], "unknown");
}

#[tokio::test]
async fn the_prefix_cache_is_bounded_and_can_be_transferred() {
    let setup = start(true, 4, Duration::ZERO).await;
    setup.order_load(1, "d1", 2).await;
    let prompt = "x".repeat(tokens::BLOCK_BYTES * 3);
    for id in ["1", "2"] {
        setup.complete(id, completion(&prompt)).await;
    }
    let names = tokens::prefix_names(&prompt);
    let path = format!("/kv/{}", names[2]);
    let cached = setup.client.get(setup.engine, &path).await.expect("kv");
    assert_eq!(cached.status, 200);
    let other = start(true, 4, Duration::ZERO).await;
    let import = |body: Bytes| other.client.call(Method::PUT, other.engine, &path, body);
    assert_eq!(import(cached.body).await.expect("import").status, 200);
    assert_eq!(import(Bytes::new()).await.expect("foreign").status, 400);
    let evicted = format!("/kv/{}", names[0]);
    let evicted = setup.client.get(setup.engine, &evicted).await.expect("kv");
    assert_eq!(evicted.status, 404, "the cache holds two blocks");
}

#[tokio::test]
async fn a_plain_service_counts_runs_by_key() {
    let config = service::Config {
        listen: FREE_PORT,
        count: 2,
        call_duration: Duration::ZERO,
    };
    let ready = service::spawn(config).await.expect("services");
    let client = Client::new();
    for (address, run) in [(ready.services[0], 1), (ready.services[1], 2)] {
        let request = http::Request::post(format!("http://{address}/ledger/grant"))
            .header("x-request-id", "key")
            .body(Full::new(Bytes::from_static(b"{\"effect\": \"grant-1\"}")))
            .expect("request");
        let answer = client.send(request).await.expect("answer").json();
        assert_eq!(
            answer["run"], run,
            "the services of a process share the counts"
        );
        assert_eq!(answer["key"], "key");
    }
    let faults = json!({"lose_percent": 100});
    client
        .post(ready.admin, "/admin/faults", &faults)
        .await
        .expect("fault");
    let grant = json!({"effect": "grant-2"});
    let reply = client.post(ready.services[0], "/x", &grant).await;
    assert!(reply.is_err());
    let effects = client
        .get(ready.admin, "/admin/effects")
        .await
        .expect("effects");
    assert_eq!(effects.json(), json!({"grant-1": 2, "grant-2": 1}));
}
