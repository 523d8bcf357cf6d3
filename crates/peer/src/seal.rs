//! Message authentication codes.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::key_ring::KEY_BYTES;
use crate::key_ring::PeerKey;

/// Block size of SHA-256.
const SHA256_BLOCK_BYTES: usize = 64;

/// Parts of a message that the code covers.
pub(crate) struct SealedParts<'a> {
    /// `request` or `reply`; keeps a request from being replayed as a reply.
    pub direction: &'static str,
    /// Path of the message type.
    pub path: &'a str,
    /// Sender's wall clock, milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Nonce of the request; a reply repeats it.
    pub nonce: u64,
    /// MessagePack body.
    pub body: &'a [u8],
}

impl SealedParts<'_> {
    /// Code in hexadecimal.
    pub(crate) fn sign(&self, key: &PeerKey) -> String {
        let bytes = self.mac(key).finalize().into_bytes();
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Compares in constant time.
    pub(crate) fn verify(&self, key: &PeerKey, code: &str) -> bool {
        use subtle::ConstantTimeEq;
        bool::from(self.sign(key).as_bytes().ct_eq(code.as_bytes()))
    }

    fn mac(&self, key: &PeerKey) -> Hmac<Sha256> {
        let Self {
            direction,
            path,
            time_ms,
            nonce,
            body,
        } = self;
        // HMAC pads a shorter key with zeros to the block size of the hash.
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
