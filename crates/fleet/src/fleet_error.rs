use std::io;
use std::path::PathBuf;
use std::time::Duration;

use miette::Diagnostic;
use nix::errno::Errno;
use thiserror::Error;

/// A fleet could not be started or controlled.
#[derive(Debug, Error, Diagnostic)]
pub enum FleetError {
    /// A program could not be started.
    #[error("cannot start {}: {source}", program.display())]
    #[diagnostic(help("build the programs first, or set ZINNIAHINGE_BIN_DIR"))]
    Start {
        /// Executable.
        program: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file or a port could not be prepared, or a process could not be waited for.
    #[error("{what}: {source}")]
    System {
        /// What was attempted.
        what: &'static str,
        /// Why.
        source: io::Error,
    },
    /// Too few ports are free.
    #[error("fewer than {count} ports are free")]
    NoPorts {
        /// Ports that are needed.
        count: usize,
    },
    /// A signal could not be sent.
    #[error("{name}: signal not sent: {source}")]
    Signal {
        /// Process.
        name: String,
        /// Why.
        source: Errno,
    },
    /// The process has ended, so it cannot take a signal or become ready.
    #[error("{name} has ended ({status}); the end of its log:\n{log}")]
    Ended {
        /// Process.
        name: String,
        /// Exit status.
        status: String,
        /// Last lines of its output.
        log: String,
    },
    /// A process is not ready in time, or has not ended in time.
    #[error("{name} is not {state} after {waited:?}; the end of its log:\n{log}")]
    Late {
        /// Process.
        name: String,
        /// `ready` or `ended`.
        state: &'static str,
        /// Time waited.
        waited: Duration,
        /// Last lines of its output.
        log: String,
    },
    /// A request of a test got no answer.
    #[error("{url}: {cause}")]
    Request {
        /// Where it went.
        url: String,
        /// Why.
        cause: String,
    },
    /// A command ended with a failure, or a stand-in or process answered with one.
    #[error("{what} failed: {output}")]
    Command {
        /// What was attempted.
        what: String,
        /// Output or answer.
        output: String,
    },
    /// No process has this name.
    #[error("no process is called {name}")]
    UnknownName {
        /// Name.
        name: String,
    },
}

/// Result of operations on a fleet.
pub(crate) type Result<T> = std::result::Result<T, FleetError>;

/// Converts an I/O error.
pub(crate) fn system(what: &'static str) -> impl FnOnce(io::Error) -> FleetError {
    move |source| FleetError::System { what, source }
}
