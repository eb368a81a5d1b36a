//! The entry and the agent that run on the users' platform.
//!
//! An entry accepts requests from callers and sends each one directly to a
//! backend server. An agent runs on the host of a model engine: it grants the
//! engine's slots to entries and loads weights into the engine. Both run on one
//! thread, keep all state in memory and rebuild it at each start. Their
//! decisions are made in the `snipewinch` library; the interfaces of the
//! platform are in `platform`.

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
