//! The configuration document: all settings that operators control.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::Digest;
use crate::host;

pub mod check;
pub mod difference;
pub mod part;

/// The configuration that the console accepts and every process applies.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The fleet's name, shown to operators.
    pub fleet: SmolStr,
    /// Models and the versions that hosts must hold.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Services that callers can reach.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Customers with their keys and shares.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// Operators who may sign in to the console.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// How model weights are distributed and versions are rolled out.
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
    /// Adapters that an engine loads on top of this model.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// An adapter of a model: a small model with its own name and version.
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
    /// The service's name, which the agents beside its backend servers refer
    /// to.
    pub name: SmolStr,
    /// The kind of backend server that answers.
    pub backend: Backend,
    /// Availability zones in which the service runs; empty means all.
    #[serde(default)]
    pub zones: Vec<host::Zone>,
    /// Whether a call may run more than once.
    #[serde(default)]
    pub repeat: Repeat,
    /// The most calls that one backend server runs concurrently.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// The deadline of a call, in milliseconds from its arrival.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

/// The kind of backend server that answers for a service.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Backend {
    /// A model engine.
    Engine {
        /// The name of the model that it serves.
        model: SmolStr,
    },
    /// A plain HTTP service, selected by path prefix.
    Plain {
        /// The path prefix, starting with `/`.
        prefix: SmolStr,
    },
}

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// A call may be repeated without harm.
    #[default]
    Allowed,
    /// A call must run at most once.
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
    /// The customer's weight against other customers when capacity is short.
    #[serde(default = "default_share")]
    pub share: u32,
    /// The most requests per second over the whole fleet; null means no fixed
    /// limit.
    #[serde(default)]
    pub requests_per_second: Option<u32>,
    /// The priority from 0 to 9; calls of a higher priority go first.
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

/// How model weights are distributed and versions are rolled out.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rollout {
    /// What to minimize: the time of a rollout or the bytes from the origin.
    #[serde(rename = "weigh")]
    pub objective: Objective,
    /// The percentage of a service's backend servers that may reload
    /// concurrently.
    pub width_percent: u8,
}

/// What a rollout minimizes: its time or the bytes from the origin.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename = "Weigh")]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Update every replica as early as possible.
    #[default]
    Time,
    /// Fetch as few bytes as possible from the origin.
    Origin,
}

/// The default of [`Service::concurrency`].
pub const DEFAULT_CONCURRENCY: u32 = 16;
/// The default of [`Service::deadline_ms`].
pub const DEFAULT_DEADLINE_MS: u64 = 60_000;
/// The default of [`Customer::share`].
pub const DEFAULT_SHARE: u32 = 10;
/// The default of [`Rollout::width_percent`].
pub const DEFAULT_WIDTH_PERCENT: u8 = 25;

/// The largest size of a document's canonical text, in bytes.
pub const TEXT_MAX_BYTES: usize = 1 << 20;

impl Document {
    /// Parses a document from JSON.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if the text is not valid JSON, or has fields or values
    /// that this build does not know.
    pub fn parse(json: &str) -> Result<Document, ParseError> {
        serde_json::from_str(json).map_err(|error| ParseError {
            detail: error.to_string().into(),
        })
    }

    /// Sorts every list by name. The order of a list has no meaning, so
    /// documents that differ only in order get the same text and digest.
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

    /// The compact JSON text; it is canonical if the document is.
    pub fn json(&self) -> String {
        serde_json::to_string(self).expect("documents serialize to JSON")
    }

    /// The indented JSON text.
    pub fn pretty(&self) -> String {
        serde_json::to_string_pretty(self).expect("documents serialize to JSON")
    }

    /// The digest of the compact JSON text.
    pub fn digest(&self) -> Digest {
        Digest::of(self.json().as_bytes())
    }

    /// The JSON Schema of the document.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Document).to_value()
    }
}

/// The text is not a document that this build can parse.
#[derive(Clone, Debug, Eq, PartialEq, snafu::Snafu)]
#[snafu(display("not a document ({detail}); compare it with docs/document.schema.json"))]
pub struct ParseError {
    /// The parser's message; for a text it has line and column.
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
