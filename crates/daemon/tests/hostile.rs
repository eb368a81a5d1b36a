//! Every decoder of bytes from outside the process, given malformed and
//! malicious input: it must return a value or an error without a panic, and its
//! memory must stay in proportion to the size of the input.

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

/// The memory that the test process may allocate. The inputs are far smaller,
/// so only a decoder that allocates by an unchecked length exceeds it.
const MEMORY_MAX_BYTES: usize = 256 << 20;
const SEED: u64 = 20_261_203;
const CASES: u64 = 3000;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, MEMORY_MAX_BYTES);

type Decode = fn(&[u8]);

/// A decoder and an input that it accepts.
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
        target("frames", decode_frames, valid_message()),
        target("manifest", decode_manifest, manifest.to_bytes()),
        target("document", decode_document, document.into()),
        target("table row", decode_record, record.into()),
        target("event stream", decode_events, stream.into()),
        target("membership list", decode_members, list.into()),
    ]
}

fn target(name: &'static str, decode: Decode, valid: Vec<u8>) -> Target {
    Target {
        name,
        decode,
        valid,
    }
}

/// A valid message of a peer, with two heartbeats.
fn valid_message() -> Vec<u8> {
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

fn decode_frames(bytes: &[u8]) {
    if let Ok(frames) = codec::decode(&Bytes::copy_from_slice(bytes)) {
        assert!(frames.len() <= codec::MESSAGE_MAX_FRAMES);
        assert!(frames.iter().all(|frame| frame.class() <= Class::Chunk));
    }
}

fn decode_manifest(bytes: &[u8]) {
    // The expected digest matches any input, so that only the structure is
    // checked.
    if let Ok(manifest) = Manifest::parse(bytes, &Digest::of(bytes)) {
        let lengths = (0..manifest.chunks.len()).map(|chunk| manifest.length(chunk as u32));
        let total: u64 = lengths.map(u64::from).sum();
        assert_eq!(total, manifest.size);
    }
}

fn decode_document(bytes: &[u8]) {
    let text = String::from_utf8_lossy(bytes);
    if let Ok(document) = Document::parse(&text) {
        // A document that was parsed can be written and parsed again.
        let reparsed = Document::parse(&document.json()).expect("canonical JSON");
        assert_eq!(reparsed.digest(), document.digest());
        let _ = document.check();
    }
}

fn decode_record(bytes: &[u8]) {
    if let Ok(record) = serde_json::from_slice::<Record>(bytes) {
        let _ = Snapshot::parse(record.version, &record.text);
    }
}

fn decode_members(bytes: &[u8]) {
    let _ = serde_json::from_slice::<snipewinch::membership::Member>(bytes);
    let _ = serde_json::from_slice::<host::Identity>(bytes);
    let _ = serde_json::from_slice::<serde_json::Value>(bytes);
}

fn decode_events(bytes: &[u8]) {
    let mut parser = Parser::open();
    let mut parsed_bytes = 0;
    for piece in bytes.chunks(7) {
        match parser.push(&Bytes::copy_from_slice(piece)) {
            Ok(Some(data)) => parsed_bytes += data.bytes.len(),
            Ok(None) => {}
            Err(_) => return,
        }
    }
    assert!(parsed_bytes <= bytes.len());
}

/// Overwrites bytes, flips bits, truncates and repeats parts of `valid`, as
/// `mutations` selects.
fn mutate(valid: &[u8], mutations: &[(usize, u8)]) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for (at, byte) in mutations {
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
fn mutated_inputs_are_accepted_or_rejected() {
    println!("seed {SEED}");
    for target in targets() {
        println!("{}", target.name);
        let property = move |mutations: Vec<(usize, u8)>| {
            (target.decode)(&mutate(&target.valid, &mutations));
            true
        };
        check(property);
    }
}

#[test]
fn random_bytes_are_accepted_or_rejected() {
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

/// Inputs that declare a greater length than they have, or are nested too
/// deeply, or are longer than the maximum.
#[test]
fn declared_lengths_and_nesting_are_not_trusted() {
    let byte_string = [&[0xa1, 0x61, b'h', 0x5b][..], &[0x7f; 8]].concat();
    let array = [&[0xa1, 0x61, b'h', 0x9b][..], &[0x7f; 8]].concat();
    let map = [&[0xbb][..], &[0x7f; 8]].concat();
    let nested_arrays = vec![0x81; 1 << 20];
    let nested_tags = vec![0xc1; 1 << 20];
    let many_frames = valid_message().repeat(codec::MESSAGE_MAX_FRAMES);
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
    let deeply_nested = "[".repeat(1 << 20);
    assert!(Document::parse(&deeply_nested).is_err());
    assert!(
        Manifest::parse(
            deeply_nested.as_bytes(),
            &Digest::of(deeply_nested.as_bytes())
        )
        .is_err()
    );
    let mut parser = Parser::open();
    let endless = Bytes::from(vec![b'x'; EVENT_MAX_BYTES + 1]);
    assert!(parser.push(&endless).is_err());
}
