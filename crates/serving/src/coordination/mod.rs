//! State that hosts share: the coordinator's term, the hosts that are alive, and how changes of the store reach them.

mod candidate_order;
mod change_log;
mod config_freshness;
mod coordinator_term;
mod fleet_ledger;
pub(crate) mod host_presence;
mod silent_hosts;
mod store_outage;
mod watch_pace;

pub use candidate_order::candidate_order;
pub use change_log::ChangeLog;
pub use config_freshness::ConfigFreshness;
pub use coordinator_term::CoordinatorTerm;
pub use coordinator_term::CoordinatorTimes;
pub use fleet_ledger::FleetLedger;
pub use silent_hosts::SilentHosts;
pub use store_outage::StoreOutage;
pub use watch_pace::WatchPace;
pub use watch_pace::WatchRole;
