//! Follows a stream of server-sent events as it passes.

/// Last event of a complete chat completion stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Counts events and recognises the end of a complete stream, over any chunk boundaries.
#[derive(Debug, Default)]
pub struct StreamScanner {
    line: Vec<u8>,
    events: u64,
    done: bool,
}

impl StreamScanner {
    /// Looks at the next chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        let mut rest = chunk;
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            self.extend_line(&rest[..end]);
            self.end_line();
            rest = &rest[end + 1..];
        }
        self.extend_line(rest);
    }

    /// Number of data events so far, the end marker left out. An event carries at least one token.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// True if the end marker came.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Only the start of a line matters, so the buffer stays small whatever the server sends.
    fn extend_line(&mut self, part: &[u8]) {
        let room = (DONE_EVENT.len() + 1).saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn end_line(&mut self) {
        let line = self.line.strip_suffix(b"\r").unwrap_or(&self.line);
        if line == DONE_EVENT {
            self.done = true;
        } else if line.starts_with(b"data:") {
            self.events += 1;
        }
        self.line.clear();
    }
}
