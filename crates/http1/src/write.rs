//! Serialization of heads and chunks.

use std::io::Write;

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
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

/// Writes a head; [`Head::end`] completes it.
#[derive(Debug)]
pub struct Head<'a> {
    out: &'a mut Vec<u8>,
}

impl<'a> Head<'a> {
    /// Writes the request line.
    pub fn request(out: &'a mut Vec<u8>, method: &str, target: &str) -> Head<'a> {
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            out.extend_from_slice(part.as_bytes());
        }
        Head { out }
    }

    /// Writes the status line.
    pub fn response(out: &'a mut Vec<u8>, status: u16) -> Head<'a> {
        write(
            out,
            format_args!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)),
        );
        Head { out }
    }

    /// Writes a field.
    pub fn field(&mut self, name: &str, value: &[u8]) -> &mut Head<'a> {
        self.out.extend_from_slice(name.as_bytes());
        self.out.extend_from_slice(b": ");
        self.out.extend_from_slice(value);
        self.out.extend_from_slice(b"\r\n");
        self
    }

    /// Writes a field with a value that implements `Display`.
    pub fn number(&mut self, name: &str, value: impl std::fmt::Display) -> &mut Head<'a> {
        write(self.out, format_args!("{name}: {value}\r\n"));
        self
    }

    /// Writes the empty line that ends the head.
    pub fn end(&mut self) {
        self.out.extend_from_slice(b"\r\n");
    }
}

/// Writes a chunk. Empty `data` is skipped, as an empty chunk would end the
/// body.
pub fn chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    write(out, format_args!("{:x}\r\n", data.len()));
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Writes the last chunk, without trailers.
pub fn last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}

fn write(out: &mut Vec<u8>, text: std::fmt::Arguments<'_>) {
    out.write_fmt(text).expect("writing to a Vec does not fail");
}
