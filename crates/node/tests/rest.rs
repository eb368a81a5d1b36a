//! Tests that entries leave backend servers alone that ask for rest or say that
//! they leave.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use standin::store::Store;
use tokio::time::sleep;

mod harness;

use harness::Harness;
use harness::Options;
use harness::configuration;
use harness::field;
use harness::listed;
use harness::resting::Mood;
use harness::resting::RestingServer;
use harness::status;
use harness::traffic;
use harness::traffic::Answer;

/// The time between two requests to the entry.
const INTERVAL: Duration = Duration::from_millis(20);
/// The rest that servers ask for.
const REST: Duration = Duration::from_secs(3);
/// How long after an answer requests may still arrive that were under way.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// The longest time to the refusal of a request that no server may take.
const REFUSAL_TIME_MAX: Duration = Duration::from_millis(100);

/// An entry and its servers.
struct Fleet {
    store: Store,
    entry: Harness,
}

impl Fleet {
    async fn start(servers: &[&RestingServer]) -> Fleet {
        let localhost = SocketAddr::from(([127, 0, 0, 1], 0));
        let (store, store_address) = Store::spawn(localhost).await.unwrap();
        for (index, server) in servers.iter().enumerate() {
            let row = listed(server.address, "za", "ready");
            store.put("servers", &format!("s{index}"), &row);
        }
        store.put("op", "config", &configuration(1));
        let options = Options::default();
        let entry = Harness::start_on(&store, store_address, "edge-1", &options).await;
        Fleet { store, entry }
    }

    /// Sends requests to the entry for a while.
    async fn send_for(&self, length: Duration) -> Vec<Answer> {
        traffic::send_for(&[self.entry.callers], INTERVAL, length).await
    }
}

/// Guards against requests to a server in the time for which it wants none.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_asks_for_rest_gets_no_request_until_it_is_over() {
    let resting = RestingServer::asking_for("3").await;
    let other = RestingServer::spawn(Mood::Answers(String::new())).await;
    let fleet = Fleet::start(&[&resting, &other]).await;
    let answers = fleet.send_for(REST + Duration::from_millis(500)).await;
    let asked = resting.turned_away().expect("it was asked");
    assert_eq!(resting.count_in(asked, UNDER_WAY, REST), 0);
    assert!(answers.iter().all(|answer| status(&answer.text) == 200));
}

/// Guards against a server that is left alone for longer than it asked for.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_requests_again_once_its_rest_is_over() {
    let resting = RestingServer::asking_for("1.5").await;
    let fleet = Fleet::start(&[&resting]).await;
    fleet.send_for(Duration::from_millis(200)).await;
    resting.set_mood(Mood::Answers(String::new()));
    fleet.send_for(Duration::from_millis(2_300)).await;
    let asked = resting.turned_away().expect("it was asked");
    let (rest, end) = (Duration::from_millis(1_500), Duration::from_millis(2_500));
    assert_eq!(resting.count_in(asked, UNDER_WAY, rest), 0);
    let resumed = resting.count_in(asked, rest, end);
    assert!((3..=20).contains(&resumed), "{resumed} requests in 1 s");
}

/// Guards against callers that wait, or come back too soon, while all servers rest.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_while_all_servers_rest() {
    let servers = [
        RestingServer::asking_for("3").await,
        RestingServer::asking_for("3").await,
    ];
    let fleet = Fleet::start(&[&servers[0], &servers[1]]).await;
    fleet.send_for(UNDER_WAY).await;
    let answers = fleet.send_for(Duration::from_secs(1)).await;
    for answer in &answers {
        assert_eq!(status(&answer.text), 503, "{answer:?}");
        assert!(answer.took < REFUSAL_TIME_MAX, "{answer:?}");
        let retry_after = field(&answer.text, "retry-after").expect("it is there");
        let retry_after: f64 = retry_after.parse().expect("it is a number");
        assert!((1.0..=4.5).contains(&retry_after), "{retry_after}");
    }
    for server in servers {
        let asked = server.turned_away().expect("it was asked");
        assert_eq!(server.count_in(asked, UNDER_WAY, REST), 0);
    }
}

/// Guards against new requests to a server that says in its answers that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_it_leaves_gets_no_further_request() {
    let leaving = RestingServer::spawn(Mood::Answers("Server-Leaving: 1\r\n".into())).await;
    let other = RestingServer::spawn(Mood::Answers(String::new())).await;
    let fleet = Fleet::start(&[&leaving, &other]).await;
    let start = Instant::now();
    let answers = fleet.send_for(Duration::from_secs(4)).await;
    let late = leaving.count_in(start, UNDER_WAY, Duration::from_secs(4));
    assert_eq!(late, 0);
    assert!(answers.iter().all(|answer| status(&answer.text) == 200));
}

/// Guards against an entry that goes by the list of a store which it can't reach.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_it_leaves_gets_no_further_request_while_the_store_is_down() {
    let leaving = RestingServer::spawn(Mood::Answers(String::new())).await;
    let other = RestingServer::spawn(Mood::Answers(String::new())).await;
    let fleet = Fleet::start(&[&leaving, &other]).await;
    fleet.send_for(Duration::from_millis(200)).await;
    fleet.store.set_down(true);
    sleep(Duration::from_secs(1)).await;
    leaving.set_mood(Mood::Answers("Server-Leaving: 1\r\n".into()));
    let start = Instant::now();
    let answers = fleet.send_for(Duration::from_secs(3)).await;
    let late = leaving.count_in(start, UNDER_WAY, Duration::from_secs(3));
    assert_eq!(late, 0);
    assert!(answers.iter().all(|answer| status(&answer.text) == 200));
}

/// Guards against a server that stays without requests after it has started anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_has_started_anew_is_not_leaving() {
    let server = RestingServer::spawn(Mood::Answers("Server-Leaving: 1\r\n".into())).await;
    let fleet = Fleet::start(&[&server]).await;
    fleet.send_for(INTERVAL).await;
    server.set_mood(Mood::Answers(String::new()));
    let before = fleet.send_for(INTERVAL).await;
    assert_eq!(status(&before[0].text), 503);
    let mut row = listed(server.address, "za", "ready");
    row["born"] = 1_790_000_000_000_u64.into();
    fleet.store.put("servers", "s0", &row);
    sleep(Duration::from_secs(2)).await;
    let after = fleet.send_for(INTERVAL).await;
    assert_eq!(status(&after[0].text), 200);
}

/// Guards against a server that is left alone because of a time that it did not name.
#[tokio::test(flavor = "multi_thread")]
async fn a_rest_without_a_valid_time_is_ignored() {
    for value in ["0", "-1", "Fri, 04 Dec 2026 15:00:00 GMT"] {
        let server = RestingServer::asking_for(value).await;
        let fleet = Fleet::start(&[&server]).await;
        fleet.send_for(Duration::from_millis(100)).await;
        server.set_mood(Mood::Answers(String::new()));
        let answers = fleet.send_for(INTERVAL).await;
        assert_eq!(status(&answers[0].text), 200, "{value}");
    }
}

/// Guards against requests to a server that has said that it leaves and is listed again
/// by a backup of the store, with nothing but its first word.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_has_left_gets_no_request_though_a_backup_lists_it() {
    let leaving = RestingServer::spawn(Mood::Answers(String::new())).await;
    let other = RestingServer::spawn(Mood::Answers(String::new())).await;
    let fleet = Fleet::start(&[&leaving, &other]).await;
    for (index, server) in [&leaving, &other].into_iter().enumerate() {
        let mut row = listed(server.address, "za", "ready");
        row["born"] = 1_790_000_000_000_u64.into();
        fleet.store.put("servers", &format!("s{index}"), &row);
    }
    sleep(Duration::from_secs(1)).await;
    let backup = fleet.store.backup();
    leaving.set_mood(Mood::Answers("Server-Leaving: 1\r\n".into()));
    fleet.send_for(Duration::from_millis(500)).await;
    fleet.store.remove("servers", "s0");
    sleep(Duration::from_secs(2)).await;
    fleet.store.restore(&backup);
    let start = Instant::now();
    let answers = fleet.send_for(Duration::from_secs(6)).await;
    let late = leaving.count_in(start, Duration::ZERO, Duration::from_secs(6));
    assert_eq!(late, 0);
    assert!(answers.iter().all(|answer| status(&answer.text) == 200));
}
