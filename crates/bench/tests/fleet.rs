//! Tests that start a fleet of daemons and stand-ins.

use std::collections::BTreeSet;
use std::time::Duration;

use bench::console::Console;
use bench::console::Publication;
use bench::fleet::Fleet;
use bench::fleet::Plan;
use bench::load;
use bench::load::Load;
use bench::load::Outcome;
use bench::weights;
use snipewinch::host::Role;

#[tokio::test]
async fn killed_host_starts_again_and_is_healthy() {
    let plan = Plan::sized(1, 2, 1, 2, 1);
    let mut fleet = Fleet::open(plan).await.expect("the fleet starts");
    assert_eq!(fleet.names(Role::Entry).len(), 1);
    let agents = fleet.names(Role::Agent);
    assert_eq!(agents.len(), 4);
    for host in fleet.hosts() {
        let health = fleet.client.get(host.http, "/healthz").await;
        assert_eq!(health.expect("health").status, 200, "{}", host.name);
        assert!(host.usage().rss_kib > 0);
    }
    let killed = agents[0].clone();
    fleet.kill(&killed).await.expect("kill");
    assert!(fleet.host(killed.as_str()).expect("host").process.is_none());
    fleet.replace(&killed).await.expect("replace");
    let restarted = fleet.host(killed.as_str()).expect("host").http;
    let health = fleet.client.get(restarted, "/healthz").await;
    assert_eq!(health.expect("health").status, 200);
    fleet.shutdown().await;
}

/// Time limit of each wait. It is far above what a loaded host needs, so the
/// tests check that a state is reached, not how soon.
const LIMIT: Duration = Duration::from_secs(60);

#[tokio::test]
async fn accepted_configuration_is_in_force_at_every_host() {
    let mut plan = Plan::sized(2, 2, 1, 2, 2);
    plan.membership_lag_ms = 100;
    let fleet = Fleet::open(plan).await.expect("the fleet starts");
    let mut document = fleet.plan.document.clone();
    document.models.clear();
    let services = &mut document.services;
    services.retain(|service| service.name != "verse-engine");
    let first = fleet.publish(&document).await.expect("accepted");
    fleet.wait_in_force(first, LIMIT).await.expect("in force");

    // Two operators review changes of the same version. The second one to
    // confirm gets a conflict.
    let entries: Vec<_> = fleet.routable_entries.read().clone();
    let mut consoles = Vec::new();
    for entry in entries {
        let console = Console::sign_in(entry, &fleet.operator_key()).await;
        consoles.push(console.expect("sign in"));
    }
    let mut reviews = Vec::new();
    for (index, console) in consoles.iter().enumerate() {
        document.customers[index].share += 1;
        reviews.push(console.review(&document).await.expect("review"));
    }
    let (first_result, _) = consoles[0].confirm(&reviews[0]).await.expect("first");
    assert_eq!(first_result, Publication::Accepted(first + 1));
    let (second_result, _) = consoles[1].confirm(&reviews[1]).await.expect("second");
    assert_eq!(second_result, Publication::Conflict);
    fleet
        .wait_in_force(first + 1, LIMIT)
        .await
        .expect("in force");
    fleet.shutdown().await;
}

#[tokio::test]
async fn model_reaches_every_engine_and_calls_get_complete_answers() {
    let mut plan = Plan::sized(1, 3, 1, 2, 3);
    plan.membership_lag_ms = 100;
    plan.traced = true;
    plan.engines.step_us = 0;
    let mut fleet = Fleet::open(plan).await.expect("the fleet starts");
    let bytes = weights::random(3, 1 << 20);
    let manifest = fleet.put_weights("1", &bytes, 64 << 10).await;
    let manifest = manifest.expect("weights");
    fleet.publish_model("1", &manifest).await.expect("accepted");
    let arrived = fleet.wait_replicas(&manifest.weights_digest, LIMIT).await;
    arrived.expect("every engine host serves it");
    fleet.wait_ready(LIMIT).await.expect("ready");
    fleet.wait_answering(LIMIT).await.expect("answering");

    let mut settings = load::Settings::of(&fleet, 50.0, 3);
    settings.non_repeatable_percent = 30;
    settings.duplicate_percent = 50;
    let load = Load::spawn(settings);
    while load.totals().calls() < 100 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let totals = load.stop().await;
    // A duplicate may be refused while the first attempt is in progress. Any
    // other failure is an error.
    let others = totals
        .records
        .iter()
        .filter(|r| r.outcome != Outcome::Complete);
    let unexpected: Vec<_> = others.filter(|r| r.code != "in_progress").collect();
    assert!(unexpected.is_empty(), "{unexpected:#?}");
    for (effect, times) in fleet.effects().await.expect("effects") {
        assert_eq!(times, 1, "{effect} ran {times} times");
    }
    let published = BTreeSet::from([manifest.weights_digest]);
    let mixed_calls = fleet
        .partial_or_mixed_calls(&published)
        .await
        .expect("served");
    assert_eq!(mixed_calls, 0);
    let counters = fleet.counters().await.expect("counters");
    assert!(counters.origin_bytes[manifest.digest().to_string().as_str()] >= 1 << 20);
    fleet.shutdown().await;
}
