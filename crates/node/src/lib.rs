//! The entry and the agent as they run on the users' platform.
//!
//! An entry answers callers and sends each request straight to a backend
//! server. An agent stands beside a model engine: it grants the engine's places
//! to entries and brings weights to it. Both run on one thread, hold everything
//! in memory and learn everything anew at each start; what they decide by is in
//! the `snipewinch` library, what they know of the platform in `platform`.

mod agent;
mod clock;
pub mod command;
mod config;
mod discovery;
mod entry;
mod error;
mod fleet_key;
mod log;
mod metrics;
mod operator;
mod shutdown;
mod status_server;

pub use crate::config::Config;
pub use crate::error::Error;
