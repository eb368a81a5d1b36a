//! Heads and chunks as they are sent.

use std::io::Write;

/// The reason phrase of a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}

/// A head that is being written; [`Head::end`] finishes it.
#[derive(Debug)]
pub struct Head<'a> {
    out: &'a mut Vec<u8>,
}

impl<'a> Head<'a> {
    /// Starts a request.
    pub fn request(out: &'a mut Vec<u8>, method: &str, target: &str) -> Head<'a> {
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            out.extend_from_slice(part.as_bytes());
        }
        Head { out }
    }

    /// Starts a response.
    pub fn response(out: &'a mut Vec<u8>, status: u16) -> Head<'a> {
        write(
            out,
            format_args!("HTTP/1.1 {status} {}\r\n", reason(status)),
        );
        Head { out }
    }

    /// Adds a field.
    pub fn field(&mut self, name: &str, value: &[u8]) -> &mut Head<'a> {
        self.out.extend_from_slice(name.as_bytes());
        self.out.extend_from_slice(b": ");
        self.out.extend_from_slice(value);
        self.out.extend_from_slice(b"\r\n");
        self
    }

    /// Adds a field with a number.
    pub fn number(&mut self, name: &str, value: impl std::fmt::Display) -> &mut Head<'a> {
        write(self.out, format_args!("{name}: {value}\r\n"));
        self
    }

    /// Ends the head.
    pub fn end(&mut self) {
        self.out.extend_from_slice(b"\r\n");
    }
}

/// Adds a chunk; an empty one is left out, as it would end the body.
pub fn chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    write(out, format_args!("{:x}\r\n", data.len()));
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Ends a chunked body.
pub fn last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

fn write(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    out.write_fmt(text).expect("a Vec takes every write");
}
