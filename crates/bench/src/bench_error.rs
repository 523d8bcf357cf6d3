use std::io;

use miette::Diagnostic;
use thiserror::Error;
use volo_http::error::ClientError;
use zinniahinge_fleet::FleetError;

/// A measurement could not be made.
#[derive(Debug, Error, Diagnostic)]
pub enum BenchError {
    /// A process could not be started or controlled.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] FleetError),
    /// The HTTP client could not be built, or a stand-in did not answer.
    #[error("HTTP call failed: {0}")]
    Client(#[from] ClientError),
    /// A file could not be read or written.
    #[error("{what}: {source}")]
    System {
        /// What was attempted.
        what: String,
        /// Why.
        source: io::Error,
    },
    /// A document was not accepted.
    #[error("{file} was not accepted:\n{output}")]
    NotAccepted {
        /// Document.
        file: String,
        /// Output of the operator's command.
        output: String,
    },
    /// A stand-in answered with an error or garbage.
    #[error("{what}: unexpected answer: {answer}")]
    Answer {
        /// What was asked.
        what: String,
        /// Answer.
        answer: String,
    },
    /// A request of a measurement got no whole and right answer, so its figures mean nothing.
    #[error("measurement stopped: {0}")]
    Invalid(String),
}

/// Result of measurements.
pub type Result<T> = std::result::Result<T, BenchError>;

/// Converts an I/O error.
pub(crate) fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> BenchError {
    let what = what.into();
    move |source| BenchError::System { what, source }
}
