//! Every decoder of bytes from outside, under hostile bytes: it answers or
//! refuses, never panics, and its memory stays in proportion to the bytes.

use std::alloc::System;

use backend::events::EVENT_MAX_BYTES;
use backend::events::Parser;
use bytes::Bytes;
use cap::Cap;
use peer::codec;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use snipewinch::Digest;
use snipewinch::configuration::Record;
use snipewinch::configuration::Snapshot;
use snipewinch::document::Document;
use snipewinch::host;
use snipewinch::weights::manifest::Manifest;
use snipewinch::wire::Class;
use snipewinch::wire::Frame;
use snipewinch::wire::Heartbeat;
use snipewinch::wire::Summary;

/// Memory that a decoder may use for one input, in bytes. The inputs are far
/// shorter, so only a length taken on trust gets there.
const MEMORY_MAX: usize = 256 << 20;
const SEED: u64 = 20_261_203;
const CASES: u64 = 3000;

#[global_allocator]
static MEMORY: Cap<System> = Cap::new(System, MEMORY_MAX);

type Decode = fn(&[u8]);

/// One decoder and an input that it takes.
struct Target {
    name: &'static str,
    decode: Decode,
    valid: Vec<u8>,
}

fn targets() -> Vec<Target> {
    let manifest = Manifest::build("verse", "1", 4096, &[7; 10_000]).expect("a manifest");
    let document = r#"{"fleet": "f", "customers": [{"name": "c", "key":
        "0000000000000000000000000000000000000000000000000000000000000000"}]}"#;
    let record = r#"{"version": 1, "operation": "o", "operator": "p", "at_ms": 1,
        "note": "", "text": "{\"fleet\": \"f\"}"}"#;
    let stream = "data: {\"choices\": [{\"text\": \"a\"}]}\n\ndata: [DONE]\n\n";
    let list = r#"{"as_of_ms": 1, "hosts": [{"host": "a", "role": "agent", "zone": "z",
        "region": "r", "address": "127.0.0.1:1"}]}"#;
    vec![
        target("frames", frames, message()),
        target("manifest", manifest_of, manifest.to_bytes()),
        target("document", document_of, document.into()),
        target("table row", record_of, record.into()),
        target("event stream", events_of, stream.into()),
        target("membership list", members_of, list.into()),
    ]
}

fn target(name: &'static str, decode: Decode, valid: Vec<u8>) -> Target {
    Target {
        name,
        decode,
        valid,
    }
}

/// A message of two heartbeats as a peer would send it.
fn message() -> Vec<u8> {
    let mut bytes = Vec::new();
    for sequence in [1, 2] {
        let heartbeat = Heartbeat {
            sequence,
            echo: 0,
            summary: Some(Summary::default()),
        };
        ciborium::into_writer(&Frame::Heartbeat(heartbeat), &mut bytes).expect("a frame");
    }
    bytes
}

fn frames(bytes: &[u8]) {
    if let Ok(frames) = codec::decode(&Bytes::copy_from_slice(bytes)) {
        assert!(frames.len() <= codec::MESSAGE_MAX_FRAMES);
        assert!(frames.iter().all(|frame| frame.class() <= Class::Chunk));
    }
}

fn manifest_of(bytes: &[u8]) {
    // Its digest is right: the shape alone has to hold.
    if let Ok(manifest) = Manifest::parse(bytes, &Digest::of(bytes)) {
        let lengths = (0..manifest.chunks.len()).map(|chunk| manifest.length(chunk as u32));
        let sum: u64 = lengths.map(u64::from).sum();
        assert_eq!(sum, manifest.size);
    }
}

fn document_of(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    if let Ok(document) = Document::parse(&text) {
        // What is read is written and read again as the same.
        let again = Document::parse(&document.json()).expect("canonical JSON");
        assert_eq!(again.digest(), document.digest());
        let _ = document.check();
    }
}

fn record_of(bytes: &[u8]) {
    if let Ok(record) = serde_json::from_slice::<Record>(bytes) {
        let _ = Snapshot::parse(record.version, &record.text);
    }
}

fn members_of(bytes: &[u8]) {
    let _ = serde_json::from_slice::<snipewinch::membership::Member>(bytes);
    let _ = serde_json::from_slice::<host::Identity>(bytes);
    let _ = serde_json::from_slice::<serde_json::Value>(bytes);
}

fn events_of(bytes: &[u8]) {
    let mut parser = Parser::open();
    let mut taken = 0;
    for piece in bytes.chunks(7) {
        match parser.push(&Bytes::copy_from_slice(piece)) {
            Ok(Some(data)) => taken += data.bytes.len(),
            Ok(None) => {}
            Err(_) => return,
        }
    }
    assert!(taken <= bytes.len());
}

/// Flips, cuts and doubles bytes of `valid` as `noise` says.
fn mutate(valid: &[u8], noise: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for (at, byte) in noise {
        if bytes.is_empty() {
            break;
        }
        let at = at % bytes.len();
        match byte % 4 {
            0 => bytes[at] = *byte,
            1 => bytes[at] ^= 1 << (byte >> 5),
            2 => bytes.truncate(at.max(1)),
            _ => bytes.extend_from_within(at..),
        }
        bytes.truncate(64 << 10);
    }
    bytes
}

#[test]
fn mutated_inputs_are_taken_or_refused() {
    println!("seed {SEED}");
    for target in targets() {
        println!("{}", target.name);
        let property = move |noise: Vec<(usize, u8)>| {
            (target.decode)(&mutate(&target.valid, &noise));
            true
        };
        check(property);
    }
}

#[test]
fn random_bytes_are_taken_or_refused() {
    println!("seed {SEED}");
    for target in targets() {
        println!("{}", target.name);
        check(move |bytes: Vec<(usize, u8)>| {
            let bytes: Vec<u8> = bytes.iter().map(|(_, byte)| *byte).collect();
            (target.decode)(&bytes);
            true
        });
    }
}

fn check(property: impl Fn(Vec<(usize, u8)>) -> bool + Send + Sync + 'static) {
    struct Property<F>(F);

    impl<F: Fn(Vec<(usize, u8)>) -> bool + 'static> quickcheck::Testable for Property<F> {
        fn result(&self, gen_: &mut Gen) -> quickcheck::TestResult {
            let input = quickcheck::Arbitrary::arbitrary(gen_);
            quickcheck::TestResult::from_bool((self.0)(input))
        }
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, SEED))
        .tests(CASES)
        .max_tests(CASES)
        .quickcheck(Property(property));
}

/// Inputs that promise more than they hold, or nest without end.
#[test]
fn lengths_are_not_taken_on_trust() {
    let byte_string = [&[0xa1, 0x61, b'h', 0x5b][..], &[0x7f; 8]].concat();
    let array = [&[0xa1, 0x61, b'h', 0x9b][..], &[0x7f; 8]].concat();
    let map = [&[0xbb][..], &[0x7f; 8]].concat();
    let nested_arrays = vec![0x81; 1 << 20];
    let nested_tags = vec![0xc1; 1 << 20];
    let many_frames = message().repeat(codec::MESSAGE_MAX_FRAMES);
    for bytes in [
        byte_string,
        array,
        map,
        nested_arrays,
        nested_tags,
        many_frames,
    ] {
        let decoded = codec::decode(&Bytes::from(bytes));
        assert!(decoded.is_err());
    }
    let deep = "[".repeat(1 << 20);
    assert!(Document::parse(&deep).is_err());
    assert!(Manifest::parse(deep.as_bytes(), &Digest::of(deep.as_bytes())).is_err());
    let mut parser = Parser::open();
    let endless = Bytes::from(vec![b'x'; EVENT_MAX_BYTES + 1]);
    assert!(parser.push(&endless).is_err());
}
