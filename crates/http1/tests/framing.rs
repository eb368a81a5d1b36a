//! Heads and bodies that are complete, split across reads or malformed.

use bytes::BytesMut;
use http1::ParseError;
use http1::body::Decoder;
use http1::body::Framing;
use http1::body::Step;
use http1::head::Request;
use http1::head::Response;
use http1::write;
use quickcheck::quickcheck;

const HEAD_MAX_BYTES: usize = 16_384;
/// More trailers than a body may have.
const TRAILERS_COUNT: usize = 10_000;

fn parse_request(text: &str) -> Result<Option<Request>, ParseError> {
    Request::decode(&mut BytesMut::from(text), HEAD_MAX_BYTES)
}

fn decode(framing: Framing, bytes: &[u8], piece_len: usize) -> Result<(Vec<u8>, bool), ParseError> {
    let mut decoder = Decoder::new(framing);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for piece in bytes.chunks(piece_len.max(1)) {
        buffer.extend_from_slice(piece);
        while let Step::Data(data) = decoder.step(&mut buffer)? {
            body.extend_from_slice(&data);
        }
    }
    Ok((body, decoder.is_done()))
}

#[test]
fn ambiguous_lengths_are_rejected() {
    let cases = [
        (
            "Content-Length: 3\r\nContent-Length: 3\r\n",
            ParseError::AmbiguousLength,
        ),
        (
            "Content-Length: 3\r\nContent-Length: 4\r\n",
            ParseError::AmbiguousLength,
        ),
        (
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            ParseError::AmbiguousLength,
        ),
        (
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            ParseError::AmbiguousLength,
        ),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            ParseError::AmbiguousLength,
        ),
        (
            "Transfer-Encoding: gzip, chunked\r\n",
            ParseError::TransferCoding,
        ),
        (
            "Transfer-Encoding: identity\r\n",
            ParseError::TransferCoding,
        ),
        ("Content-Length: +3\r\n", ParseError::AmbiguousLength),
        ("Content-Length: 3, 3\r\n", ParseError::AmbiguousLength),
        ("Content-Length: \r\n", ParseError::AmbiguousLength),
        (
            "Content-Length: 99999999999999999999999\r\n",
            ParseError::AmbiguousLength,
        ),
        ("Content-Length : 3\r\n", ParseError::Malformed),
        ("A: b\r\n folded: c\r\n", ParseError::Malformed),
    ];
    for (fields, error) in cases {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
        assert_eq!(parse_request(&text).err(), Some(error), "{fields:?}");
    }
}

#[test]
fn a_chunked_body_needs_http_1_1() {
    let text = "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse_request(text).err(), Some(ParseError::AmbiguousLength));
}

#[test]
fn a_head_over_the_limit_is_rejected_before_and_after_its_end() {
    let mut text = "GET / HTTP/1.1\r\nA: ".to_owned();
    text.extend(std::iter::repeat_n('a', HEAD_MAX_BYTES));
    assert_eq!(parse_request(&text).err(), Some(ParseError::HeadTooLong));
    text.push_str("\r\n\r\n");
    assert_eq!(parse_request(&text).err(), Some(ParseError::HeadTooLong));
}

#[test]
fn a_split_head_is_parsed_once_complete() {
    let text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy";
    let end = text.len() - 2;
    for cut in 0..end {
        assert!(parse_request(&text[..cut]).expect("valid").is_none());
    }
    let head = parse_request(text)
        .expect("valid")
        .expect("a complete head");
    assert_eq!((head.path(), head.framing), ("/a/b", Framing::Length(2)));
    assert_eq!(head.fields.get("host"), Some("h"));
    assert!(head.keeps_alive());
}

/// Guards against fields or a body that are lost, as one part of the parser ends the head
/// at bare line feeds and another one only at the next empty line with CRLF.
#[test]
fn a_head_that_ends_with_a_bare_line_feed_is_rejected() {
    let ends = ["\n\n", "\r\n\n", "\n\r\n"];
    for end in ends {
        let answer = format!("HTTP/1.1 200 OK\r\nA: b{end}first\r\n\r\nsecond");
        let found = Response::decode(&mut BytesMut::from(&*answer), "GET", HEAD_MAX_BYTES);
        assert_eq!(found.err(), Some(ParseError::Malformed), "{end:?}");
        let request = format!("GET / HTTP/1.1\r\nHost: a{end}GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(
            parse_request(&request).err(),
            Some(ParseError::Malformed),
            "{end:?}"
        );
    }
}

/// Guards against an answer whose status is none, and against one that follows it: 000
/// counted as an interim status and was skipped.
#[test]
fn a_status_outside_100_to_599_is_rejected() {
    for status in 0..1_000_u16 {
        let answer =
            format!("HTTP/1.1 {status:03} X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n");
        let found = Response::decode(&mut BytesMut::from(&*answer), "GET", HEAD_MAX_BYTES);
        let found = found.map(|head| head.map(|head| head.status));
        let expected = match status {
            100..200 => Ok(Some(200)),
            200..600 => Ok(Some(status)),
            _ => Err(ParseError::Status),
        };
        assert_eq!(found, expected, "{status:03}");
    }
}

#[test]
fn malformed_chunks_are_rejected() {
    let cases: [&[u8]; 7] = [
        b"\r\n",
        b"g\r\n",
        b"+1\r\na\r\n",
        b"0x1\r\na\r\n",
        b"1\r\nab\r\n",
        b"1 \r\na\r\n",
        b"123456789\r\n",
    ];
    for case in cases {
        assert_eq!(
            decode(Framing::Chunked, case, 64).err(),
            Some(ParseError::Malformed),
            "{case:?}"
        );
    }
}

#[test]
fn trailers_are_ignored() {
    let (body, is_done) =
        decode(Framing::Chunked, b"2;x=y\r\nab\r\n0\r\nA: b\r\n\r\n", 1).expect("valid");
    assert_eq!((body.as_slice(), is_done), (&b"ab"[..], true));
}

#[test]
fn trailers_without_end_are_rejected() {
    let mut decoder = Decoder::new(Framing::Chunked);
    let mut buffer = BytesMut::from("0\r\n");
    let rejected = (0..TRAILERS_COUNT).any(|_| {
        buffer.extend_from_slice(b"X-Many: 1\r\n");
        decoder.step(&mut buffer).is_err()
    });
    assert!(rejected);
}

#[test]
fn trailers_as_long_as_a_head_are_ignored() {
    let trailers = format!("A: {}\r\n", "b".repeat(4_000)).repeat(4);
    let text = format!("2\r\nab\r\n0\r\n{trailers}\r\n");
    let (body, is_done) = decode(Framing::Chunked, text.as_bytes(), 1_000).expect("valid");
    assert_eq!((body.as_slice(), is_done), (&b"ab"[..], true));
}

#[test]
fn a_response_without_a_length_ends_when_the_connection_closes() {
    let mut buffer = BytesMut::from("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc");
    let head = Response::decode(&mut buffer, "GET", HEAD_MAX_BYTES)
        .expect("valid")
        .expect("a complete head");
    assert_eq!(
        (head.status, head.framing, head.keeps_alive),
        (200, Framing::UntilClose, false)
    );
    assert_eq!(&buffer[..], b"abc");
}

#[test]
fn bytes_after_a_body_stay_in_the_buffer() {
    let mut decoder = Decoder::new(Framing::Length(2));
    let mut buffer = BytesMut::from("abHTTP/1.1 200");
    assert_eq!(decoder.step(&mut buffer), Ok(Step::Data("ab".into())));
    assert_eq!(decoder.step(&mut buffer), Ok(Step::End));
    assert_eq!(&buffer[..], b"HTTP/1.1 200");
}

quickcheck! {
    fn chunked_bodies_round_trip(parts: Vec<Vec<u8>>, piece_len: u8) -> bool {
        let mut encoded = Vec::new();
        for part in &parts {
            write::chunk(&mut encoded, part);
        }
        write::last_chunk(&mut encoded);
        let decoded = decode(Framing::Chunked, &encoded, usize::from(piece_len));
        decoded == Ok((parts.concat(), true))
    }

    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>, piece_len: u8) -> bool {
        let _ = decode(Framing::Chunked, &bytes, usize::from(piece_len));
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = Request::decode(&mut buffer, HEAD_MAX_BYTES);
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = Response::decode(&mut buffer, "GET", HEAD_MAX_BYTES);
        true
    }
}
