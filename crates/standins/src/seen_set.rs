use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ServedRequest;

/// What a backend server saw of callers: names of headers and query parameters, and SHA-256
/// digests of their values and of the words in them. Tests look for the digest of a caller's key.
#[derive(Debug, Default)]
pub struct SeenSet {
    record: Mutex<SeenRecord>,
}

#[derive(Debug, Default)]
struct SeenRecord {
    requests: u64,
    header_names: BTreeSet<String>,
    query_names: BTreeSet<String>,
    digests: HashSet<ValueDigest>,
}

/// SHA-256 of a value.
type ValueDigest = [u8; 32];

/// Answer of `GET /seen`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SeenReport {
    /// Requests recorded.
    pub requests: u64,
    /// Names of headers.
    pub header_names: BTreeSet<String>,
    /// Names of query parameters.
    pub query_names: BTreeSet<String>,
    /// Digests, in hexadecimal.
    pub digests: BTreeSet<String>,
}

impl SeenSet {
    /// Records the headers and the query of a request.
    pub fn record(&self, request: &ServedRequest) {
        let mut record = self.lock();
        record.requests += 1;
        for (name, value) in &request.headers {
            record.header_names.insert(name.to_string());
            record_value(&mut record.digests, value.as_bytes());
        }
        for (name, value) in &request.query {
            record.query_names.insert(name.clone());
            record_value(&mut record.digests, value.as_bytes());
        }
    }

    /// Everything recorded so far.
    pub fn report(&self) -> SeenReport {
        let record = self.lock();
        SeenReport {
            requests: record.requests,
            header_names: record.header_names.clone(),
            query_names: record.query_names.clone(),
            digests: record.digests.iter().map(write_hex).collect(),
        }
    }

    /// Whether a value with this digest, in hexadecimal, was seen.
    pub fn contains(&self, digest: &str) -> bool {
        self.lock().digests.iter().any(|d| write_hex(d) == digest)
    }

    /// Forgets everything; every request adds digests of values that do not come again.
    pub fn clear(&self) {
        *self.lock() = SeenRecord::default();
    }

    fn lock(&self) -> MutexGuard<'_, SeenRecord> {
        self.record.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// SHA-256 of `data` in hexadecimal.
pub fn hex_digest(data: &[u8]) -> String {
    write_hex(&digest_value(data))
}

fn digest_value(value: &[u8]) -> ValueDigest {
    Sha256::digest(value).into()
}

fn write_hex(digest: &ValueDigest) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Records the value and its words, so that a key inside `Bearer KEY` or `name=KEY; ...` is found.
fn record_value(digests: &mut HashSet<ValueDigest>, value: &[u8]) {
    digests.insert(digest_value(value));
    let is_separator = |byte: &u8| b" ,;=\"".contains(byte);
    for word in value.split(is_separator).filter(|word| !word.is_empty()) {
        digests.insert(digest_value(word));
    }
}
