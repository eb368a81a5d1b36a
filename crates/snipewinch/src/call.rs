//! Calls between an entry and an agent.

use serde::Deserialize;
use serde::Serialize;

/// One message of the call protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {}
