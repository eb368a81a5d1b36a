//! Requests that are sent to entries for a while.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::exchange;
use super::request;

/// An answer to a caller.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) text: String,
    pub(crate) took: Duration,
}

/// Sends a plain request to each entry, `interval` apart, for a while.
pub(crate) async fn send_for(
    callers: &[SocketAddr],
    interval: Duration,
    length: Duration,
) -> Vec<Answer> {
    let start = Instant::now();
    let mut pending = JoinSet::new();
    while start.elapsed() < length {
        for callers in callers.iter().copied() {
            pending.spawn(async move {
                let sent = Instant::now();
                let text = exchange(callers, &request("GET", "/read/1", "", "")).await;
                Answer {
                    text,
                    took: sent.elapsed(),
                }
            });
        }
        sleep(interval).await;
    }
    pending.join_all().await
}
