//! Digests of client account keys.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use rand::Rng;
use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;

/// Prefix of generated keys. It lets secret scanners find a leaked key, and the check hide one
/// that was pasted into a document.
pub const KEY_PREFIX: &str = "zk-";

/// Random bytes of a generated key.
const KEY_BYTES: usize = 32;

/// SHA-256 of a client account's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Digest of a key as the caller sends it.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads 64 hex digits.
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

    /// Compares in time that does not depend on the content.
    pub fn matches(&self, digest: &[u8; 32]) -> Choice {
        self.0.ct_eq(digest)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Prints the first bytes only, enough to tell digests apart in a log.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [a, b, c, d, ..] = self.0;
        write!(f, "KeyDigest({a:02x}{b:02x}{c:02x}{d:02x}..)")
    }
}

/// Generated key and its digest.
pub struct NewKey {
    /// The key. It is shown once, to the operator, and stored nowhere.
    pub key: String,
    /// Digest for the document.
    pub digest: KeyDigest,
}

/// Leaves the key out.
impl fmt::Debug for NewKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NewKey")
            .field("digest", &self.digest)
            .finish_non_exhaustive()
    }
}

/// Generates a key of 256 random bits with the prefix [`KEY_PREFIX`].
pub fn new_key() -> NewKey {
    let mut bytes = [0_u8; KEY_BYTES];
    rand::rng().fill(&mut bytes[..]);
    let key = format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes));
    let digest = KeyDigest::of_key(&key);
    NewKey { key, digest }
}
