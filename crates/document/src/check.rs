//! Parses and validates a whole document.

use toml::de::DeTable;

use crate::DocumentRecord;
use crate::FaultKind;
use crate::MAX_DOCUMENT_BYTES;
use crate::Result;
use crate::ServiceDocument;
use crate::fault_sink::FaultSink;
use crate::read::read_document;
use crate::rules::check_rules;
use crate::table_reader::TableReader;

/// Parses and validates a document. The error lists every fault and names the text `file`.
///
/// If the text exceeds [`MAX_DOCUMENT_BYTES`] or isn't valid TOML, only that is reported: the fields of
/// such a text can't be determined reliably.
pub fn check(text: &str, file: &str) -> Result<ServiceDocument> {
    let sink = FaultSink::new(text);
    let document = parse_text(text, &sink);
    match (sink.into_error(file), document) {
        (None, Some(document)) => Ok(document),
        (Some(error), _) => Err(error),
        (None, None) => unreachable!("parsing returned neither a document nor a fault"),
    }
}

fn parse_text(text: &str, sink: &FaultSink<'_>) -> Option<ServiceDocument> {
    let size = record_size(text);
    if size > MAX_DOCUMENT_BYTES {
        let problem = format!("the document takes {size} bytes in the key-value service");
        let expected = format!("at most {MAX_DOCUMENT_BYTES} bytes");
        sink.add_fault(FaultKind::TooLarge, "document", 0..0, problem, expected);
        return None;
    }
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let span = error.span().unwrap_or_default();
        sink.add_fault(
            FaultKind::Syntax,
            "document",
            span,
            error.message(),
            "valid TOML",
        );
    }
    if !errors.is_empty() {
        return None;
    }
    let document = read_document(TableReader::root(sink, &table));
    check_rules(&document, sink);
    Some(document)
}

/// Returns the size in bytes of the record that would store the text. Texts that exceed the limit by
/// themselves aren't serialized; their own size is returned.
fn record_size(text: &str) -> usize {
    if text.len() > MAX_DOCUMENT_BYTES {
        return text.len();
    }
    let value = DocumentRecord::new(text).to_json();
    value.map_or(text.len(), |value| value.len())
}
