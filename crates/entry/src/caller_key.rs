//! Takes the caller's key out of a request.

use std::fmt;

use http::HeaderMap;
use http::header;
use sha2::Digest;
use sha2::Sha256;

use crate::problem::ProblemKind;
use crate::problem::RequestProblem;
use crate::problem::Result;

/// Headers that may carry a key besides `Authorization`.
const KEY_HEADERS: [&str; 2] = ["x-api-key", "api-key"];

/// Query parameters that callers use for keys by mistake.
const KEY_PARAMETERS: [&str; 5] = ["key", "api_key", "api-key", "apikey", "access_token"];

/// A caller's key. Kept only to find copies of it in forwarded headers; never printed.
#[derive(Clone)]
pub struct CallerKey {
    secret: String,
    /// SHA-256 of the key.
    pub digest: [u8; 32],
}

impl fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallerKey(..)")
    }
}

impl CallerKey {
    /// Reads the key from the headers. Two different keys are refused, because it would be unclear who asks.
    pub fn read(headers: &HeaderMap) -> Result<Option<Self>> {
        let mut found: Option<&str> = None;
        for candidate in candidates(headers) {
            let candidate = candidate?;
            if found.is_some_and(|known| known != candidate) {
                return Err(invalid("the request carries two different keys"));
            }
            found = Some(candidate);
        }
        Ok(found.map(|secret| Self {
            secret: secret.to_owned(),
            digest: Sha256::digest(secret.as_bytes()).into(),
        }))
    }

    /// True if `text` contains the key, as it is or percent-encoded.
    pub fn occurs_in(&self, text: &[u8]) -> bool {
        let secret = self.secret.as_bytes();
        let contains = |text: &[u8]| text.windows(secret.len()).any(|window| window == secret);
        contains(text) || contains(&percent_decode(text))
    }
}

/// Decodes `%XX`; anything else stays as it is.
fn percent_decode(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let [first, tail @ ..] = rest {
        let byte = match tail {
            [high, low, ..] if *first == b'%' => hex_byte(*high, *low),
            _ => None,
        };
        decoded.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    decoded
}

fn hex_byte(high: u8, low: u8) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let value = digit(high)? * 16 + digit(low)?;
    u8::try_from(value).ok()
}

/// Refuses a request whose path carries its key; the path goes to the backend server and into logs.
pub fn check_path(path: &str, key: Option<&CallerKey>) -> Result<()> {
    if key.is_some_and(|key| key.occurs_in(path.as_bytes())) {
        let detail = "send the key in the Authorization header, not in the path; replace this key";
        return Err(RequestProblem::not_run(ProblemKind::KeyInQuery, detail));
    }
    Ok(())
}

/// Refuses a request whose query carries a key.
pub fn check_query(query: Option<&str>, key: Option<&CallerKey>) -> Result<()> {
    let Some(query) = query else {
        return Ok(());
    };
    let has_parameter = query.split('&').any(|pair| {
        let name = pair.split('=').next().unwrap_or_default();
        KEY_PARAMETERS
            .iter()
            .any(|parameter| name.eq_ignore_ascii_case(parameter))
    });
    if has_parameter || key.is_some_and(|key| key.occurs_in(query.as_bytes())) {
        let detail = "send the key in the Authorization header, not in the query; replace this key";
        return Err(RequestProblem::not_run(ProblemKind::KeyInQuery, detail));
    }
    Ok(())
}

fn candidates(headers: &HeaderMap) -> impl Iterator<Item = Result<&str>> {
    let bearer = headers.get_all(header::AUTHORIZATION).iter().map(|value| {
        let text = value
            .to_str()
            .map_err(|_| invalid("the Authorization header is not text"))?;
        let (scheme, key) = text.split_once(' ').unwrap_or((text, ""));
        if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
            return Err(invalid("expected `Authorization: Bearer <key>`"));
        }
        Ok(key.trim())
    });
    let plain = KEY_HEADERS
        .iter()
        .flat_map(|name| headers.get_all(*name).iter())
        .map(|value| {
            let text = value
                .to_str()
                .map_err(|_| invalid("the key header is not text"))?;
            if text.trim().is_empty() {
                return Err(invalid("the key header is empty"));
            }
            Ok(text.trim())
        });
    bearer.chain(plain)
}

fn invalid(detail: &str) -> RequestProblem {
    RequestProblem::not_run(ProblemKind::InvalidKey, detail)
}
