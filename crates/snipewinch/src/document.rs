//! The configuration document: everything that operators decide.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Digest;
use crate::host;

pub mod check;
pub mod difference;
pub mod part;

/// The document that the console accepts and every process obeys.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The fleet's name, shown to operators.
    pub fleet: SmolStr,
    /// Models and the versions that hosts must hold.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Services that callers reach.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Customers, their keys and shares.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// Operators that may sign in to the console.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// How weights spread and versions roll over.
    #[serde(default)]
    pub rollout: Rollout,
}

/// A model and the version that hosts must hold.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers ask for.
    pub name: SmolStr,
    /// The version in force.
    pub version: SmolStr,
    /// The digest of the version's manifest.
    pub manifest: Digest,
    /// Small models that an engine loads on top of this one.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// An adapter of a model: a small model of its own.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name that callers ask for.
    pub name: SmolStr,
    /// The version in force.
    pub version: SmolStr,
    /// The digest of the version's manifest.
    pub manifest: Digest,
}

/// A service and the backend servers that answer for it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name; agents name the service they stand beside.
    pub name: SmolStr,
    /// What answers.
    pub backend: Backend,
    /// Availability zones in which the service runs; empty means all.
    #[serde(default)]
    pub zones: Vec<host::Zone>,
    /// Whether a call may run twice.
    #[serde(default)]
    pub repeat: Repeat,
    /// The most calls that one backend server runs at once.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// How long a call may take from its arrival, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

/// What answers for a service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Backend {
    /// A model engine.
    Engine {
        /// The model it serves.
        model: SmolStr,
    },
    /// A plain HTTP service, reached by path prefix.
    Plain {
        /// The prefix, starting with `/`.
        prefix: SmolStr,
    },
}

/// Whether a call may run twice.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it again does no harm.
    #[default]
    Allowed,
    /// It must run at most once.
    Never,
}

/// A customer.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The customer's name.
    pub name: SmolStr,
    /// The BLAKE3 digest of the customer's bearer key.
    pub key: Digest,
    /// The customer's weight against the others when capacity is short.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Requests a second over the whole fleet; none means no fixed limit.
    #[serde(default)]
    pub requests_per_second: Option<u32>,
    /// Higher goes first; 0 to 9.
    #[serde(default)]
    pub priority: u8,
}

/// An operator.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The operator's name, shown in the history.
    pub name: SmolStr,
    /// The BLAKE3 digest of the operator's sign-in key.
    pub key: Digest,
}

/// How weights spread and versions roll over.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rollout {
    /// What to spend when time and origin bytes pull apart.
    #[serde(rename = "weigh")]
    pub objective: Objective,
    /// The share of a service's backend servers that may reload at once, in
    /// percent.
    pub width_percent: u8,
}

/// What to spend when time and origin bytes pull apart.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename = "Weigh")]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Reach every replica as early as possible.
    #[default]
    Time,
    /// Take as few bytes as possible from the origin.
    Origin,
}

/// Calls that one backend server runs at once unless the document says.
pub const DEFAULT_CONCURRENCY: u32 = 16;
/// How long a call may take unless the document says, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// A customer's weight unless the document says.
pub const DEFAULT_SHARE: u32 = 10;
/// The share of backend servers that may reload at once, in percent.
pub const DEFAULT_WIDTH_PERCENT: u8 = 25;

/// The longest canonical text of a document, in bytes.
pub const TEXT_MAX_BYTES: usize = 1 << 20;

impl Document {
    /// Reads a document from JSON.
    ///
    /// # Errors
    ///
    /// [`ParseError`] when the text is not JSON or says what this build does
    /// not know.
    pub fn parse(json: &str) -> Result<Document, ParseError> {
        serde_json::from_str(json).map_err(|error| ParseError {
            detail: error.to_string().into(),
        })
    }

    /// The same document with every list ordered by name: the order carries no
    /// meaning, so equal documents get equal texts.
    pub fn canonical(mut self) -> Document {
        self.models.sort_by(|a, b| a.name.cmp(&b.name));
        for model in &mut self.models {
            model.adapters.sort_by(|a, b| a.name.cmp(&b.name));
        }
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        for service in &mut self.services {
            service.zones.sort();
        }
        self.customers.sort_by(|a, b| a.name.cmp(&b.name));
        self.operators.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// The JSON text; canonical if the document is.
    pub fn json(&self) -> String {
        serde_json::to_string(self).expect("a document is plain data")
    }

    /// The JSON text for people.
    pub fn pretty(&self) -> String {
        serde_json::to_string_pretty(self).expect("a document is plain data")
    }

    /// The digest of the canonical JSON text.
    pub fn digest(&self) -> Digest {
        Digest::of(self.json().as_bytes())
    }

    /// The JSON Schema of documents.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Document).to_value()
    }
}

/// The text is not a document that this build understands.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display("not a document ({detail}); compare it with docs/document.schema.json"))]
pub struct ParseError {
    /// What the parser said, with line and column.
    pub detail: SmolStr,
}

fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

fn default_share() -> u32 {
    DEFAULT_SHARE
}

impl Default for Rollout {
    fn default() -> Rollout {
        Rollout {
            objective: Objective::default(),
            width_percent: DEFAULT_WIDTH_PERCENT,
        }
    }
}
