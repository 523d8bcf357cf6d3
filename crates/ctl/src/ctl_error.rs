//! Failures of commands and their exit codes.

use std::path::PathBuf;

use miette::Diagnostic;
use thiserror::Error;
use zinniahinge_document::DocumentError;
use zinniahinge_kv::KvError;
use zinniahinge_types::Name;

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did what it was asked.
    Done = 0,
    /// Something outside of the command failed.
    Failure = 1,
    /// Settings or a document have faults; nothing was written.
    BadInput = 2,
    /// Another acceptance came first; nothing was written.
    Conflict = 3,
}

/// Failure of a command.
#[derive(Debug, Error, Diagnostic)]
pub enum CtlError {
    /// Settings cannot be used.
    #[error("bad settings: {}", faults.join("; "))]
    Settings {
        /// All faults.
        faults: Vec<String>,
    },
    /// A document has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(Box<DocumentError>),
    /// At least one of several documents has faults, which were printed.
    #[error("{count} of the documents cannot be accepted")]
    Documents {
        /// Number of documents with faults.
        count: usize,
    },
    /// A file cannot be read.
    #[error("cannot read {}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: std::io::Error,
    },
    /// A file belongs to another service than the one that was named.
    #[error("the file is the document of `{found}`, not of `{service}`")]
    OtherService {
        /// Service that was named.
        service: String,
        /// Service of the file.
        found: Name,
    },
    /// The text on standard input cannot be a key.
    #[error("standard input holds no key: {problem}")]
    BadKey {
        /// What is wrong.
        problem: &'static str,
    },
    /// The service has no accepted document.
    #[error("no document of `{service}` is accepted")]
    NoDocument {
        /// Service.
        service: String,
    },
    /// The key-value service failed; nothing was written.
    #[error("the key-value service failed; nothing was written")]
    Store(#[from] KvError),
    /// It could not be found out whether a write took effect.
    #[error("whether the document was accepted is unknown (acceptance id {acceptance_id})")]
    #[diagnostic(help(
        "repeat the command when the service answers: it succeeds if the document is in force"
    ))]
    Unresolved {
        /// Acceptance id of the write.
        acceptance_id: Name,
        /// Last failure.
        #[source]
        source: KvError,
    },
    /// The document took effect and another acceptance has replaced it since.
    #[error("the document was accepted at revision {accepted}, then replaced at {current}")]
    Replaced {
        /// Revision at which the document took effect.
        accepted: u64,
        /// Revision in force.
        current: u64,
    },
    /// Another acceptance came first. The differences were printed.
    #[error("conflict: {reason}")]
    #[diagnostic(help("{advice}"))]
    Conflict {
        /// Which revisions collide.
        reason: String,
        /// What to do next.
        advice: String,
    },
    /// A record in the key-value service is not a document record.
    #[error("the record of `{service}` at revision {revision} is not understood")]
    BadRecord {
        /// Service.
        service: String,
        /// Revision of the record.
        revision: u64,
        /// Why.
        #[source]
        source: serde_json::Error,
    },
    /// The output cannot be written.
    #[error("cannot write the output")]
    Output(#[from] std::io::Error),
}

impl CtlError {
    /// Exit code for this failure.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Settings { .. }
            | Self::Document(_)
            | Self::Documents { .. }
            | Self::File { .. }
            | Self::OtherService { .. }
            | Self::BadKey { .. } => ExitStatus::BadInput,
            Self::Conflict { .. } | Self::Replaced { .. } => ExitStatus::Conflict,
            Self::NoDocument { .. }
            | Self::Store(_)
            | Self::Unresolved { .. }
            | Self::BadRecord { .. }
            | Self::Output(_) => ExitStatus::Failure,
        }
    }
}

impl From<DocumentError> for CtlError {
    fn from(error: DocumentError) -> Self {
        Self::Document(Box::new(error))
    }
}
