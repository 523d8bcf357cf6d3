//! Pace of servers that have just started or recovered: how many requests a second they get from all hosts together.

mod answer_tally;
mod pace_change;
mod pace_ledger;
mod paced_services;
mod peer_answers;
mod server_pace;

pub use answer_tally::AnswerTally;
pub use pace_change::PaceChange;
pub use pace_change::PaceEnd;
pub use pace_change::PaceStart;
pub use pace_ledger::PaceLedger;
pub use pace_ledger::PacedServer;
pub use paced_services::is_paced;
