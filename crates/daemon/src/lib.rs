//! The snipewinch daemon as a library.
//!
//! [`Config`] holds all settings, checked before anything starts.
//! [`Daemon::open`] starts the configured role and returns a handle to the
//! running daemon:
//!
//! ```no_run
//! # async fn start() -> Result<(), daemon::Error> {
//! let config = daemon::Config::builder("entry-1", daemon::Role::Entry)
//!     .fleet_key("a secret that all hosts share")
//!     .build()?;
//! let daemon = daemon::Daemon::open(config).await?;
//! println!("callers reach it at {}", daemon.http_address());
//! daemon.shutdown().await;
//! # Ok(())
//! # }
//! ```

mod agent;
pub mod command;
mod config;
mod configuration;
mod daemon;
mod entry;
mod error;
mod http;
mod log;
mod membership;
mod setting;
mod shutdown;
mod status;
mod trace;

pub use snipewinch::host::Role;

pub use crate::config::Builder;
pub use crate::config::Config;
pub use crate::config::LogFormat;
pub use crate::daemon::Daemon;
pub use crate::error::Error;
pub use crate::setting::Fault;
pub use crate::setting::SETTINGS;
pub use crate::setting::Setting;
