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

use crate::daemon::Context;

/// The route that returns the status as JSON.
pub(crate) fn routes(context: &Context) -> BoxEndpoint<'static> {
    get(json).data(context.clone()).boxed()
}

#[handler]
fn json(Data(context): Data<&Context>) -> Json<Status> {
    Json(gather(context))
}

/// The current status.
pub(crate) fn gather(context: &Context) -> Status {
    let in_force = context.configuration.borrow().clone();
    let view = context.view.borrow().clone();
    let summaries = context.summaries.by_host();
    let hosts: BTreeMap<&host::Name, Host> = view
        .members
        .iter()
        .map(|member| {
            (
                &member.host,
                host(context, member, summaries.get(&member.host)),
            )
        })
        .collect();
    Status {
        host: context.config.host.clone(),
        role: context.config.role,
        version: in_force.version,
        digest: in_force.digest,
        hosts: hosts.into_values().collect(),
    }
}

fn host(context: &Context, member: &Member, summary: Option<&Arc<Summary>>) -> Host {
    let is_own = member.host == context.config.host;
    Host {
        host: member.host.clone(),
        role: member.role,
        zone: member.zone.clone(),
        region: member.region.clone(),
        service: member.service.clone(),
        state: member.state,
        report: match summary {
            _ if is_own => Some(own_report(context)),
            Some(summary) => Some(report(summary)),
            None => None,
        },
    }
}

fn own_report(context: &Context) -> Report {
    Report {
        version: context.configuration.borrow().version,
        leaving: context.shutdown.is_leaving(),
        confirmed: context.confirmed.borrow().clone(),
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
