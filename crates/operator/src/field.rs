//! The fields of the edit form: how each is displayed and parsed.

use serde_json::Value;
use serde_json::json;
use snipewinch::Digest;

/// The type of a field's value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// Any text; only the checks of the document validate it.
    Text,
    /// A whole number.
    Number,
    /// A whole number, or empty for null.
    OptionalNumber,
    /// A digest in hexadecimal.
    Digest,
    /// A key in plain text. Only its digest is stored, in the field named here;
    /// empty input leaves that field unchanged.
    Secret(&'static str),
    /// One of these values, each with its label.
    Choice(&'static [(&'static str, &'static str)]),
    /// Names separated by commas.
    Names,
    /// The kind of a service's backend servers, `engine` or `plain`; the other
    /// half of the document's `backend` field is [`Kind::Target`].
    Backend,
    /// The model of a service's engine, or its path prefix if it is plain.
    Target,
}

/// A field of the form.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    /// Its name in the document and the form.
    pub(crate) name: &'static str,
    /// Its label in the form.
    pub(crate) label: &'static str,
    /// A hint at valid values; may be empty.
    pub(crate) hint: &'static str,
    pub(crate) kind: Kind,
}

/// A list of the document, shown as repeated rows of fields.
#[derive(Clone, Copy, Debug)]
pub(crate) struct List {
    pub(crate) name: &'static str,
    /// The label of one row.
    pub(crate) row_label: &'static str,
    pub(crate) fields: &'static [Field],
    /// A list within each row.
    pub(crate) inner: Option<&'static List>,
}

const fn field(name: &'static str, label: &'static str, hint: &'static str, kind: Kind) -> Field {
    Field {
        name,
        label,
        hint,
        kind,
    }
}

const NAME: Field = field("name", "Name", "letters, digits, - _ .", Kind::Text);
const VERSION: Field = field("version", "Version", "such as 2026-12-03", Kind::Text);
const MANIFEST: Field = field(
    "manifest",
    "Manifest digest",
    "64 hexadecimal digits, as `snipewinch weights` prints them",
    Kind::Digest,
);
const KEY: Field = field(
    "key",
    "Key digest",
    "64 hexadecimal digits, or type a key beside",
    Kind::Digest,
);
const NEW_KEY: Field = field(
    "new_key",
    "New key",
    "only its digest is kept",
    Kind::Secret("key"),
);

/// The kinds of backend servers, each with its label.
pub(crate) const BACKENDS: &[(&str, &str)] =
    &[("engine", "model engine"), ("plain", "plain service")];

/// The lists of the document, in the order of the page.
pub(crate) const LISTS: &[List] = &[MODELS, SERVICES, CUSTOMERS, OPERATORS];

const ADAPTERS: List = List {
    name: "adapters",
    row_label: "adapter",
    fields: &[NAME, VERSION, MANIFEST],
    inner: None,
};
const MODELS: List = List {
    name: "models",
    row_label: "model",
    fields: &[NAME, VERSION, MANIFEST],
    inner: Some(&ADAPTERS),
};
const SERVICES: List = List {
    name: "services",
    row_label: "service",
    fields: &[
        NAME,
        field("backend", "Answered by", "", Kind::Backend),
        field(
            "target",
            "Model or path prefix",
            "verse-1, or /desk",
            Kind::Target,
        ),
        field(
            "zones",
            "Availability zones",
            "between commas; empty means all",
            Kind::Names,
        ),
        field(
            "repeat",
            "A call may run twice",
            "",
            Kind::Choice(&[("allowed", "yes"), ("never", "no, at most once")]),
        ),
        field(
            "concurrency",
            "Calls at once per backend server",
            "",
            Kind::Number,
        ),
        field("deadline_ms", "Deadline of a call, ms", "", Kind::Number),
    ],
    inner: None,
};
const CUSTOMERS: List = List {
    name: "customers",
    row_label: "customer",
    fields: &[
        NAME,
        KEY,
        NEW_KEY,
        field(
            "share",
            "Share",
            "1 to 100, against the others",
            Kind::Number,
        ),
        field(
            "requests_per_second",
            "Requests a second",
            "empty means no fixed limit",
            Kind::OptionalNumber,
        ),
        field(
            "priority",
            "Priority",
            "0 to 9, higher goes first",
            Kind::Number,
        ),
    ],
    inner: None,
};
const OPERATORS: List = List {
    name: "operators",
    row_label: "operator",
    fields: &[NAME, KEY, NEW_KEY],
    inner: None,
};

/// The fields outside of lists.
pub(crate) const TOP_LEVEL: &[Field] = &[field(
    "fleet",
    "Fleet",
    "its name, shown to operators",
    Kind::Text,
)];
/// The fields of the document's `rollout` object.
pub(crate) const ROLLOUT: &[Field] = &[
    field(
        "weigh",
        "When time and origin bytes pull apart",
        "",
        Kind::Choice(&[
            ("time", "reach every host early"),
            ("origin", "spare the origin"),
        ]),
    ),
    field(
        "width_percent",
        "Backend servers that reload at once, %",
        "1 to 100",
        Kind::Number,
    ),
];

/// Returns a new row of the list `list`, with default values.
pub(crate) fn new_row(list: &str) -> Value {
    match list {
        "services" => json!({
            "name": "",
            "backend": {"engine": {"model": ""}},
            "concurrency": snipewinch::document::DEFAULT_CONCURRENCY,
            "deadline_ms": snipewinch::document::DEFAULT_DEADLINE_MS,
        }),
        "customers" => json!({
            "name": "",
            "key": "",
            "share": snipewinch::document::DEFAULT_SHARE,
            "priority": 0,
        }),
        "operators" => json!({"name": "", "key": ""}),
        _ => json!({"name": "", "version": "", "manifest": ""}),
    }
}

/// Parses `input` and sets the field `name` of `object` to it. The error is the
/// text shown beside the field.
pub(crate) fn set(kind: Kind, name: &str, input: &str, object: &mut Value) -> Result<(), String> {
    let input = input.trim();
    let value = match kind {
        Kind::Text => json!(input),
        Kind::Number => json!(parse_number(input)?),
        Kind::OptionalNumber if input.is_empty() => Value::Null,
        Kind::OptionalNumber => json!(parse_number(input)?),
        Kind::Digest => json!(input),
        Kind::Secret(_) if input.is_empty() => return Ok(()),
        Kind::Secret(target) => {
            object[target] = json!(Digest::of(input.as_bytes()));
            return Ok(());
        }
        Kind::Choice(choices) => match choices.iter().any(|(value, _)| *value == input) {
            true => json!(input),
            false => return Err("choose one of the list".to_owned()),
        },
        Kind::Names => input
            .split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty())
            .collect(),
        Kind::Backend => {
            let target = backend_target(object).to_owned();
            set_backend(object, input, &target)?;
            return Ok(());
        }
        Kind::Target => {
            let kind = backend_kind(object).to_owned();
            set_backend(object, &kind, input)?;
            return Ok(());
        }
    };
    object[name] = value;
    Ok(())
}

/// Returns the text that the form shows for the field `name` of `object`.
pub(crate) fn display(kind: Kind, name: &str, object: &Value) -> String {
    match kind {
        Kind::Secret(_) => String::new(),
        Kind::Backend => backend_kind(object).to_owned(),
        Kind::Target => backend_target(object).to_owned(),
        Kind::Names => {
            let names = object[name]
                .as_array()
                .map(Vec::as_slice)
                .unwrap_or_default();
            let names: Vec<&str> = names.iter().filter_map(Value::as_str).collect();
            names.join(", ")
        }
        Kind::Choice(_) | Kind::Digest | Kind::Number | Kind::OptionalNumber | Kind::Text => {
            match &object[name] {
                Value::Null => String::new(),
                Value::String(text) => text.clone(),
                other => other.to_string(),
            }
        }
    }
}

fn parse_number(input: &str) -> Result<u64, String> {
    input
        .parse()
        .map_err(|_| format!("`{input}` is not a whole number: write one such as 16"))
}

fn backend_kind(object: &Value) -> &'static str {
    match object["backend"].get("plain") {
        Some(_) => "plain",
        None => "engine",
    }
}

fn backend_target(object: &Value) -> &str {
    let backend = &object["backend"];
    let target = backend["plain"]["prefix"].as_str();
    target
        .or(backend["engine"]["model"].as_str())
        .unwrap_or_default()
}

fn set_backend(object: &mut Value, kind: &str, target: &str) -> Result<(), String> {
    object["backend"] = match kind {
        "engine" => json!({"engine": {"model": target}}),
        "plain" => json!({"plain": {"prefix": target}}),
        _ => return Err("choose one of the list".to_owned()),
    };
    Ok(())
}
