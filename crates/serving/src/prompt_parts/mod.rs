//! Prompt parts that crash backend servers: the evidence, and which requests are refused.

mod block_list;
mod crash_evidence;
mod part_ledger;

pub use block_list::BlockList;
pub use block_list::TRIAL_TIME;
pub use crash_evidence::CrashEvidence;
pub use crash_evidence::KeptEvidence;
pub use crash_evidence::SuspectPart;
pub use part_ledger::PartDecisions;
pub use part_ledger::PartLedger;
