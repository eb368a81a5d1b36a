//! Tests entries beside engines whose agents are silent.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use standin::store::Store;
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
use harness::proxy::Link;
use harness::proxy::Proxy;
use harness::request;

/// How long an engine may begin requests on older weights.
const VERSION_MS: u32 = 8_000;
/// The time limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The time between two requests.
const INTERVAL: Duration = Duration::from_millis(25);
/// The time after which an entry can know that a host does not answer: a request
/// that is sent there, and the time within which agents answer.
const KNOWN_AFTER: Duration = Duration::from_millis(800);
/// How long hosts are frozen, or agents stopped.
const OUTAGE: Duration = Duration::from_secs(3);

/// An engine with its agent, behind a relay.
struct Host {
    engine: Engine,
    proxy: Proxy,
    agent: Agent,
}

/// An entry with engines.
struct Site {
    store: Store,
    entry: Harness,
    hosts: Vec<Host>,
}

/// A request, by its id, with the moment at which it was sent.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    at: Instant,
    is_answered: bool,
}

impl Site {
    async fn start(engines: usize) -> Site {
        Site::start_with(engines, json!({})).await
    }

    /// Starts with more fields of the service.
    async fn start_with(engines: usize, terms: Value) -> Site {
        let (store, address) = Store::spawn((Ipv4Addr::LOCALHOST, 0).into()).await.unwrap();
        let mut configuration = configuration(1);
        configuration["services"][0]["engine"] = json!({
            "slots": 4, "stride": 1, "models": [{"name": MODEL, "warmS": 0.5}],
            "step_ms": 20.0, "per_seq_ms": 0.5, "context_per_k": 0.0, "read_per_s": READ_PER_S,
            "usual": {"prompt": 400.0, "answer": 3.0},
        });
        for (name, value) in terms.as_object().into_iter().flatten() {
            configuration["services"][0][name] = value.clone();
        }
        store.put("op", "config", &configuration);
        let version = json!({"model": MODEL, "version": 1});
        store.put("op", &format!("version/{MODEL}"), &version);
        let entry = Harness::start_on(&store, address, "edge-1", &Options::default()).await;
        let mut hosts = Vec::new();
        for index in 0..engines {
            let id = format!("s{index}");
            let ip = Ipv4Addr::new(127, 0, 1, 2 + index as u8).into();
            let engine = Engine::spawn(ip, &id, Behavior::default()).await;
            let proxy = Proxy::spawn(ip, engine.address).await;
            let name = format!("side-{index}");
            let agent = Agent::spawn(&engine, &name, entry.peers.port(), address, VERSION_MS);
            let mut row = listed(proxy.address, "za", "ready");
            row["models"] = json!([{"name": MODEL, "version": 1, "adapters": []}]);
            store.put("servers", &id, &row);
            hosts.push(Host {
                engine,
                proxy,
                agent,
            });
        }
        let site = Site {
            store,
            entry,
            hosts,
        };
        site.wait_serving().await;
        site
    }

    /// Waits until each engine has run a request.
    async fn wait_serving(&self) {
        let waiting = async {
            let mut index = 0;
            while self.hosts.iter().any(|host| host.engine.runs().is_empty()) {
                let asked = (0..4).map(|part| ask(self.entry.callers, format!("w{index}-{part}")));
                asked.collect::<JoinSet<Sent>>().join_all().await;
                index += 1;
            }
        };
        timeout(TIMEOUT, waiting).await.expect("all engines serve");
    }

    /// Sends requests from now on for a while.
    async fn send_for(&self, span: Duration) -> Vec<Sent> {
        let until = Instant::now() + span;
        let mut asked = JoinSet::new();
        let mut index = 0;
        while Instant::now() < until {
            asked.spawn(ask(self.entry.callers, format!("t{index}")));
            index += 1;
            sleep(INTERVAL).await;
        }
        asked.join_all().await
    }
}

async fn ask(callers: SocketAddr, id: String) -> Sent {
    let text = request("GET", "/read/1", "X-Token-Usage: 100,3\r\n", "");
    let text = text.replacen("X-Attempt-Id: a1", &format!("X-Attempt-Id: {id}"), 1);
    let at = Instant::now();
    let answer = exchange(callers, &text).await;
    Sent {
        id,
        at,
        is_answered: answer.contains("data: 3"),
    }
}

/// Guards against runs that go on after their callers have left: requests were sent
/// one after the other to an engine whose host is frozen, since its agent is silent.
#[tokio::test]
async fn requests_are_sent_to_an_engine_whose_host_is_known_not_to_answer() {
    let site = Site::start(2).await;
    let frozen = &site.hosts[0];
    frozen.agent.signal("-STOP");
    frozen.proxy.set_link(Link::Frozen);
    let known = Instant::now() + KNOWN_AFTER;
    let sent = site.send_for(OUTAGE).await;
    frozen.agent.signal("-CONT");
    frozen.proxy.set_link(Link::Up);
    sleep(Duration::from_millis(500)).await;
    let runs = frozen.engine.runs();
    let late = sent.iter().filter(|one| one.at > known);
    let held_up: Vec<&Sent> = late
        .filter(|one| runs.iter().any(|run| run.id == one.id))
        .collect();
    assert!(held_up.is_empty(), "{} held up: {held_up:?}", held_up.len());
}

/// Guards against an engine that stays unused because its agent has stopped.
#[tokio::test]
async fn a_sound_engine_is_left_unused_while_its_agent_does_not_answer() {
    let site = Site::start(1).await;
    site.hosts[0].agent.signal("-STOP");
    let known = Instant::now() + KNOWN_AFTER;
    let sent = site.send_for(OUTAGE).await;
    let late: Vec<&Sent> = sent.iter().filter(|one| one.at > known).collect();
    let answered = late.iter().filter(|one| one.is_answered).count();
    // One request at a time, of 60 ms and more each, and of those that wait.
    assert!(answered >= 12, "{answered} of {}", late.len());
}

/// Guards against a cold engine that crashes: all entries passed its silent agent by,
/// each with one request after the other.
#[tokio::test]
async fn a_cold_engine_gets_requests_past_its_silent_agent() {
    let terms = json!({"coldStartS": 2.0, "coldPerS": 4.0});
    let site = Site::start_with(1, terms).await;
    let host = &site.hosts[0];
    // It becomes cold without a start.
    let mut row = listed(host.proxy.address, "za", "ready");
    row["models"] = json!([{"name": MODEL, "version": 1, "adapters": []}]);
    row["coldLeftMs"] = json!(30_000);
    row["seq"] = json!(2);
    host.agent.signal("-STOP");
    site.store.put("servers", "s0", &row);
    sleep(Duration::from_millis(500)).await;
    let before = host.engine.runs().len();
    site.send_for(OUTAGE).await;
    let runs = host.engine.runs().len() - before;
    assert!(runs <= 4 * OUTAGE.as_secs() as usize, "{runs} runs");
}
