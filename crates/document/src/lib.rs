//! Parses, validates, compares and indexes service documents.
//!
//! A service document is the TOML text in which a team configures one service: its models, adapters,
//! routes and client accounts. Operators accept it with `zinniahingectl`; hosts compile the accepted
//! text into a [`CompiledDocument`] and look up each request in it.

mod adapter_entry;
mod check;
mod client_account;
mod compiled_document;
mod diff;
mod document_error;
mod document_record;
mod fault_sink;
mod key_digest;
mod memory_size;
mod model_entry;
mod model_grant;
mod read;
mod route_path;
mod rules;
mod service_document;
mod service_route;
mod table_reader;
mod weight_store_limits;

pub use adapter_entry::AdapterEntry;
pub use check::check;
pub use client_account::ClientAccount;
pub use compiled_document::CompiledDocument;
pub use diff::FieldChange;
pub use diff::diff;
pub use document_error::DocumentError;
pub use document_error::DocumentFault;
pub use document_error::FaultKind;
pub use document_record::DocumentRecord;
pub use key_digest::KEY_PREFIX;
pub use key_digest::KeyDigest;
pub use key_digest::NewKey;
pub use key_digest::new_key;
pub use memory_size::MemorySize;
pub use model_entry::KeepAliveRange;
pub use model_entry::LoadTimes;
pub use model_entry::ModelEntry;
pub use model_grant::ModelGrant;
pub use route_path::normalize_path;
pub use service_document::MAX_DOCUMENT_BYTES;
pub use service_document::ServiceDocument;
pub use service_document::ServiceKind;
pub use service_route::RouteAccess;
pub use service_route::RouteTarget;
pub use service_route::ServiceRoute;
pub use weight_store_limits::WeightStoreLimits;

/// Result of parsing and validating a document; the error lists every fault.
pub type Result<T> = std::result::Result<T, DocumentError>;
