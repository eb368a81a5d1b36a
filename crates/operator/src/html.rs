//! HTML builder that escapes all text.

use std::fmt::Display;
use std::fmt::Write;

/// A fragment of HTML.
#[derive(Clone, Debug, Default)]
pub(crate) struct Html(String);

impl Html {
    pub(crate) fn new() -> Html {
        Html::default()
    }

    /// Appends constant markup, unescaped.
    pub(crate) fn raw(mut self, markup: &'static str) -> Html {
        self.0.push_str(markup);
        self
    }

    /// Appends untrusted text, escaped; safe between tags and in quoted
    /// attributes.
    pub(crate) fn text(mut self, text: impl Display) -> Html {
        for c in text.to_string().chars() {
            match c {
                '&' => self.0.push_str("&amp;"),
                '<' => self.0.push_str("&lt;"),
                '>' => self.0.push_str("&gt;"),
                '"' => self.0.push_str("&quot;"),
                '\'' => self.0.push_str("&#39;"),
                // HTML does not allow control characters.
                c if c.is_control() && !matches!(c, '\n' | '\t') => self.0.push('\u{fffd}'),
                c => self.0.push(c),
            }
        }
        self
    }

    /// Appends the attribute ` name="value"`.
    pub(crate) fn attribute(mut self, name: &'static str, value: impl Display) -> Html {
        let _ = write!(self.0, " {name}=\"");
        self.text(value).raw("\"")
    }

    /// Appends another fragment.
    pub(crate) fn add(mut self, other: Html) -> Html {
        self.0.push_str(&other.0);
        self
    }

    /// Appends fragments in order.
    pub(crate) fn add_all(self, fragments: impl IntoIterator<Item = Html>) -> Html {
        fragments.into_iter().fold(self, Html::add)
    }

    /// Appends a hidden form field.
    pub(crate) fn hidden(self, name: &'static str, value: impl Display) -> Html {
        self.raw("<input type=\"hidden\"")
            .attribute("name", name)
            .attribute("value", value)
            .raw(">")
    }

    pub(crate) fn into_string(self) -> String {
        self.0
    }
}
