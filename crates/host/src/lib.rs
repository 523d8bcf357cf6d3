//! The host process: accepts callers' requests and forwards them to backend servers. One host at a time also coordinates
//! the fleet: it decides which models are loaded where, and shares out the client accounts' rates.

mod account_charge;
mod backend_exchange;
mod backend_response;
mod backend_send;
mod body_reader;
mod caller_lifecycle;
mod caller_response;
mod change_applier;
mod coordinator;
mod coordinator_election;
mod coordinator_orders;
mod engine_timings;
mod event_gaps;
mod event_relay;
mod filters;
mod fleet_reporter;
mod fleet_table;
mod forward;
mod host_counters;
mod host_state;
mod model_uses;
mod model_watch;
mod next_target;
mod part_filter;
mod part_watch;
mod peer_link;
mod peer_routes;
mod record_keys;
mod request_context;
mod request_handler;
mod request_log;
mod request_wait;
mod retry_budgets;
mod run_check;
mod send_history;
mod send_permit;
mod side_servers;
mod stop_progress;
mod store_follower;
mod store_relay;
mod stream_head;
mod table_source;
mod target_choice;

pub mod host_process;
pub mod host_settings;
