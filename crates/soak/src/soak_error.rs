use miette::Diagnostic;
use thiserror::Error;

/// A run could not be carried out. A broken promise is a result, not an error.
#[derive(Debug, Error, Diagnostic)]
pub enum SoakError {
    /// A stand-in, a proxy or a host process could not be started or signalled.
    #[error("cannot {action}: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}

/// Result of a step of a run.
pub type Result<T, E = SoakError> = std::result::Result<T, E>;

impl SoakError {
    /// Names what was tried.
    pub(crate) fn of(action: &'static str) -> impl FnOnce(std::io::Error) -> Self {
        move |source| Self::Io { action, source }
    }
}
