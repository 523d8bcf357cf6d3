//! Client of the key-value service over the JSON gateway of etcd v3.

mod call_counter;
mod gateway_message;
mod gateway_transport;
mod kv_client;
mod kv_entry;
mod kv_error;
mod kv_lease;
mod kv_settings;
mod kv_watch;
mod write_operation;

pub use call_counter::CallCounter;
pub use call_counter::CallCounts;
pub use call_counter::CallKind;
pub use kv_client::KvClient;
pub use kv_entry::KvEntry;
pub use kv_entry::RangeListing;
pub use kv_error::KvError;
pub use kv_error::Result;
pub use kv_lease::LeaseGrant;
pub use kv_settings::KvSettings;
pub use kv_watch::WatchChange;
pub use kv_watch::WatchEvent;
pub use kv_watch::WatchStream;
pub use write_operation::BatchOutcome;
pub use write_operation::CasOutcome;
pub use write_operation::MAX_BATCH_OPERATIONS;
pub use write_operation::WriteAction;
pub use write_operation::WriteOperation;
