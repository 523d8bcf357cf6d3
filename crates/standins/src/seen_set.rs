use std::collections::BTreeSet;
use std::sync::Mutex;

use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ServedRequest;

/// What a backend server saw of callers: names of headers and query parameters, and SHA-256
/// digests of their values and of the words in them. Tests look for the digest of a caller's key.
#[derive(Debug, Default)]
pub struct SeenSet {
    report: Mutex<SeenReport>,
}

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
        let mut report = self.report.lock().unwrap_or_else(|e| e.into_inner());
        report.requests += 1;
        for (name, value) in &request.headers {
            report.header_names.insert(name.to_string());
            record_value(&mut report.digests, value.as_bytes());
        }
        for (name, value) in &request.query {
            report.query_names.insert(name.clone());
            record_value(&mut report.digests, value.as_bytes());
        }
    }

    /// Everything recorded so far.
    pub fn report(&self) -> SeenReport {
        let report = self.report.lock().unwrap_or_else(|e| e.into_inner());
        report.clone()
    }
}

/// SHA-256 of `data` in hexadecimal.
pub fn hex_digest(data: &[u8]) -> String {
    let digest = Sha256::digest(data);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Records the value and its words, so that a key inside `Bearer KEY` or `name=KEY; ...` is found.
fn record_value(digests: &mut BTreeSet<String>, value: &[u8]) {
    digests.insert(hex_digest(value));
    let is_separator = |byte: &u8| b" ,;=\"".contains(byte);
    for word in value.split(is_separator).filter(|word| !word.is_empty()) {
        digests.insert(hex_digest(word));
    }
}
