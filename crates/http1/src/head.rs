//! Parsing of request and response heads.

use std::mem::MaybeUninit;
use std::ops::RangeInclusive;

use bytes::Bytes;
use bytes::BytesMut;
use memchr::memmem;
use smol_str::SmolStr;

use crate::ParseError;
use crate::body::Framing;

/// The most fields of a head; a head with more is rejected.
const FIELDS_MAX: usize = 128;
/// The status codes (RFC 9110, section 15). An answer with another one is none.
pub const STATUSES: RangeInclusive<u16> = 100..=599;
/// The empty line that ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The byte ranges of a field within the head, as start and end.
#[derive(Clone, Copy, Debug)]
struct Field {
    name: (u32, u32),
    value: (u32, u32),
}

/// The fields of a head, in the order in which they were received.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    bytes: Bytes,
    list: Vec<Field>,
}

impl Fields {
    /// Iterates over all fields as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.list.iter().map(|field| {
            let name = &self.bytes[field.name.0 as usize..field.name.1 as usize];
            let value = &self.bytes[field.value.0 as usize..field.value.1 as usize];
            (std::str::from_utf8(name).unwrap_or_default(), value)
        })
    }

    /// Iterates over all values of a field; names compare case-insensitively.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let matching = move |(found, _): &(&str, &[u8])| found.eq_ignore_ascii_case(name);
        self.iter().filter(matching).map(|(_, value)| value)
    }

    /// Returns the first value of a field, if it is valid UTF-8.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let value = self.get_all(name).next()?;
        std::str::from_utf8(value).ok()
    }

    /// Returns the first value of a field, parsed as a number.
    pub fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.trim().parse().ok()
    }

    /// Returns whether a comma-separated list field contains a token, compared
    /// case-insensitively.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|found| found.trim().eq_ignore_ascii_case(token))
    }

    fn content_length(&self) -> Result<Option<u64>, ParseError> {
        let mut values = self.get_all("content-length");
        let Some(value) = values.next() else {
            return Ok(None);
        };
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        match values.next() {
            None if digits => {
                let text = std::str::from_utf8(value).map_err(|_| ParseError::AmbiguousLength)?;
                text.parse()
                    .map(Some)
                    .map_err(|_| ParseError::AmbiguousLength)
            }
            _ => Err(ParseError::AmbiguousLength),
        }
    }

    /// Returns whether the body is chunked.
    fn is_chunked(&self) -> Result<bool, ParseError> {
        let mut values = self.get_all("transfer-encoding");
        match (values.next(), values.next()) {
            (None, _) => Ok(false),
            (Some(value), None) if value.eq_ignore_ascii_case(b"chunked") => Ok(true),
            (Some(_), None) => Err(ParseError::TransferCoding),
            (Some(_), Some(_)) => Err(ParseError::AmbiguousLength),
        }
    }

    fn framing(&self) -> Result<Option<Framing>, ParseError> {
        match (self.content_length()?, self.is_chunked()?) {
            (Some(_), true) => Err(ParseError::AmbiguousLength),
            (Some(length), false) => Ok(Some(Framing::Length(length))),
            (None, true) => Ok(Some(Framing::Chunked)),
            (None, false) => Ok(None),
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, such as `GET`.
    pub method: SmolStr,
    /// The request target as received.
    pub target: SmolStr,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_1_1: bool,
    /// The fields.
    pub fields: Fields,
    /// How the body is delimited.
    pub framing: Framing,
}

impl Request {
    /// Parses and removes the head at the front of `buffer`; `None` until it is
    /// complete.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if the head is malformed or longer than `max_bytes`, or
    /// if the length of the body is ambiguous.
    pub fn decode(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Request>, ParseError> {
        let Some(length) = head_length(buffer, max_bytes)? else {
            return Ok(None);
        };
        let head = buffer.split_to(length).freeze();
        let mut slots = [const { MaybeUninit::uninit() }; FIELDS_MAX];
        let mut parsed = httparse::Request::new(&mut []);
        let status = parsed
            .parse_with_uninit_headers(&head, &mut slots)
            .map_err(convert_error)?;
        // `httparse` also ends a head at bare line feeds.
        if status != httparse::Status::Complete(head.len()) {
            return Err(ParseError::Malformed);
        }
        let is_1_1 = parsed.version == Some(1);
        let fields = index_fields(&head, parsed.headers);
        let framing = fields.framing()?.unwrap_or(Framing::Length(0));
        if framing == Framing::Chunked && !is_1_1 {
            return Err(ParseError::AmbiguousLength);
        }
        Ok(Some(Request {
            method: parsed.method.unwrap_or_default().into(),
            target: parsed.path.unwrap_or_default().into(),
            is_1_1,
            fields,
            framing,
        }))
    }

    /// Returns the path of the target, without the query.
    pub fn path(&self) -> &str {
        let target = self.target.as_str();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// Returns the query string of the target; empty if it has none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Returns whether the client may send further requests on the connection.
    pub fn keeps_alive(&self) -> bool {
        self.is_1_1 && !self.fields.has_token("connection", "close")
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The fields.
    pub fields: Fields,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection can be reused after the body.
    pub keeps_alive: bool,
}

impl Response {
    /// Parses and removes the head of a response to a request with `method` at
    /// the front of `buffer`; `None` until it is complete. Interim (1xx)
    /// responses are skipped.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if the head is malformed or longer than `max_bytes`, if its
    /// status is none of [`STATUSES`], or if the length of the body is ambiguous.
    /// Nothing that follows on the connection is an answer then.
    pub fn decode(
        buffer: &mut BytesMut,
        method: &str,
        max_bytes: usize,
    ) -> Result<Option<Response>, ParseError> {
        loop {
            let Some(length) = head_length(buffer, max_bytes)? else {
                return Ok(None);
            };
            let head = buffer.split_to(length).freeze();
            let response = Response::parse(&head, method)?;
            if response.status >= 200 {
                return Ok(Some(response));
            }
        }
    }

    fn parse(head: &Bytes, method: &str) -> Result<Response, ParseError> {
        let mut slots = [const { MaybeUninit::uninit() }; FIELDS_MAX];
        let mut parsed = httparse::Response::new(&mut []);
        let status = httparse::ParserConfig::default()
            .parse_response_with_uninit_headers(&mut parsed, head, &mut slots)
            .map_err(convert_error)?;
        // `httparse` also ends a head at bare line feeds.
        if status != httparse::Status::Complete(head.len()) {
            return Err(ParseError::Malformed);
        }
        let is_1_1 = parsed.version == Some(1);
        let status = parsed.code.ok_or(ParseError::Malformed)?;
        if !STATUSES.contains(&status) {
            return Err(ParseError::Status);
        }
        let fields = index_fields(head, parsed.headers);
        let without_body = status < 200 || status == 204 || status == 304 || method == "HEAD";
        let framing = match fields.framing()? {
            _ if without_body => Framing::Length(0),
            Some(framing) => framing,
            None => Framing::UntilClose,
        };
        let closes = fields.has_token("connection", "close") || framing == Framing::UntilClose;
        Ok(Response {
            status,
            framing,
            keeps_alive: is_1_1 && !closes,
            fields,
        })
    }
}

/// Returns the length in bytes of the head at the front of `buffer`, once it is
/// complete.
fn head_length(buffer: &BytesMut, max_bytes: usize) -> Result<Option<usize>, ParseError> {
    let found = memmem::find(buffer, HEAD_END).map(|at| at + HEAD_END.len());
    match found {
        Some(length) if length > max_bytes => Err(ParseError::HeadTooLong),
        None if buffer.len() > max_bytes => Err(ParseError::HeadTooLong),
        found => Ok(found),
    }
}

/// Converts parsed headers, which borrow from `head`, to byte ranges of it.
fn index_fields(head: &Bytes, parsed: &[httparse::Header<'_>]) -> Fields {
    let base = head.as_ptr() as usize;
    let range = |part: &[u8]| {
        let start = part.as_ptr() as usize - base;
        (start as u32, (start + part.len()) as u32)
    };
    let list = parsed
        .iter()
        .map(|header| Field {
            name: range(header.name.as_bytes()),
            value: match header.value.is_empty() {
                true => (0, 0),
                false => range(header.value),
            },
        })
        .collect();
    Fields {
        bytes: head.clone(),
        list,
    }
}

fn convert_error(error: httparse::Error) -> ParseError {
    match error {
        httparse::Error::TooManyHeaders => ParseError::HeadTooLong,
        httparse::Error::Version => ParseError::UnsupportedVersion,
        _ => ParseError::Malformed,
    }
}
