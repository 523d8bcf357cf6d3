use bytes::Bytes;
use bytes::BytesMut;

/// Largest event; a longer one is no event of these services.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Bytes of the longest end of an event.
const LONGEST_END: usize = 4;

/// Cuts a stream of bytes at the ends of its events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no event ends.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are whole now, with their separators; empty if there are none.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let length = whole_length(&self.buffer, self.searched);
        let events = self.buffer.split_to(length).freeze();
        self.searched = self.buffer.len().saturating_sub(LONGEST_END - 1);
        events
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

/// Length up to the end of the last blank line that ends after `searched`; 0 if there is none.
fn whole_length(bytes: &[u8], searched: usize) -> usize {
    let ends = [&b"\n\n"[..], b"\r\n\r\n"];
    let lengths = ends.iter().filter_map(|end| {
        let start = bytes[searched..]
            .windows(end.len())
            .rposition(|window| window == *end)?;
        Some(searched + start + end.len())
    });
    lengths.max().unwrap_or(0)
}
