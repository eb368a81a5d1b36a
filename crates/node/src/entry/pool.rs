//! Connections to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use http1::Fault;
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

/// How long a connection may take to open: a few round trips between regions;
/// a lost opening packet is sent again only after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay without an acknowledgement.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_500);
/// How long a connection is kept idle if the server does not say how long it
/// keeps it.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// How long before the server closes an idle connection it is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept to one server.
const IDLE_PER_SERVER_MAX: usize = 8;
/// The longest head of an answer.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// How much is read at once.
const READ_BYTES: usize = 4 << 10;
/// Answers to other requests that are passed over before the one expected.
const FOREIGN_MAX: usize = 2;
/// The longest answer to another request that is passed over.
const FOREIGN_MAX_BYTES: usize = 256 << 10;

/// Why an exchange ended without an answer.
#[derive(Debug, Snafu)]
pub(crate) enum Error {
    /// No connection; nothing was sent.
    #[snafu(display("no connection: {detail}"))]
    Connect {
        /// What happened.
        detail: String,
    },
    /// The connection broke.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// What the system said.
        source: io::Error,
    },
    /// The connection ended before the answer did.
    #[snafu(display("the connection ended early"))]
    Ended,
    /// What came is no answer.
    #[snafu(display("what came is no answer: {source}"))]
    Garbage {
        /// What is wrong.
        source: Fault,
    },
    /// Only answers to other requests came.
    #[snafu(display("only answers to other requests came"))]
    Foreign,
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Upstream {
    io: TcpStream,
    buffer: BytesMut,
    /// Whether it has carried an exchange before.
    pub(crate) used: bool,
}

impl Upstream {
    pub(crate) async fn connect(address: SocketAddr) -> Result<Upstream, Error> {
        let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let opened = connecting.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let io = opened.map_err(|error| Error::Connect {
            detail: error.to_string(),
        })?;
        io.set_nodelay(true).context(BrokenSnafu)?;
        let socket = SockRef::from(&io);
        let limited = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX));
        limited.context(BrokenSnafu)?;
        Ok(Upstream {
            io,
            buffer: BytesMut::new(),
            used: false,
        })
    }

    /// Sends a request and waits for the head of the answer to `attempt`.
    /// False beside it if not all of the request was read before the answer
    /// came; the connection is of no use after that.
    pub(crate) async fn ask(
        &mut self,
        request: &[u8],
        method: &str,
        attempt: &str,
    ) -> Result<(Response, bool), Error> {
        let Upstream { io, buffer, .. } = self;
        let (mut reader, mut writer) = io.split();
        let mut sent = 0;
        let mut foreign = 0;
        loop {
            if let Some(head) =
                Response::take(buffer, method, HEAD_MAX_BYTES).context(GarbageSnafu)?
            {
                if is_answer(&head, attempt) {
                    return Ok((head, sent == request.len()));
                }
                foreign += 1;
                if foreign > FOREIGN_MAX {
                    return Err(Error::Foreign);
                }
                pass_over(&mut reader, buffer, &head).await?;
                continue;
            }
            buffer.reserve(READ_BYTES);
            tokio::select! {
                written = writer.write(&request[sent..]), if sent < request.len() => {
                    sent += written.context(BrokenSnafu)?;
                }
                read = reader.read_buf(buffer) => if read.context(BrokenSnafu)? == 0 {
                    return Err(Error::Ended);
                },
            }
        }
    }

    /// The next bytes of a body, or its end.
    pub(crate) async fn next(&mut self, body: &mut Decoder) -> Result<Step, Error> {
        loop {
            match body.step(&mut self.buffer).context(GarbageSnafu)? {
                Step::More => {}
                step => return Ok(step),
            }
            self.buffer.reserve(READ_BYTES);
            let read = self.io.read_buf(&mut self.buffer).await;
            match read.context(BrokenSnafu)? {
                0 if body.may_end() => return Ok(Step::End),
                0 => return Err(Error::Ended),
                _ => {}
            }
        }
    }

    /// Whether nothing has come that belongs to no request.
    fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let read = self.io.try_read(&mut byte);
        let blocked = matches!(&read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.buffer.is_empty() && blocked
    }
}

/// Whether an answer is to the attempt. A refusal may come without the id, as
/// a server that did not take the request need not have read it.
fn is_answer(head: &Response, attempt: &str) -> bool {
    match head.fields.get(platform::header::ATTEMPT) {
        Some(found) => found == attempt,
        None => head.status >= 400,
    }
}

async fn pass_over(
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    buffer: &mut BytesMut,
    head: &Response,
) -> Result<(), Error> {
    let mut body = Decoder::new(head.framing);
    let mut length = 0;
    loop {
        match body.step(buffer).context(GarbageSnafu)? {
            Step::Data(data) => length += data.len(),
            Step::End => return Ok(()),
            Step::More => {
                let read = reader.read_buf(buffer).await.context(BrokenSnafu)?;
                if read == 0 {
                    return Err(Error::Ended);
                }
            }
        }
        if length > FOREIGN_MAX_BYTES {
            return Err(Error::Foreign);
        }
    }
}

#[derive(Debug)]
struct Idle {
    upstream: Upstream,
    until: Instant,
}

/// Idle connections, by backend server.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Key, Vec<Idle>>>,
}

impl Pool {
    /// A connection that is kept and sound, if there is one.
    pub(crate) fn take(&self, key: Key) -> Option<Upstream> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&key)?;
        while let Some(one) = kept.pop() {
            if now < one.until && one.upstream.is_quiet() {
                return Some(one.upstream);
            }
        }
        None
    }

    /// Keeps a connection after an answer, for as long as the server does.
    pub(crate) fn keep(&self, key: Key, mut upstream: Upstream, head: &Response) {
        let said = head.fields.get("keep-alive").and_then(keep_alive);
        let idle_max = said.map_or(IDLE_MAX, |said| {
            said.saturating_sub(IDLE_MARGIN).min(IDLE_MAX)
        });
        if !upstream.buffer.is_empty() || idle_max.is_zero() {
            return;
        }
        upstream.buffer = BytesMut::new();
        upstream.used = true;
        let until = Instant::now() + idle_max;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(key).or_default();
        if kept.len() >= IDLE_PER_SERVER_MAX {
            kept.remove(0);
        }
        kept.push(Idle { upstream, until });
    }

    /// Closes what has been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|one| now < one.until);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }
}

/// The time of a Keep-Alive field.
fn keep_alive(value: &str) -> Option<Duration> {
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters
        .filter_map(|one| one.strip_prefix("timeout="))
        .next()
        .unwrap_or(value);
    seconds.trim().parse().ok().map(Duration::from_secs)
}
