//! Collects the faults of a document and the text ranges of its fields while it is parsed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::Range;

use miette::NamedSource;

use crate::DocumentError;
use crate::DocumentFault;
use crate::FaultKind;
use crate::KEY_PREFIX;

/// Collector of faults that all readers of one document share.
pub(crate) struct FaultSink<'a> {
    text: &'a str,
    faults: RefCell<Vec<DocumentFault>>,
    /// Byte ranges of the values that were read without a fault, by field path.
    /// Faults that rules between fields report don't remove a value.
    valid_spans: RefCell<HashMap<String, Range<usize>>>,
    /// Byte ranges that must not be printed.
    masked_spans: RefCell<Vec<Range<usize>>>,
}

impl<'a> FaultSink<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: RefCell::default(),
            valid_spans: RefCell::default(),
            masked_spans: RefCell::default(),
        }
    }

    /// Adds a fault at the byte range `span`.
    pub(crate) fn add_fault(
        &self,
        kind: FaultKind,
        field: &str,
        span: Range<usize>,
        problem: impl Into<String>,
        expected: impl Into<String>,
    ) {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        self.faults.borrow_mut().push(DocumentFault {
            kind,
            field: field.to_owned(),
            line: 1 + before.iter().filter(|&&byte| byte == b'\n').count(),
            problem: problem.into(),
            expected: expected.into(),
            span: span.into(),
        });
    }

    /// Marks the field as valid, so that rules between fields may use it.
    pub(crate) fn mark_valid(&self, field: &str, span: Range<usize>) {
        self.valid_spans.borrow_mut().insert(field.to_owned(), span);
    }

    /// Withdraws [`Self::mark_valid`]: the value has the right type, but another fault was found.
    pub(crate) fn mark_invalid(&self, field: &str) {
        self.valid_spans.borrow_mut().remove(field);
    }

    /// Returns the byte range of a field's value; `None` if the field is absent or was read with a fault.
    pub(crate) fn valid_span(&self, field: &str) -> Option<Range<usize>> {
        self.valid_spans.borrow().get(field).cloned()
    }

    /// Masks a byte range of the text in printed diagnostics.
    pub(crate) fn mask(&self, span: Range<usize>) {
        self.masked_spans.borrow_mut().push(span);
    }

    /// Returns the faults as an error that names the text `file`; `None` if there are no faults.
    pub(crate) fn into_error(self, file: &str) -> Option<DocumentError> {
        let mut faults = self.faults.into_inner();
        if faults.is_empty() {
            return None;
        }
        faults.sort_by_key(|fault| fault.span.offset());
        let masked_text = mask_keys(self.text, &self.masked_spans.into_inner());
        Some(DocumentError {
            file: file.to_owned(),
            source_text: NamedSource::new(file, masked_text).with_language("toml"),
            faults,
        })
    }
}

/// Replaces `masked_spans` and anything that looks like a key by asterisks of the same length, so that
/// byte offsets of faults stay valid.
fn mask_keys(text: &str, masked_spans: &[Range<usize>]) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for span in masked_spans {
        mask_range(&mut bytes, span.clone());
    }
    for (start, _) in text.match_indices(KEY_PREFIX) {
        let is_key_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_".contains(byte);
        let rest = &text.as_bytes()[start..];
        let length = rest.iter().take_while(|byte| is_key_byte(byte)).count();
        mask_range(&mut bytes, start..start + length);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Overwrites a byte range with asterisks, except for line ends: the line numbers of faults stay valid.
fn mask_range(bytes: &mut [u8], span: Range<usize>) {
    let masked_bytes = bytes.get_mut(span).into_iter().flatten();
    masked_bytes
        .filter(|byte| !b"\r\n".contains(byte))
        .for_each(|byte| *byte = b'*');
}
