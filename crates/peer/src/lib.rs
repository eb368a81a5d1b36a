//! Authenticated links between snipewinch processes.
//!
//! A [`hub::Hub`] listens for peers, keeps links open to the hosts passed to
//! [`hub::Hub::dial`], proves the fleet key in both directions, sends
//! heartbeats, and replaces a link on which nothing was received within the
//! idle timeout. Each frame is delivered to the module that it belongs to, in
//! the order in which it was sent on its link.

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
