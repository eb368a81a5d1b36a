//! What work has in common with other work.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::mix;

/// Set in the keys of whole requests, and in no other key.
const REQUEST_BIT: u64 = 1 << 63;

/// Identifies something that work has in common with other work: a shared part
/// of it, or all of it if it comes again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Key(u64);

impl Key {
    /// The key of the part `id` within a scope, such as a service.
    pub fn of(scope: &str, id: &str) -> Key {
        Key(mix::combine(mix::hash(scope), mix::hash(id)) & !REQUEST_BIT)
    }

    /// Whether it identifies a whole request rather than a part.
    pub fn is_request(self) -> bool {
        self.0 & REQUEST_BIT != 0
    }

    /// A number between 0 and 1 that `seed` and the key determine.
    pub(super) fn draw(self, seed: u64) -> f64 {
        mix::combine(seed, self.0) as f64 / u64::MAX as f64
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A request, as far as it is the same when it comes again: not its id, its
/// deadline or further fields.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The host, with or without a port, in upper or lower case.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path without a query string, as routes compare it.
    pub path: &'a str,
    /// The query string; empty if there is none.
    pub query: &'a str,
    /// The customer of the caller, if it is known.
    pub customer: Option<&'a str>,
    /// The body, without its framing.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Its keys: with and without the method and the query string. These may
    /// differ each time that the request comes, or be all that tells it from
    /// sound ones.
    pub fn keys(&self) -> [Key; 2] {
        let host = self
            .host
            .rsplit_once(':')
            .map_or(self.host, |(name, _)| name);
        let mut hasher = blake3::Hasher::new();
        update(&mut hasher, host.to_ascii_lowercase().as_bytes());
        update(&mut hasher, self.path.as_bytes());
        match self.customer {
            Some(customer) => update(&mut hasher, customer.as_bytes()),
            None => hasher.update(&u64::MAX.to_le_bytes()),
        };
        update(&mut hasher, self.body);
        let without = key(&hasher);
        update(&mut hasher, self.method.as_bytes());
        update(&mut hasher, self.query.as_bytes());
        [without, key(&hasher)]
    }
}

/// Hashes a field after its length, so that no two requests hash the same bytes.
fn update<'a>(hasher: &'a mut blake3::Hasher, field: &[u8]) -> &'a mut blake3::Hasher {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field)
}

fn key(hasher: &blake3::Hasher) -> Key {
    let digest = hasher.finalize();
    let (head, _) = digest.as_bytes().split_at(size_of::<u64>());
    let number = head
        .iter()
        .fold(0, |sum, &byte| (sum << 8) | u64::from(byte));
    Key(number | REQUEST_BIT)
}
