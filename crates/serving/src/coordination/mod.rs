//! State that hosts share: the coordinator's term, the hosts that are alive, and how changes of the store reach them.

mod candidate_order;
mod change_log;
mod config_freshness;
mod coordinator_term;
mod era_change;
mod fleet_ledger;
mod handover_wait;
pub(crate) mod host_presence;
mod silent_hosts;
mod store_era_record;
mod store_outage;
mod watch_pace;

pub use candidate_order::candidate_order;
pub use change_log::ChangeLog;
pub use config_freshness::ConfigFreshness;
pub use coordinator_term::CoordinatorTerm;
pub use coordinator_term::CoordinatorTimes;
pub use era_change::EraChange;
pub use fleet_ledger::FleetLedger;
pub use handover_wait::HandoverWait;
pub use handover_wait::PriorTerm;
pub use silent_hosts::SilentHosts;
pub use store_era_record::StoreEraRecord;
pub use store_outage::StoreOutage;
pub use watch_pace::WatchPace;
pub use watch_pace::WatchRole;
