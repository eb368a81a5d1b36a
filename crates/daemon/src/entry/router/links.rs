//! Keeps links to the hosts that this entry host shall have links to.

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

/// How often links that are no longer wanted are looked at.
const LOOK: Duration = Duration::from_secs(1);
/// How often the links of a process that has just started are looked at.
const SETTLE_LOOK: Duration = Duration::from_millis(25);
/// How long a process that has just started waits for its links.
const SETTLE_MAX: Duration = Duration::from_secs(2);

/// Follows the membership view until the process ends.
pub(super) async fn run(router: Router) {
    let mut views = router.shared.node.view.clone();
    let mut look = tokio::time::interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut settle = tokio::time::interval(SETTLE_LOOK);
    settle.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut settled = false;
    let mut wanted = HashSet::new();
    loop {
        tokio::select! {
            changed = views.changed() => {
                if changed.is_err() {
                    return;
                }
                let view = views.borrow_and_update().clone();
                router.view(&view);
                wanted = want(&router, &view);
            }
            _ = settle.tick(), if !settled => {
                settled = is_settled(&router, &wanted);
                router.shared.settled.send_replace(settled);
            }
            _ = look.tick() => {
                let view = views.borrow().clone();
                let_go(&router, &view, &wanted);
                router.measure();
            }
        }
    }
}

/// Whether calls need not wait for links any more.
fn is_settled(router: &Router, wanted: &HashSet<host::Name>) -> bool {
    let node = &router.shared.node;
    let view = node.view.borrow().clone();
    let mut agents = view
        .members
        .iter()
        .filter(|member| member.role == host::Role::Agent && wanted.contains(&member.host))
        .map(|member| &member.host)
        .peekable();
    let all = agents.peek().is_some() && router.has_heard_of(agents);
    all || node.now() >= SETTLE_MAX
}

/// Dials the hosts to have links to; answers their names.
fn want(router: &Router, view: &Arc<View>) -> HashSet<host::Name> {
    let node = &router.shared.node;
    let me = &node.identity;
    let agents = subset::agents(me, &view.members);
    let entries = subset::entries(me, &view.members);
    let entries = entries
        .into_iter()
        .filter(|other| subset::dials(&me.host, other));
    let wanted: HashSet<host::Name> = agents.into_iter().chain(entries).collect();
    let addresses: HashMap<&host::Name, SocketAddr> = view
        .members
        .iter()
        .map(|member| (&member.host, member.address))
        .collect();
    for host in &wanted {
        if let Some(&address) = addresses.get(host) {
            node.hub.dial(host.clone(), address);
        }
    }
    wanted
}

/// Lets go of links that are neither wanted nor of use.
fn let_go(router: &Router, view: &Arc<View>, wanted: &HashSet<host::Name>) {
    let hub = &router.shared.node.hub;
    let listed: HashSet<&host::Name> = view.members.iter().map(|member| &member.host).collect();
    for host in hub.dialed() {
        let kept = wanted.contains(&host) || router.is_busy(&host, listed.contains(&host));
        if !kept {
            hub.forget(&host);
            log::debug!("E2204 link to {host} is no longer wanted");
        }
    }
}
