//! Normalizes request paths before they are matched with route prefixes.

use std::borrow::Cow;

/// Returns the path in the form that route prefixes are compared with, or `None` if the request must
/// be refused.
///
/// Decodes percent-encoded letters, digits, `-`, `.`, `_` and `~`. Refuses relative paths, malformed
/// escapes, empty or dot segments, backslashes, and slashes or NUL bytes that are percent-encoded: a
/// backend server that resolves these would serve another path than the one whose access was checked.
/// One trailing slash is allowed.
pub fn normalize_path(path: &str) -> Option<Cow<'_, str>> {
    let path = decode_unreserved(path)?;
    let rest = path.strip_prefix('/')?;
    let trimmed = rest.strip_suffix('/').unwrap_or(rest);
    let is_safe = |segment: &str| !segment.is_empty() && segment != "." && segment != "..";
    let all_safe = rest.is_empty() || trimmed.split('/').all(is_safe);
    (all_safe && !path.contains('\\')).then_some(path)
}

/// Decodes percent-encoded unreserved characters; `None` for encoded slashes, backslashes and NUL, and
/// for malformed escapes.
fn decode_unreserved(path: &str) -> Option<Cow<'_, str>> {
    if !path.contains('%') {
        return Some(Cow::Borrowed(path));
    }
    let mut decoded = String::with_capacity(path.len());
    let mut parts = path.split('%');
    decoded.push_str(parts.next()?);
    for part in parts {
        let digits = part.get(..2)?;
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let byte = u8::from_str_radix(digits, 16).ok()?;
        match byte {
            b'/' | b'\\' | 0 => return None,
            b'-' | b'.' | b'_' | b'~' => decoded.push(char::from(byte)),
            _ if byte.is_ascii_alphanumeric() => decoded.push(char::from(byte)),
            _ => {
                decoded.push('%');
                decoded.push_str(digits);
            }
        }
        decoded.push_str(&part[2..]);
    }
    Some(Cow::Owned(decoded))
}
