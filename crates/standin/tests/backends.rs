//! The contracts of the model engine and of the plain service.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use standin::client::Answer;
use standin::client::Client;
use standin::engine;
use standin::platform;
use standin::service;
use standin::tokens;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct Bench {
    client: Client,
    origin: SocketAddr,
    engine: SocketAddr,
    admin: SocketAddr,
}

async fn open(check_fence: bool, slots: usize, step_duration: Duration) -> Bench {
    let platform = platform::Config {
        listen: ANY,
        origin_mbit: 0.0,
        origin_readers_max: 100,
        lag: Duration::ZERO,
        seed: 1,
    };
    let origin = platform::spawn(platform).await.expect("platform");
    let engines = engine::Config {
        listen: ANY,
        count: 1,
        slots,
        step_duration,
        prefill_per_block: Duration::ZERO,
        swap_duration: Duration::ZERO,
        load_report_lag: Duration::ZERO,
        cache_blocks: 2,
        check_fence,
    };
    let ready = engine::spawn(engines).await.expect("engine");
    let client = Client::open();
    for digest in ["d1", "d2"] {
        let path = format!("/origin/{digest}");
        client.put(origin, &path, digest).await.expect("put");
    }
    Bench {
        client,
        origin,
        engine: ready.engines[0],
        admin: ready.admin,
    }
}

impl Bench {
    async fn load(&self, fence: u64, digest: &str, size: u64) -> Answer {
        let source = format!("http://{}/origin/{digest}", self.origin);
        let order = json!({"fence": fence, "order": {"kind": "load", "model": "m",
            "version": digest, "manifest": digest, "size": size, "source": source}});
        let answer = self.client.post(self.engine, "/orders", &order).await;
        answer.expect("order")
    }

    async fn ask(&self, id: &str, body: Value) -> Answer {
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

fn wanted(prompt: &str) -> Value {
    json!({"model": "m", "prompt": prompt, "max_tokens": 5})
}

#[tokio::test]
async fn an_engine_serves_only_what_it_was_given_whole() {
    let bench = open(true, 4, Duration::ZERO).await;
    assert_eq!(bench.ask("1", wanted("a")).await.status, 503);
    assert_eq!(bench.load(1, "d1", 3).await.status, 502, "wrong size");
    assert_eq!(bench.ask("2", wanted("a")).await.status, 503);
    assert_eq!(bench.load(2, "d1", 2).await.status, 200);
    let answer = bench.ask("3", wanted("a")).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.headers["x-model-version"], "d1");
    let given = blake3::hash(b"d1").to_hex().to_string();
    assert_eq!(answer.headers["x-weights-digest"], given.as_str());
    let text = tokens::Answer::new("a").text(0, 5);
    assert_eq!(answer.json()["choices"][0]["text"], text);
    let served = bench.client.get(bench.admin, "/admin/served").await;
    assert_eq!(served.expect("served").json()[0]["calls"], 1);
}

#[tokio::test]
async fn an_old_fencing_number_is_refused_where_it_is_checked() {
    for (check, status, version) in [(true, 409, "d2"), (false, 200, "d1")] {
        let bench = open(check, 4, Duration::ZERO).await;
        assert_eq!(bench.load(7, "d2", 2).await.status, 200);
        assert_eq!(bench.load(6, "d1", 2).await.status, status);
        let state = bench.get("/state").await;
        assert_eq!(state["models"][0]["version"], version, "check {check}");
        assert_eq!(state["fence"], 7);
    }
}

#[tokio::test]
async fn a_stream_resumes_where_it_was_left() {
    let bench = open(true, 4, Duration::ZERO).await;
    bench.load(1, "d1", 2).await;
    let mut body = wanted("a prompt");
    body["stream"] = json!(true);
    body["resume_from"] = json!(2);
    let answer = bench.ask("1", body).await;
    let text = String::from_utf8(answer.body.to_vec()).expect("text");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let said: String = text
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
    assert_eq!(said, tokens::Answer::new("a prompt").text(2, 5));
}

#[tokio::test]
async fn a_cancelled_call_stops_and_says_so() {
    let bench = open(true, 1, Duration::from_secs(3600)).await;
    bench.load(1, "d1", 2).await;
    let cancel = async {
        while bench.get("/load").await["running"] != 1 {
            tokio::task::yield_now().await;
        }
        let cancel = bench.client.post(bench.engine, "/cancel/1", &Value::Null);
        cancel.await.expect("cancel").json()
    };
    let (answer, state) = tokio::join!(bench.ask("1", wanted("a")), cancel);
    assert_eq!(answer.status, 409);
    assert_eq!(state["state"], "cancelled");
    let unknown = bench.client.post(bench.engine, "/cancel/9", &Value::Null);
    assert_eq!(unknown.await.expect("cancel").json()["state"], "unknown");
}

#[tokio::test]
async fn the_prefix_cache_is_bounded_and_its_content_travels() {
    let bench = open(true, 4, Duration::ZERO).await;
    bench.load(1, "d1", 2).await;
    let prompt = "x".repeat(tokens::BLOCK_BYTES * 3);
    for id in ["1", "2"] {
        bench.ask(id, wanted(&prompt)).await;
    }
    let names = tokens::prefix_names(&prompt);
    let path = format!("/kv/{}", names[2]);
    let held = bench.client.get(bench.engine, &path).await.expect("kv");
    assert_eq!(held.status, 200);
    let other = open(true, 4, Duration::ZERO).await;
    let put = |body: Bytes| other.client.call(Method::PUT, other.engine, &path, body);
    assert_eq!(put(held.body).await.expect("import").status, 200);
    assert_eq!(put(Bytes::new()).await.expect("foreign").status, 400);
    let gone = format!("/kv/{}", names[0]);
    let gone = bench.client.get(bench.engine, &gone).await.expect("kv");
    assert_eq!(gone.status, 404, "only two blocks fit");
}

#[tokio::test]
async fn a_plain_service_counts_runs_by_key() {
    let config = service::Config {
        listen: ANY,
        count: 2,
        call_duration: Duration::ZERO,
    };
    let ready = service::spawn(config).await.expect("services");
    let client = Client::open();
    for (address, run) in [(ready.services[0], 1), (ready.services[1], 2)] {
        let request = http::Request::post(format!("http://{address}/ledger/grant"))
            .header("x-request-id", "key")
            .body(Full::new(Bytes::from_static(b"{\"effect\": \"grant-1\"}")))
            .expect("request");
        let answer = client.send(request).await.expect("answer").json();
        assert_eq!(answer["run"], run, "one count over all services");
        assert_eq!(answer["key"], "key");
    }
    let lose = json!({"lose_percent": 100});
    client
        .post(ready.admin, "/admin/faults", &lose)
        .await
        .expect("fault");
    let grant = json!({"effect": "grant-2"});
    let lost = client.post(ready.services[0], "/x", &grant).await;
    assert!(lost.is_err());
    let effects = client
        .get(ready.admin, "/admin/effects")
        .await
        .expect("effects");
    assert_eq!(effects.json(), json!({"grant-1": 2, "grant-2": 1}));
}
