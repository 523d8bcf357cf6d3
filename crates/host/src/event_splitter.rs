use bytes::Bytes;
use bytes::BytesMut;

/// Largest event; a longer one is no event of these services.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a stream of bytes at the ends of its events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are whole now, with their separators; empty if there are none.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        match whole_length(&self.buffer) {
            0 => Bytes::new(),
            length => self.buffer.split_to(length).freeze(),
        }
    }

    /// True if the stream stands between two events.
    pub(crate) fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// True if the bytes can't be events.
    pub(crate) fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Length up to the end of the last blank line.
fn whole_length(bytes: &[u8]) -> usize {
    let ends = [&b"\n\n"[..], b"\r\n\r\n"];
    let lengths = ends.iter().filter_map(|end| {
        let start = bytes
            .windows(end.len())
            .rposition(|window| window == *end)?;
        Some(start + end.len())
    });
    lengths.max().unwrap_or(0)
}
