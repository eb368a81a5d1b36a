//! The real programs, started together once.

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
