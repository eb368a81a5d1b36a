//! Links that peers open.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::Shared;
use super::session;
use crate::Error;
use crate::handshake;
use crate::link::Direction;

/// The most concurrent handshakes; further connections wait in the backlog of
/// the listener.
const HANDSHAKES_MAX: usize = 64;
/// The delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts links until the hub shuts down.
pub(super) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_MAX));
    let mut closing = shared.closing.subscribe();
    loop {
        let Ok(permit) = handshakes.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(shared.clone(), stream, permit));
            }
            // For example, no file descriptors are left or the connection was
            // reset before it was accepted.
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, permit: OwnedSemaphorePermit) {
    let handshake = handshake::accept(stream, &shared.key, &shared.identity);
    let connection = match timeout(handshake::TIMEOUT, handshake).await {
        Ok(connection) => connection,
        Err(_) => Err(Error::HandshakeTimeout {
            timeout_ms: handshake::TIMEOUT.as_millis() as u64,
        }),
    };
    drop(permit);
    match connection {
        Ok(connection) => {
            session::run(&shared, connection, Direction::Accepted).await;
        }
        Err(error) => {
            let kind = error.kind();
            shared.metrics.refused.with_label_values(&[kind]).inc();
            log::warn!("E1101 refused an incoming link: {error}");
        }
    }
}
