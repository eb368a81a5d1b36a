//! Strict HTTP/1.1 framing for forwarding.
//!
//! A forwarder must agree with its client and its server on where each message
//! ends, and must detect bytes that belong to no request; otherwise one message
//! can be smuggled inside another (RFC 9112, sections 6 and 11.2). `httparse`
//! parses the heads. Ambiguous framing (two lengths, a length together with
//! chunked coding, lax chunk sizes) is a [`ParseError`], where a general server
//! would settle on one interpretation.

pub mod body;
mod error;
pub mod head;
pub mod write;

pub use crate::error::ParseError;
