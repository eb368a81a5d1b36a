//! A byte stream that remembers when bytes last arrived.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// When bytes last arrived on a stream.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    opened: Instant,
    last_ms: Arc<AtomicU64>,
}

impl Activity {
    fn start() -> Activity {
        Activity {
            opened: Instant::now(),
            last_ms: Arc::default(),
        }
    }

    fn touch(&self) {
        let now_ms = self.opened.elapsed().as_millis() as u64;
        self.last_ms.store(now_ms, Ordering::Relaxed);
    }

    /// How long ago bytes last arrived.
    pub(crate) fn idle_time(&self) -> Duration {
        let last = Duration::from_millis(self.last_ms.load(Ordering::Relaxed));
        self.opened.elapsed().saturating_sub(last)
    }
}

/// A TCP stream that notes its activity.
#[derive(Debug)]
pub(crate) struct Watched {
    stream: TcpStream,
    activity: Activity,
}

impl Watched {
    pub(crate) fn new(stream: TcpStream) -> (Watched, Activity) {
        // Calls are small and wait for each other.
        let _ = stream.set_nodelay(true);
        let activity = Activity::start();
        let watched = Watched {
            stream,
            activity: activity.clone(),
        };
        (watched, activity)
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.touch();
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
