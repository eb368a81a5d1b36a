//! The frames that processes exchange on links.
//!
//! A link multiplexes the messages of several modules. Each defines its own
//! `Message`; the link needs only the [`Class`] of a frame, which sets its
//! priority when several frames wait.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::call;
use crate::configuration;
use crate::limit;
use crate::membership;
use crate::weights;

/// One frame on a link between two processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Liveness and the sender's summary.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// A call between an entry and an agent.
    #[serde(rename = "c")]
    Call(call::Message),
    /// Weights between agents.
    #[serde(rename = "w")]
    Weights(weights::Message),
    /// The accepted configuration.
    #[serde(rename = "f")]
    Configuration(configuration::Message),
    /// Membership gossip.
    #[serde(rename = "m")]
    Membership(membership::Message),
    /// Customers' demand, between entries.
    #[serde(rename = "l")]
    Limit(limit::Message),
}

/// The purpose of a frame, which sets its priority on the link and its label in
/// the metrics.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// Heartbeats, configuration, membership and limits.
    Control,
    /// Live calls.
    Call,
    /// Weights: announcements of chunks and requests for them.
    Exchange,
    /// Weights: the data of chunks.
    Chunk,
}

impl Frame {
    /// Returns the class of this frame.
    pub fn class(&self) -> Class {
        match self {
            Frame::Call(_) => Class::Call,
            Frame::Weights(message) if message.is_bulk() => Class::Chunk,
            Frame::Weights(_) => Class::Exchange,
            Frame::Configuration(_)
            | Frame::Heartbeat(_)
            | Frame::Limit(_)
            | Frame::Membership(_) => Class::Control,
        }
    }
}

impl Class {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Class::Control => "control",
            Class::Call => "call",
            Class::Exchange => "exchange",
            Class::Chunk => "chunk",
        }
    }
}

/// Sent on every link at a fixed interval and when the summary changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Counts the sender's heartbeats on this link, from 1.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// The last sequence the sender received on this link, 0 before the first.
    #[serde(rename = "e", default)]
    pub echo: u64,
    /// The sender's summary, left out while it has not changed on this link.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<Summary>,
}

/// What a process reports about itself to each peer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// The configuration in force at the sender.
    #[serde(rename = "f", default)]
    pub configuration: configuration::Stamp,
    /// The sender is leaving and takes no new work.
    #[serde(rename = "l", default)]
    pub leaving: bool,
    /// The calls that the sender's backend server runs now, for agents.
    #[serde(rename = "r", default)]
    pub running: u32,
    /// The calls that wait at the sender, for agents.
    #[serde(rename = "q", default)]
    pub waiting: u32,
    /// The most calls that the sender runs at once, for agents; 0 if unknown.
    #[serde(rename = "k", default)]
    pub capacity: u32,
    /// The versions that the sender's engine has confirmed, for agents.
    #[serde(rename = "v", default)]
    pub confirmed: Vec<Confirmed>,
}

/// A model or adapter version that an engine has confirmed as loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmed {
    /// The model's or adapter's name.
    #[serde(rename = "m")]
    pub model: SmolStr,
    /// Its version.
    #[serde(rename = "v")]
    pub version: SmolStr,
}
