//! Spreading model weights between hosts.

use serde::Deserialize;
use serde::Serialize;

/// One message between agents.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {}

impl Message {
    /// Whether the message carries chunk bytes.
    pub fn is_bulk(&self) -> bool {
        match *self {}
    }
}
