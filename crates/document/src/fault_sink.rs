//! Collects faults and the places of fields while a document is read.

use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::Range;

use miette::NamedSource;

use crate::DocumentError;
use crate::DocumentFault;
use crate::FaultKind;
use crate::KEY_PREFIX;

/// Collector that all readers of one document share.
pub(crate) struct FaultSink<'a> {
    text: &'a str,
    faults: RefCell<Vec<DocumentFault>>,
    /// Places of the values that were read without a fault, by field path.
    spans: RefCell<HashMap<String, Range<usize>>>,
    /// Places that must not be printed.
    secrets: RefCell<Vec<Range<usize>>>,
}

impl<'a> FaultSink<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: RefCell::default(),
            spans: RefCell::default(),
            secrets: RefCell::default(),
        }
    }

    /// Adds a fault at `span`.
    pub(crate) fn fault(
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

    /// Records that the field was read without a fault.
    pub(crate) fn record(&self, field: &str, span: Range<usize>) {
        self.spans.borrow_mut().insert(field.to_owned(), span);
    }

    /// Takes a record back, because the value has the right type and another fault.
    pub(crate) fn forget(&self, field: &str) {
        self.spans.borrow_mut().remove(field);
    }

    /// Place of a field that was read without a fault.
    pub(crate) fn span(&self, field: &str) -> Option<Range<usize>> {
        self.spans.borrow().get(field).cloned()
    }

    /// Keeps a value out of printed diagnostics.
    pub(crate) fn hide(&self, span: Range<usize>) {
        self.secrets.borrow_mut().push(span);
    }

    /// The error, if there are faults.
    pub(crate) fn into_error(self, file: &str) -> Option<DocumentError> {
        let mut faults = self.faults.into_inner();
        if faults.is_empty() {
            return None;
        }
        faults.sort_by_key(|fault| fault.span.offset());
        let shown = mask_keys(self.text, &self.secrets.into_inner());
        Some(DocumentError {
            file: file.to_owned(),
            source_text: NamedSource::new(file, shown).with_language("toml"),
            faults,
        })
    }
}

/// Replaces hidden places and anything that looks like a key by asterisks of the same length.
fn mask_keys(text: &str, secrets: &[Range<usize>]) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for secret in secrets {
        mask_range(&mut bytes, secret.clone());
    }
    for (start, _) in text.match_indices(KEY_PREFIX) {
        let is_key_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_".contains(byte);
        let rest = &text.as_bytes()[start..];
        let length = rest.iter().take_while(|byte| is_key_byte(byte)).count();
        mask_range(&mut bytes, start..start + length);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Line ends stay, so that the lines of other faults do not move.
fn mask_range(bytes: &mut [u8], range: Range<usize>) {
    let hidden = bytes.get_mut(range).into_iter().flatten();
    hidden
        .filter(|byte| !b"\r\n".contains(byte))
        .for_each(|byte| *byte = b'*');
}
