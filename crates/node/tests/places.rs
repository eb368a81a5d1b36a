//! Tests that requests reach only backend servers in regions and availability zones
//! to which they may go.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::store::Store;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

mod harness;

use harness::Action;
use harness::Harness;
use harness::Logging;
use harness::Options;
use harness::Server;
use harness::configuration;
use harness::engine::Agent;
use harness::engine::Behavior;
use harness::engine::Engine;
use harness::engine::MODEL;
use harness::engine::READ_PER_S;
use harness::exchange;
use harness::field;
use harness::listed;
use harness::request;
use harness::resting::Mood;
use harness::resting::RestingServer;
use harness::status;
use harness::traffic;
use harness::traffic::Answer;

/// The time between two requests to the entry.
const INTERVAL: Duration = Duration::from_millis(20);
/// The time in which an entry learns of an operator's row.
const LEARNED: Duration = Duration::from_millis(1_000);
/// The longest time to the refusal of a request that no server may take.
const REFUSAL_TIME_MAX: Duration = Duration::from_millis(100);
/// The time limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// An entry in zone `za` and its servers.
struct Site {
    store: Store,
    address: SocketAddr,
    entry: Harness,
}

impl Site {
    /// Starts an entry for the servers, which are listed in zones.
    async fn start(servers: &[(SocketAddr, &str)], configuration: &Value) -> Site {
        let localhost = SocketAddr::from(([127, 0, 0, 1], 0));
        let (store, address) = Store::spawn(localhost).await.unwrap();
        for (index, (address, zone)) in servers.iter().enumerate() {
            let row = listed(*address, zone, "ready");
            store.put("servers", &format!("s{index}"), &row);
        }
        store.put("op", "config", configuration);
        let entry = start_entry(&store, address, "edge-1").await;
        Site {
            store,
            address,
            entry,
        }
    }

    async fn send_for(&self, length: Duration) -> Vec<Answer> {
        traffic::send_for(&[self.entry.callers], INTERVAL, length).await
    }

    fn evacuate(&self, zone: &str) {
        let row = json!({"zone": zone});
        self.store.put("op", &format!("evacuate/{zone}"), &row);
    }

    fn take_back(&self, zone: &str) {
        self.store.remove("op", &format!("evacuate/{zone}"));
    }
}

async fn start_entry(store: &Store, address: SocketAddr, name: &str) -> Harness {
    let options = Options {
        logging: Logging::Captured,
        ..Options::default()
    };
    Harness::start_on(store, address, name, &options).await
}

async fn answering() -> RestingServer {
    RestingServer::spawn(Mood::Answers(String::new())).await
}

/// A configuration whose routes allow some regions.
fn bound(version: u64, regions: &[&str]) -> Value {
    let mut configuration = configuration(version);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["regionsAllowed"] = json!(regions);
    }
    configuration
}

/// How many requests have arrived at a server since a moment.
fn arrived(server: &RestingServer, since: Instant) -> usize {
    server.count_in(since, Duration::ZERO, TIMEOUT * 10)
}

fn assert_refused_at_once(answers: &[Answer]) {
    assert!(!answers.is_empty());
    for answer in answers {
        assert_eq!(status(&answer.text), 503, "{answer:?}");
        assert!(answer.took < REFUSAL_TIME_MAX, "{answer:?}");
        let retry_after = field(&answer.text, "retry-after").expect("it is there");
        let retry_after: f64 = retry_after.parse().expect("it is a number");
        assert!(retry_after > 0.0, "{retry_after}");
    }
}

/// Guards against requests that leave their region because the servers there are dead,
/// or fail.
#[tokio::test(flavor = "multi_thread")]
async fn a_bound_request_is_not_sent_elsewhere_when_its_servers_fail() {
    let start = Instant::now();
    let dead = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let dead_address = dead.local_addr().unwrap();
    drop(dead);
    let failing = Server::spawn(vec![Action::Close]).await;
    let other = answering().await;
    let servers = [
        (dead_address, "za"),
        (failing.address, "za"),
        (other.address, "zb"),
    ];
    let site = Site::start(&servers, &bound(1, &["ra"])).await;
    let answers = site.send_for(Duration::from_secs(2)).await;
    assert!(!failing.requests().is_empty(), "requests were tried");
    assert!(answers.iter().all(|answer| status(&answer.text) >= 500));
    assert_eq!(arrived(&other, start), 0);
}

/// Guards against callers that wait for servers that cannot come, and against requests
/// that are served where one of route and customer does not allow it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_an_allowed_server_are_refused_at_once() {
    let start = Instant::now();
    let (here, there) = (answering().await, answering().await);
    let servers = [(here.address, "za"), (there.address, "zb")];
    let mut apart = bound(1, &["ra"]);
    apart["tenants"][0]["regionsAllowed"] = json!(["rb"]);
    let site = Site::start(&servers, &apart).await;
    assert_refused_at_once(&site.send_for(Duration::from_millis(300)).await);
    site.store.put("op", "config", &bound(2, &["nowhere"]));
    sleep(LEARNED).await;
    assert_refused_at_once(&site.send_for(Duration::from_millis(300)).await);
    assert_eq!(arrived(&here, start) + arrived(&there, start), 0);
    let reports = site.entry.wait_lines("E7144", 2).await;
    assert_eq!(reports.len(), 2, "one for each configuration: {reports:?}");
    site.store.put("op", "config", &bound(3, &["rb"]));
    sleep(LEARNED).await;
    let answers = site.send_for(Duration::from_millis(300)).await;
    assert!(answers.iter().all(|answer| status(&answer.text) == 200));
    assert_eq!(arrived(&here, start), 0);
}

/// Guards against a faulty list of regions that opens all regions, or that takes a
/// configuration out of force.
#[tokio::test(flavor = "multi_thread")]
async fn faulty_regions_change_nothing() {
    let start = Instant::now();
    let (here, there) = (answering().await, answering().await);
    let servers = [(here.address, "za"), (there.address, "zb")];
    let site = Site::start(&servers, &bound(1, &["rb"])).await;
    for (version, faulty) in [(2, json!("ra")), (3, json!([7]))] {
        let mut configuration = bound(version, &["ra"]);
        configuration["routes"][0]["regionsAllowed"] = faulty;
        site.store.put("op", "config", &configuration);
    }
    site.entry.wait_lines("E7021", 1).await;
    let answers = site.send_for(Duration::from_millis(300)).await;
    assert!(answers.iter().all(|answer| status(&answer.text) == 200));
    assert_eq!(arrived(&here, start), 0);
}

/// Guards against requests to servers of an evacuated zone while many come, and against
/// a zone that stays empty after it was taken back.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let (here, there) = (answering().await, answering().await);
    let servers = [(here.address, "za"), (there.address, "zb")];
    let site = Site::start(&servers, &configuration(1)).await;
    let begin = Instant::now();
    site.send_for(Duration::from_millis(300)).await;
    assert!(arrived(&here, begin) > 0, "the nearest server is used");
    site.evacuate("za");
    let evacuated = Instant::now();
    let answers = site.send_for(LEARNED * 3).await;
    assert!(answers.iter().all(|answer| status(&answer.text) == 200));
    assert_eq!(here.count_in(evacuated, LEARNED, LEARNED * 4), 0);
    let newcomer = start_entry(&site.store, site.address, "edge-2").await;
    let started = Instant::now();
    let callers = [newcomer.callers];
    let answers = traffic::send_for(&callers, INTERVAL, LEARNED).await;
    assert!(answers.iter().all(|answer| status(&answer.text) == 200));
    assert_eq!(arrived(&here, started), 0, "an entry that starts knows it");
    assert_eq!(site.entry.metric("snipewinch_evacuated_zones").await, 1);
    site.take_back("za");
    sleep(LEARNED).await;
    let back = Instant::now();
    site.send_for(Duration::from_millis(300)).await;
    assert!(arrived(&here, back) > 0);
    assert_eq!(site.entry.metric("snipewinch_evacuated_zones").await, 0);
}

/// Guards against callers that wait while all zones of a service are evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_while_all_zones_are_evacuated() {
    let (here, there) = (answering().await, answering().await);
    let servers = [(here.address, "za"), (there.address, "zb")];
    let site = Site::start(&servers, &configuration(1)).await;
    site.evacuate("za");
    site.evacuate("zb");
    sleep(LEARNED).await;
    let begin = Instant::now();
    assert_refused_at_once(&site.send_for(LEARNED).await);
    assert_eq!(arrived(&here, begin) + arrived(&there, begin), 0);
}

/// Guards against a zone that is filled again by a store that was restored from a
/// backup without the evacuation.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_store_does_not_fill_an_evacuated_zone() {
    let (here, there) = (answering().await, answering().await);
    let servers = [(here.address, "za"), (there.address, "zb")];
    let site = Site::start(&servers, &configuration(1)).await;
    let backup = site.store.backup();
    site.evacuate("za");
    site.entry.wait_lines("E7140", 1).await;
    let evacuated = Instant::now();
    site.store.restore(&backup);
    site.entry.wait_lines("E7142", 1).await;
    site.send_for(LEARNED).await;
    assert_eq!(arrived(&here, evacuated), 0);
}

/// An engine with an agent that is listed in a zone.
async fn spawn_engine(site: &Site, index: u8, zone: &str, behavior: Behavior) -> (Engine, Agent) {
    let id = format!("s{index}");
    let ip = Ipv4Addr::new(127, 0, 2, 2 + index).into();
    let engine = Engine::spawn(ip, &id, behavior).await;
    let (name, port) = (format!("side-{index}"), site.entry.peers.port());
    let agent = Agent::spawn(&engine, &name, port, site.address, 8_000);
    let mut row = listed(engine.address, zone, "ready");
    row["models"] = json!([{"name": MODEL, "version": 1, "adapters": []}]);
    site.store.put("servers", &id, &row);
    (engine, agent)
}

/// A configuration whose service runs engines with one slot.
fn with_engine(mut configuration: Value) -> Value {
    configuration["services"][0]["engine"] = json!({
        "slots": 1, "stride": 1, "models": [{"name": MODEL, "warmS": 0.5}],
        "step_ms": 20.0, "per_seq_ms": 0.5, "context_per_k": 0.0, "read_per_s": READ_PER_S,
        "usual": {"prompt": 400.0, "answer": 3.0},
    });
    configuration
}

/// Sends requests for streams at once.
fn ask_streams(site: &Site, name: &str, count: usize) -> JoinSet<Answer> {
    let callers = site.entry.callers;
    let ask = |index| {
        let text = request("POST", "/draft/1", "X-Token-Usage: 40,3\r\n", "");
        let text = text.replace("a1", &format!("{name}-{index}"));
        async move {
            let sent = Instant::now();
            let text = exchange(callers, &text).await;
            let took = sent.elapsed();
            Answer { text, took }
        }
    };
    (0..count).map(ask).collect()
}

/// Sends streams until an engine runs them.
async fn wait_serving(site: &Site, engines: &[&Engine]) {
    let waiting = async {
        while engines.iter().any(|engine| engine.runs().is_empty()) {
            ask_streams(site, "w", 2).join_all().await;
        }
    };
    timeout(TIMEOUT, waiting).await.expect("all engines serve");
}

/// Guards against requests that wait for a slot and get one in a region that a newer
/// configuration has closed to them.
#[tokio::test(flavor = "multi_thread")]
async fn a_narrower_configuration_holds_for_requests_that_wait() {
    let site = Site::start(&[], &with_engine(configuration(1))).await;
    let slow = Behavior {
        events: 30,
        event_interval: Duration::from_millis(50),
        ..Behavior::default()
    };
    let (engine, _agent) = spawn_engine(&site, 0, "zb", slow).await;
    wait_serving(&site, &[&engine]).await;
    let before = engine.runs().len();
    let asked = ask_streams(&site, "n", 4);
    sleep(Duration::from_millis(100)).await;
    let narrowed = with_engine(bound(2, &["ra"]));
    site.store.put("op", "config", &narrowed);
    let answers = asked.join_all().await;
    let runs = engine.runs();
    assert_eq!(runs.len() - before, 1, "only the one that had a slot");
    let refused = answers.iter().filter(|one| status(&one.text) == 503);
    let for_region = refused.filter(|one| one.text.contains("region"));
    assert_eq!(for_region.count(), 3, "{answers:?}");
}

/// Guards against slots of an evacuated zone's engines that are demanded, or used, and
/// against engines that stay without requests.
#[tokio::test(flavor = "multi_thread")]
async fn engines_of_an_evacuated_zone_get_nothing_until_it_is_taken_back() {
    let site = Site::start(&[], &with_engine(configuration(1))).await;
    let (here, _agent) = spawn_engine(&site, 0, "za", Behavior::default()).await;
    let (there, _other) = spawn_engine(&site, 1, "zb", Behavior::default()).await;
    wait_serving(&site, &[&here, &there]).await;
    site.evacuate("za");
    site.entry.wait_lines("E7140", 1).await;
    let before = (here.runs().len(), there.runs().len());
    for round in 0..10 {
        ask_streams(&site, &format!("e{round}"), 4).join_all().await;
    }
    assert_eq!(here.runs().len(), before.0);
    assert!(there.runs().len() > before.1);
    site.take_back("za");
    site.entry.wait_lines("E7141", 1).await;
    for round in 0..10 {
        ask_streams(&site, &format!("b{round}"), 4).join_all().await;
    }
    assert!(here.runs().len() > before.0);
}
