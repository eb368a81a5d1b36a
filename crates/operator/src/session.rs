//! Operator sessions: signed cookies that any entry of the fleet accepts.

use std::fmt;
use std::time::Duration;

use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::document::Document;
use subtle::ConstantTimeEq;

/// The lifetime of a session.
pub(crate) const LIFETIME: Duration = Duration::from_secs(8 * 3600);
/// The name of the session cookie.
pub(crate) const COOKIE_NAME: &str = "snipewinch_session";
/// The number of leading hexadecimal digits of the operator key's digest that
/// the cookie contains.
const DIGEST_DIGITS: usize = 32;
/// The context strings of the BLAKE3 key derivations.
const SESSION_CONTEXT: &str = "snipewinch 2026-12-03 console session";
const FORM_CONTEXT: &str = "snipewinch 2026-12-03 console form";

/// The name of the operator whose key digest comes from the settings.
const FIRST_OPERATOR: &str = "first-operator";

/// Signs sessions and form tokens with keys derived from the fleet secret.
#[derive(Clone)]
pub(crate) struct Signer {
    session_key: [u8; blake3::KEY_LEN],
    form_key: [u8; blake3::KEY_LEN],
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Signer(..)")
    }
}

/// The session of a signed-in operator.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) operator: SmolStr,
    /// The CSRF token that every form of this session carries; a form without
    /// it is rejected.
    pub(crate) form_token: String,
}

impl Signer {
    pub(crate) fn new(fleet_secret: &str) -> Signer {
        Signer {
            session_key: blake3::derive_key(SESSION_CONTEXT, fleet_secret.as_bytes()),
            form_key: blake3::derive_key(FORM_CONTEXT, fleet_secret.as_bytes()),
        }
    }

    /// Returns the cookie of a session that starts at `now`, the time since the
    /// Unix epoch.
    pub(crate) fn issue(&self, key: &Digest, now: Duration) -> String {
        let expires_ms = (now + LIFETIME).as_millis();
        let payload = format!("{}.{expires_ms}", digest_prefix(key));
        let mac = blake3::keyed_hash(&self.session_key, payload.as_bytes());
        format!("{payload}.{}", mac.to_hex())
    }

    /// Returns the session of a cookie, or `None` if its signature is wrong, it
    /// has expired, or its operator may no longer sign in.
    pub(crate) fn verify(
        &self,
        cookie: &str,
        now: Duration,
        operators: &Operators<'_>,
    ) -> Option<Session> {
        let (payload, mac) = cookie.rsplit_once('.')?;
        let expected = blake3::keyed_hash(&self.session_key, payload.as_bytes()).to_hex();
        if !constant_time_eq(expected.as_str(), mac) {
            return None;
        }
        let (key, expires_ms) = payload.split_once('.')?;
        let expires = Duration::from_millis(expires_ms.parse().ok()?);
        if now >= expires {
            return None;
        }
        let operator = operators.find(|digest| digest_prefix(digest) == key)?;
        Some(Session {
            operator,
            form_token: self.form_token(cookie),
        })
    }

    fn form_token(&self, cookie: &str) -> String {
        blake3::keyed_hash(&self.form_key, cookie.as_bytes())
            .to_hex()
            .to_string()
    }
}

/// Compares in constant time, so that the duration does not reveal how many
/// leading bytes are equal.
pub(crate) fn constant_time_eq(expected: &str, given: &str) -> bool {
    expected.as_bytes().ct_eq(given.as_bytes()).into()
}

fn digest_prefix(digest: &Digest) -> String {
    let mut text = digest.to_string();
    text.truncate(DIGEST_DIGITS);
    text
}

/// The operators who may sign in: those of the document, or the first operator
/// while the document names none.
pub(crate) struct Operators<'a> {
    pub(crate) document: &'a Document,
    /// The digest of the first operator's key.
    pub(crate) first_operator: Option<&'a Digest>,
}

impl Operators<'_> {
    /// Returns the name of the operator whose key digest satisfies `predicate`.
    pub(crate) fn find(&self, predicate: impl Fn(&Digest) -> bool) -> Option<SmolStr> {
        if self.document.operators.is_empty() {
            let first_operator = self.first_operator.filter(|digest| predicate(digest));
            return first_operator.map(|_| FIRST_OPERATOR.into());
        }
        let operators = self.document.operators.iter();
        // Every operator is compared, so that the duration does not reveal the
        // position of the match.
        operators
            .filter(|operator| predicate(&operator.key))
            .map(|operator| operator.name.clone())
            .last()
    }
}
