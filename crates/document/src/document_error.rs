//! Faults of a document.

use std::fmt;

use miette::Diagnostic;
use miette::NamedSource;
use miette::SourceSpan;

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// The document is larger than the key-value service holds.
    TooLarge,
    /// The text is not TOML.
    Syntax,
    /// The schema has no such field.
    UnknownField,
    /// A required field is absent.
    MissingField,
    /// The value has another TOML type.
    WrongType,
    /// The text is not one of the allowed forms.
    InvalidValue,
    /// The number is zero, negative, or larger than any real installation needs.
    OutOfRange,
    /// The name is taken.
    DuplicateName,
    /// The name refers to nothing.
    MissingReference,
    /// The bucket can never cover the largest request of a model that the account may use.
    BurstTooSmall,
    /// Two routes cover the same requests.
    RouteOverlap,
    /// The digest is not 64 hex digits.
    InvalidDigest,
    /// Two accounts have the same key.
    SharedDigest,
    /// The field has no meaning for this kind of service.
    NotApplicable,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("line {line}: {field}: {problem}")]
#[diagnostic(help("expected: {expected}"))]
pub struct DocumentFault {
    /// What is wrong.
    pub kind: FaultKind,
    /// Path of the field, for example `models[2].memory`; lists count from 0.
    pub field: String,
    /// Line, from 1.
    pub line: usize,
    /// What is wrong, as text. Never holds a key or a rejected digest.
    pub problem: String,
    /// What was expected.
    pub expected: String,
    /// Where the value or the field name is, byte offsets.
    #[label("{problem}")]
    pub span: SourceSpan,
}

/// All faults of one document, in the order of their lines.
#[derive(Clone, thiserror::Error, Diagnostic)]
#[error("{file}: {} in the document", fault_count(faults))]
pub struct DocumentError {
    /// File name, or where the text came from.
    pub file: String,
    /// The text, with keys replaced by asterisks.
    #[source_code]
    pub source_text: NamedSource<String>,
    /// The faults, at least one.
    #[related]
    pub faults: Vec<DocumentFault>,
}

/// Leaves the text out.
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
