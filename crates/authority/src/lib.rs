//! Pure state machines that decide which host may act, which host is dead and who owns a shard.
//!
//! A host has authority, which is the right to act for its shards, for a time T after it sent a
//! heartbeat that its guardian acknowledged or a renewal that the key-value service stored. The
//! guardian is another host that writes a tombstone for it after a longer silence.
//!
//! No type here does I/O or reads a clock. The caller passes [`MonotonicTime`] and what it learned,
//! and carries out the actions that are returned. See the crate's README for the caller's duties.
//!
//! [`MonotonicTime`]: zinniahinge_types::MonotonicTime

mod acquired_shard;
mod assignment_action;
mod assignment_planner;
mod authority_error;
mod authority_settings;
mod authority_timer;
mod guardian_action;
mod guardian_choice;
mod guardian_watch;
mod host_action;
mod host_authority;
mod known_assignment;
mod local_host_status;
mod member_table;
mod own_record;
mod preferred_owners;
mod rendezvous_order;
mod shard_handover;
mod staged_shards;
mod write_outcome;

pub use acquired_shard::AcquiredShard;
pub use assignment_action::AssignmentAction;
pub use assignment_planner::AssignmentPlanner;
pub use authority_error::AuthorityError;
pub use authority_error::Result;
pub use authority_settings::AuthoritySettings;
pub use authority_timer::AuthorityTimer;
pub use guardian_action::GuardianAction;
pub use guardian_action::HeartbeatRefusal;
pub use guardian_action::HeartbeatVerdict;
pub use guardian_choice::choose_guardian;
pub use guardian_watch::GuardianWatch;
pub use guardian_watch::ReceivedHeartbeat;
pub use host_action::HostAction;
pub use host_action::HostPhase;
pub use host_authority::HostAuthority;
pub use local_host_status::LocalHostStatus;
pub use member_table::MemberEntry;
pub use member_table::MemberTable;
pub use rendezvous_order::preferred_host;
pub use staged_shards::StagedShard;
pub use staged_shards::StagedShards;
pub use write_outcome::WriteOutcome;
