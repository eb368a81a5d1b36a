//! The difference between two documents, field by field.

use serde_json::Map;
use serde_json::Value;

use super::Document;
use super::part::Key;
use super::part::Parts;

/// A change of one field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The path of the field, such as `customers[archive].share`.
    pub path: String,
    /// The old value; `None` if the field is added.
    pub before: Option<String>,
    /// The new value; `None` if the field is removed.
    pub after: Option<String>,
}

/// The changes from one document to another, ordered by part and field.
pub fn between(before: &Document, after: &Document) -> Vec<Change> {
    let before = before.clone().canonical().parts();
    let after = after.clone().canonical().parts();
    let mut changes = Vec::new();
    for key in keys(&before, &after) {
        let old = before.get(key).map(|json| parse(json));
        let new = after.get(key).map(|json| parse(json));
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

fn parse(json: &str) -> Value {
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
            before: before.map(display),
            after: after.map(display),
        }),
    }
}

fn fields<'a>(before: &'a Map<String, Value>, after: &'a Map<String, Value>) -> Vec<&'a String> {
    let mut fields: Vec<&String> = before.keys().chain(after.keys()).collect();
    fields.sort();
    fields.dedup();
    fields
}

fn display(parse: &Value) -> String {
    match parse {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
