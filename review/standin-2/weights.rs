//! Versions of the weights of one model, and the service that has them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::http::Reader;

pub const MODEL: &str = "folk";
pub const PIECES: usize = 96;
pub const PIECE_BYTES: usize = 24_576;
pub const LAYERS: usize = 16;
/// The link of the origin, in bytes per second: 7.3 Mbit/s.
const LINK_BYTES_PER_S: f64 = 912_500.0;

/// A piece of a version.
pub fn piece(version: u64, number: usize) -> Vec<u8> {
    let mut state = version * 1_000_003 + number as u64 * 7_919 + 17;
    let bytes = (0..PIECE_BYTES).map(|_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    });
    bytes.collect()
}

/// Starts the origin of the weights.
pub fn spawn_origin(address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the origin listens");
    let link = Arc::new(Mutex::new(()));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let link = link.clone();
            thread::spawn(move || {
                let mut reader = Reader::new(stream);
                while let Some(request) = reader.request() {
                    let body = answer(&request);
                    let sending = link.lock().unwrap();
                    thread::sleep(Duration::from_secs_f64(
                        body.len() as f64 / LINK_BYTES_PER_S,
                    ));
                    drop(sending);
                    if http::reply(&mut reader.stream, 200, "", &body).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn answer(request: &Message) -> Vec<u8> {
    let number = |name| request.query(name).and_then(|text| text.parse().ok());
    let version: u64 = number("version").unwrap_or(1);
    if !request.path().starts_with("/manifest/") {
        return piece(version, number("num").unwrap_or(0) as usize);
    }
    let digests: Vec<String> = (0..PIECES)
        .map(|number| format!("\"{}\"", sha256(&piece(version, number))))
        .collect();
    format!(
        "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunkBytes\":{PIECE_BYTES},\"layers\":{LAYERS},\"digests\":[{}]}}",
        digests.join(",")
    )
    .into_bytes()
}

/// The SHA-256 digest of some bytes in hexadecimal (FIPS 180-4).
fn sha256(bytes: &[u8]) -> String {
    let (mut state, constants) = constants();
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words = [0_u32; 64];
        for (word, bytes) in words.iter_mut().zip(block.chunks(4)) {
            *word = u32::from_be_bytes(bytes.try_into().unwrap());
        }
        for at in 16..64 {
            let (early, late) = (words[at - 15], words[at - 2]);
            let first = early.rotate_right(7) ^ early.rotate_right(18) ^ early >> 3;
            let second = late.rotate_right(17) ^ late.rotate_right(19) ^ late >> 10;
            let sum = words[at - 16]
                .wrapping_add(first)
                .wrapping_add(words[at - 7]);
            words[at] = sum.wrapping_add(second);
        }
        let mut v = state;
        for (word, constant) in words.iter().zip(&constants) {
            let mixed = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let chosen = v[4] & v[5] ^ !v[4] & v[6];
            let first = v[7].wrapping_add(mixed).wrapping_add(chosen);
            let first = first.wrapping_add(*constant).wrapping_add(*word);
            let mixed = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = v[0] & v[1] ^ v[0] & v[2] ^ v[1] & v[2];
            let second = mixed.wrapping_add(majority);
            let next = first.wrapping_add(second);
            v = [
                next,
                v[0],
                v[1],
                v[2],
                v[3].wrapping_add(first),
                v[4],
                v[5],
                v[6],
            ];
        }
        for (sum, part) in state.iter_mut().zip(v) {
            *sum = sum.wrapping_add(part);
        }
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}

/// The first state and the constants of SHA-256: fractions of roots of primes.
fn constants() -> ([u32; 8], [u32; 64]) {
    let is_prime = |number: &u32| (2..*number).all(|divisor| number % divisor != 0);
    let primes: Vec<u32> = (2..).filter(is_prime).take(64).collect();
    let fraction = |root: f64| (root.fract() * 4_294_967_296.0) as u32;
    let mut state = [0; 8];
    let mut constants = [0; 64];
    for (at, prime) in primes.into_iter().enumerate() {
        if let Some(word) = state.get_mut(at) {
            *word = fraction(f64::from(prime).sqrt());
        }
        constants[at] = fraction(f64::from(prime).cbrt());
    }
    (state, constants)
}
