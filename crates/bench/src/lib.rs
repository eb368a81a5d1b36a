//! Starts the daemons and the stand-ins on loopback, runs experiments on them
//! and prints the results.
//!
//! A [`fleet::Fleet`] is a set of running processes. [`load::Load`] sends calls
//! to it and checks every answer. The stand-ins count which calls were
//! executed.

pub mod binaries;
pub mod burst;
pub mod calls;
pub mod config;
pub mod console;
pub mod demo;
pub mod deployment;
pub mod drill;
mod error;
pub mod fleet;
pub mod load;
pub mod process;
pub mod report;
pub mod scrape;
pub mod slopes;
pub mod weights;

pub use error::Error;
pub use error::flag_error;
