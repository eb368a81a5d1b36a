//! The HTTP API for callers.
//!
//! [`Api`] reads requests, finds the customer and the service in the current
//! configuration, passes calls to a [`Gateway`] and writes answers.

pub mod gateway;
pub mod metrics;
pub mod problem;
pub mod resolve;
mod respond;
mod serve;

pub use crate::gateway::Answer;
pub use crate::gateway::Body;
pub use crate::gateway::BodyStream;
pub use crate::gateway::Call;
pub use crate::gateway::Gateway;
pub use crate::gateway::Part;
pub use crate::problem::Problem;
pub use crate::serve::Api;
