//! One direction of one relayed connection.

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

/// Bytes that one connection gets in one turn on the link.
const TURN_BYTES: usize = 4 << 10;
/// Pieces of one connection that are under way at once.
const UNDER_WAY_MAX: usize = 64;
/// A stride that spreads corrupted pieces over all pieces.
const STRIDE: u64 = 7919;

struct Piece {
    due: Instant,
    bytes: Vec<u8>,
}

/// Carries bytes until either end closes.
pub(super) async fn run(link: Arc<Link>, number: u64, from: OwnedReadHalf, to: OwnedWriteHalf) {
    let (sender, receiver) = mpsc::channel(UNDER_WAY_MAX);
    tokio::join!(
        take(link.clone(), number, from, sender),
        deliver(link, number, to, receiver),
    );
}

async fn take(link: Arc<Link>, number: u64, mut from: OwnedReadHalf, sender: mpsc::Sender<Piece>) {
    let mut buffer = vec![0; TURN_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        link.passable().await;
        if link.silent(number) {
            // Keeps the socket open: its peer sees nothing but silence.
            std::future::pending::<()>().await;
        }
        link.rate_limiter.acquire(length).await;
        let mut bytes = buffer[..length].to_vec();
        link.corrupt(&mut bytes);
        let delay = link.state.borrow().settings.delay_ms;
        let due = Instant::now() + Duration::from_millis(delay);
        if sender.send(Piece { due, bytes }).await.is_err() {
            return;
        }
    }
}

async fn deliver(
    link: Arc<Link>,
    number: u64,
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Piece>,
) {
    while let Some(piece) = receiver.recv().await {
        if piece.due > Instant::now() {
            tokio::time::sleep_until(piece.due).await;
        }
        if to.write_all(&piece.bytes).await.is_err() {
            return;
        }
        let length = piece.bytes.len() as u64;
        link.bytes.fetch_add(length, Ordering::Relaxed);
    }
    if link.silent(number) {
        std::future::pending::<()>().await;
    }
    // The sender has closed its half: so does the receiver's.
    let _ = to.shutdown().await;
}

impl Link {
    /// Flips a byte of some pieces.
    fn corrupt(&self, bytes: &mut [u8]) {
        let share = self.state.borrow().settings.corrupt_per_myriad;
        if share == 0 {
            return;
        }
        let piece = self.pieces.fetch_add(1, Ordering::Relaxed);
        if piece.wrapping_mul(STRIDE) % 10_000 < u64::from(share) {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 0x55;
        }
    }
}
