//! HTTP/1.1 on both sides: a pool of connections to other processes, and a server for incoming connections.

mod carried_keys;
mod connection_server;
mod http_pool;
mod late_answers;
mod metered_stream;
mod pool_settings;
mod pooled_exchange;
mod request_key;
mod send_failure;
mod server_limits;

pub use connection_server::ConnectionServer;
pub use connection_server::ServiceResult;
pub use http_pool::HttpPool;
pub use http_pool::ReuseRule;
pub use pool_settings::PoolSettings;
pub use pooled_exchange::BodyError;
pub use pooled_exchange::ConnectionLease;
pub use pooled_exchange::PooledExchange;
pub use pooled_exchange::collect_body;
pub use request_key::RequestKey;
pub use send_failure::Result;
pub use send_failure::SendFailure;
pub use server_limits::ServerLimits;
