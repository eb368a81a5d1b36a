//! The pages of published versions.

use poem::Response;
use poem::http::StatusCode;
use snipewinch::configuration::Record;
use snipewinch::configuration::Snapshot;
use snipewinch::document::difference;

use super::Layout;
use super::render;
use super::review;
use crate::html::Html;
use crate::request::TOKEN_FIELD;
use crate::session::Session;

/// Renders the list of versions, newest first. `more` states that older ones
/// may exist beyond `records`.
pub(crate) fn history(session: &Session, records: &[Record], more: bool) -> Response {
    let layout = Layout {
        title: "History",
        session: Some(session),
        ..Layout::default()
    };
    let mut body = Html::new()
        .raw("<div class=\"scroll\"><table><thead><tr><th scope=\"col\">Version</th>")
        .raw("<th scope=\"col\">By</th><th scope=\"col\">When</th>")
        .raw("<th scope=\"col\">Note</th></tr></thead><tbody>");
    for record in records {
        body = body
            .raw("<tr><th scope=\"row\"><a")
            .attribute("href", format_args!("/console/history/{}", record.version))
            .raw(">")
            .text(record.version)
            .raw("</a></th><td>")
            .text(&record.operator)
            .raw("</td><td>")
            .text(format_time(record.at_ms))
            .raw("</td><td>")
            .text(&record.note)
            .raw("</td></tr>");
    }
    body = body.raw("</tbody></table></div>");
    if let Some(last) = records.last().filter(|_| more) {
        body = body
            .raw("<p><a")
            .attribute(
                "href",
                format_args!("/console/history?before={}", last.version),
            )
            .raw(">Older versions</a></p>");
    }
    render(StatusCode::OK, layout, body)
}

/// Renders one version, what restoring it would change, and a button to restore
/// it. `content` is the parsed version, or why it cannot be parsed.
pub(crate) fn version(
    session: &Session,
    record: &Record,
    content: Result<&Snapshot, &str>,
    in_force: &Snapshot,
) -> Response {
    let title = format!("Version {}", record.version);
    let layout = Layout {
        title: &title,
        session: Some(session),
        ..Layout::default()
    };
    let body = Html::new()
        .raw("<p>By ")
        .text(&record.operator)
        .raw(" at ")
        .text(format_time(record.at_ms))
        .raw(". ")
        .text(&record.note)
        .raw("</p>");
    let content = match content {
        Ok(content) => content,
        Err(problem) => return render(StatusCode::OK, layout, body.add(super::notice(problem))),
    };
    let changes = difference::between(&in_force.document, &content.document);
    let body = body
        .raw("<h2>Against version ")
        .text(in_force.version)
        .raw(", in force here</h2>")
        .add(review::change_table(&changes))
        .raw("<form method=\"post\"")
        .attribute(
            "action",
            format_args!("/console/restore/{}", record.version),
        )
        .raw(">")
        .hidden(TOKEN_FIELD, &session.form_token)
        .raw("<button>Take this content up again, as a new version</button></form>")
        .raw("<h2>Content</h2><pre class=\"scroll\">")
        .text(content.document.pretty())
        .raw("</pre>");
    render(StatusCode::OK, layout, body)
}

/// Formats milliseconds since the Unix epoch as RFC 3339 in UTC.
fn format_time(at_ms: u64) -> String {
    let at_time = std::time::UNIX_EPOCH + std::time::Duration::from_millis(at_ms);
    humantime::format_rfc3339_seconds(at_time).to_string()
}
