//! The HTML page with plots and tables.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::Value;

use super::Line;
use super::plot::Plot;
use crate::Error;

const STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:70rem;margin:2rem auto;\
padding:0 1rem;color:#222}table{border-collapse:collapse;font-size:13px;display:block;\
overflow-x:auto;margin:1rem 0}th,td{border:1px solid #ccc;padding:.2rem .5rem;text-align:right}\
th{background:#f3f3f3}svg{max-width:100%;height:auto}h2{margin-top:2.5rem}";

/// An HTML page under construction.
#[derive(Debug)]
pub(super) struct Page {
    text: String,
    section: String,
}

impl Page {
    pub(super) fn new(title: &str) -> Page {
        let title = escape(title);
        Page {
            text: format!(
                "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
                 <title>{title}</title><style>{STYLE}</style><h1>{title}</h1>\n"
            ),
            section: String::new(),
        }
    }

    /// Adds a plot, if there is one, to a section.
    pub(super) fn plot(&mut self, section: &str, plot: Option<Plot>) -> Result<(), Error> {
        if let Some(plot) = plot {
            self.heading(section);
            self.text.push_str(&plot.svg()?);
        }
        Ok(())
    }

    /// Adds a table to a section, with a column for every field of the lines
    /// but the timeline. Adds nothing if there are no lines.
    pub(super) fn table(&mut self, section: &str, lines: &[Line]) {
        if lines.is_empty() {
            return;
        }
        self.heading(section);
        let columns: BTreeSet<&String> = lines
            .iter()
            .filter_map(|line| line.fields.as_object())
            .flat_map(|fields| fields.iter())
            .filter(|(name, _)| *name != "timeline")
            .map(|(name, _)| name)
            .collect();
        self.text.push_str("<table><tr><th>file</th>");
        for column in &columns {
            let _ = write!(self.text, "<th>{}</th>", escape(column));
        }
        self.text.push_str("</tr>\n");
        for line in lines {
            let _ = write!(self.text, "<tr><td>{}</td>", escape(&line.file));
            for column in &columns {
                let cell = cell(line.fields.get(column.as_str()));
                let _ = write!(self.text, "<td>{}</td>", escape(&cell));
            }
            self.text.push_str("</tr>\n");
        }
        self.text.push_str("</table>\n");
    }

    /// Ends the page and returns its HTML text.
    pub(super) fn finish(mut self) -> String {
        self.text.push_str("</html>\n");
        self.text
    }

    /// Starts a section, unless the page is in it already.
    fn heading(&mut self, section: &str) {
        if self.section != section {
            let _ = writeln!(self.text, "<h2>{}</h2>", escape(section));
            self.section = section.to_owned();
        }
    }
}

fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Number(number)) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or(0.0))
        }
        Some(other) => other.to_string(),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
