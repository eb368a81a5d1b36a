//! Forwarding in one direction of a relayed connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Link;

/// Largest segment that is read, delayed, corrupted and written at once: the
/// unit in which connections share the rate of the link.
const SEGMENT_BYTES_MAX: usize = 4 << 10;
/// Segments of one connection that wait for their delay to pass.
const QUEUED_SEGMENTS_MAX: usize = 64;
/// Multiplier that spreads the corrupted segments evenly over all segments.
const SPREAD_FACTOR: u64 = 7919;

struct Segment {
    due: Instant,
    bytes: Vec<u8>,
}

/// Forwards bytes until either end closes.
pub(super) async fn run(link: Arc<Link>, number: u64, from: OwnedReadHalf, to: OwnedWriteHalf) {
    let (sender, receiver) = mpsc::channel(QUEUED_SEGMENTS_MAX);
    tokio::join!(
        receive(link.clone(), number, from, sender),
        deliver(link, number, to, receiver),
    );
}

async fn receive(
    link: Arc<Link>,
    number: u64,
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Segment>,
) {
    let mut buffer = vec![0; SEGMENT_BYTES_MAX];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        link.wait_while_cut().await;
        if link.is_silent(number) {
            // Keeps the socket open: the peer sees neither data nor an end.
            std::future::pending::<()>().await;
        }
        link.rate_limiter.acquire(length).await;
        let mut bytes = buffer[..length].to_vec();
        link.corrupt(&mut bytes);
        let delay = link.state.borrow().settings.delay_ms;
        let due = Instant::now() + Duration::from_millis(delay);
        if sender.send(Segment { due, bytes }).await.is_err() {
            return;
        }
    }
}

async fn deliver(
    link: Arc<Link>,
    number: u64,
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Segment>,
) {
    while let Some(segment) = receiver.recv().await {
        if segment.due > Instant::now() {
            tokio::time::sleep_until(segment.due).await;
        }
        if to.write_all(&segment.bytes).await.is_err() {
            return;
        }
        let length = segment.bytes.len() as u64;
        link.bytes.fetch_add(length, Ordering::Relaxed);
    }
    if link.is_silent(number) {
        std::future::pending::<()>().await;
    }
    // The sender closed its half: passes that on to the receiver.
    let _ = to.shutdown().await;
}

impl Link {
    /// Flips bits of the middle byte in the configured share of the segments.
    fn corrupt(&self, bytes: &mut [u8]) {
        let per_myriad = self.state.borrow().settings.corrupt_per_myriad;
        if per_myriad == 0 {
            return;
        }
        let index = self.segments.fetch_add(1, Ordering::Relaxed);
        if index.wrapping_mul(SPREAD_FACTOR) % 10_000 < u64::from(per_myriad) {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 0x55;
        }
    }
}
