//! A fleet in one process: stand-ins, one entry and two agents per service.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use daemon::Config;
use daemon::Daemon;
use daemon::Role;
use http::StatusCode;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use snipewinch::Digest;
use snipewinch::configuration::Record;
use snipewinch::weights::manifest::Manifest;
use standin::client::Client;
use standin::client::Response;
use standin::engine;
use standin::platform;
use standin::service;
use standin::tokens;

pub(crate) const MODEL: &str = "verse";
/// The bearer key of the customer.
pub(crate) const KEY: &str = "the customer's bearer key";
const FLEET_KEY: &str = "a fleet key for tests only";
/// How long an entry or a service may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) struct Fleet {
    pub(crate) platform: SocketAddr,
    /// The administrative interface of the engines.
    pub(crate) engines: SocketAddr,
    /// The administrative interface of the plain services.
    pub(crate) services: SocketAddr,
    pub(crate) entry: Daemon,
    pub(crate) agents: Vec<Daemon>,
    pub(crate) client: Client,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn document(manifest: &Manifest) -> Value {
    json!({
        "fleet": "small",
        "models": [{"name": MODEL, "version": "1", "manifest": manifest.digest()}],
        "services": [
            {"name": "engine", "backend": {"engine": {"model": MODEL}}},
            {"name": "ledger", "backend": {"plain": {"prefix": "/ledger"}}, "repeat": "never"},
            {"name": "porch", "backend": {"plain": {"prefix": "/porch"}}},
        ],
        "customers": [{"name": "school", "key": Digest::of(KEY.as_bytes())}],
    })
}

impl Fleet {
    /// Starts a fleet with two agents per service and waits until it is ready.
    pub(crate) async fn open() -> Fleet {
        Fleet::open_with(&[]).await
    }

    /// Starts a fleet whose daemons have further settings.
    pub(crate) async fn open_with(settings: &[(&'static str, String)]) -> Fleet {
        let platform = platform::spawn(platform::Config {
            listen: any_port(),
            origin_mbit: 0.0,
            origin_readers_max: 16,
            membership_lag: Duration::ZERO,
            seed: 1,
        });
        let platform = platform.await.expect("the platform starts");
        let engines = engine::spawn(engine::Config {
            listen: any_port(),
            count: 2,
            slots: 16,
            step_duration: Duration::from_millis(5),
            prefill_per_block: Duration::ZERO,
            swap_duration: Duration::ZERO,
            load_report_lag: Duration::ZERO,
            cache_blocks: 64,
            check_fence: true,
        });
        let engines = engines.await.expect("the engines start");
        let services = service::spawn(service::Config {
            listen: any_port(),
            count: 4,
            call_duration: Duration::from_millis(2),
        });
        let services = services.await.expect("the services start");
        let client = Client::new();
        publish(&client, platform).await;
        let entry = start(platform, Role::Entry, "entry-0", None, settings).await;
        let mut agents = Vec::new();
        let backends = engines.engines.iter().map(|address| ("engine", *address));
        let ledger = services.services[..2].iter().map(|a| ("ledger", *a));
        let porch = services.services[2..].iter().map(|a| ("porch", *a));
        for (index, (service, address)) in backends.chain(ledger).chain(porch).enumerate() {
            let name = format!("agent-{index}");
            let local_backend = Some((service, address));
            agents.push(start(platform, Role::Agent, &name, local_backend, settings).await);
            let member = json!({"host": name, "role": "agent", "zone": "z", "region": "r",
                "service": service, "address": agents[index].peer_address(), "state": "live"});
            let path = format!("/membership/{name}");
            put(&client, platform, &path, member.to_string()).await;
        }
        let fleet = Fleet {
            platform,
            engines: engines.admin,
            services: services.admin,
            entry,
            agents,
            client,
        };
        fleet.wait_until_ready().await;
        fleet
    }

    /// Replaces the entry by a new one and waits until that reports that it is
    /// ready.
    pub(crate) async fn replace_entry(&mut self) {
        let new = start(self.platform, Role::Entry, "entry-1", None, &[]).await;
        let old = std::mem::replace(&mut self.entry, new);
        old.shutdown().await;
        let started = Instant::now();
        loop {
            let answer = self.client.get(self.entry.http_address(), "/readyz").await;
            match answer {
                Ok(answer) if answer.status == StatusCode::OK => return,
                _ => assert!(
                    started.elapsed() < READY_TIMEOUT,
                    "the entry does not become ready"
                ),
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits until every service answers calls.
    async fn wait_until_ready(&self) {
        let started = Instant::now();
        for path in ["/v1/completions", "/ledger/warm", "/porch/warm"] {
            loop {
                let body = json!({"model": MODEL, "prompt": "warm", "max_tokens": 1});
                let answer = self.post(path, &body, &[]).await;
                if answer.status == StatusCode::OK {
                    break;
                }
                let late = started.elapsed() > READY_TIMEOUT;
                assert!(
                    !late,
                    "{path} is not answered within the timeout: {answer:?}"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Sends a caller's request to the entry.
    pub(crate) async fn post(
        &self,
        path: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Response {
        let request = self.request(path, body, headers);
        self.client.send(request).await.expect("an answer")
    }

    /// A caller's request to the entry.
    pub(crate) fn request(
        &self,
        path: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> http::Request<Full<Bytes>> {
        let entry = self.entry.http_address();
        let mut request = http::Request::post(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {KEY}"))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_string()));
        request.body(body).expect("the parts are valid")
    }

    /// Sends a request to the administrative interface of a stand-in.
    pub(crate) async fn admin(&self, address: SocketAddr, path: &str, body: Value) {
        let answer = self.client.post(address, path, &body).await;
        let answer = answer.expect("an answer");
        assert!(answer.status.is_success(), "{path}: {answer:?}");
    }

    /// How often the call named `effect` ran.
    pub(crate) async fn run_count(&self, effect: &str) -> u64 {
        let mut run_count = 0;
        for address in [self.engines, self.services] {
            let answer = self.client.get(address, "/admin/effects").await;
            let counts = answer.expect("an answer").json();
            run_count += counts[effect].as_u64().unwrap_or(0);
        }
        run_count
    }
}

/// The text with which an engine must answer a prompt.
pub(crate) fn expected_text(prompt: &str, count: u64) -> String {
    tokens::Answer::new(prompt).text(0, count)
}

/// The text of a stream of events, and whether the stream ended as complete.
pub(crate) fn parse_stream(body: &[u8]) -> (String, bool) {
    let body = String::from_utf8_lossy(body);
    let mut text = String::new();
    let mut done = false;
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        done |= line == "[DONE]";
        let value: Value = serde_json::from_str(line).unwrap_or_default();
        text.push_str(value["choices"][0]["text"].as_str().unwrap_or(""));
    }
    (text, done)
}

async fn publish(client: &Client, platform: SocketAddr) {
    let weights = b"the weights of the small model".repeat(1000);
    let manifest = Manifest::build(MODEL, "1", 4096, &weights).expect("a manifest");
    let digest = manifest.digest();
    let object = format!("/objects/manifests/{digest}");
    put(client, platform, &object, manifest.to_bytes()).await;
    put(client, platform, &format!("/origin/{digest}"), weights).await;
    let record = Record {
        version: 1,
        operation: "test".into(),
        operator: "test".into(),
        at_ms: 1,
        note: String::new(),
        text: document(&manifest).to_string(),
    };
    let registry = prometheus::Registry::new();
    let platform = ::platform::Client::open(&format!("http://{platform}"), &registry);
    platform
        .publish(&record, 0)
        .await
        .expect("the document is published");
}

async fn put(client: &Client, address: SocketAddr, path: &str, body: impl Into<Bytes>) {
    let answer = client.put(address, path, body).await.expect("an answer");
    assert!(answer.status.is_success(), "{path}: {answer:?}");
}

async fn start(
    platform: SocketAddr,
    role: Role,
    name: &str,
    local_backend: Option<(&str, SocketAddr)>,
    settings: &[(&'static str, String)],
) -> Daemon {
    let mut config = Config::builder(name, role)
        .fleet_key(FLEET_KEY)
        .platform(&format!("http://{platform}"))
        .set("zone", "z")
        .set("region", "r")
        .set("listen-peers", "127.0.0.1:0")
        .set("listen-http", "127.0.0.1:0")
        .set("leave-grace-ms", "100");
    if let Some((service, backend)) = local_backend {
        config = config
            .set("service", service)
            .set("backend", format!("http://{backend}"));
    }
    for (name, value) in settings {
        config = config.set(name, value.clone());
    }
    let config = config.build().expect("the settings are valid");
    Daemon::open(config).await.expect("the daemon starts")
}
