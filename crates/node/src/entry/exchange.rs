//! One request on a connection to a backend server, up to the head of its
//! answer.

use http1::body::Decoder;
use http1::body::Step;
use http1::head::Response;
use platform::header;
use smol_str::SmolStr;
use snafu::ResultExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use super::pool::Connection;
use super::pool::Error;
use super::pool::IoSnafu;
use super::pool::MalformedSnafu;

/// The largest head of an answer.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// The most bytes of interim (1xx) heads that are skipped before an answer.
const INTERIM_MAX_BYTES: usize = 32 << 10;
/// The minimum free space of the buffer for a read.
const READ_SPACE_MIN_BYTES: usize = 4 << 10;
/// The most answers to other requests that are skipped before the expected one.
const STALE_ANSWERS_MAX: usize = 2;
/// The longest body of an answer to another request that is skipped.
const STALE_ANSWER_MAX_BYTES: usize = 256 << 10;

/// A request that is being sent, and the answers read so far.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) connection: Connection,
    request: Vec<u8>,
    sent: usize,
    method: SmolStr,
    attempt: SmolStr,
    /// The length of the interim heads that were skipped, in bytes.
    interim: usize,
    /// How many answers to other requests have arrived.
    mismatched: usize,
    /// The answer to another request that is being skipped, with the length of
    /// its body so far in bytes.
    skipped: Option<(Decoder, usize)>,
}

impl Exchange {
    /// Prepares to send `request`, which has `method`, as `attempt`.
    pub(crate) fn new(
        mut connection: Connection,
        request: Vec<u8>,
        method: SmolStr,
        attempt: SmolStr,
    ) -> Exchange {
        connection.set_pending(true);
        Exchange {
            connection,
            request,
            sent: 0,
            method,
            attempt,
            interim: 0,
            mismatched: 0,
            skipped: None,
        }
    }

    /// Whether the whole request was sent. If the answer arrived before, the
    /// connection cannot be reused.
    pub(crate) fn is_sent(&self) -> bool {
        self.sent == self.request.len()
    }

    /// Sends the request and reads the head of its answer. Cancelling it loses
    /// nothing.
    pub(crate) async fn read_head(&mut self) -> Result<Response, Error> {
        loop {
            match self.decode()? {
                Some(head) if is_answer(&head, &self.attempt) => return Ok(head),
                Some(head) => {
                    self.mismatched += 1;
                    if self.mismatched > STALE_ANSWERS_MAX {
                        return Err(Error::Mismatched);
                    }
                    self.skipped = Some((Decoder::new(head.framing), 0));
                }
                None => self.transfer().await?,
            }
        }
    }

    /// Decodes the next head in the buffer, after the answer that is being
    /// skipped.
    fn decode(&mut self) -> Result<Option<Response>, Error> {
        let buffer = &mut self.connection.buffer;
        while let Some((body, length)) = &mut self.skipped {
            match body.step(buffer).context(MalformedSnafu)? {
                Step::Data(data) => *length += data.len(),
                Step::End => self.skipped = None,
                Step::Incomplete => return Ok(None),
            }
            let length = self.skipped.as_ref().map_or(0, |(_, length)| *length);
            if length > STALE_ANSWER_MAX_BYTES {
                return Err(Error::Mismatched);
            }
        }
        let received = buffer.len();
        let head =
            Response::decode(buffer, &self.method, HEAD_MAX_BYTES).context(MalformedSnafu)?;
        if head.is_none() {
            self.interim += received - buffer.len();
        }
        match self.interim > INTERIM_MAX_BYTES {
            true => Err(Error::Interim {
                limit: INTERIM_MAX_BYTES,
            }),
            false => Ok(head),
        }
    }

    /// Writes some bytes of the request or reads some of the answer.
    async fn transfer(&mut self) -> Result<(), Error> {
        let Connection { io, buffer, .. } = &mut self.connection;
        let (mut reader, mut writer) = io.split();
        let unsent = &self.request[self.sent..];
        buffer.reserve(READ_SPACE_MIN_BYTES);
        tokio::select! {
            written = writer.write(unsent), if !unsent.is_empty() => {
                self.sent += written.context(IoSnafu)?;
                Ok(())
            }
            read = reader.read_buf(buffer) => match read.context(IoSnafu)? {
                0 => Err(Error::Closed),
                _ => Ok(()),
            },
        }
    }
}

/// Whether an answer belongs to the attempt. An error may lack the id, as a
/// server that refuses a request need not have read it.
fn is_answer(head: &Response, attempt: &str) -> bool {
    match head.fields.get(header::ATTEMPT) {
        Some(found) => found == attempt,
        None => head.status >= 400,
    }
}
