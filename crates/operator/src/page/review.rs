//! The review page, which shows what publishing a document would change.

use poem::Response;
use poem::http::StatusCode;
use smol_str::SmolStr;
use snipewinch::configuration::Snapshot;
use snipewinch::document::Document;
use snipewinch::document::difference;
use snipewinch::document::difference::Change;

use super::Layout;
use super::notice;
use super::render;
use crate::html::Html;
use crate::request::TOKEN_FIELD;
use crate::session::Session;

/// The most changes shown; the others are only counted.
const CHANGES_MAX: usize = 500;

/// A document under review, before it is published.
#[derive(Clone, Debug)]
pub(crate) struct Review {
    pub(crate) document: Document,
    /// The identifier of the publication, the same for each attempt at it.
    pub(crate) operation: SmolStr,
    /// Whether the operation was sent before and its outcome is unknown.
    pub(crate) sent: bool,
    pub(crate) note: String,
    /// Why the last attempt failed, if there was one.
    pub(crate) problem: Option<String>,
}

/// Renders the review page, which carries the document in a hidden field.
pub(crate) fn review(
    status: StatusCode,
    session: &Session,
    review: &Review,
    base: &Snapshot,
) -> Response {
    let layout = Layout {
        title: "Review",
        session: Some(session),
        ..Layout::default()
    };
    let changes = difference::between(&base.document, &review.document);
    let mut body = Html::new();
    if let Some(problem) = &review.problem {
        body = body.add(notice(problem));
    }
    body = body
        .raw("<p>Against version ")
        .text(base.version)
        .raw(", which is in force here:</p>")
        .add(change_table(&changes));
    let body = body
        .raw("<form method=\"post\" action=\"/console/publish\" class=\"card\">")
        .hidden(TOKEN_FIELD, &session.form_token)
        .hidden("draft", review.document.json())
        .hidden("base", base.version)
        .hidden("operation", &review.operation)
        .hidden("sent", u8::from(review.sent))
        .raw("<label for=\"note\">Note for the history</label>")
        .raw("<input id=\"note\" name=\"note\" maxlength=\"200\"")
        .attribute("value", &review.note)
        .raw("><button>Publish as version ")
        .text(base.version + 1)
        .raw("</button><button class=\"plain\" formaction=\"/console/edit\" name=\"action\"")
        .raw(" value=\"back\">Back to the forms</button></form>");
    render(status, layout, body)
}

/// Renders changes as a table.
pub(super) fn change_table(changes: &[Change]) -> Html {
    if changes.is_empty() {
        return Html::new().raw("<p>Nothing differs.</p>");
    }
    let mut html = Html::new()
        .raw("<div class=\"scroll\"><table><thead><tr><th scope=\"col\">Field</th>")
        .raw("<th scope=\"col\">Before</th><th scope=\"col\">After</th></tr></thead><tbody>");
    for change in changes.iter().take(CHANGES_MAX) {
        html = html
            .raw("<tr><th scope=\"row\">")
            .text(&change.path)
            .raw("</th><td><del>")
            .text(change.before.as_deref().unwrap_or("-"))
            .raw("</del></td><td><ins>")
            .text(change.after.as_deref().unwrap_or("-"))
            .raw("</ins></td></tr>");
    }
    html = html.raw("</tbody></table></div>");
    match changes.len().checked_sub(CHANGES_MAX) {
        Some(omitted) if omitted > 0 => html.raw("<p>and ").text(omitted).raw(" more.</p>"),
        _ => html,
    }
}

/// Renders the confirmation that a version was accepted. It must be shown for
/// no other outcome.
pub(crate) fn accepted(session: &Session, version: u64) -> Response {
    let layout = Layout {
        title: "Accepted",
        session: Some(session),
        ..Layout::default()
    };
    let body = Html::new()
        .raw("<p role=\"status\" class=\"done\">Version <output id=\"accepted\">")
        .text(version)
        .raw("</output> is accepted. It comes into force everywhere within seconds.</p>")
        .raw("<p><a href=\"/console/fleet\">Watch it spread</a></p>");
    render(StatusCode::OK, layout, body)
}
