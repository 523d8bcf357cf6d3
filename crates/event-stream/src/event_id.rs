use std::cmp::Ordering;

/// Id of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EventId(String);

impl EventId {
    /// Decodes the value of an `id` field; `None` if it can't be sent back in a header, or is empty.
    pub(crate) fn decode(value: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(value).ok()?.trim();
        let is_usable = !text.is_empty() && !text.chars().any(char::is_control);
        is_usable.then(|| Self(text.to_owned()))
    }

    /// True if an event with this id can come after one with the id `before`: numbers increase, other ids differ.
    pub(crate) fn follows(&self, before: &Self) -> bool {
        match (self.digits(), before.digits()) {
            // Numbers may have any length.
            (Some(own), Some(other)) => {
                let order = own.len().cmp(&other.len()).then_with(|| own.cmp(other));
                order == Ordering::Greater
            }
            _ => self != before,
        }
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    /// The digits without leading zeros, if the id is a number.
    fn digits(&self) -> Option<&str> {
        let is_number = self.0.bytes().all(|byte| byte.is_ascii_digit());
        is_number.then(|| self.0.trim_start_matches('0'))
    }
}
