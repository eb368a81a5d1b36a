//! Backend servers that have just started and take few requests at first.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How the backend servers of a service start.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Terms {
    /// How long a server is cold after its start.
    #[serde(rename = "s")]
    pub duration: Duration,
    /// The requests per second that a cold server takes from all entries together.
    #[serde(rename = "r")]
    pub per_s: f64,
}

/// Whether a request may go to a server that may be cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Open,
    /// It may after this time.
    Later(Duration),
}
