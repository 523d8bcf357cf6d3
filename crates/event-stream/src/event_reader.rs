use bytes::Buf;
use bytes::BytesMut;

use crate::event_batch::EventBatch;
use crate::event_block::EventBlock;
use crate::event_id::EventId;
use crate::reader_error::ReaderError;
use crate::reader_error::Result;

/// Largest event that is buffered while it is incomplete; the services send none that are larger.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Byte order mark that may come before the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Reads a stream of events in chunks of any size, as specified by the HTML standard: lines end with LF, CR or CR LF,
/// also mixed, and a blank line ends an event.
#[derive(Clone, Debug)]
pub struct EventReader {
    /// Bytes that have not been returned yet.
    buffer: BytesMut,
    /// Start of the line that is not complete yet, in the buffer.
    line_start: usize,
    /// Number of bytes at the start of the buffer in which line ends were looked for.
    searched: usize,
    /// True if the last line ended with CR: a LF right behind it belongs to the same line end.
    is_after_cr: bool,
    /// True until it is known whether the stream begins with a byte order mark.
    is_at_start: bool,
    block: EventBlock,
    /// Highest id of an event so far, over all streams that were joined.
    last_id: Option<EventId>,
    /// True if the last event has the id `last_id`, so that a stream can go on behind it.
    is_at_last_id: bool,
    /// True until the first event of a stream that has to go on after `last_id`.
    is_resuming: bool,
}

impl Default for EventReader {
    fn default() -> Self {
        Self {
            buffer: BytesMut::new(),
            line_start: 0,
            searched: 0,
            is_after_cr: false,
            is_at_start: true,
            block: EventBlock::default(),
            last_id: None,
            is_at_last_id: false,
            is_resuming: false,
        }
    }
}

impl EventReader {
    /// Returns a reader for a stream that goes on after the last event of this one; `None` without a resume point.
    pub fn resumed(&self) -> Option<Self> {
        self.resume_point()?;
        Some(Self {
            last_id: self.last_id.clone(),
            is_at_last_id: true,
            is_resuming: true,
            ..Self::default()
        })
    }

    /// Id of the last event that [`Self::push`] returned; `None` if that event has no usable id, or one that does not
    /// follow the id before it, so that another server could not tell where to go on.
    pub fn resume_point(&self) -> Option<&str> {
        let last_id = self.last_id.as_ref().filter(|_| self.is_at_last_id);
        last_id.map(EventId::as_str)
    }

    /// Adds bytes and returns all that are complete now; the batch is empty if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Result<EventBatch> {
        self.buffer.extend_from_slice(bytes);
        if self.is_at_start && !self.skip_byte_order_mark() {
            return Ok(EventBatch::default());
        }
        // Lines of an event that has begun wait for its blank line; comments between events don't.
        let boundary = |reader: &Self| (!reader.block.has_fields).then_some(reader.line_start);
        let mut complete = boundary(self).unwrap_or(0);
        let mut events = 0;
        while let Some(line_end) = self.find_line_end() {
            let is_line_feed = self.buffer[line_end] == b'\n';
            if self.is_after_cr && is_line_feed && line_end == self.line_start {
                self.is_after_cr = false;
            } else {
                self.is_after_cr = !is_line_feed;
                events += self.end_line(line_end)?;
            }
            self.line_start = line_end + 1;
            complete = boundary(self).unwrap_or(complete);
        }
        let bytes = self.buffer.split_to(complete).freeze();
        self.line_start -= complete;
        self.searched -= complete;
        if self.buffer.len() > MAX_EVENT_BYTES {
            let limit = MAX_EVENT_BYTES;
            return Err(ReaderError::EventTooLong { limit });
        }
        Ok(EventBatch { bytes, events })
    }

    /// True if no bytes of an incomplete event or line are buffered.
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Skips a byte order mark, and drops it if it would come in the middle of the joined stream. False while the bytes
    /// don't suffice to tell.
    fn skip_byte_order_mark(&mut self) -> bool {
        if self.buffer.len() < BYTE_ORDER_MARK.len() && BYTE_ORDER_MARK.starts_with(&self.buffer) {
            return false;
        }
        self.is_at_start = false;
        if self.buffer.starts_with(BYTE_ORDER_MARK) {
            if self.is_resuming {
                self.buffer.advance(BYTE_ORDER_MARK.len());
            } else {
                self.line_start = BYTE_ORDER_MARK.len();
                self.searched = self.line_start;
            }
        }
        true
    }

    /// Position of the next CR or LF; `None` if no more has arrived.
    fn find_line_end(&mut self) -> Option<usize> {
        let offset = memchr::memchr2(b'\r', b'\n', &self.buffer[self.searched..]);
        let line_end = offset.map(|offset| self.searched + offset);
        self.searched = line_end.map_or(self.buffer.len(), |line_end| line_end + 1);
        line_end
    }

    /// Evaluates the line up to `line_end`; returns the number of events that it completes.
    fn end_line(&mut self, line_end: usize) -> Result<u64> {
        let line = &self.buffer[self.line_start..line_end];
        if !line.is_empty() {
            self.block.add_line(line);
            return Ok(0);
        }
        let block = std::mem::take(&mut self.block);
        let id = block.id;
        if !block.has_data {
            // No event, but it may say where the stream is.
            self.is_at_last_id &= id.is_none() || id == self.last_id;
            return Ok(0);
        }
        let last_id = self.last_id.as_ref();
        let follows = |id: &EventId| last_id.is_none_or(|last_id| id.follows(last_id));
        let next_id = id.clone().filter(follows);
        if self.is_resuming && next_id.is_none() {
            return Err(self.not_resumed(id));
        }
        self.is_resuming = false;
        self.is_at_last_id = next_id.is_some();
        self.last_id = next_id.or(self.last_id.take());
        Ok(1)
    }

    fn not_resumed(&self, found: Option<EventId>) -> ReaderError {
        let text = |id: Option<&EventId>| id.map_or_else(String::new, |id| id.as_str().to_owned());
        ReaderError::NotResumed {
            after: text(self.last_id.as_ref()),
            found: text(found.as_ref()),
        }
    }
}
