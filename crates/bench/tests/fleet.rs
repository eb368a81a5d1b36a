//! The real programs, started together once.

use std::time::Duration;

use bench::console::Console;
use bench::console::Publication;
use bench::fleet::Fleet;
use bench::fleet::Plan;
use snipewinch::host::Role;

#[tokio::test]
async fn hosts_start_die_and_come_back() {
    let plan = Plan::sized(1, 2, 1, 2, 1);
    let mut fleet = Fleet::open(plan).await.expect("the fleet comes up");
    assert_eq!(fleet.names(Role::Entry).len(), 1);
    let agents = fleet.names(Role::Agent);
    assert_eq!(agents.len(), 4);
    for host in fleet.hosts() {
        let health = fleet.client.get(host.http, "/healthz").await;
        assert_eq!(health.expect("health").status, 200, "{}", host.name);
        assert!(host.usage().rss_kib > 0);
    }
    let victim = agents[0].clone();
    fleet.kill(&victim).await.expect("kill");
    assert!(fleet.host(victim.as_str()).expect("host").process.is_none());
    fleet.replace(&victim).await.expect("replace");
    let back = fleet.host(victim.as_str()).expect("host").http;
    let health = fleet.client.get(back, "/healthz").await;
    assert_eq!(health.expect("health").status, 200);
    fleet.shutdown().await;
}

/// Far above what a loaded machine needs; a wait, not a measure.
const LIMIT: Duration = Duration::from_secs(60);

#[tokio::test]
async fn what_the_console_accepts_is_in_force_at_every_host() {
    let mut plan = Plan::sized(2, 2, 1, 2, 2);
    plan.lag_ms = 100;
    let fleet = Fleet::open(plan).await.expect("the fleet comes up");
    let mut document = fleet.plan.document.clone();
    document.models.clear();
    let services = &mut document.services;
    services.retain(|service| service.name != "verse-engine");
    let first = fleet.publish(&document).await.expect("accepted");
    fleet.wait_in_force(first, LIMIT).await.expect("in force");

    // Two operators review the same version; one comes second.
    let entries: Vec<_> = fleet.balanced.read().clone();
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
    let (won, _) = consoles[0].confirm(&reviews[0]).await.expect("first");
    assert_eq!(won, Publication::Accepted(first + 1));
    let (lost, _) = consoles[1].confirm(&reviews[1]).await.expect("second");
    assert_eq!(lost, Publication::Conflict);
    fleet
        .wait_in_force(first + 1, LIMIT)
        .await
        .expect("in force");
    fleet.shutdown().await;
}
