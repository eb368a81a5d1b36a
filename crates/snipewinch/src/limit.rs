//! Each customer's share of the fleet.

use serde::Deserialize;
use serde::Serialize;

/// What entries tell each other about customers' use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {}
