//! Stand-ins for the services around a fleet, for tests and benches: the
//! platform, model engines, plain services, the links between regions and a
//! trace collector.
//!
//! Each has an admin API over HTTP under `/admin`, which injects faults and
//! reports what the stand-in executed. Tests check these counts instead of
//! what the programs under test report about themselves.

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
