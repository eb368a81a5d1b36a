//! Coordination parts for spreading model weights and routing live calls over
//! many small hosts.
//!
//! Every part is a plain state machine: time, seeds and messages come in, and
//! actions come out. Nothing here opens a socket, reads a clock or draws
//! global randomness, so the same code runs under a seeded test driver, in the
//! `snipewinchd` daemon and in programs that embed a single part.
//!
//! Time is always a [`std::time::Duration`] since an epoch that the embedder
//! chooses and that never goes back, usually the start of its process.

pub mod call;
pub mod claim;
pub mod concurrency;
pub mod configuration;
pub mod deadline;
pub mod digest;
pub mod document;
pub mod host;
pub mod lease;
pub mod limit;
pub mod membership;
mod mix;
pub mod retry;
pub mod routing;
pub mod weights;
pub mod wire;

pub use crate::digest::Digest;
