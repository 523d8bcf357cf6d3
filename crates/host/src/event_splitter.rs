use bytes::Bytes;
use bytes::BytesMut;

/// Largest event that is buffered while it is incomplete; the services send none that are larger.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Length of the longest separator after an event, `\r\n\r\n`.
const MAX_SEPARATOR_BYTES: usize = 4;

/// Splits a byte stream after its last complete event, so that only complete events are passed on.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer in which no separator begins.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now, with their separators; empty if there are none.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let length = complete_length(&self.buffer, self.searched);
        let events = self.buffer.split_to(length).freeze();
        self.searched = self.buffer.len().saturating_sub(MAX_SEPARATOR_BYTES - 1);
        events
    }

    /// True if no incomplete event is buffered.
    pub(crate) fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// True if the incomplete event exceeds the size limit, so that the stream has to be given up.
    pub(crate) fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Length up to the end of the last separator (a blank line) that begins at or after `searched`; 0 if there is none.
fn complete_length(bytes: &[u8], searched: usize) -> usize {
    let separators = [&b"\n\n"[..], b"\r\n\r\n"];
    let lengths = separators.iter().filter_map(|separator| {
        let start = bytes[searched..]
            .windows(separator.len())
            .rposition(|window| window == *separator)?;
        Some(searched + start + separator.len())
    });
    lengths.max().unwrap_or(0)
}
