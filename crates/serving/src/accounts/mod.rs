//! Client accounts: their keys, and how much of their rates is left over all hosts.

pub(crate) mod account_ledger;
mod account_meter;
mod account_spec;
mod account_table;
mod stand_in_meter;

pub use account_meter::AccountMeter;
pub use account_meter::ChargeDecision;
pub use account_meter::ChargeRefusal;
pub use account_meter::LIVENESS_INTERVAL;
pub use account_meter::MeterSettings;
pub use account_spec::AccountSpec;
pub use account_spec::QuotaUnit;
pub use account_table::AccountTable;
pub use account_table::KeyDigest;
pub use stand_in_meter::StandInMeter;
