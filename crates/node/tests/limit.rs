//! Tests that entries keep the limits that backend servers name for all of them
//! together.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use standin::store::Store;
use tokio::time::sleep;

mod harness;

use harness::Action;
use harness::Harness;
use harness::Options;
use harness::Server;
use harness::complete_answer;
use harness::configuration;
use harness::field;
use harness::limited::LimitedServer;
use harness::listed;
use harness::request;
use harness::status;
use harness::traffic;
use harness::traffic::Answer;

const ENTRIES: usize = 3;
/// The time between two requests to an entry.
const INTERVAL: Duration = Duration::from_millis(40);
/// The time within which a limit must be kept.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The time within which entries read what the others have heard.
const VIEW_AGE_MAX: Duration = Duration::from_secs(40);
/// The longest time to the refusal of a request that no server may take.
const REFUSAL_TIME_MAX: Duration = Duration::from_millis(100);

/// How many requests may reach a server in [`WINDOW`].
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

struct Fleet {
    entries: Vec<Harness>,
}

impl Fleet {
    async fn start(servers: &[&LimitedServer]) -> Fleet {
        let localhost = SocketAddr::from(([127, 0, 0, 1], 0));
        let (store, store_address) = Store::spawn(localhost).await.unwrap();
        for (index, server) in servers.iter().enumerate() {
            let row = listed(server.address, "za", "ready");
            store.put("servers", &format!("s{index}"), &row);
        }
        store.put("op", "config", &configuration(1));
        let mut entries = Vec::new();
        for index in 0..ENTRIES {
            let name = format!("edge-{index}");
            let options = Options::default();
            entries.push(Harness::start_on(&store, store_address, &name, &options).await);
        }
        Fleet { entries }
    }

    /// Sends requests to all entries for a while.
    async fn send_for(&self, length: Duration) -> Vec<Answer> {
        let callers: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.callers).collect();
        traffic::send_for(&callers, INTERVAL, length).await
    }
}

/// Guards against entries that together exceed the limit that a server names.
#[tokio::test(flavor = "multi_thread")]
async fn entries_keep_the_limit_of_a_server_together() {
    let limited = LimitedServer::spawn(Some("1")).await;
    let free = LimitedServer::spawn(None).await;
    let fleet = Fleet::start(&[&limited, &free]).await;
    let start = Instant::now();
    let answers = fleet.send_for(Duration::from_secs(13)).await;
    assert!(answers.iter().all(|answer| status(&answer.text) == 200));
    let most = limited.most_within(WINDOW, start + STABLE_WINDOW);
    assert!(most <= allowed(1.0), "{most} requests in 4 s");
    let late = limited.count_since(start + STABLE_WINDOW);
    assert!(late >= 3, "only {late} requests in 10 s");
}

/// Guards against callers that wait for servers which take nothing more.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_limits_of_all_servers_are_refused_at_once() {
    let servers = [
        LimitedServer::spawn(Some("4")).await,
        LimitedServer::spawn(Some("2.5")).await,
    ];
    let fleet = Fleet::start(&[&servers[0], &servers[1]]).await;
    fleet.send_for(STABLE_WINDOW).await;
    let start = Instant::now();
    let answers = fleet.send_for(Duration::from_secs(10)).await;
    for answer in &answers {
        if status(&answer.text) == 200 {
            continue;
        }
        assert_eq!(status(&answer.text), 503);
        assert!(field(&answer.text, "retry-after").is_some());
        assert!(answer.took < REFUSAL_TIME_MAX, "{:?}", answer.took);
    }
    for (server, per_s) in servers.iter().zip([4.0, 2.5]) {
        let most = server.most_within(WINDOW, start);
        assert!(most <= allowed(per_s), "{most} requests in 4 s");
        let used = server.count_since(start) as f64 / (per_s * 10.0);
        assert!(used > 0.8, "{used} of the limit was used");
    }
}

/// Guards against taking what another server says at a reused address for news of
/// the listed one.
#[tokio::test]
async fn a_limit_in_the_answer_of_another_server_is_ignored() {
    let fields = "Server-Limit: 1\r\n";
    let server = Server::spawn(vec![
        Action::Send(complete_answer(421, fields, "")),
        Action::Send(complete_answer(200, "", "done")),
    ])
    .await;
    let harness = Harness::start(&[&server]).await;
    harness.ask(&request("GET", "/read/1", "", "")).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(harness.metric("snipewinch_limited_servers").await, 0);
}

/// Guards against a limit that outlives the need of its server.
#[tokio::test(flavor = "multi_thread")]
async fn all_entries_learn_that_a_limit_is_over() {
    let limited = LimitedServer::spawn(Some("1")).await;
    let free = LimitedServer::spawn(None).await;
    let fleet = Fleet::start(&[&limited, &free]).await;
    fleet.send_for(Duration::from_secs(6)).await;
    limited.set_limit(None);
    fleet.send_for(Duration::from_secs(12)).await;
    for entry in &fleet.entries {
        assert_eq!(entry.metric("snipewinch_limited_servers").await, 0);
    }
    let start = Instant::now();
    fleet.send_for(Duration::from_secs(2)).await;
    let resumed = limited.count_since(start);
    assert!(resumed > 40, "only {resumed} requests in 2 s");
}

/// Guards against a limit that only the entries keep which were told.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_was_never_told_learns_of_a_limit() {
    let limited = LimitedServer::spawn(Some("1")).await;
    let fleet = Fleet::start(&[&limited]).await;
    let told = &fleet.entries[0];
    told.ask(&request("GET", "/read/1", "", "")).await;
    sleep(VIEW_AGE_MAX).await;
    for entry in &fleet.entries {
        assert_eq!(entry.metric("snipewinch_limited_servers").await, 1);
    }
}
