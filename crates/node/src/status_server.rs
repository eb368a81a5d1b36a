//! A small HTTP server for readiness and metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use http1::head::Request;
use http1::write;
use snafu::ResultExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Error;
use crate::error::BindSnafu;

/// The largest request head.
const HEAD_MAX_BYTES: usize = 8 << 10;
/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after a connection could not be accepted, for example because no
/// file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A response: an HTTP status and a body.
pub(crate) type Response = (u16, String);

/// Serves the response of `respond` to the path of each request. `what` names
/// the purpose in errors and log lines.
///
/// # Errors
///
/// [`Error::Bind`] if the address cannot be bound.
pub(crate) async fn serve(
    address: SocketAddr,
    what: &'static str,
    respond: impl Fn(&str) -> Response + 'static,
) -> Result<(), Error> {
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address, what })?;
    let respond = Rc::new(respond);
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let respond = respond.clone();
                    spawn_local(async move {
                        // The client sends its request again.
                        let _ = serve_connection(stream, &*respond).await;
                    });
                }
                Err(error) => {
                    log::warn!("E7030 accepting a connection for {what} failed: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection(
    mut stream: TcpStream,
    respond: &impl Fn(&str) -> Response,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::with_capacity(512);
    loop {
        let head = match Request::decode(&mut buffer, HEAD_MAX_BYTES) {
            Ok(head) => head,
            Err(fault) => {
                let response = (fault.status(), fault.to_string());
                return stream.write_all(&encode(response, false)).await;
            }
        };
        let Some(head) = head else {
            let read = timeout(IDLE_TIMEOUT, stream.read_buf(&mut buffer)).await;
            match read {
                Ok(Ok(1..)) => continue,
                Ok(Ok(0)) | Ok(Err(_)) | Err(_) => return Ok(()),
            }
        };
        let keep_alive = head.keeps_alive();
        stream
            .write_all(&encode(respond(head.path()), keep_alive))
            .await?;
        if !keep_alive {
            return Ok(());
        }
    }
}

fn encode((status, body): Response, keep_alive: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(128 + body.len());
    let mut head = write::Head::response(&mut out, status);
    head.field("Content-Type", b"text/plain; version=0.0.4");
    head.number("Content-Length", body.len());
    if !keep_alive {
        head.field("Connection", b"close");
    }
    head.end();
    out.extend_from_slice(body.as_bytes());
    out
}
