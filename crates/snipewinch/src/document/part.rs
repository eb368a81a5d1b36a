//! Splits a document into named parts, so that a delta has the changed parts
//! only.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;

use super::Document;
use super::ParseError;

/// The section of the document to which a part belongs.
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
    /// The rollout settings.
    #[serde(rename = "r")]
    Rollout,
}

impl Section {
    /// The name of the section's field in the document.
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

/// Identifies one part of a document.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The section.
    #[serde(rename = "s")]
    pub section: Section,
    /// The name within the section; empty if the section is not a list.
    #[serde(rename = "n")]
    pub name: SmolStr,
}

/// The parts of a document as JSON texts.
pub type Parts = BTreeMap<Key, String>;

impl Document {
    /// Splits the document into parts.
    pub fn parts(&self) -> Parts {
        let mut parts = Parts::new();
        insert_part(&mut parts, Section::Fleet, "", &self.fleet);
        insert_part(&mut parts, Section::Rollout, "", &self.rollout);
        for model in &self.models {
            insert_part(&mut parts, Section::Model, &model.name, model);
        }
        for service in &self.services {
            insert_part(&mut parts, Section::Service, &service.name, service);
        }
        for customer in &self.customers {
            insert_part(&mut parts, Section::Customer, &customer.name, customer);
        }
        for operator in &self.operators {
            insert_part(&mut parts, Section::Operator, &operator.name, operator);
        }
        parts
    }

    /// Assembles a document from its parts, with models, services, customers
    /// and operators ordered by name. The result is canonical if the parts are
    /// those of a canonical document.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if this build cannot parse a part.
    pub fn from_parts(parts: &Parts) -> Result<Document, ParseError> {
        let mut document = Map::new();
        for (key, json) in parts {
            let value: Value = serde_json::from_str(json).map_err(parse_error)?;
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
        serde_json::from_value(Value::Object(document)).map_err(parse_error)
    }
}

fn parse_error(error: serde_json::Error) -> ParseError {
    ParseError {
        detail: error.to_string().into(),
    }
}

fn insert_part<T: Serialize>(parts: &mut Parts, section: Section, name: &str, value: &T) {
    let key = Key {
        section,
        name: name.into(),
    };
    let json = serde_json::to_string(value).expect("documents serialize to JSON");
    parts.insert(key, json);
}
