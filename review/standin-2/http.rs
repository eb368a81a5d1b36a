//! HTTP/1.1 on blocking sockets, as far as the stand-ins and clients need it.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A message: its first line, its fields in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(found, _)| found == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut parts = query.split('&').filter_map(|part| part.split_once('='));
        let (_, value) = parts.find(|(found, _)| *found == name)?;
        Some(decode(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a connection message by message.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// The next request; none at the end of the connection.
    pub fn request(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        let length: usize = message.field("content-length").parse().unwrap_or(0);
        message.body = self.exactly(length)?;
        Some(message)
    }

    /// The next answer, complete; none if it is broken off.
    pub fn answer(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.field("transfer-encoding") == "chunked" {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16).ok()?;
                let chunk = self.exactly(size)?;
                message.body.extend_from_slice(&chunk);
                self.line()?;
                if size == 0 {
                    return Some(message);
                }
            }
        }
        let length: usize = message.field("content-length").parse().ok()?;
        message.body = self.exactly(length)?;
        Some(message)
    }

    fn head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.lines();
        let first = lines.next()?.to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
            .collect();
        Some(Message {
            first,
            fields,
            body: Vec::new(),
        })
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        }
    }

    fn exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill().ok()? == 0 {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }
}

/// Writes an answer with a length.
pub fn reply(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// What a client got.
#[derive(Clone, Debug)]
pub enum Got {
    /// A complete answer.
    Answer(Message),
    /// No connection was opened.
    Unreached,
    /// The connection ended, or the time was up, without a complete answer.
    Broken,
}

impl Got {
    pub fn text(&self) -> String {
        match self {
            Got::Answer(answer) => answer.status().to_string(),
            Got::Unreached => "unreached".to_owned(),
            Got::Broken => "broken".to_owned(),
        }
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn ask(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Got {
    let until = Instant::now() + limit;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Got::Unreached;
    };
    let left = until.saturating_duration_since(Instant::now());
    let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
    let mut out = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    if stream.write_all(&out).is_err() {
        return Got::Broken;
    }
    match Reader::new(stream).answer() {
        Some(answer) => Got::Answer(answer),
        None => Got::Broken,
    }
}
