//! The process of a host: takes requests from callers, forwards them to backend servers, and on one host at a time
//! coordinates which models are loaded where.

mod account_charge;
mod backend_response;
mod backend_send;
mod body_reader;
mod caller_lifecycle;
mod caller_response;
mod coordinator;
mod coordinator_orders;
mod duty_keeper;
mod event_relay;
mod event_splitter;
mod filters;
mod fleet_reporter;
mod fleet_table;
mod forward;
mod host_counters;
mod host_state;
mod model_uses;
mod peer_link;
mod peer_routes;
mod record_keys;
mod request_context;
mod request_handler;
mod request_log;
mod retry_budgets;
mod send_history;
mod side_servers;
mod store_changes;
mod store_follower;
mod store_relay;
mod table_source;
mod target_choice;

pub mod host_process;
pub mod host_settings;
