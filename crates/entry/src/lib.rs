//! Entry process of zinniahinge: takes requests from callers and forwards them to backend servers.

pub mod answer_relay;
pub mod backend_client;
pub mod caller_key;
pub mod caller_listener;
pub mod chat_call;
pub mod entry_counters;
pub mod entry_process;
pub mod entry_settings;
pub mod entry_snapshot;
pub mod entry_state;
pub mod filter_chain;
pub mod filters;
pub mod forward_headers;
pub mod frame_stream;
pub mod key_watch;
pub mod model_forward;
pub mod owner_client;
pub mod plain_forward;
pub mod plain_servers;
pub mod problem;
pub mod request_context;
pub mod request_handler;
pub mod settlement;
pub mod snapshot_follower;
pub mod stream_scanner;
