use std::fmt;

use zinniahinge_types::TraceId;

/// Flag of `traceparent` that says that the caller may have recorded the trace.
const FLAG_SAMPLED: u8 = 1;

/// Length of a version 00 header: 2 + 32 + 16 + 2 hex digits and 3 dashes.
const HEADER_LEN: usize = 55;

/// Position of a request in a distributed trace, as in the W3C `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Shared by all parts of the request; never zero.
    pub trace_id: TraceId,
    /// Identifies the caller's part of the request; never zero.
    pub parent_id: u64,
    /// Flags; only the lowest bit has a meaning.
    pub flags: u8,
}

impl TraceContext {
    /// Name of the HTTP header.
    pub const HEADER: &'static str = "traceparent";

    /// Starts a trace with random ids.
    pub fn generate() -> Self {
        Self {
            trace_id: TraceId(rand::random::<u128>().max(1)),
            parent_id: random_parent(),
            flags: FLAG_SAMPLED,
        }
    }

    /// The context of an incoming request: the caller's trace, or a new one if the header is
    /// missing or malformed, as the W3C recommendation asks.
    pub fn from_header(header: Option<&str>) -> Self {
        header.and_then(Self::parse).unwrap_or_else(Self::generate)
    }

    /// Reads a header value. `None` if it is malformed, has a zero id, or the version `ff`.
    ///
    /// Versions above 00 may append fields after a dash, which are ignored.
    pub fn parse(header: &str) -> Option<Self> {
        let (head, tail) = header.split_at_checked(HEADER_LEN)?;
        let mut fields = head.split('-');
        let version = parse_hex(fields.next()?, 2)?;
        let trace_id = parse_hex(fields.next()?, 32)?;
        let parent_id = parse_hex(fields.next()?, 16)?;
        let flags = parse_hex(fields.next()?, 2)?;
        let tail_valid = tail.is_empty() || (version > 0 && tail.starts_with('-'));
        if fields.next().is_some() || !tail_valid || version == 0xff {
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

    /// The same trace with a new parent id, for a request sent onward.
    pub fn child(&self) -> Self {
        Self {
            parent_id: random_parent(),
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

fn random_parent() -> u64 {
    rand::random::<u64>().max(1)
}

/// Value of a field of exactly `len` lowercase hex digits.
fn parse_hex(field: &str, len: usize) -> Option<u128> {
    let lowercase = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if field.len() != len || !field.bytes().all(lowercase) {
        return None;
    }
    u128::from_str_radix(field, 16).ok()
}
