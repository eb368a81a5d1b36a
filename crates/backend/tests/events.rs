//! The parser of event streams, with streams split at every position.

use backend::Error;
use backend::events::EVENT_MAX_BYTES;
use backend::events::Parser;
use bytes::Bytes;

const CHAT: &str = r#"data: {"choices":[{"delta":{"content":"a\nb"}}]}"#;
const COMPLETION: &str = r#"data: {"choices":[{"text":"c"}]}"#;
const NO_TOKEN: &str = r#"data: {"choices":[{"text":"","finish_reason":"length"}]}"#;

/// Parses a stream in parts of `part_bytes`. Returns the bytes of the
/// complete events, the number of their tokens, and whether the closing event
/// was received.
fn parse_stream(stream: &str, part_bytes: usize) -> (Vec<u8>, u32, bool) {
    let mut parser = Parser::open();
    let (mut bytes, mut tokens) = (Vec::new(), 0);
    for part in stream.as_bytes().chunks(part_bytes) {
        let data = parser.push(&Bytes::copy_from_slice(part)).unwrap();
        if let Some(data) = data {
            bytes.extend_from_slice(&data.bytes);
            tokens += data.tokens;
        }
    }
    (bytes, tokens, parser.is_done())
}

#[test]
fn events_are_complete_wherever_the_stream_is_split() {
    let done = "data: [DONE]\n\n";
    let table = [
        (
            "tokens",
            format!("{CHAT}\n\n{COMPLETION}\n\n"),
            done,
            2,
            true,
        ),
        (
            "no token",
            format!("{NO_TOKEN}\n\n: comment\n\n"),
            done,
            0,
            true,
        ),
        (
            "carriage returns",
            format!("{COMPLETION}\r\n\r\n"),
            done,
            1,
            true,
        ),
        (
            "no closing event",
            format!("{COMPLETION}\n\n"),
            "",
            1,
            false,
        ),
        (
            "incomplete event",
            format!("{COMPLETION}\n\n"),
            "data: {\"cho",
            1,
            false,
        ),
        (
            "data after the closing event",
            format!("{COMPLETION}\n\n"),
            "data: [DONE]\n\ndata: x\n\n",
            1,
            true,
        ),
        ("not JSON", "data: hello\n\n".to_owned(), done, 0, true),
    ];
    for (name, events, tail, tokens, done_seen) in table {
        let stream = format!("{events}{tail}");
        for part_bytes in 1..=stream.len() {
            let expected = (events.clone().into_bytes(), tokens, done_seen);
            assert_eq!(
                parse_stream(&stream, part_bytes),
                expected,
                "{name}, parts of {part_bytes}"
            );
        }
    }
}

#[test]
fn an_event_over_the_maximum_size_is_an_error() {
    let mut parser = Parser::open();
    let part = Bytes::from(vec![b'x'; EVENT_MAX_BYTES + 1]);
    let result = parser.push(&part);
    assert!(matches!(result, Err(Error::EventTooLong { .. })));
}
