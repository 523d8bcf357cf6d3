use std::fmt;

use zinniahinge_types::TraceId;

/// Flag of `traceparent` that says that the caller may have recorded trace data.
const FLAG_SAMPLED: u8 = 1;

/// Length of a version 00 header in bytes: 2 + 32 + 16 + 2 hexadecimal digits and 3 dashes.
const HEADER_BYTES: usize = 55;

/// Identifies a request's position in a distributed trace, as the W3C `traceparent` header carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Id of the trace, shared by all requests that belong to it; never zero.
    pub trace_id: TraceId,
    /// Id of the caller's span; never zero.
    pub parent_id: u64,
    /// Trace flags; only the lowest bit, `sampled`, has a meaning.
    pub flags: u8,
}

impl TraceContext {
    /// Name of the HTTP header that carries the context.
    pub const HEADER: &'static str = "traceparent";

    /// Starts a new trace with random ids, marked as sampled.
    pub fn generate() -> Self {
        Self {
            trace_id: TraceId(rand::random::<u128>().max(1)),
            parent_id: random_parent_id(),
            flags: FLAG_SAMPLED,
        }
    }

    /// Returns the context of an incoming request: the caller's trace, or a new one if the header is missing or
    /// malformed, as the W3C recommendation requires.
    pub fn from_header(header: Option<&str>) -> Self {
        header.and_then(Self::parse).unwrap_or_else(Self::generate)
    }

    /// Parses a header value. Returns `None` if it is malformed, holds a zero id, or has the version `ff`.
    ///
    /// Versions above 00 may append fields after a dash, which are ignored.
    pub fn parse(header: &str) -> Option<Self> {
        let (head, tail) = header.split_at_checked(HEADER_BYTES)?;
        let mut fields = head.split('-');
        let version = parse_hex(fields.next()?, 2)?;
        let trace_id = parse_hex(fields.next()?, 32)?;
        let parent_id = parse_hex(fields.next()?, 16)?;
        let flags = parse_hex(fields.next()?, 2)?;
        let is_tail_valid = tail.is_empty() || (version > 0 && tail.starts_with('-'));
        if fields.next().is_some() || !is_tail_valid || version == 0xff {
            return None;
        }
        if trace_id == 0 || parent_id == 0 {
            return None;
        }
        Some(Self {
            trace_id: TraceId(trace_id),
            parent_id: parent_id as u64,
            flags: flags as u8,
        })
    }

    /// Returns the same trace with a new random parent id, for a request that this process sends onward.
    pub fn child(&self) -> Self {
        Self {
            parent_id: random_parent_id(),
            ..*self
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            trace_id,
            parent_id,
            flags,
        } = self;
        write!(f, "00-{trace_id}-{parent_id:016x}-{flags:02x}")
    }
}

fn random_parent_id() -> u64 {
    rand::random::<u64>().max(1)
}

/// Parses a field of exactly `len` lowercase hexadecimal digits; other forms, such as a sign, give `None`.
fn parse_hex(field: &str, len: usize) -> Option<u128> {
    let lowercase = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if field.len() != len || !field.bytes().all(lowercase) {
        return None;
    }
    u128::from_str_radix(field, 16).ok()
}
