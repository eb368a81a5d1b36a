//! Client for the backend server of a host: a model engine or a plain
//! service.

pub mod call;
pub mod engine;
pub mod error;
pub mod events;
pub mod order;
pub mod server;

pub use crate::call::Reply;
pub use crate::engine::Engine;
pub use crate::error::Error;
pub use crate::server::Server;
