//! Shared secret keys that authenticate messages between processes.

use std::fmt;
use std::sync::Arc;

use smallvec::SmallVec;

/// Length of a secret key in bytes.
pub const KEY_BYTES: usize = 32;

/// Holds one secret key and the public id under which both sides know it.
#[derive(Clone)]
pub struct PeerKey {
    /// Public id of the key, sent with each message so that the receiver finds the secret.
    pub id: Arc<str>,
    /// Secret bytes; never printed by `Debug`.
    pub secret: [u8; KEY_BYTES],
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Holds the keys in use: the first one signs, all of them verify.
///
/// To rotate keys without rejected messages, add the new key at the end on all hosts, then move it to the front, then
/// remove the old key.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: SmallVec<[PeerKey; 2]>,
}

impl KeyRing {
    /// Parses lines of the form `id:hex`, with 64 hexadecimal digits. Empty lines and lines that start with `#` are
    /// skipped.
    ///
    /// The error names the first malformed line, or says that there is no key.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut keys = SmallVec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            keys.push(parse_line(line).map_err(|cause| format!("line {}: {cause}", index + 1))?);
        }
        if keys.is_empty() {
            return Err("the key ring holds no key".to_owned());
        }
        Ok(Self { keys })
    }

    /// Creates the text of a key ring with one new random key, in the form that [`Self::parse`] reads.
    pub fn generate_text(id: &str) -> String {
        let secret: [u8; KEY_BYTES] = rand::random();
        let digits = secret.iter().map(|byte| format!("{byte:02x}"));
        format!("{id}:{}", digits.collect::<String>())
    }

    /// Returns the key that signs outgoing messages: the first one.
    pub fn signing_key(&self) -> &PeerKey {
        &self.keys[0]
    }

    /// Returns the key with the given id, to verify a message that names it.
    pub fn find(&self, id: &str) -> Option<&PeerKey> {
        self.keys.iter().find(|key| &*key.id == id)
    }
}

fn parse_line(line: &str) -> Result<PeerKey, String> {
    let (id, digits) = line.split_once(':').ok_or("expected `id:hex`")?;
    if id.is_empty()
        || !id
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
    {
        return Err("the id must consist of letters, digits and hyphens".to_owned());
    }
    if digits.len() != KEY_BYTES * 2 || !digits.is_ascii() {
        return Err(format!("expected {} hexadecimal digits", KEY_BYTES * 2));
    }
    let mut secret = [0_u8; KEY_BYTES];
    for (position, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&digits[2 * position..2 * position + 2], 16)
            .map_err(|_| "the key is not hexadecimal".to_owned())?;
    }
    Ok(PeerKey {
        id: id.into(),
        secret,
    })
}
