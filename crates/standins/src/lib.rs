//! Test doubles of the systems around zinniahinge. Not for production.

mod fault_set;
mod kv_message;
mod kv_service;
mod kv_store;
pub mod reply;
mod seen_set;
mod served_request;
mod stand_in_server;

pub use fault_set::FaultHit;
pub use fault_set::FaultKind;
pub use fault_set::FaultRequest;
pub use fault_set::FaultSet;
pub use kv_service::KvCounts;
pub use kv_service::KvService;
pub use kv_service::KvServiceSettings;
pub use seen_set::SeenReport;
pub use seen_set::SeenSet;
pub use seen_set::hex_digest;
pub use served_request::ServedRequest;
pub use stand_in_server::StandInServer;
pub use stand_in_server::cut_connection;
