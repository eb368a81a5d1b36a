//! A document that an operator is editing.
//!
//! The server stores no drafts: each form carries the draft as a hidden field,
//! and the values of the visible fields are applied to it. A value that is
//! invalid for its field is kept as typed.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;
use snipewinch::document::Document;
use snipewinch::document::check::Fault;

use crate::field;
use crate::field::Field;
use crate::field::LISTS;
use crate::field::List;
use crate::field::ROLLOUT;
use crate::field::TOP_LEVEL;
use crate::request::Fields;

/// A document that may still be invalid.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// The document as JSON, without the invalid inputs.
    pub(crate) value: Value,
    /// The inputs that are invalid for their fields, by path.
    pub(crate) invalid_inputs: BTreeMap<String, String>,
    /// The problems found, by path; an empty path means the whole document.
    pub(crate) problems: BTreeMap<String, Vec<String>>,
}

impl Draft {
    pub(crate) fn new(document: &Document) -> Draft {
        Draft {
            value: serde_json::to_value(document).unwrap_or_default(),
            invalid_inputs: BTreeMap::new(),
            problems: BTreeMap::new(),
        }
    }

    /// Parses the draft from a form; `None` if its `draft` field is not a JSON
    /// object.
    pub(crate) fn parse(fields: &Fields) -> Option<Draft> {
        let value: Value = serde_json::from_str(fields.get("draft")).ok()?;
        if !value.is_object() {
            return None;
        }
        let mut draft = Draft {
            value,
            invalid_inputs: BTreeMap::new(),
            problems: BTreeMap::new(),
        };
        draft.ensure_rollout();
        let inputs: BTreeMap<&str, &str> = fields.iter().collect();
        draft.apply_inputs(&inputs);
        Some(draft)
    }

    /// Returns the document, or `None` if a field is invalid; then `problems`
    /// says why.
    pub(crate) fn document(&mut self) -> Option<Document> {
        if !self.problems.is_empty() {
            return None;
        }
        self.find_invalid_digests();
        if !self.problems.is_empty() {
            return None;
        }
        match serde_json::from_value(self.value.clone()) {
            Ok(document) => Some(document),
            Err(error) => {
                self.add_problem("", error.to_string());
                None
            }
        }
    }

    /// Adds the faults that the checks of the whole document found.
    pub(crate) fn add_faults(&mut self, faults: &[Fault]) {
        for fault in faults {
            let path = form_path(&fault.path);
            self.add_problem(&path, format!("{}; {}", fault.problem, fault.remedy));
        }
    }

    /// Adds a row with default values to the list at `path`.
    pub(crate) fn add_row(&mut self, path: &str) {
        let name = path.rsplit('.').next().unwrap_or(path);
        let Some(list) = self.list_mut(path) else {
            return;
        };
        match list {
            Value::Array(rows) => rows.push(field::new_row(name)),
            other => *other = json!([field::new_row(name)]),
        }
    }

    /// Removes the row at `path`, such as `models[1]`. This shifts the paths of
    /// the rows after it, so all invalid inputs and problems are cleared; the
    /// next check finds the remaining problems again.
    pub(crate) fn remove_row(&mut self, path: &str) {
        let Some((list, index)) = split_index(path) else {
            return;
        };
        if let Some(Value::Array(rows)) = self.list_mut(list)
            && index < rows.len()
        {
            rows.remove(index);
        }
        self.invalid_inputs.clear();
        self.problems.clear();
    }

    fn add_problem(&mut self, path: &str, problem: String) {
        self.problems
            .entry(path.to_owned())
            .or_default()
            .push(problem);
    }

    fn ensure_rollout(&mut self) {
        if !self.value["rollout"].is_object() {
            let rollout = snipewinch::document::Rollout::default();
            self.value["rollout"] = serde_json::to_value(rollout).unwrap_or_default();
        }
    }

    fn apply_inputs(&mut self, inputs: &BTreeMap<&str, &str>) {
        let mut value = std::mem::take(&mut self.value);
        self.apply_fields("", TOP_LEVEL, &mut value, inputs);
        self.apply_fields("rollout.", ROLLOUT, &mut value["rollout"], inputs);
        for list in LISTS {
            self.apply_list("", list, &mut value[list.name], inputs);
        }
        self.value = value;
    }

    fn apply_list(
        &mut self,
        prefix: &str,
        list: &List,
        rows: &mut Value,
        inputs: &BTreeMap<&str, &str>,
    ) {
        let Value::Array(rows) = rows else {
            *rows = json!([]);
            return;
        };
        for (index, row) in rows.iter_mut().enumerate() {
            let path = format!("{prefix}{}[{index}].", list.name);
            if !row.is_object() {
                *row = field::new_row(list.name);
            }
            self.apply_fields(&path, list.fields, row, inputs);
            if let Some(inner) = list.inner {
                self.apply_list(&path, inner, &mut row[inner.name], inputs);
            }
        }
    }

    fn apply_fields(
        &mut self,
        prefix: &str,
        fields: &[Field],
        object: &mut Value,
        inputs: &BTreeMap<&str, &str>,
    ) {
        for field in fields {
            let path = format!("{prefix}{}", field.name);
            let Some(input) = inputs.get(path.as_str()) else {
                continue;
            };
            if let Err(problem) = field::set(field.kind, field.name, input, object) {
                self.add_problem(&path, problem);
                self.invalid_inputs.insert(path, (*input).to_owned());
            }
        }
    }

    fn find_invalid_digests(&mut self) {
        let mut invalid_paths = Vec::new();
        for list in LISTS {
            invalid_digests("", list, &self.value[list.name], &mut invalid_paths);
        }
        for path in invalid_paths {
            let problem = snipewinch::digest::ParseError.to_string();
            self.add_problem(&path, problem);
        }
    }

    fn list_mut(&mut self, path: &str) -> Option<&mut Value> {
        let Some((outer, inner)) = path.split_once("].") else {
            let known = LISTS.iter().any(|list| list.name == path);
            return known.then(|| &mut self.value[path]);
        };
        let (list, index) = outer.split_once('[')?;
        let known = LISTS.iter().find(|known| known.name == list)?;
        let inner = known.inner.filter(|known| known.name == inner)?;
        let row = self.value[list].get_mut(index.parse::<usize>().ok()?)?;
        Some(&mut row[inner.name])
    }
}

fn invalid_digests(prefix: &str, list: &List, rows: &Value, invalid_paths: &mut Vec<String>) {
    let rows = rows.as_array().map(Vec::as_slice).unwrap_or_default();
    for (index, row) in rows.iter().enumerate() {
        let path = format!("{prefix}{}[{index}].", list.name);
        for field in list.fields {
            let text = row[field.name].as_str().unwrap_or_default();
            let is_valid = text.parse::<snipewinch::Digest>().is_ok();
            if field.kind == field::Kind::Digest && !is_valid {
                invalid_paths.push(format!("{path}{}", field.name));
            }
        }
        if let Some(inner) = list.inner {
            invalid_digests(&path, inner, &row[inner.name], invalid_paths);
        }
    }
}

/// Splits a path such as `models[1]` into the list's path and the index.
fn split_index(path: &str) -> Option<(&str, usize)> {
    let (list, index) = path.strip_suffix(']')?.rsplit_once('[')?;
    Some((list, index.parse().ok()?))
}

/// Returns the path of the form field that shows a fault of the document.
fn form_path(path: &str) -> String {
    match path.split_once(".backend.") {
        Some((service, _)) => format!("{service}.target"),
        None => match path.split_once(".zones[") {
            Some((service, _)) => format!("{service}.zones"),
            None => path.to_owned(),
        },
    }
}
