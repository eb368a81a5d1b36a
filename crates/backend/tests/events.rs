//! Streams of events, cut into pieces anywhere.

use backend::Error;
use backend::events::EVENT_MAX_BYTES;
use backend::events::Parser;
use bytes::Bytes;

const CHAT: &str = r#"data: {"choices":[{"delta":{"content":"a\nb"}}]}"#;
const TEXT: &str = r#"data: {"choices":[{"text":"c"}]}"#;
const EMPTY: &str = r#"data: {"choices":[{"text":"","finish_reason":"length"}]}"#;

/// What a stream in pieces of `size` bytes comes to: bytes, tokens, whole.
fn parse(stream: &str, size: usize) -> (Vec<u8>, u32, bool) {
    let mut parser = Parser::open();
    let (mut bytes, mut tokens) = (Vec::new(), 0);
    for piece in stream.as_bytes().chunks(size) {
        let data = parser.push(&Bytes::copy_from_slice(piece)).unwrap();
        if let Some(data) = data {
            bytes.extend_from_slice(&data.bytes);
            tokens += data.tokens;
        }
    }
    (bytes, tokens, parser.is_done())
}

#[test]
fn events_come_out_whole_wherever_the_stream_is_cut() {
    let done = "data: [DONE]\n\n";
    let table = [
        ("tokens", format!("{CHAT}\n\n{TEXT}\n\n"), done, 2, true),
        (
            "no token",
            format!("{EMPTY}\n\n: comment\n\n"),
            done,
            0,
            true,
        ),
        ("carriage returns", format!("{TEXT}\r\n\r\n"), done, 1, true),
        ("no closing event", format!("{TEXT}\n\n"), "", 1, false),
        (
            "half an event",
            format!("{TEXT}\n\n"),
            "data: {\"cho",
            1,
            false,
        ),
        (
            "after the end",
            format!("{TEXT}\n\n"),
            "data: [DONE]\n\ndata: x\n\n",
            1,
            true,
        ),
        ("not JSON", "data: hello\n\n".to_owned(), done, 0, true),
    ];
    for (name, events, rest, tokens, whole) in table {
        let stream = format!("{events}{rest}");
        for size in 1..=stream.len() {
            let expected = (events.clone().into_bytes(), tokens, whole);
            assert_eq!(parse(&stream, size), expected, "{name}, pieces of {size}");
        }
    }
}

#[test]
fn an_endless_event_is_refused() {
    let mut parser = Parser::open();
    let piece = Bytes::from(vec![b'x'; EVENT_MAX_BYTES + 1]);
    let refused = parser.push(&piece);
    assert!(matches!(refused, Err(Error::EventTooLong { .. })));
}
