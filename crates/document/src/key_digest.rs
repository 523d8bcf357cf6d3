//! Generates client account keys and computes their SHA-256 digests.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::Rng;
use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// Prefix of generated keys. Secret scanners find leaked keys by it, and [`check`](fn@crate::check)
/// masks keys that were pasted into a document.
pub const KEY_PREFIX: &str = "zk-";

/// Random part of a generated key, before Base64 encoding.
const RANDOM_KEY_BYTES: usize = 32;

/// SHA-256 digest of a client account's key. Documents hold digests only, never keys.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key in the form in which the caller sends it.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses exactly 64 hex digits in either case; `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        let mut bytes = [0_u8; 32];
        if digits.len() != 2 * bytes.len() {
            return None;
        }
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let high = char::from(pair[0]).to_digit(16)?;
            let low = char::from(pair[1]).to_digit(16)?;
            *byte = (high * 16 + low) as u8;
        }
        Some(Self(bytes))
    }

    /// Compares two digests in constant time, so that the response time doesn't reveal how many bytes
    /// match.
    pub fn matches(&self, digest: &[u8; 32]) -> Choice {
        self.0.ct_eq(digest)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Prints the first 4 bytes only, which is enough to tell digests apart in a log.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d, ..] = self.0;
        write!(f, "KeyDigest({a:02x}{b:02x}{c:02x}{d:02x}..)")
    }
}

/// A generated key with its digest, as returned by [`new_key`].
pub struct NewKey {
    /// Secret key. It is shown to the operator once and never stored.
    pub key: String,
    /// Digest to list under `key_digests` in the document.
    pub digest: KeyDigest,
}

/// Omits the key, so that it can't reach a log.
impl fmt::Debug for NewKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NewKey")
            .field("digest", &self.digest)
            .finish_non_exhaustive()
    }
}

/// Generates a key of 256 random bits, Base64-encoded after the prefix [`KEY_PREFIX`].
pub fn new_key() -> NewKey {
    let mut bytes = [0_u8; RANDOM_KEY_BYTES];
    rand::rng().fill(&mut bytes[..]);
    let key = format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes));
    let digest = KeyDigest::of_key(&key);
    NewKey { key, digest }
}
