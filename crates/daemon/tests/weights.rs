//! The distribution of weights over real sockets: daemons and stand-ins in one
//! process, one case per fault. The digests that the stand-in engines report
//! decide what was loaded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use daemon::Config;
use daemon::Daemon;
use daemon::Role;
use serde_json::Value;
use serde_json::json;
use snipewinch::Digest;
use snipewinch::configuration::Record;
use snipewinch::weights::manifest::Manifest;
use standin::client::Client;
use standin::engine;
use standin::platform;

const AGENTS: usize = 6;
const REGIONS: usize = 2;
const CHUNK_BYTES: u32 = 16 << 10;
const SIZE_BYTES: usize = 1 << 20;
const FLEET_KEY: &str = "a fleet key for tests only";
/// How long all engines may take to load a version before the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

struct Case {
    name: &'static str,
    /// Faults of the platform while the second version is distributed.
    faults: Value,
    /// Whether the engines refuse orders with an old fencing number.
    check_fence: bool,
    /// An agent that shuts down while the second version is distributed.
    stopped_agent: Option<usize>,
    /// Whether a third version is published right after the second.
    replaced: bool,
    /// The maximum number of copies of the last version that the origin may
    /// send.
    origin_copies_max: f64,
}

fn case(name: &'static str) -> Case {
    Case {
        name,
        faults: json!({}),
        check_fence: true,
        stopped_agent: None,
        replaced: false,
        origin_copies_max: 1.3,
    }
}

struct Fleet {
    platform: SocketAddr,
    engines: engine::Ready,
    _entry: Daemon,
    agents: BTreeMap<usize, Daemon>,
    client: Client,
    versions: u64,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Fleet {
    async fn open(check_fence: bool) -> Fleet {
        let platform = platform::spawn(platform::Config {
            listen: any_port(),
            origin_mbit: 80.0,
            origin_readers_max: 4,
            membership_lag: Duration::ZERO,
            seed: 1,
        });
        let platform = platform.await.expect("the platform starts");
        let engines = engine::spawn(engine::Config {
            listen: any_port(),
            count: AGENTS,
            slots: 4,
            step_duration: Duration::from_millis(1),
            prefill_per_block: Duration::ZERO,
            swap_duration: Duration::from_millis(20),
            load_report_lag: Duration::ZERO,
            cache_blocks: 16,
            check_fence,
        });
        let engines = engines.await.expect("the engines start");
        let entry = start(platform, Role::Entry, "entry-0", 0, None).await;
        let mut fleet = Fleet {
            platform,
            _entry: entry,
            agents: BTreeMap::new(),
            client: Client::new(),
            versions: 0,
            engines,
        };
        for index in 0..AGENTS {
            let backend = fleet.engines.engines[index];
            let name = format!("agent-{index}");
            let region = index % REGIONS;
            let agent = start(platform, Role::Agent, &name, region, Some(backend)).await;
            let member = json!({"host": name, "role": "agent", "zone": "z",
                "region": format!("r{region}"), "service": "engine",
                "address": agent.peer_address(), "state": "live"});
            let path = format!("/membership/{name}");
            fleet.put(&path, member.to_string()).await;
            fleet.agents.insert(index, agent);
        }
        fleet
    }

    async fn put(&self, path: &str, body: impl Into<Bytes>) {
        let answer = self.client.put(self.platform, path, body).await;
        let answer = answer.expect("an answer");
        assert!(answer.status.is_success(), "{path}: {answer:?}");
    }

    async fn post_admin(&self, address: SocketAddr, path: &str, body: &Value) {
        let answer = self.client.post(address, path, body).await;
        let answer = answer.expect("an answer");
        assert!(answer.status.is_success(), "{path}: {answer:?}");
    }

    /// Publishes weights as the next version of the model.
    async fn publish(&mut self, weights: &[u8]) -> Manifest {
        self.versions += 1;
        let version = self.versions.to_string();
        let manifest =
            Manifest::build("verse", &version, CHUNK_BYTES, weights).expect("a manifest");
        let digest = manifest.digest();
        let object = format!("/objects/manifests/{digest}");
        self.put(&object, manifest.to_bytes()).await;
        self.put(&format!("/origin/{digest}"), weights.to_vec())
            .await;
        let document = json!({
            "fleet": "weights",
            "models": [{"name": "verse", "version": version, "manifest": digest}],
            "services": [{"name": "engine", "backend": {"engine": {"model": "verse"}}}],
            "rollout": {"width_percent": 50},
        });
        let record = Record {
            version: self.versions,
            operation: format!("test-{version}").into(),
            operator: "test".into(),
            at_ms: 1,
            note: String::new(),
            text: document.to_string(),
        };
        let registry = prometheus::Registry::new();
        let base = format!("http://{}", self.platform);
        let platform = ::platform::Client::open(&base, &registry);
        let current = platform
            .current_for_publishing()
            .await
            .expect("the current row");
        let published = platform.publish(&record, current.revision).await;
        published.expect("the document is published");
        manifest
    }

    /// Waits until the engine of every running agent reports these weights.
    async fn wait_for_engines(&self, digest: &Digest, name: &str) {
        let started = Instant::now();
        let digest = digest.to_string();
        loop {
            let answer = self.client.get(self.engines.admin, "/admin/states").await;
            let states = answer.expect("an answer").json();
            let is_loaded = |index: &usize| {
                let models = states[index]["models"].as_array();
                models.is_some_and(|all| all.iter().any(|one| one["given_digest"] == *digest))
            };
            if self.agents.keys().all(is_loaded) {
                return;
            }
            let late = started.elapsed() > WAIT_TIMEOUT;
            assert!(!late, "{name}: {states}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn origin_bytes(&self, manifest: &Manifest) -> u64 {
        let answer = self.client.get(self.platform, "/admin/counters").await;
        let counters = answer.expect("an answer").json();
        let digest = manifest.digest().to_string();
        counters["origin_bytes"][digest].as_u64().unwrap_or(0)
    }
}

async fn start(
    platform: SocketAddr,
    role: Role,
    name: &str,
    region: usize,
    backend: Option<SocketAddr>,
) -> Daemon {
    let mut config = Config::builder(name, role)
        .fleet_key(FLEET_KEY)
        .platform(&format!("http://{platform}"))
        .set("zone", "z")
        .set("region", format!("r{region}"))
        .set("listen-peers", "127.0.0.1:0")
        .set("listen-http", "127.0.0.1:0")
        .set("leave-grace-ms", "10")
        .set("origin-region", "r0")
        .set("region-mbit", "80")
        .set("upload-mbit", "80");
    if let Some(backend) = backend {
        config = config
            .set("service", "engine")
            .set("backend", format!("http://{backend}"));
    }
    let config = config.build().expect("the settings are valid");
    Daemon::open(config).await.expect("the daemon starts")
}

fn weights(seed: u32) -> Vec<u8> {
    let words =
        (0..SIZE_BYTES as u32 / 4).map(|place| (place ^ seed << 20).wrapping_mul(2_654_435_761));
    words.flat_map(u32::to_le_bytes).collect()
}

async fn run(case: Case) {
    let name = case.name;
    let mut fleet = Fleet::open(case.check_fence).await;
    let first = fleet.publish(&weights(1)).await;
    fleet.wait_for_engines(&first.weights_digest, name).await;
    fleet
        .post_admin(fleet.platform, "/admin/faults", &case.faults)
        .await;
    let mut last = fleet.publish(&weights(2)).await;
    if let Some(index) = case.stopped_agent {
        let agent = fleet.agents.remove(&index).expect("a running agent");
        agent.shutdown().await;
    }
    if case.replaced {
        last = fleet.publish(&weights(3)).await;
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    // Faults that a request does not name stay as they are.
    let no_faults = json!({
        "origin": {"down": false, "corrupt_percent": 0},
        "objects": {"fail_percent": 0},
    });
    fleet
        .post_admin(fleet.platform, "/admin/faults", &no_faults)
        .await;
    fleet.wait_for_engines(&last.weights_digest, name).await;
    let copies = fleet.origin_bytes(&last).await as f64 / SIZE_BYTES as f64;
    assert!(copies <= case.origin_copies_max, "{name}: {copies} copies");
    for agent in std::mem::take(&mut fleet.agents).into_values() {
        agent.shutdown().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_engine_loads_the_last_version_despite_faults() {
    let cases = [
        case("no fault"),
        Case {
            check_fence: false,
            replaced: true,
            ..case("engines ignore fencing numbers and a version is replaced")
        },
        Case {
            faults: json!({"origin": {"corrupt_percent": 5}}),
            origin_copies_max: 2.0,
            ..case("the origin sends corrupt chunks")
        },
        Case {
            faults: json!({"origin": {"down": true}, "objects": {"fail_percent": 50}}),
            ..case("the origin is down and the object store is unreliable")
        },
        Case {
            stopped_agent: Some(2),
            origin_copies_max: 2.0,
            ..case("an agent shuts down during the distribution")
        },
    ];
    for case in cases {
        run(case).await;
    }
}
