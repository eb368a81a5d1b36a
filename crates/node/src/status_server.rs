//! Small pages for the platform: readiness and metrics.

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

/// The longest request head.
const HEAD_MAX_BYTES: usize = 8 << 10;
/// How long a connection may be idle.
const IDLE: Duration = Duration::from_secs(10);
/// The pause after the system refused a connection, such as for want of
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A page: a status and a body.
pub(crate) type Response = (u16, String);

/// Serves what `pages` answers for a path.
pub(crate) async fn serve(
    address: SocketAddr,
    what: &'static str,
    pages: impl Fn(&str) -> Response + 'static,
) -> Result<(), Error> {
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address, what })?;
    let pages = Rc::new(pages);
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let pages = pages.clone();
                    spawn_local(async move {
                        // Whoever asks asks again.
                        let _ = answer(stream, &*pages).await;
                    });
                }
                Err(error) => {
                    log::warn!("E7030 a connection for {what} was not accepted: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn answer(mut stream: TcpStream, pages: &impl Fn(&str) -> Response) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::with_capacity(512);
    loop {
        let head = match Request::take(&mut buffer, HEAD_MAX_BYTES) {
            Ok(head) => head,
            Err(fault) => {
                let page = (fault.status(), fault.to_string());
                return stream.write_all(&bytes(page, false)).await;
            }
        };
        let Some(head) = head else {
            let read = timeout(IDLE, stream.read_buf(&mut buffer)).await;
            match read {
                Ok(Ok(1..)) => continue,
                Ok(Ok(0)) | Ok(Err(_)) | Err(_) => return Ok(()),
            }
        };
        let keeps = head.keeps_alive();
        stream.write_all(&bytes(pages(head.path()), keeps)).await?;
        if !keeps {
            return Ok(());
        }
    }
}

fn bytes((status, body): Response, keeps: bool) -> Vec<u8> {
    let mut out = Vec::with_capacity(128 + body.len());
    let mut head = write::Head::response(&mut out, status);
    head.field("Content-Type", b"text/plain; version=0.0.4");
    head.number("Content-Length", body.len());
    if !keeps {
        head.field("Connection", b"close");
    }
    head.end();
    out.extend_from_slice(body.as_bytes());
    out
}
