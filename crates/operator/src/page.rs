//! The HTML pages of the console.

use poem::IntoResponse;
use poem::Response;
use poem::http::StatusCode;
use poem::http::header;

use crate::html::Html;
use crate::request::TOKEN_FIELD;
use crate::session::Session;

mod edit;
mod history;
mod live;
mod review;

pub(crate) use self::edit::document;
pub(crate) use self::edit::edit;
pub(crate) use self::history::history;
pub(crate) use self::history::version;
pub(crate) use self::live::fleet;
pub(crate) use self::live::overview;
pub(crate) use self::review::Review;
pub(crate) use self::review::accepted;
pub(crate) use self::review::review;

/// The stylesheet of all pages.
pub(crate) const STYLESHEET: &str = include_str!("page/style.css");
/// The content security policy: forbids scripts, framing, and resources and
/// form targets on other sites.
const SECURITY_POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; \
                      frame-ancestors 'none'; base-uri 'none'";

/// The parts of a page around its body.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Layout<'a> {
    /// The page's title, which also marks the current page in the navigation.
    pub(crate) title: &'a str,
    /// The session; without one the page has no navigation.
    pub(crate) session: Option<&'a Session>,
    /// Seconds after which the browser reloads the page; `None` for never.
    pub(crate) refresh_s: Option<u32>,
}

/// The paths and titles in the navigation.
const PAGES: &[(&str, &str)] = &[
    ("/console/", "Overview"),
    ("/console/edit", "Edit"),
    ("/console/document", "Edit as document"),
    ("/console/history", "History"),
    ("/console/fleet", "Fleet"),
];

/// Renders a complete page and sets its security headers.
pub(crate) fn render(status: StatusCode, layout: Layout<'_>, body: Html) -> Response {
    let mut html = Html::new()
        .raw("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
        .raw("<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">")
        .raw("<link rel=\"stylesheet\" href=\"/console/style.css\">");
    if let Some(refresh_s) = layout.refresh_s {
        html = html
            .raw("<meta http-equiv=\"refresh\"")
            .attribute("content", refresh_s)
            .raw(">");
    }
    html = html
        .raw("<title>")
        .text(layout.title)
        .raw(" - snipewinch</title></head><body>")
        .raw("<a class=\"skip\" href=\"#main\">Skip to content</a><header><b>snipewinch</b>");
    if let Some(session) = layout.session {
        html = html.add(navigation(layout.title, session));
    }
    html = html
        .raw("</header><main id=\"main\"><h1>")
        .text(layout.title)
        .raw("</h1>")
        .add(body)
        .raw("</main></body></html>");
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "text/html; charset=utf-8")
        .header(header::CONTENT_SECURITY_POLICY, SECURITY_POLICY)
        .header(header::X_CONTENT_TYPE_OPTIONS, "nosniff")
        .header(header::REFERRER_POLICY, "same-origin")
        .header(header::CACHE_CONTROL, "no-store")
        .body(html.into_string())
}

fn navigation(title: &str, session: &Session) -> Html {
    let mut html = Html::new().raw("<nav aria-label=\"Console\">");
    for (path, name) in PAGES {
        html = html.raw("<a").attribute("href", path);
        if *name == title {
            html = html.raw(" aria-current=\"page\"");
        }
        html = html.raw(">").text(name).raw("</a>");
    }
    html.raw("</nav><form method=\"post\" action=\"/console/sign-out\">")
        .hidden(TOKEN_FIELD, &session.form_token)
        .raw("<span>")
        .text(&session.operator)
        .raw("</span> <button class=\"plain\">Sign out</button></form>")
}

/// Renders a page with only a message.
pub(crate) fn message(status: StatusCode, title: &str, text: &str) -> Response {
    let layout = Layout {
        title,
        ..Layout::default()
    };
    let body = Html::new()
        .raw("<p role=\"alert\" class=\"notice\">")
        .text(text)
        .raw("</p><p><a href=\"/console/\">Overview</a></p>");
    render(status, layout, body)
}

/// Redirects the browser to `path` with 303.
pub(crate) fn redirect(path: &str) -> Response {
    Response::builder()
        .status(StatusCode::SEE_OTHER)
        .header(header::LOCATION, path)
        .body(())
}

/// Renders the sign-in page.
pub(crate) fn sign_in(status: StatusCode, problem: Option<&str>) -> Response {
    let layout = Layout {
        title: "Sign in",
        ..Layout::default()
    };
    let mut body = Html::new();
    if let Some(problem) = problem {
        body = body.add(notice(problem));
    }
    let body = body
        .raw("<form method=\"post\" action=\"/console/sign-in\" class=\"card\">")
        .raw("<label for=\"key\">Operator's key</label>")
        .raw("<input id=\"key\" name=\"key\" type=\"password\" autocomplete=\"current-password\"")
        .raw(" required autofocus><button>Sign in</button></form>");
    render(status, layout, body).into_response()
}

/// Renders an alert that screen readers announce.
pub(crate) fn notice(text: &str) -> Html {
    Html::new()
        .raw("<p role=\"alert\" class=\"notice\">")
        .text(text)
        .raw("</p>")
}
