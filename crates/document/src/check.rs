//! Check of a whole document.

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

/// Reads a document and reports every fault; `file` names the text in the faults.
///
/// Text that is not TOML is reported alone: what such a text means field by field is a guess.
pub fn check(text: &str, file: &str) -> Result<ServiceDocument> {
    let sink = FaultSink::new(text);
    let document = read_text(text, &sink);
    match (sink.into_error(file), document) {
        (None, Some(document)) => Ok(document),
        (Some(error), _) => Err(error),
        (None, None) => unreachable!("a text without a document has a fault"),
    }
}

fn read_text(text: &str, sink: &FaultSink<'_>) -> Option<ServiceDocument> {
    let size = record_size(text);
    if size > MAX_DOCUMENT_BYTES {
        let problem = format!("the document takes {size} bytes in the key-value service");
        let expected = format!("at most {MAX_DOCUMENT_BYTES} bytes");
        sink.fault(FaultKind::TooLarge, "document", 0..0, problem, expected);
        return None;
    }
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let span = error.span().unwrap_or_default();
        sink.fault(
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

/// Size of the record that an acceptance would write; the plain size if that is too large already.
fn record_size(text: &str) -> usize {
    if text.len() > MAX_DOCUMENT_BYTES {
        return text.len();
    }
    let value = DocumentRecord::new(text).to_json();
    value.map_or(text.len(), |value| value.len())
}
