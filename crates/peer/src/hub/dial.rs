//! Links that this process opens and keeps open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use snafu::ResultExt;
use snipewinch::host;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Shared;
use super::session;
use crate::Error;
use crate::error::ConnectSnafu;
use crate::handshake;
use crate::handshake::Connection;
use crate::link::Direction;
use crate::link::Reason;

/// The delay before dialing again after a link has ended, without jitter.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
/// The upper limit of the delay, which doubles with each failed attempt.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Keeps a link to `host` open until the task is aborted or the hub shuts
/// down.
pub(super) async fn run(shared: Arc<Shared>, host: host::Name, address: SocketAddr) {
    let mut delay = RETRY_DELAY_MIN;
    loop {
        match connect(&shared, &host, address).await {
            Ok(connection) => {
                let reason = session::run(&shared, connection, Direction::Dialed).await;
                delay = RETRY_DELAY_MIN;
                if *shared.closing.borrow() {
                    return;
                }
                // A new connection to the same host may work, for example if a
                // network device lost the state of the old one: retry at once.
                if reason == Reason::TimedOut {
                    continue;
                }
            }
            Err(error) => {
                let kind = error.kind();
                shared.metrics.refused.with_label_values(&[kind]).inc();
                log::debug!("E1102 failed to open a link to {host}: {error}");
                delay = (delay * 2).min(RETRY_DELAY_MAX);
            }
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(delay.mul_f64(jitter)).await;
    }
}

async fn connect(
    shared: &Shared,
    host: &host::Name,
    address: SocketAddr,
) -> Result<Connection, Error> {
    let connecting = async {
        let stream = TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        handshake::dial(stream, address, &shared.key, &shared.identity, host).await
    };
    match timeout(handshake::TIMEOUT, connecting).await {
        Ok(connected) => connected,
        Err(_) => Err(Error::HandshakeTimeout {
            timeout_ms: handshake::TIMEOUT.as_millis() as u64,
        }),
    }
}
