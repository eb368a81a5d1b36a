//! Tests by which ways a request may begin on weights that are too old.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::store::Store;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

mod harness;

use harness::Harness;
use harness::Options;
use harness::configuration;
use harness::engine::Agent;
use harness::engine::Behavior;
use harness::engine::Engine;
use harness::engine::MODEL;
use harness::engine::READ_PER_S;
use harness::exchange;
use harness::listed;
use harness::request;

/// How long after a publication requests may begin on older weights.
const BOUND: Duration = Duration::from_secs(2);
/// The time limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The padding of events that fill the buffers of a connection soon, in bytes.
const PADDING: usize = 32 << 10;

/// An engine with its agent.
struct Host {
    engine: Engine,
    _agent: Agent,
}

/// An entry, and engines that hold the first version of the weights.
struct Site {
    store: Store,
    store_address: SocketAddr,
    entry: Harness,
    hosts: Vec<Host>,
}

impl Site {
    async fn start(configuration: &Value) -> Site {
        let (store, store_address) = Store::spawn((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
        store.put("op", "config", configuration);
        let options = Options {
            version_ms: BOUND.as_millis() as u32,
            ..Options::default()
        };
        store.put("op", &format!("version/{MODEL}"), &published(1));
        let entry = Harness::start_on(&store, store_address, "edge-1", &options).await;
        Site {
            store,
            store_address,
            entry,
            hosts: Vec::new(),
        }
    }

    async fn add_host(&mut self, behavior: Behavior) {
        let index = self.hosts.len();
        let ip = Ipv4Addr::new(127, 0, 0, 2 + index as u8).into();
        let id = format!("s{index}");
        let engine = Engine::spawn(ip, &id, behavior).await;
        let port = self.entry.peers.port();
        let bound = BOUND.as_millis() as u32;
        let agent = Agent::spawn(
            &engine,
            &format!("side-{index}"),
            port,
            self.store_address,
            bound,
        );
        let mut row = listed(engine.address, "za", "ready");
        row["models"] = json!([{"name": MODEL, "version": behavior.version, "adapters": []}]);
        self.store.put("servers", &id, &row);
        self.hosts.push(Host {
            engine,
            _agent: agent,
        });
    }

    /// Waits until each engine has begun a request.
    async fn wait_serving(&self) {
        let waiting = async {
            while self.hosts.iter().any(|host| host.engine.runs().is_empty()) {
                exchange(self.entry.callers, &read_request()).await;
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(TIMEOUT, waiting).await.expect("all engines serve");
    }

    fn publish(&self, version: u64) -> Instant {
        let key = format!("version/{MODEL}");
        self.store.put("op", &key, &published(version));
        Instant::now()
    }

    /// Asserts that no request began on the first version after the bound of a
    /// publication.
    #[track_caller]
    fn assert_none_late(&self, acknowledged: Instant) {
        let runs = self.hosts.iter().flat_map(|host| host.engine.runs());
        let begun: Vec<_> = runs
            .filter_map(|run| Some((run.id, run.begin?)))
            .filter(|(_, begin)| begin.version == 1)
            .collect();
        let late: Vec<(String, Duration)> = begun
            .iter()
            .filter_map(|(id, begin)| {
                let late = begin.at.checked_duration_since(acknowledged + BOUND)?;
                Some((id.clone(), late))
            })
            .collect();
        assert!(
            late.is_empty(),
            "{} of {} late: {late:?}",
            late.len(),
            begun.len()
        );
    }
}

fn published(version: u64) -> Value {
    json!({"model": MODEL, "version": version})
}

fn engine_configuration() -> Value {
    let mut configuration = configuration(1);
    configuration["services"][0]["engine"] = json!({
        "slots": 4, "stride": 1, "models": [{"name": MODEL, "warmS": 0.5}],
        "step_ms": 20.0, "per_seq_ms": 0.5, "context_per_k": 0.0, "read_per_s": READ_PER_S,
        "usual": {"prompt": 400.0, "answer": 3.0},
    });
    for route in configuration["routes"].as_array_mut().expect("a list") {
        route["goalMs"] = 1_000.into();
    }
    configuration
}

fn read_request() -> String {
    request("GET", "/read/", "X-Token-Usage: 100,3\r\n", "x")
}

/// Sends a request over a connection from which nothing is read.
async fn send_unread(callers: SocketAddr, text: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut stream = socket.connect(callers).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at.into()).await;
}

/// Guards against a withdrawal that waits for a caller which reads slowly.
#[tokio::test]
async fn a_silent_attempt_begins_on_old_weights_while_the_caller_of_another_reads_nothing() {
    let slow = Behavior {
        wait: BOUND + Duration::from_millis(400),
        ..Behavior::default()
    };
    let mut site = Site::start(&engine_configuration()).await;
    site.add_host(slow).await;
    site.wait_serving().await;
    let at = site.publish(2);
    sleep_until(at + Duration::from_millis(50)).await;
    let text = request("POST", "/draft/", "X-Token-Usage: 100,3\r\n", "x");
    let caller = send_unread(site.entry.callers, &text).await;
    sleep_until(at + Duration::from_millis(150)).await;
    site.add_host(Behavior {
        version: 2,
        wait: Duration::ZERO,
        events: 4_000,
        event_interval: Duration::from_millis(1),
        padding: PADDING,
        ..Behavior::default()
    })
    .await;
    sleep_until(at + BOUND + Duration::from_millis(1_000)).await;
    drop(caller);
    let [silent, answering] = &site.hosts[..] else {
        panic!("two hosts");
    };
    let withdrawn = silent.engine.runs().last().unwrap().withdrawn;
    println!(
        "withdrawn {:?}",
        withdrawn.map(|one| one.duration_since(at))
    );
    assert!(!answering.engine.runs().is_empty(), "no second attempt");
    site.assert_none_late(at);
}

/// Guards against requests that count as current for good since their service had no
/// engine as they were sent.
#[tokio::test]
async fn a_request_begins_on_old_weights_as_its_service_had_no_engine_when_it_was_sent() {
    let slow = Behavior {
        wait: BOUND + Duration::from_millis(700),
        ..Behavior::default()
    };
    let mut plain = configuration(1);
    plain["routes"][0]["goalMs"] = 1_000.into();
    let mut site = Site::start(&plain).await;
    site.add_host(slow).await;
    site.wait_serving().await;
    let callers = site.entry.callers;
    let mut asked = JoinSet::new();
    for path in ["/read/", "/draft/"] {
        let method = if path == "/read/" { "GET" } else { "POST" };
        let text = request(method, path, "X-Token-Usage: 100,3\r\n", "x");
        asked.spawn(async move { exchange(callers, &text).await });
    }
    sleep(Duration::from_millis(100)).await;
    assert_eq!(site.hosts[0].engine.runs().len(), 3, "requests sent");
    let mut configuration = engine_configuration();
    configuration["version"] = 2.into();
    site.store.put("op", "config", &configuration);
    let at = site.publish(2);
    asked.join_all().await;
    site.assert_none_late(at);
}

/// Guards against an engine that holds less than it was believed to hold when the request
/// was sent: that belief counted until the request began.
#[tokio::test]
async fn a_request_begins_on_older_weights_than_its_engine_was_believed_to_hold() {
    let slow = Behavior {
        wait: BOUND + Duration::from_millis(400),
        ..Behavior::default()
    };
    let mut site = Site::start(&engine_configuration()).await;
    site.add_host(slow).await;
    site.wait_serving().await;
    let at = site.publish(2);
    site.hosts[0].engine.set_version(2);
    sleep_until(at + Duration::from_millis(600)).await;
    let callers = site.entry.callers;
    let mut asked = JoinSet::new();
    for path in ["/grant/", "/draft/"] {
        let text = request("POST", path, "X-Token-Usage: 100,3\r\n", "x");
        asked.spawn(async move { exchange(callers, &text).await });
    }
    sleep_until(at + Duration::from_millis(800)).await;
    assert_eq!(site.hosts[0].engine.runs().len(), 3, "requests sent");
    site.hosts[0].engine.set_version(1);
    asked.join_all().await;
    site.assert_none_late(at);
}
