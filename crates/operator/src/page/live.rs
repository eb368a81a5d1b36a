//! The self-refreshing pages that show the rollout and the fleet.

use std::collections::BTreeMap;

use poem::Response;
use poem::http::StatusCode;
use smol_str::SmolStr;
use snipewinch::configuration::Snapshot;
use snipewinch::document::Backend;
use snipewinch::host::Role;
use snipewinch::membership::State;

use super::Layout;
use super::render;
use crate::html::Html;
use crate::session::Session;
use crate::status::Host;
use crate::status::Status;

/// The interval at which the browser reloads a live page, in seconds.
const REFRESH_S: u32 = 2;
/// The most hosts shown on the fleet page; the others are only counted.
const HOSTS_MAX: usize = 500;

/// Renders the overview: the version in force, host counts, and the progress of
/// the rollout.
pub(crate) fn overview(session: &Session, in_force: &Snapshot, status: &Status) -> Response {
    let layout = Layout {
        title: "Overview",
        session: Some(session),
        refresh_s: Some(REFRESH_S),
    };
    let body = Html::new()
        .add(summary(in_force, status))
        .raw("<h2>Rollout</h2>")
        .add(rollout(in_force, status));
    render(StatusCode::OK, layout, body)
}

fn summary(in_force: &Snapshot, status: &Status) -> Html {
    let count =
        |predicate: &dyn Fn(&Host) -> bool| status.hosts.iter().filter(|h| predicate(h)).count();
    let linked = count(&|host| host.report.is_some());
    let current = count(&|host| {
        let version = host.report.as_ref().map(|report| report.version);
        version == Some(in_force.version)
    });
    let rows: [(String, &'static str); 6] = [
        (in_force.version.to_string(), "version in force here"),
        (
            format!("{current} of {linked}"),
            "linked hosts that have it",
        ),
        (
            count(&|host| host.role == Role::Entry).to_string(),
            "entry hosts",
        ),
        (
            count(&|host| host.role == Role::Agent).to_string(),
            "backend server hosts",
        ),
        (
            count(&|host| host.state == State::Suspect).to_string(),
            "silent",
        ),
        (
            count(&|host| host.state == State::Leaving).to_string(),
            "leaving",
        ),
    ];
    let mut html = Html::new().raw("<ul class=\"figures\">");
    for (value, name) in rows {
        html = html
            .raw("<li><strong>")
            .text(value)
            .raw("</strong>")
            .text(name)
            .raw("</li>");
    }
    html.raw("</ul>")
}

/// Renders, for each model and adapter of the document, how many hosts should
/// serve it and how many of their engines have confirmed its version.
fn rollout(in_force: &Snapshot, status: &Status) -> Html {
    let mut html = Html::new()
        .raw("<div class=\"scroll\"><table><thead><tr><th scope=\"col\">Model</th>")
        .raw("<th scope=\"col\">Version</th><th scope=\"col\">Replicas confirmed</th>")
        .raw("<th scope=\"col\">Progress</th></tr></thead><tbody>");
    for model in &in_force.document.models {
        let assigned = assigned_hosts(in_force, status, &model.name);
        let adapters = model.adapters.iter();
        let adapters = adapters.map(|adapter| (&adapter.name, &adapter.version));
        let base_model = std::iter::once((&model.name, &model.version));
        for (name, version) in base_model.chain(adapters) {
            let confirmed = assigned
                .iter()
                .filter(|host| has_confirmed(host, name, version))
                .count();
            html = html.add(progress_row(name, version, confirmed, assigned.len()));
        }
    }
    html.raw("</tbody></table></div>")
}

/// Returns the agents that should serve `model`: those of a service with this
/// model, in an availability zone in which the service runs.
fn assigned_hosts<'a>(in_force: &Snapshot, status: &'a Status, model: &SmolStr) -> Vec<&'a Host> {
    let services: BTreeMap<&SmolStr, &snipewinch::document::Service> = in_force
        .document
        .services
        .iter()
        .filter(|service| matches!(&service.backend, Backend::Engine { model: m } if m == model))
        .map(|service| (&service.name, service))
        .collect();
    let hosts = status.hosts.iter().filter(|host| host.role == Role::Agent);
    hosts
        .filter(|host| {
            let service = host.service.as_ref().and_then(|name| services.get(name));
            service.is_some_and(|service| {
                service.zones.is_empty() || service.zones.contains(&host.zone)
            })
        })
        .collect()
}

fn has_confirmed(host: &Host, model: &SmolStr, version: &SmolStr) -> bool {
    let confirmed = host.report.iter().flat_map(|report| &report.confirmed);
    confirmed
        .into_iter()
        .any(|confirmed| confirmed.model == *model && confirmed.version == *version)
}

fn progress_row(name: &SmolStr, version: &SmolStr, confirmed: usize, assigned: usize) -> Html {
    Html::new()
        .raw("<tr><th scope=\"row\">")
        .text(name)
        .raw("</th><td>")
        .text(version)
        .raw("</td><td>")
        .text(format_args!("{confirmed} of {assigned}"))
        .raw("</td><td><progress")
        .attribute("value", confirmed)
        .attribute("max", assigned.max(1))
        .raw("></progress></td></tr>")
}

/// Renders the fleet page: the hosts known to this process.
pub(crate) fn fleet(session: &Session, status: &Status) -> Response {
    let layout = Layout {
        title: "Fleet",
        session: Some(session),
        refresh_s: Some(REFRESH_S),
    };
    let mut body = Html::new()
        .raw("<p>As entry host ")
        .text(&status.host)
        .raw(" sees it.</p><div class=\"scroll\"><table><thead><tr>")
        .raw("<th scope=\"col\">Host</th><th scope=\"col\">Role</th><th scope=\"col\">Zone</th>")
        .raw("<th scope=\"col\">Service</th><th scope=\"col\">State</th>")
        .raw("<th scope=\"col\">Version</th><th scope=\"col\">Running</th>")
        .raw("<th scope=\"col\">Waiting</th><th scope=\"col\">Confirmed</th></tr></thead><tbody>");
    for host in status.hosts.iter().take(HOSTS_MAX) {
        body = body.add(host_row(host));
    }
    body = body.raw("</tbody></table></div>");
    if status.hosts.len() > HOSTS_MAX {
        body = body
            .raw("<p>and ")
            .text(status.hosts.len() - HOSTS_MAX)
            .raw(" more hosts.</p>");
    }
    render(StatusCode::OK, layout, body)
}

fn host_row(host: &Host) -> Html {
    let (class, state) = match host.state {
        State::Live => ("live", "live"),
        State::Suspect => ("suspect", "silent"),
        State::Leaving => ("leaving", "leaving"),
    };
    let role = match host.role {
        Role::Agent => "backend server",
        Role::Entry => "entry",
    };
    let html = Html::new()
        .raw("<tr")
        .attribute("class", class)
        .raw("><th scope=\"row\">")
        .text(&host.host)
        .raw("</th><td>")
        .text(role)
        .raw("</td><td>")
        .text(&host.zone)
        .raw("</td><td>")
        .text(host.service.as_deref().unwrap_or("-"))
        .raw("</td><td>")
        .text(state)
        .raw("</td>");
    let Some(report) = &host.report else {
        return html.raw("<td colspan=\"4\">not linked to this entry</td></tr>");
    };
    let confirmed: Vec<String> = report
        .confirmed
        .iter()
        .map(|confirmed| format!("{} {}", confirmed.model, confirmed.version))
        .collect();
    let capacity = match report.capacity {
        0 => "?".to_owned(),
        capacity => capacity.to_string(),
    };
    html.raw("<td>")
        .text(report.version)
        .raw("</td><td>")
        .text(format_args!("{} of {capacity}", report.running))
        .raw("</td><td>")
        .text(report.waiting)
        .raw("</td><td>")
        .text(confirmed.join(", "))
        .raw("</td></tr>")
}
