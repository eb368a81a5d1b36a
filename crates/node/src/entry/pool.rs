//! Connections to backend servers, and the pool of idle ones.

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
use tokio::io::AsyncWriteExt;
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
/// The most idle connections that are kept to one server.
const IDLE_PER_SERVER_MAX: usize = 8;
/// The largest head of an answer.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// The minimum free space of the buffer for a read.
const READ_SPACE_MIN_BYTES: usize = 4 << 10;
/// The most answers to other requests that are skipped before the expected one.
const STALE_ANSWERS_MAX: usize = 2;
/// The longest body of an answer to another request that is skipped.
const STALE_ANSWER_MAX_BYTES: usize = 256 << 10;

/// Why an exchange of a request and its answer failed.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("failed to connect: {detail}"))]
    Connect {
        /// The cause.
        detail: String,
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
    /// Only answers to other requests arrived.
    #[snafu(display("received only answers to other requests"))]
    Mismatched,
}

/// An open connection to a backend server.
#[derive(Debug)]
pub(crate) struct Connection {
    io: TcpStream,
    buffer: BytesMut,
    /// Whether it has carried an exchange before.
    pub(crate) used: bool,
}

impl Connection {
    pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, Error> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let opened = connecting.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let io = opened.map_err(|error| Error::Connect {
            detail: error.to_string(),
        })?;
        io.set_nodelay(true).context(IoSnafu)?;
        let socket = SockRef::from(&io);
        let limited = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        limited.context(IoSnafu)?;
        Ok(Connection {
            io,
            buffer: BytesMut::new(),
            used: false,
        })
    }

    /// Sends a request and waits for the head of the answer to `attempt`.
    /// Returns it with false if the answer arrived before the whole request was
    /// sent; the connection cannot be reused then.
    pub(crate) async fn exchange(
        &mut self,
        request: &[u8],
        method: &str,
        attempt: &str,
    ) -> Result<(Response, bool), Error> {
        let Connection { io, buffer, .. } = self;
        let (mut reader, mut writer) = io.split();
        let mut sent = 0;
        let mut mismatched = 0;
        loop {
            if let Some(head) =
                Response::decode(buffer, method, HEAD_MAX_BYTES).context(MalformedSnafu)?
            {
                if is_answer(&head, attempt) {
                    return Ok((head, sent == request.len()));
                }
                mismatched += 1;
                if mismatched > STALE_ANSWERS_MAX {
                    return Err(Error::Mismatched);
                }
                skip_answer(&mut reader, buffer, &head).await?;
                continue;
            }
            buffer.reserve(READ_SPACE_MIN_BYTES);
            tokio::select! {
                written = writer.write(&request[sent..]), if sent < request.len() => {
                    sent += written.context(IoSnafu)?;
                }
                read = reader.read_buf(buffer) => if read.context(IoSnafu)? == 0 {
                    return Err(Error::Closed);
                },
            }
        }
    }

    /// Reads the next bytes of a body, or its end.
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

/// Whether an answer belongs to the attempt. An error may lack the id, as a
/// server that refuses a request need not have read it.
fn is_answer(head: &Response, attempt: &str) -> bool {
    match head.fields.get(platform::header::ATTEMPT) {
        Some(found) => found == attempt,
        None => head.status >= 400,
    }
}

/// Reads the rest of an answer to another request and discards it.
async fn skip_answer(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    buffer: &mut BytesMut,
    head: &Response,
) -> Result<(), Error> {
    let mut body = Decoder::new(head.framing);
    let mut length = 0;
    loop {
        match body.step(buffer).context(MalformedSnafu)? {
            Step::Data(data) => length += data.len(),
            Step::End => return Ok(()),
            Step::Incomplete => {
                let read = reader.read_buf(buffer).await.context(IoSnafu)?;
                if read == 0 {
                    return Err(Error::Closed);
                }
            }
        }
        if length > STALE_ANSWER_MAX_BYTES {
            return Err(Error::Mismatched);
        }
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The idle connections to each backend server.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Key, Vec<Idle>>>,
}

impl Pool {
    /// Takes an idle connection that can be reused, if there is one.
    pub(crate) fn take(&self, key: Key) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&key)?;
        while let Some(one) = kept.pop() {
            if now < one.until && one.connection.is_quiescent() {
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
        let until = Instant::now() + idle_max;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(key).or_default();
        if kept.len() >= IDLE_PER_SERVER_MAX {
            kept.remove(0);
        }
        kept.push(Idle { connection, until });
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|one| now < one.until);
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
