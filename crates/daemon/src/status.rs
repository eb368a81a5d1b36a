//! The status of the fleet as this process knows it, for the live pages of the
//! console and for the CLI.

use std::collections::BTreeMap;
use std::sync::Arc;

use operator::status::Host;
use operator::status::Report;
use operator::status::Status;
use poem::EndpointExt;
use poem::endpoint::BoxEndpoint;
use poem::get;
use poem::handler;
use poem::web::Data;
use poem::web::Json;
use snipewinch::host;
use snipewinch::membership::Member;
use snipewinch::wire::Summary;

use crate::node::Node;

/// The route that returns the status as JSON.
pub(crate) fn routes(node: &Node) -> BoxEndpoint<'static> {
    get(json).data(node.clone()).boxed()
}

#[handler]
fn json(Data(node): Data<&Node>) -> Json<Status> {
    Json(gather(node))
}

/// The current status.
pub(crate) fn gather(node: &Node) -> Status {
    let in_force = node.configuration.borrow().clone();
    let view = node.view.borrow().clone();
    let summaries = node.summaries.by_host();
    let hosts: BTreeMap<&host::Name, Host> = view
        .members
        .iter()
        .map(|member| {
            (
                &member.host,
                host(node, member, summaries.get(&member.host)),
            )
        })
        .collect();
    Status {
        host: node.config.host.clone(),
        role: node.config.role,
        version: in_force.version,
        digest: in_force.digest,
        hosts: hosts.into_values().collect(),
    }
}

fn host(node: &Node, member: &Member, summary: Option<&Arc<Summary>>) -> Host {
    let is_own = member.host == node.config.host;
    Host {
        host: member.host.clone(),
        role: member.role,
        zone: member.zone.clone(),
        region: member.region.clone(),
        service: member.service.clone(),
        state: member.state,
        report: match summary {
            _ if is_own => Some(own_report(node)),
            Some(summary) => Some(report(summary)),
            None => None,
        },
    }
}

fn own_report(node: &Node) -> Report {
    Report {
        version: node.configuration.borrow().version,
        leaving: node.shutdown.is_leaving(),
        confirmed: node.confirmed.borrow().clone(),
        ..Report::default()
    }
}

fn report(summary: &Summary) -> Report {
    Report {
        version: summary.configuration.version,
        leaving: summary.leaving,
        running: summary.running,
        waiting: summary.waiting,
        capacity: summary.capacity,
        confirmed: summary.confirmed.clone(),
    }
}
