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
use crate::handshake::Greeted;
use crate::link::Direction;
use crate::link::Reason;

/// The first pause before dialing again.
const PAUSE_MIN: Duration = Duration::from_millis(50);
/// The longest pause before dialing again.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Dials `host` for as long as the task lives.
pub(super) async fn run(shared: Arc<Shared>, host: host::Name, address: SocketAddr) {
    let mut pause = PAUSE_MIN;
    loop {
        match open(&shared, &host, address).await {
            Ok(greeted) => {
                let reason = session::run(&shared, greeted, Direction::Dialed).await;
                pause = PAUSE_MIN;
                if *shared.closing.borrow() {
                    return;
                }
                // Others to the same host may work: try at once.
                if reason == Reason::TimedOut {
                    continue;
                }
            }
            Err(error) => {
                let kind = error.kind();
                shared.metrics.refused.with_label_values(&[kind]).inc();
                log::debug!("E1102 no link to {host}: {error}");
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(jitter)).await;
    }
}

async fn open(shared: &Shared, host: &host::Name, address: SocketAddr) -> Result<Greeted, Error> {
    let opening = async {
        let stream = TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        handshake::dial(stream, address, &shared.key, &shared.identity, host).await
    };
    match timeout(handshake::LIMIT, opening).await {
        Ok(opened) => opened,
        Err(_) => Err(Error::HandshakeTimeout {
            limit_ms: handshake::LIMIT.as_millis() as u64,
        }),
    }
}
