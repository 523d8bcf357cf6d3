//! Control process of zinniahinge: owns shards and decides limits, queues, loads and idempotency keys.

pub mod account_table;
pub mod authority_gate;
pub mod config_follower;
pub mod control_process;
pub mod control_settings;
pub mod copy_store;
pub mod dispatch_service;
pub mod dispatch_table;
pub mod engine_client;
pub mod gossip;
pub mod host_list_follower;
pub mod idempotency_service;
pub mod in_force;
pub mod kv_counters;
pub mod limit_service;
pub mod member_controller;
pub mod member_core;
pub mod peer_routes;
pub mod pool_cell;
pub mod pool_controller;
pub mod record_keys;
pub mod record_writer;
pub mod shard_state;
pub mod shard_table;
pub mod work_signal;
