//! Connections to backend servers, and the pool of idle ones.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use http1::ParseError;
use http1::body::Decoder;
use http1::body::Step;
use http1::head::Response;
use snafu::ResultExt;
use snafu::Snafu;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use super::backends::Key;

/// How long a connection may take to open: a few round trips between regions. A
/// lost SYN is retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest time for which an idle connection is kept, also if the server
/// does not say how long it keeps it.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// How long before the server would close an idle connection it is discarded.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How often idle connections are checked for bytes that no request asked for.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The most idle connections that are kept to one server.
const IDLE_PER_SERVER_MAX: usize = 8;
/// The minimum free space of the buffer for a read.
const READ_SPACE_MIN_BYTES: usize = 4 << 10;

/// Why an exchange of a request and its answer failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("failed to connect: {source}"))]
    Connect {
        /// The error of the operating system, or a timeout.
        source: io::Error,
    },
    /// Reading or writing failed, or setting an option of the socket.
    #[snafu(display("connection failed: {source}"))]
    Io {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection was closed before the answer was complete.
    #[snafu(display("connection closed before the answer was complete"))]
    Closed,
    /// The bytes received are no valid HTTP/1.1 answer.
    #[snafu(display("malformed answer: {source}"))]
    Malformed {
        /// What is malformed.
        source: ParseError,
    },
    /// Only interim heads arrived.
    #[snafu(display("received more than {limit} bytes of interim heads"))]
    Interim {
        /// The largest length, in bytes.
        limit: usize,
    },
    /// The answer that should continue a stream is of another type.
    #[snafu(display("answer that should continue a stream is none"))]
    NoStream,
    /// Only answers to other requests arrived.
    #[snafu(display("received only answers to other requests"))]
    Mismatched,
    /// A success, or a stream of events, lacks the backend server's signature.
    #[snafu(display("success without a signature"))]
    Unsigned,
    /// An event, or an answer that is no success, is too long to be buffered.
    #[snafu(display("more than {limit} bytes to buffer"))]
    TooLong {
        /// The largest length, in bytes.
        limit: usize,
    },
    /// A stream ended, but not after a complete event.
    #[snafu(display("stream ended without a complete last event"))]
    PartialEvent,
}

/// An open connection to a backend server.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(super) io: TcpStream,
    pub(super) buffer: BytesMut,
    /// Whether it has carried an exchange before.
    pub(crate) used: bool,
    /// Whether an exchange on it is not complete.
    is_pending: bool,
}

/// Resets a connection with an exchange that is not complete. Bytes that a cut
/// link holds up then never arrive, where after a close they would arrive first
/// and be executed. A host that has received them still reads them.
impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_pending {
            // Without the option the connection is closed instead.
            let _ = SockRef::from(&self.io).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Connection {
    pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, Error> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let opened = connecting.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let io = opened.context(ConnectSnafu)?;
        io.set_nodelay(true).context(IoSnafu)?;
        let socket = SockRef::from(&io);
        let limited = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        limited.context(IoSnafu)?;
        Ok(Connection {
            io,
            buffer: BytesMut::new(),
            used: false,
            is_pending: false,
        })
    }

    /// Records that an exchange begins, or that it is complete.
    pub(crate) fn set_pending(&mut self, is_pending: bool) {
        self.is_pending = is_pending;
    }

    /// Reads the next bytes of a body, or its end. Cancelling it loses nothing.
    pub(crate) async fn read_step(&mut self, body: &mut Decoder) -> Result<Step, Error> {
        loop {
            match body.step(&mut self.buffer).context(MalformedSnafu)? {
                Step::Incomplete => {}
                step => return Ok(step),
            }
            self.buffer.reserve(READ_SPACE_MIN_BYTES);
            let read = self.io.read_buf(&mut self.buffer).await;
            match read.context(IoSnafu)? {
                0 if body.is_complete_at_eof() => return Ok(Step::End),
                0 => return Err(Error::Closed),
                _ => {}
            }
        }
    }

    /// Whether the connection is open and nothing has been received that no
    /// request asked for.
    fn is_quiescent(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.io.try_read(&mut byte);
        let blocked = matches!(&read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.buffer.is_empty() && blocked
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// When its last answer was complete.
    since: Instant,
    until: Instant,
}

/// The idle connections to each backend server.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Key, Vec<Idle>>>,
    /// When all idle connections were last checked.
    checked: Cell<Option<Instant>>,
}

impl Pool {
    /// Takes an idle connection that can be reused and has been idle for no more
    /// than `idle_max`, if there is one.
    pub(crate) fn take(&self, key: Key, idle_max: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&key)?;
        while let Some(one) = kept.pop() {
            let is_recent = now.saturating_duration_since(one.since) <= idle_max;
            if now < one.until && is_recent && one.connection.is_quiescent() {
                return Some(one.connection);
            }
        }
        None
    }

    /// Keeps a connection after an answer, for less time than the server does.
    pub(crate) fn keep(&self, key: Key, mut connection: Connection, head: &Response) {
        let announced = head.fields.get("keep-alive").and_then(parse_keep_alive);
        let idle_max = announced.map_or(IDLE_MAX, |announced| {
            announced.saturating_sub(IDLE_MARGIN).min(IDLE_MAX)
        });
        if !connection.buffer.is_empty() || idle_max.is_zero() {
            return;
        }
        connection.buffer = BytesMut::new();
        connection.used = true;
        let since = Instant::now();
        let until = since + idle_max;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(key).or_default();
        if kept.len() >= IDLE_PER_SERVER_MAX {
            kept.remove(0);
        }
        kept.push(Idle {
            connection,
            since,
            until,
        });
    }

    /// Closes connections that have been idle for too long, and at most once
    /// per [`IDLE_CHECK_INTERVAL`] those that cannot be reused.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let checked = self.checked.get();
        let is_check_due = checked.is_none_or(|checked| checked + IDLE_CHECK_INTERVAL <= now);
        if is_check_due {
            self.checked.set(Some(now));
        }
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|one| now < one.until && (!is_check_due || one.connection.is_quiescent()));
        }
        idle.retain(|_, kept| !kept.is_empty());
    }
}

/// Parses the timeout of a `Keep-Alive` field, in seconds.
fn parse_keep_alive(value: &str) -> Option<Duration> {
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters
        .filter_map(|one| one.strip_prefix("timeout="))
        .next()
        .unwrap_or(value);
    seconds.trim().parse().ok().map(Duration::from_secs)
}
