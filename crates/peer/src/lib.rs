//! Authenticated links between snipewinch processes.
//!
//! A [`hub::Hub`] listens for peers, keeps links to the peers it was asked to
//! dial, proves the fleet key in both directions, sends heartbeats, and
//! replaces a link that has gone silent. Frames arrive at the part that they
//! are for, in the order of the link that carried them.

mod activity;
pub mod codec;
pub mod datagram;
mod error;
mod handshake;
pub mod hub;
pub mod link;
mod mac;
mod metrics;

pub use crate::error::Error;
pub use crate::handshake::FleetKey;
