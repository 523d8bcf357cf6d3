//! Faults that make a document invalid.

use std::fmt;

use miette::Diagnostic;
use miette::NamedSource;
use miette::SourceSpan;

/// Category of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// The document exceeds the maximum value size of the key-value service.
    TooLarge,
    /// The text isn't valid TOML.
    Syntax,
    /// The schema doesn't define the field.
    UnknownField,
    /// A required field, or the models of a model service, are absent.
    MissingField,
    /// The value doesn't have the TOML type of the field.
    WrongType,
    /// The value has the right type but isn't allowed, by itself or with the value of another field.
    InvalidValue,
    /// The number, size or count is outside of its range: negative, zero where that is no valid value, or
    /// larger than any real installation needs.
    OutOfRange,
    /// Another entry of the list has the same name.
    DuplicateName,
    /// The document doesn't define the model, adapter, route or target that is referred to.
    MissingReference,
    /// The account's token bucket is smaller than the largest request of a model that the account may
    /// use, so that such a request could never be admitted.
    BurstTooSmall,
    /// Two routes match the same requests, or a keyed route lies below an open one.
    RouteOverlap,
    /// The key digest isn't a text of 64 hex digits.
    InvalidDigest,
    /// The digest is listed for two accounts, or twice for one.
    SharedDigest,
    /// The field or section doesn't apply to this kind of service.
    NotApplicable,
}

/// One fault of a document, with its field and place in the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("line {line}: {field}: {problem}")]
#[diagnostic(help("expected: {expected}"))]
pub struct DocumentFault {
    /// Category, for programs.
    pub kind: FaultKind,
    /// Path of the field, for example `models[2].memory`; list indexes start at 0. Faults of the whole
    /// text have the path `document`.
    pub field: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Description of the fault for operators. It never contains a key or a rejected digest.
    pub problem: String,
    /// Description of a valid value.
    pub expected: String,
    /// Byte range of the value in the text; of the field name if the field is unknown, and of the
    /// enclosing table if it is missing.
    #[label("{problem}")]
    pub span: SourceSpan,
}

/// All faults of one document, in the order of their place in the text.
#[derive(Clone, thiserror::Error, Diagnostic)]
#[error("{file}: {} in the document", fault_count(faults))]
pub struct DocumentError {
    /// File name or other origin of the text.
    pub file: String,
    /// Text of the document, with keys and rejected digests replaced by asterisks.
    #[source_code]
    pub source_text: NamedSource<String>,
    /// Faults; at least one.
    #[related]
    pub faults: Vec<DocumentFault>,
}

/// Omits the text of the document.
impl fmt::Debug for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DocumentError")
            .field("file", &self.file)
            .field("faults", &self.faults)
            .finish_non_exhaustive()
    }
}

fn fault_count(faults: &[DocumentFault]) -> String {
    match faults.len() {
        1 => "1 fault".to_owned(),
        count => format!("{count} faults"),
    }
}
