//! What differs between two documents, field by field.

use serde_json::Map;
use serde_json::Value;

use super::Document;
use super::part::Key;
use super::part::Parts;

/// One field that differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The field, such as `customers[archive].share`.
    pub path: String,
    /// What it was; none if it was not there.
    pub before: Option<String>,
    /// What it will be; none if it goes.
    pub after: Option<String>,
}

/// The changes that lead from one document to another, in the order of paths.
pub fn between(before: &Document, after: &Document) -> Vec<Change> {
    let before = before.clone().canonical().parts();
    let after = after.clone().canonical().parts();
    let mut changes = Vec::new();
    for key in keys(&before, &after) {
        let old = before.get(key).map(|json| value(json));
        let new = after.get(key).map(|json| value(json));
        compare(&path(key), old.as_ref(), new.as_ref(), &mut changes);
    }
    changes
}

fn keys<'a>(before: &'a Parts, after: &'a Parts) -> Vec<&'a Key> {
    let mut keys: Vec<&Key> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    keys
}

fn value(json: &str) -> Value {
    serde_json::from_str(json).unwrap_or_else(|_| Value::String(json.to_owned()))
}

fn path(key: &Key) -> String {
    let field = key.section.field();
    match key.name.is_empty() {
        true => field.to_owned(),
        false => format!("{field}[{}]", key.name),
    }
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, changes: &mut Vec<Change>) {
    match (before, after) {
        (before, after) if before == after => {}
        (Some(Value::Object(before)), Some(Value::Object(after))) => {
            for field in fields(before, after) {
                let path = format!("{path}.{field}");
                compare(&path, before.get(field), after.get(field), changes);
            }
        }
        (before, after) => changes.push(Change {
            path: path.to_owned(),
            before: before.map(show),
            after: after.map(show),
        }),
    }
}

fn fields<'a>(before: &'a Map<String, Value>, after: &'a Map<String, Value>) -> Vec<&'a String> {
    let mut fields: Vec<&String> = before.keys().chain(after.keys()).collect();
    fields.sort();
    fields.dedup();
    fields
}

fn show(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
