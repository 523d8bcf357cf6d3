//! Message authentication codes (HMAC-SHA256) of messages between processes.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::key_ring::KEY_BYTES;
use crate::key_ring::PeerKey;

/// Block size of SHA-256 in bytes.
const SHA256_BLOCK_BYTES: usize = 64;

/// Collects the parts of a message that its authentication code covers.
pub(crate) struct SignedParts<'a> {
    /// `request` or `reply`; prevents a request from being replayed as a reply.
    pub direction: &'static str,
    /// HTTP path, which selects the message type.
    pub path: &'a str,
    /// Sender's wall clock in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Nonce of the request. A reply uses the same one, which binds it to its request.
    pub nonce: u64,
    /// MessagePack body.
    pub body: &'a [u8],
}

impl SignedParts<'_> {
    /// Returns the message authentication code as 64 hexadecimal digits.
    pub(crate) fn sign(&self, key: &PeerKey) -> String {
        let bytes = self.mac(key).finalize().into_bytes();
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns true if `mac` is the code of these parts. Compares in constant time, so that the time reveals nothing.
    pub(crate) fn verify(&self, key: &PeerKey, mac: &str) -> bool {
        use subtle::ConstantTimeEq;
        bool::from(self.sign(key).as_bytes().ct_eq(mac.as_bytes()))
    }

    fn mac(&self, key: &PeerKey) -> Hmac<Sha256> {
        let Self {
            direction,
            path,
            time_ms,
            nonce,
            body,
        } = self;
        // HMAC pads a key that is shorter than a block with zeros; `new` takes a whole block.
        let mut block = [0_u8; SHA256_BLOCK_BYTES];
        block[..KEY_BYTES].copy_from_slice(&key.secret);
        let mut mac = Hmac::<Sha256>::new(&block.into());
        mac.update(direction.as_bytes());
        mac.update(&[0]);
        mac.update(path.as_bytes());
        mac.update(&[0]);
        mac.update(&time_ms.to_be_bytes());
        mac.update(&nonce.to_be_bytes());
        mac.update(body);
        mac
    }
}
