//! Small stand-ins for what surrounds a fleet: the platform, the model engines,
//! the plain services, the links between regions and a trace collector.
//!
//! Each is an ordinary HTTP server whose faults are switched on under `/admin`
//! and which counts what really happened, so that the programs under test never
//! judge themselves.

pub mod client;
pub mod collector;
pub mod engine;
pub mod http;
pub mod platform;
pub mod rate_limit;
pub mod relay;
pub mod service;
pub mod store;
pub mod tokens;
