//! The steps of a load beside an engine that falls silent and then goes on.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use peer::FleetKey;
use platform::boot::Bounds;
use platform::boot::Settings;
use platform::chunk_origin::DigestList;
use platform::engine::Engine;
use platform::engine::Report;
use platform::follow::Change;
use platform::follow::Urgency;
use platform::http::Transport;
use platform::rows::Row;
use snipewinch::cutover;
use snipewinch::digest::Hash;
use snipewinch::engine_config::EngineConfig;
use snipewinch::grant;
use snipewinch::host::Identity;
use snipewinch::host::Role;
use snipewinch::membership::Member;
use snipewinch::membership::State;
use snipewinch::membership::View;
use snipewinch::route;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::DRAIN_TIMEOUT;
use super::Inherited;
use super::Loader;
use super::Milestones;
use super::POLL_INTERVAL;
use super::Staged;
use super::Timestamp;
use crate::agent::Agent;
use crate::agent::Target;
use crate::agent::chunks;
use crate::agent::open_links;
use crate::agent::slot_pool;
use crate::agent::slot_pool::SlotPool;
use crate::clock::Clock;
use crate::metrics::AgentMetrics;
use crate::shutdown::Phase;

const IDLE: &str = r#"{"models":[{"name":"m","version":2}],"active":0,"queued":0}"#;
const RUNNING: &str = r#"{"models":[{"name":"m","version":2}],"active":1,"queued":0}"#;
const OLD_IDLE: &str = r#"{"models":[{"name":"m","version":1}],"active":0,"queued":0}"#;

/// Starts an engine that answers each request with `report` after a silence
/// that ends `silence` from now.
async fn engine(report: &'static str, silence: Duration) -> SocketAddr {
    recorded_engine(report, silence).await.0
}

/// The first lines of the requests that an engine received.
type RequestLines = Rc<RefCell<Vec<String>>>;

/// Starts an engine like [`engine`] that records the requests.
async fn recorded_engine(report: &'static str, silence: Duration) -> (SocketAddr, RequestLines) {
    let lines = RequestLines::default();
    let recorded = lines.clone();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent_until = Instant::now() + silence;
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let recorded = recorded.clone();
            spawn_local(async move {
                let mut request = [0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut request).await {
                    let text = String::from_utf8_lossy(&request[..length]);
                    let line = text.lines().next().unwrap_or_default();
                    recorded.borrow_mut().push(line.into());
                    sleep_until(silent_until).await;
                    let length = report.len();
                    let response =
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{report}");
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, lines)
}

fn settings(backend: SocketAddr) -> Settings {
    Settings {
        identity: Identity {
            host: "agent".into(),
            incarnation: 1,
            role: Role::Agent,
            zone: "z".into(),
            region: "r".into(),
            service: Some("s".into()),
            address: "127.0.0.1:0".parse().unwrap(),
        },
        frontend: None,
        readiness: None,
        backend: Some(backend),
        peer_port: 0,
        regions: BTreeMap::new(),
        store: "127.0.0.1:1".parse().unwrap(),
        heartbeat: Duration::from_millis(1_200),
        link_mbit: 100.0,
        memory_bytes: 1 << 27,
        bounds: Bounds {
            shutdown_grace: Duration::from_secs(8),
            version_skew: Duration::from_secs(8),
            drain: Duration::from_secs(2),
            configuration_apply: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_burst: 10.0,
            cold_overage: 1.0,
            cold_burst: 0.0,
            evacuate: Duration::from_secs(5),
            recovery: Duration::from_secs(3),
        },
    }
}

async fn loader(backend: SocketAddr) -> Loader {
    let settings = settings(backend);
    let agent = Rc::new(Agent {
        clock: Clock::start(),
        service: "s".into(),
        engine: Engine::open(Transport::open(), backend),
        origin_transport: Transport::without_idle(),
        slot_pool: SlotPool::default(),
        operator_state: RefCell::default(),
        versions_doubted: Notify::new(),
        refused_version: Cell::default(),
        engine_config: RefCell::default(),
        listing: RefCell::default(),
        view: RefCell::default(),
        changed: Notify::new(),
        phase: watch::Sender::new(Phase::Running),
        bounds: Cell::new(settings.bounds),
        urgency: Urgency::default(),
        timeline: RefCell::default(),
        metrics: AgentMetrics::new(),
        settings,
    });
    let key = FleetKey::new("a key of tests, of no fleet at all");
    let (hub, inbox) = open_links(&agent, key, backend).await.unwrap();
    let (chunks, _task) = chunks::spawn(agent.clone(), hub, inbox.weights);
    Loader {
        agent,
        chunks,
        scanned: None,
        staged: Staged::default(),
        seen: Milestones::default(),
        completed: Milestones::default(),
        reported: None,
        inherited: Inherited::Unknown,
        doubt: None,
    }
}

fn report(json: &str) -> Report {
    serde_json::from_str(json).unwrap()
}

#[tokio::test]
async fn a_silent_engine_does_not_count_as_drained() {
    let silent = Duration::from_secs(3_600);
    let cases = [
        ("silent, never reported", RUNNING, silent, None, false),
        (
            "silent after it was idle",
            RUNNING,
            silent,
            Some(IDLE),
            false,
        ),
        (
            "busy since its last report",
            RUNNING,
            Duration::ZERO,
            Some(IDLE),
            false,
        ),
        ("idle", IDLE, Duration::ZERO, Some(RUNNING), true),
    ];
    let local = LocalSet::new();
    let run = local.run_until(async {
        for (name, answer, silence, last, is_drained) in cases {
            let loader = loader(engine(answer, silence).await).await;
            let now = loader.agent.clock.now();
            let last = last.map(report);
            loader.agent.slot_pool.apply_report(now, last, 4);
            let started = Instant::now();
            loader.drain().await;
            let ended_early = started.elapsed() < DRAIN_TIMEOUT;
            assert_eq!(ended_early, is_drained, "{name}: {:?}", started.elapsed());
        }
    });
    run.await;
}

#[tokio::test]
async fn a_silent_engine_does_not_end_the_wait_for_its_load() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let loader = loader(engine(IDLE, Duration::from_millis(1_500)).await).await;
        let now = loader.agent.clock.now();
        let last = Some(report(OLD_IDLE));
        loader.agent.slot_pool.apply_report(now, last, 4);
        loader.wait_until_loaded(2).await;
        let report = loader.agent.slot_pool.report().unwrap();
        assert_eq!(slot_pool::loaded_version(&report), 2);
    });
    run.await;
}

/// Makes a version of one chunk known, which an engine that answers `bytes` has
/// staged.
fn add_version(loader: &Loader, version: u64, bytes: &str) {
    add_chunks(loader, version, &[bytes]);
}

/// Makes a version of these chunks known, which are equally long.
fn add_chunks(loader: &Loader, version: u64, chunks: &[&str]) {
    let target = Target {
        model: "m".into(),
        version,
        learned_at: Duration::ZERO,
        origin: route::Origin {
            address: "127.0.0.1:1".parse().unwrap(),
            zone: None,
            link_mbit: 1.0,
        },
    };
    let list = DigestList {
        model: "m".into(),
        version,
        chunk_bytes: chunks[0].len() as u32,
        digests: chunks
            .iter()
            .map(|bytes| Hash::Sha256.digest(bytes.as_bytes()).to_string().into())
            .collect(),
    };
    loader.chunks.add_list(&loader.agent, target, &list);
}

#[tokio::test]
async fn staged_chunks_of_an_engine_that_was_silent_are_found() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let mut loader = loader(engine(IDLE, Duration::from_millis(1_500)).await).await;
        let now = loader.agent.clock.now();
        let last = Some(report(IDLE));
        loader.agent.slot_pool.apply_report(now, last, 4);
        add_version(&loader, 2, IDLE);
        let started = Instant::now();
        while loader.chunks.newest_complete().is_none() {
            assert!(started.elapsed() < Duration::from_secs(5));
            loader.step().await;
            sleep(POLL_INTERVAL).await;
        }
    });
    run.await;
}

fn engine_config() -> EngineConfig {
    EngineConfig {
        version: 1,
        engine: route::Engine {
            slots: 4,
            stride: 1,
            model: Some("m".into()),
            warm: Duration::from_millis(300),
            step: Duration::ZERO,
            step_per_call: Duration::ZERO,
            step_per_kilotoken: Duration::ZERO,
            read_per_s: 0.0,
            usual_prompt: 0.0,
            usual_answer: 0.0,
            chunks: 1,
            chunk_bytes: 1,
        },
        max_gap: Duration::ZERO,
        origin: Some(route::Origin {
            address: "127.0.0.1:1".parse().unwrap(),
            zone: None,
            link_mbit: 1.0,
        }),
        cold: None,
    }
}

/// An age that another process has observed, to the millisecond.
fn age(ms: u64) -> cutover::Age {
    cutover::Age {
        most: Duration::from_millis(ms),
        uncertainty: Duration::ZERO,
        relays: 0,
    }
}

fn version_row(version: u64) -> Row {
    let value = format!(r#"{{"model":"m","version":{version}}}"#);
    Row {
        key: "version/m".into(),
        value: Some(value.into_bytes()),
        version,
    }
}

/// Guards against requests that begin on old weights after the bound: an agent
/// reads the versions each 7 to 13 s and took one for 4 s old at most.
#[tokio::test]
async fn a_version_may_be_as_old_as_the_agents_last_read_that_did_not_show_it() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let agent = loader(engine(IDLE, Duration::ZERO).await).await.agent;
        agent.apply_engine_config(engine_config());
        let now = agent.clock.now();
        let last = now - Duration::from_secs(13);
        agent.apply_rows(Duration::ZERO, last, Change::Rows(Vec::new()));
        agent.apply_rows(last, now, Change::Rows(vec![version_row(2)]));
        assert_eq!(agent.published_at(2), Some(last));
        agent.record_published(grant::Published::new(2, Some(age(1_000))));
        let published = agent.published_at(2).expect("it is known");
        let oldest = agent.clock.now() - published;
        assert!(oldest < Duration::from_millis(1_500), "{oldest:?}");
    });
    run.await;
}

/// Guards against ages of 10 s and more that are passed on although many agents
/// have read the store since and know better.
#[tokio::test]
async fn an_announced_version_is_no_older_than_the_last_read_that_did_not_show_it() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let agent = loader(engine(IDLE, Duration::ZERO).await).await.agent;
        agent.apply_engine_config(engine_config());
        let last = agent.clock.now() - Duration::from_secs(2);
        agent.apply_rows(Duration::ZERO, last, Change::Rows(Vec::new()));
        let vague = cutover::Age {
            uncertainty: Duration::from_secs(11),
            ..age(12_000)
        };
        agent.record_published(grant::Published::new(2, Some(vague)));
        assert_eq!(agent.published_at(2), Some(last));
    });
    run.await;
}

/// Guards against a restarted agent that loads version 1 into an empty engine
/// while the store is slow, though a newer version is published.
#[tokio::test]
async fn a_restarted_agent_has_no_target_until_it_knows_the_published_versions() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let address = engine(IDLE, Duration::ZERO).await;
        let version = |agent: &Agent| agent.target().map(|target| target.version);

        let agent = loader(address).await.agent;
        agent.apply_engine_config(engine_config());
        assert_eq!(version(&agent), None, "nothing is read");
        agent.apply_rows(Duration::ZERO, Duration::ZERO, Change::Rows(Vec::new()));
        assert_eq!(version(&agent), Some(1), "no version is published");

        let agent = loader(address).await.agent;
        agent.apply_engine_config(engine_config());
        agent.record_published(grant::Published::new(3, None));
        assert_eq!(version(&agent), Some(3), "an entry announced a version");
    });
    run.await;
}

/// Guards against an agent that reads the list of digests again and again once
/// it has learned when a version was published.
#[tokio::test]
async fn the_target_stays_the_same_when_the_age_of_its_version_becomes_known() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let agent = loader(engine(IDLE, Duration::ZERO).await).await.agent;
        agent.apply_engine_config(engine_config());
        let announce = |age| agent.record_published(grant::Published::new(3, age));
        announce(None);
        let target = agent.target();
        assert_eq!(agent.published_at(3), None);
        announce(Some(age(0)));
        assert!(agent.published_at(3).is_some());
        assert_eq!(agent.target(), target);
    });
    run.await;
}

#[tokio::test]
async fn each_phase_of_a_load_is_counted_once() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let mut loader = loader(engine(IDLE, Duration::ZERO).await).await;
        let agent = loader.agent.clone();
        let before = report(OLD_IDLE);
        agent.observe_engine(&before);
        let now = agent.clock.now();
        agent.slot_pool.apply_report(now, Some(before), 4);
        agent.timeline.borrow_mut().learn(now, 2, Some(now));
        add_version(&loader, 2, IDLE);
        let started = Instant::now();
        while !agent.metrics.text().contains("{phase=\"load\"}") {
            assert!(started.elapsed() < Duration::from_secs(10));
            loader.step().await;
            sleep(POLL_INTERVAL).await;
        }
        loader.step().await;
        let text = agent.metrics.text();
        for phase in [
            "news", "manifest", "chunks", "turn", "staging", "drain", "order", "load",
        ] {
            let count = format!("snipewinch_rollout_phase_seconds_count{{phase=\"{phase}\"}} 1\n");
            assert!(text.contains(&count), "{count}{text}");
        }
    });
    run.await;
}

/// A view of so many hosts that this one has to wait for its turn.
fn crowd() -> View {
    let member = |index: u8| Member {
        host: format!("127.0.1.{index}").as_str().into(),
        role: Role::Agent,
        zone: "z".into(),
        region: "r".into(),
        service: Some("s".into()),
        address: "127.0.0.1:1".parse().unwrap(),
        state: State::Live,
        incarnation: 1,
    };
    View {
        members: (0..50).map(member).collect(),
    }
}

/// Guards against an agent that restarts before its turn and has to fetch all
/// chunks again.
#[tokio::test]
async fn chunks_are_staged_once_before_the_turn_to_reload() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let (address, requests) = recorded_engine(OLD_IDLE, Duration::ZERO).await;
        let mut loader = loader(address).await;
        let agent = loader.agent.clone();
        *agent.view.borrow_mut() = Rc::new(crowd());
        agent.apply_engine_config(engine_config());
        let now = agent.clock.now();
        agent.slot_pool.apply_report(now, Some(report(OLD_IDLE)), 4);
        add_version(&loader, 2, OLD_IDLE);
        let count = |method: &str| {
            let requests = requests.borrow();
            requests
                .iter()
                .filter(|one| one.starts_with(method))
                .count()
        };
        while loader.chunks.newest_complete().is_none() {
            assert!(agent.clock.uptime() < Duration::from_secs(5));
            loader.step().await;
            sleep(POLL_INTERVAL).await;
        }
        for _ in 0..3 {
            loader.step().await;
        }
        assert_eq!((count("PUT"), count("POST")), (1, 0));
    });
    run.await;
}

/// Guards against an agent that restarts while chunks arrive and has to fetch
/// all of them again.
#[tokio::test]
async fn chunks_are_staged_and_found_before_a_version_is_complete() {
    let local = LocalSet::new();
    let run = local.run_until(async {
        let (address, requests) = recorded_engine(OLD_IDLE, Duration::ZERO).await;
        let mut loader = loader(address).await;
        let agent = loader.agent.clone();
        let now = agent.clock.now();
        agent.slot_pool.apply_report(now, Some(report(OLD_IDLE)), 4);
        let missing = "-".repeat(OLD_IDLE.len());
        add_chunks(&loader, 2, &[&missing, OLD_IDLE]);
        let staged = || {
            let requests = requests.borrow();
            let staged = requests.iter().filter(|one| one.starts_with("PUT"));
            staged.cloned().collect::<Vec<String>>()
        };
        while staged().is_empty() {
            assert!(agent.clock.uptime() < Duration::from_secs(5));
            loader.step().await;
            sleep(POLL_INTERVAL).await;
        }
        loader.step().await;
        assert_eq!(staged().len(), 1);
        assert!(staged()[0].contains("num=1"), "{:?}", staged());
    });
    run.await;
}

/// Guards against engines that all reload at once, as no turn is left to wait for.
#[test]
fn a_version_is_infinitely_old_once_the_wall_clock_is_set_back() {
    let clock = Clock::start();
    let set_back = Timestamp {
        monotonic: clock.now(),
        wall: SystemTime::now() + Duration::from_secs(3_600),
    };
    let age = set_back.age(&clock);
    assert!(age < Duration::from_secs(60), "{age:?}");
}
