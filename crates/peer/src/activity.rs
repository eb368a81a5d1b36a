//! A byte stream that records when bytes were last received.

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

/// The time at which bytes were last received on a stream.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    opened_at: Instant,
    last_received_ms: Arc<AtomicU64>,
}

impl Activity {
    fn start() -> Activity {
        Activity {
            opened_at: Instant::now(),
            last_received_ms: Arc::default(),
        }
    }

    fn record(&self) {
        let now_ms = self.opened_at.elapsed().as_millis() as u64;
        self.last_received_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Returns the time since bytes were last received.
    pub(crate) fn idle_time(&self) -> Duration {
        let last = Duration::from_millis(self.last_received_ms.load(Ordering::Relaxed));
        self.opened_at.elapsed().saturating_sub(last)
    }
}

/// A TCP stream that records its activity.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: TcpStream,
    activity: Activity,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream) -> (TrackedStream, Activity) {
        // Calls are small: batching them (Nagle's algorithm) only adds latency.
        let _ = stream.set_nodelay(true);
        let activity = Activity::start();
        let tracked = TrackedStream {
            stream,
            activity: activity.clone(),
        };
        (tracked, activity)
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.record();
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
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
