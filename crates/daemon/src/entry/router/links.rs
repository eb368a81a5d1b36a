//! Keeps links to the hosts that [`subset`] selects for this entry host.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snipewinch::host;
use snipewinch::membership::View;
use snipewinch::routing::subset;
use tokio::time::MissedTickBehavior;

use super::Router;

/// How often links that are no longer selected or in use are closed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a process that has just started checks its initial links.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long calls of a process that has just started wait for its initial
/// links.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Follows the membership view until the process exits.
pub(super) async fn run(router: Router) {
    let mut views = router.shared.context.view.clone();
    let mut prune_ticks = tokio::time::interval(PRUNE_INTERVAL);
    prune_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut startup_ticks = tokio::time::interval(STARTUP_CHECK_INTERVAL);
    startup_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut links_ready = false;
    let mut selected = HashSet::new();
    loop {
        tokio::select! {
            changed = views.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = views.borrow_and_update().clone();
                router.handle_view(&view);
                selected = dial_selected(&router, &view);
            }
            _ = startup_ticks.tick(), if !links_ready => {
                links_ready = are_links_ready(&router, &selected);
                router.shared.links_ready.send_replace(links_ready);
            }
            _ = prune_ticks.tick() => {
                let view = views.borrow().clone();
                prune(&router, &view, &selected);
                router.update_metrics();
            }
        }
    }
}

/// Whether calls need not wait for the initial links any longer: all selected
/// agents have reported, or the wait has timed out.
fn are_links_ready(router: &Router, selected: &HashSet<host::Name>) -> bool {
    let context = &router.shared.context;
    let view = context.view.borrow().clone();
    let mut agents = view
        .members
        .iter()
        .filter(|member| member.role == host::Role::Agent && selected.contains(&member.host))
        .map(|member| &member.host)
        .peekable();
    let all_reported = agents.peek().is_some() && router.have_all_reported(agents);
    all_reported || context.now() >= STARTUP_TIMEOUT
}

/// Dials the selected hosts and returns their names.
fn dial_selected(router: &Router, view: &Arc<View>) -> HashSet<host::Name> {
    let context = &router.shared.context;
    let own_identity = &context.identity;
    let agents = subset::agents(own_identity, &view.members);
    let entries = subset::entries(own_identity, &view.members);
    let entries = entries
        .into_iter()
        .filter(|other| subset::dials(&own_identity.host, other));
    let selected: HashSet<host::Name> = agents.into_iter().chain(entries).collect();
    let addresses: HashMap<&host::Name, SocketAddr> = view
        .members
        .iter()
        .map(|member| (&member.host, member.address))
        .collect();
    for host in &selected {
        if let Some(&address) = addresses.get(host) {
            context.hub.dial(host.clone(), address);
        }
    }
    selected
}

/// Closes links to hosts that are neither selected nor in use.
fn prune(router: &Router, view: &Arc<View>, selected: &HashSet<host::Name>) {
    let hub = &router.shared.context.hub;
    let listed: HashSet<&host::Name> = view.members.iter().map(|member| &member.host).collect();
    for host in hub.dialed() {
        let is_needed = selected.contains(&host) || router.is_in_use(&host, listed.contains(&host));
        if !is_needed {
            hub.stop_dialing(&host);
            log::debug!("E2204 closed the link to {host}, which is no longer needed");
        }
    }
}
