//! Who is signed in: a signed cookie that any entry of the fleet accepts.

use std::fmt;
use std::time::Duration;

use smol_str::SmolStr;
use snipewinch::Digest;
use snipewinch::document::Document;
use subtle::ConstantTimeEq;

/// How long a session lasts.
pub(crate) const LIFETIME: Duration = Duration::from_secs(8 * 3600);
/// The name of the cookie.
pub(crate) const COOKIE_NAME: &str = "snipewinch_session";
/// Hexadecimal digits of the key's digest in the cookie.
const DIGEST_DIGITS: usize = 32;
/// The context strings of the key derivations.
const SESSION_CONTEXT: &str = "snipewinch 2026-12-03 console session";
const FORM_CONTEXT: &str = "snipewinch 2026-12-03 console form";

/// The name of the operator whose key comes from the settings.
const FIRST_OPERATOR: &str = "first-operator";

/// Signs sessions and forms with keys derived from the fleet's secret.
#[derive(Clone)]
pub(crate) struct Signer {
    session: [u8; blake3::KEY_LEN],
    form: [u8; blake3::KEY_LEN],
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Signer(..)")
    }
}

/// An operator who is signed in.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) operator: SmolStr,
    /// Goes into every form and proves that it was made for this session.
    pub(crate) form_token: String,
}

impl Signer {
    pub(crate) fn new(fleet_secret: &str) -> Signer {
        Signer {
            session: blake3::derive_key(SESSION_CONTEXT, fleet_secret.as_bytes()),
            form: blake3::derive_key(FORM_CONTEXT, fleet_secret.as_bytes()),
        }
    }

    /// The cookie of a session that starts now.
    pub(crate) fn issue(&self, key: &Digest, now: Duration) -> String {
        let expires_ms = (now + LIFETIME).as_millis();
        let payload = format!("{}.{expires_ms}", digest_prefix(key));
        let mac = blake3::keyed_hash(&self.session, payload.as_bytes());
        format!("{payload}.{}", mac.to_hex())
    }

    /// The session of a cookie, if it is genuine, fresh, and its operator may
    /// still sign in.
    pub(crate) fn verify(
        &self,
        cookie: &str,
        now: Duration,
        operators: &Operators<'_>,
    ) -> Option<Session> {
        let (payload, mac) = cookie.rsplit_once('.')?;
        let expected = blake3::keyed_hash(&self.session, payload.as_bytes()).to_hex();
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
        blake3::keyed_hash(&self.form, cookie.as_bytes())
            .to_hex()
            .to_string()
    }
}

/// Compares in constant time.
pub(crate) fn constant_time_eq(expected: &str, given: &str) -> bool {
    expected.as_bytes().ct_eq(given.as_bytes()).into()
}

fn digest_prefix(digest: &Digest) -> String {
    let mut text = digest.to_string();
    text.truncate(DIGEST_DIGITS);
    text
}

/// Who may sign in: the document's operators, or the first one until a
/// document names any.
pub(crate) struct Operators<'a> {
    pub(crate) document: &'a Document,
    pub(crate) first_operator: Option<&'a Digest>,
}

impl Operators<'_> {
    pub(crate) fn find(&self, predicate: impl Fn(&Digest) -> bool) -> Option<SmolStr> {
        if self.document.operators.is_empty() {
            let first_operator = self.first_operator.filter(|digest| predicate(digest));
            return first_operator.map(|_| FIRST_OPERATOR.into());
        }
        let operators = self.document.operators.iter();
        // All are compared, so that the time says nothing about the place.
        operators
            .filter(|operator| predicate(&operator.key))
            .map(|operator| operator.name.clone())
            .last()
    }
}
