//! Starts and stops real processes for integration tests and the demo. Test support only.

mod chat_answer;
mod child_process;
mod fleet;
mod fleet_builder;
mod fleet_error;
mod free_ports;
mod program_kind;
mod program_spec;
mod raw_exchange;
mod ready_check;
mod serving;
mod test_answer;
mod test_client;

pub use chat_answer::ChatAnswer;
pub use chat_answer::chat_body;
pub use child_process::ChildProcess;
pub use fleet::Fleet;
pub use fleet_builder::FleetBuilder;
pub use fleet_builder::peer_key_line;
pub use fleet_error::FleetError;
pub use free_ports::free_addresses;
pub use program_kind::ProgramKind;
pub use program_spec::ProgramSpec;
pub use program_spec::default_program_dir;
pub use raw_exchange::RawExchange;
pub use ready_check::ReadyCheck;
pub use serving::DEMO_APP;
pub use serving::DEMO_LLM;
pub use serving::PARISH_KEY;
pub use serving::VENDOR_KEY;
pub use serving::wait_until;
pub use test_answer::TestAnswer;
pub use test_client::OpenAnswer;
pub use test_client::TestClient;
