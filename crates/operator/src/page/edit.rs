//! The pages on which a document is edited.

use poem::Response;
use poem::http::StatusCode;
use serde_json::Value;

use super::Layout;
use super::notice;
use super::render;
use crate::draft::Draft;
use crate::field;
use crate::field::BACKENDS;
use crate::field::Field;
use crate::field::Kind;
use crate::field::LISTS;
use crate::field::List;
use crate::field::ROLLOUT;
use crate::field::TOP_LEVEL;
use crate::html::Html;
use crate::request::TOKEN_FIELD;
use crate::session::Session;

/// Renders the edit form with its fields.
pub(crate) fn edit(session: &Session, draft: &Draft) -> Response {
    let status = match draft.problems.is_empty() {
        true => StatusCode::OK,
        false => StatusCode::UNPROCESSABLE_ENTITY,
    };
    let layout = Layout {
        title: "Edit",
        session: Some(session),
        ..Layout::default()
    };
    let mut body = Html::new();
    if !draft.problems.is_empty() {
        body = body.add(notice(
            "This is not published: see the problems below. What you typed is kept.",
        ));
        body = body.add(problems(draft, ""));
    }
    // Browsers submit a form with its first button when Enter is pressed.
    body = body
        .raw("<form method=\"post\" action=\"/console/edit\">")
        .hidden(TOKEN_FIELD, &session.form_token)
        .hidden("draft", &draft.value)
        .raw("<button name=\"action\" value=\"review\">Review changes</button>")
        .raw("<h2>Fleet</h2><fieldset><div class=\"fields\">")
        .add_all(
            TOP_LEVEL
                .iter()
                .map(|field| field_input(draft, "", field, &draft.value)),
        )
        .raw("</div></fieldset>");
    for list in LISTS {
        body = body.add(list_rows(draft, "", list, &draft.value[list.name]));
    }
    let rollout = &draft.value["rollout"];
    body = body
        .raw("<h2>Rollout</h2><fieldset><div class=\"fields\">")
        .add_all(
            ROLLOUT
                .iter()
                .map(|field| field_input(draft, "rollout.", field, rollout)),
        )
        .raw("</div></fieldset>")
        .raw("<button name=\"action\" value=\"review\">Review changes</button></form>");
    render(status, layout, body)
}

/// Renders a list: its heading, its problems, its rows and the button that adds
/// a row.
fn list_rows(draft: &Draft, prefix: &str, list: &List, value: &Value) -> Html {
    let path = format!("{prefix}{}", list.name);
    let mut html = Html::new();
    if prefix.is_empty() {
        html = html.raw("<h2>").text(capitalize(list.name)).raw("</h2>");
    }
    html = html.add(problems(draft, &path));
    let rows = value.as_array().map(Vec::as_slice).unwrap_or_default();
    for (index, row) in rows.iter().enumerate() {
        html = html.add(row_fieldset(draft, &format!("{path}[{index}]"), list, row));
    }
    html.raw("<button class=\"plain\" name=\"action\"")
        .attribute("value", format_args!("add:{path}"))
        .raw(">Add ")
        .text(list.row_label)
        .raw("</button>")
}

fn row_fieldset(draft: &Draft, path: &str, list: &List, row: &Value) -> Html {
    let prefix = format!("{path}.");
    let name = row["name"].as_str().unwrap_or_default();
    let mut html = Html::new()
        .raw("<fieldset><legend>")
        .text(capitalize(list.row_label))
        .raw(" ")
        .text(name)
        .raw("</legend><div class=\"fields\">")
        .add_all(
            list.fields
                .iter()
                .map(|field| field_input(draft, &prefix, field, row)),
        )
        .raw("</div>");
    if let Some(inner) = list.inner {
        html = html.add(list_rows(draft, &prefix, inner, &row[inner.name]));
    }
    html.raw("<button class=\"plain\" name=\"action\"")
        .attribute("value", format_args!("remove:{path}"))
        .raw(">Remove ")
        .text(list.row_label)
        .raw("</button></fieldset>")
}

/// Renders a field: its label, control, hint and problems.
fn field_input(draft: &Draft, prefix: &str, field: &Field, object: &Value) -> Html {
    let path = format!("{prefix}{}", field.name);
    let value = match draft.invalid_inputs.get(&path) {
        Some(input) => input.clone(),
        None => field::display(field.kind, field.name, object),
    };
    let invalid = draft.problems.contains_key(&path);
    let label = Html::new()
        .raw("<div><label")
        .attribute("for", &path)
        .raw(">")
        .text(field.label)
        .raw("</label>");
    let control = match field.kind {
        Kind::Backend => select(&path, &value, invalid, BACKENDS),
        Kind::Choice(choices) => select(&path, &value, invalid, choices),
        kind => text_input(&path, &value, invalid, kind),
    };
    let hint = Html::new()
        .raw("<span class=\"hint\"")
        .attribute("id", format_args!("{path}-hint"))
        .raw(">")
        .text(field.hint)
        .raw("</span>");
    label
        .add(control)
        .add(hint)
        .add(problems(draft, &path))
        .raw("</div>")
}

fn text_input(path: &str, value: &str, invalid: bool, kind: Kind) -> Html {
    let html = Html::new()
        .raw("<input")
        .attribute("id", path)
        .attribute("name", path)
        .attribute("value", value)
        .attribute(
            "aria-describedby",
            format_args!("{path}-hint {path}-problem"),
        );
    let html = match kind {
        Kind::Secret(_) => html.raw(" type=\"password\" autocomplete=\"new-password\""),
        Kind::Number | Kind::OptionalNumber => html.raw(" inputmode=\"numeric\""),
        _ => html,
    };
    match invalid {
        true => html.raw(" aria-invalid=\"true\">"),
        false => html.raw(">"),
    }
}

fn select(path: &str, value: &str, invalid: bool, choices: &[(&str, &str)]) -> Html {
    let mut html = Html::new()
        .raw("<select")
        .attribute("id", path)
        .attribute("name", path);
    if invalid {
        html = html.raw(" aria-invalid=\"true\"");
    }
    html = html.raw(">");
    for (choice, name) in choices {
        html = html.raw("<option").attribute("value", choice);
        if *choice == value {
            html = html.raw(" selected");
        }
        html = html.raw(">").text(name).raw("</option>");
    }
    html.raw("</select>")
}

/// Renders the problems found at `path`, or nothing.
fn problems(draft: &Draft, path: &str) -> Html {
    let problems = draft
        .problems
        .get(path)
        .map(Vec::as_slice)
        .unwrap_or_default();
    if problems.is_empty() {
        return Html::new();
    }
    Html::new()
        .raw("<p class=\"problem\"")
        .attribute("id", format_args!("{path}-problem"))
        .raw(">")
        .text(problems.join("; "))
        .raw("</p>")
}

/// Renders the form that edits the document as JSON text.
pub(crate) fn document(session: &Session, text: &str, problems: &[String]) -> Response {
    let status = match problems.is_empty() {
        true => StatusCode::OK,
        false => StatusCode::UNPROCESSABLE_ENTITY,
    };
    let layout = Layout {
        title: "Edit as document",
        session: Some(session),
        ..Layout::default()
    };
    let mut body = Html::new();
    if !problems.is_empty() {
        body = body
            .add(notice("This is not published. What you typed is kept."))
            .raw("<ul class=\"problem\">");
        for problem in problems {
            body = body.raw("<li>").text(problem).raw("</li>");
        }
        body = body.raw("</ul>");
    }
    // Browsers drop a newline directly after the opening tag, so one is added
    // to keep a leading newline of the text.
    let body = body
        .raw("<form method=\"post\" action=\"/console/document\">")
        .hidden(TOKEN_FIELD, &session.form_token)
        .raw("<label for=\"text\">The whole document, as JSON</label>")
        .raw("<textarea id=\"text\" name=\"text\" spellcheck=\"false\">\n")
        .text(text)
        .raw("</textarea><button>Review changes</button></form>");
    render(status, layout, body)
}

fn capitalize(name: &str) -> String {
    let mut chars = name.chars();
    match chars.next() {
        Some(first) => first.to_uppercase().chain(chars).collect(),
        None => String::new(),
    }
}
