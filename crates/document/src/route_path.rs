//! Normal form of request paths.

use std::borrow::Cow;

/// Path in the form that route prefixes are compared with, or `None` if it must be refused.
///
/// Percent-encoded letters, digits, `-`, `.`, `_` and `~` are decoded. Paths with empty or dot
/// segments, encoded slashes or backslashes are refused: a backend server that resolves them would
/// serve another path than the one whose access was checked.
pub fn normalize_path(path: &str) -> Option<Cow<'_, str>> {
    let path = decode_unreserved(path)?;
    let rest = path.strip_prefix('/')?;
    let trimmed = rest.strip_suffix('/').unwrap_or(rest);
    let is_safe = |segment: &str| !segment.is_empty() && segment != "." && segment != "..";
    let all_safe = rest.is_empty() || trimmed.split('/').all(is_safe);
    (all_safe && !path.contains('\\')).then_some(path)
}

/// Decodes percent-encoded unreserved characters; refuses encoded separators and broken escapes.
fn decode_unreserved(path: &str) -> Option<Cow<'_, str>> {
    if !path.contains('%') {
        return Some(Cow::Borrowed(path));
    }
    let mut decoded = String::with_capacity(path.len());
    let mut pieces = path.split('%');
    decoded.push_str(pieces.next()?);
    for piece in pieces {
        let digits = piece.get(..2)?;
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
        decoded.push_str(&piece[2..]);
    }
    Some(Cow::Owned(decoded))
}
