//! A document taken apart by name, so that a small change is a small message.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;

use super::Document;
use super::ParseError;

/// Which list of the document a part stands in.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Section {
    /// The fleet's name.
    #[serde(rename = "f")]
    Fleet,
    /// A model.
    #[serde(rename = "m")]
    Model,
    /// A service.
    #[serde(rename = "s")]
    Service,
    /// A customer.
    #[serde(rename = "c")]
    Customer,
    /// An operator.
    #[serde(rename = "o")]
    Operator,
    /// How versions roll over.
    #[serde(rename = "r")]
    Rollout,
}

impl Section {
    /// The field of the document.
    pub fn field(self) -> &'static str {
        match self {
            Section::Customer => "customers",
            Section::Fleet => "fleet",
            Section::Model => "models",
            Section::Operator => "operators",
            Section::Rollout => "rollout",
            Section::Service => "services",
        }
    }

    fn is_list(self) -> bool {
        !matches!(self, Section::Fleet | Section::Rollout)
    }
}

/// Names one part of a document.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The list.
    #[serde(rename = "s")]
    pub section: Section,
    /// The name within the list; empty where there is no list.
    #[serde(rename = "n")]
    pub name: SmolStr,
}

/// A document as its parts' JSON texts.
pub type Parts = BTreeMap<Key, String>;

impl Document {
    /// Takes the document apart.
    pub fn parts(&self) -> Parts {
        let mut parts = Parts::new();
        put(&mut parts, Section::Fleet, "", &self.fleet);
        put(&mut parts, Section::Rollout, "", &self.rollout);
        for model in &self.models {
            put(&mut parts, Section::Model, &model.name, model);
        }
        for service in &self.services {
            put(&mut parts, Section::Service, &service.name, service);
        }
        for customer in &self.customers {
            put(&mut parts, Section::Customer, &customer.name, customer);
        }
        for operator in &self.operators {
            put(&mut parts, Section::Operator, &operator.name, operator);
        }
        parts
    }

    /// Puts a document together; the result is canonical.
    ///
    /// # Errors
    ///
    /// [`ParseError`] when a part is not what this build understands.
    pub fn join(parts: &Parts) -> Result<Document, ParseError> {
        let mut document = Map::new();
        for (key, json) in parts {
            let value: Value = serde_json::from_str(json).map_err(unreadable)?;
            let field = key.section.field().to_owned();
            match key.section.is_list() {
                false => {
                    document.insert(field, value);
                }
                true => match document
                    .entry(field)
                    .or_insert_with(|| Value::Array(vec![]))
                {
                    Value::Array(list) => list.push(value),
                    _ => unreachable!("list sections hold lists"),
                },
            }
        }
        serde_json::from_value(Value::Object(document)).map_err(unreadable)
    }
}

fn unreadable(error: serde_json::Error) -> ParseError {
    ParseError {
        detail: error.to_string().into(),
    }
}

fn put<T: Serialize>(parts: &mut Parts, section: Section, name: &str, value: &T) {
    let key = Key {
        section,
        name: name.into(),
    };
    let json = serde_json::to_string(value).expect("a document is plain data");
    parts.insert(key, json);
}
