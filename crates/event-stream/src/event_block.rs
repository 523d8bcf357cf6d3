use crate::event_id::EventId;

/// Lines of an event whose blank line has not come yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventBlock {
    /// True after a line that is no comment.
    pub(crate) has_fields: bool,
    /// True after a `data` field: without one, the blank line completes no event.
    pub(crate) has_data: bool,
    /// Value of the last `id` field, if it can be used.
    pub(crate) id: Option<EventId>,
}

impl EventBlock {
    /// Adds a line that is not blank, without its line end.
    pub(crate) fn add_line(&mut self, line: &[u8]) {
        let name_end = memchr::memchr(b':', line).unwrap_or(line.len());
        if name_end == 0 {
            return;
        }
        self.has_fields = true;
        match &line[..name_end] {
            b"data" => self.has_data = true,
            b"id" => {
                let value = line.get(name_end + 1..).unwrap_or_default();
                self.id = EventId::decode(value);
            }
            _ => {}
        }
    }
}
