//! Commands of `zinniahingectl`.

mod accept_flow;
mod accept_report;
mod ctl_error;
mod ctl_flags;
mod document_commands;
mod key_commands;
mod record_store;
mod run_command;
mod stored_document;

pub use accept_flow::AcceptConflict;
pub use accept_flow::AcceptFlow;
pub use accept_flow::AcceptOutcome;
pub use ctl_error::CtlError;
pub use ctl_error::ExitStatus;
pub use ctl_flags::CtlCommand;
pub use ctl_flags::KeyCommand;
pub use ctl_flags::StoreFlags;
pub use ctl_flags::ctl_command;
pub use record_store::GetCall;
pub use record_store::HistoryCall;
pub use record_store::ListCall;
pub use record_store::RecordStore;
pub use record_store::StoreFuture;
pub use record_store::SwapCall;
pub use run_command::run_command;
pub use stored_document::StoredDocument;

/// Result of a command.
pub type Result<T, E = CtlError> = std::result::Result<T, E>;
