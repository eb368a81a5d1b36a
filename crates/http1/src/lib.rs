//! Strict HTTP/1.1 framing for forwarding.
//!
//! A forwarder must agree with both of its sides on where each message ends,
//! and must see bytes that belong to no request. The parsers of `httparse` read
//! the heads; what is ambiguous (two lengths, a length beside chunks, loose
//! chunk sizes) is a [`ParseError`], where a general server would choose one reading
//! (RFC 9112, sections 6 and 11.2).

pub mod body;
mod error;
pub mod head;
pub mod write;

pub use crate::error::ParseError;
