//! Starts and stops real processes for integration tests and the demo. Test support only.

mod child_process;
mod fleet;
mod fleet_builder;
mod fleet_error;
mod free_ports;
mod program_kind;
mod program_spec;
mod ready_check;

pub use child_process::ChildProcess;
pub use fleet::Fleet;
pub use fleet_builder::FleetBuilder;
pub use fleet_error::FleetError;
pub use free_ports::free_addresses;
pub use program_kind::ProgramKind;
pub use program_spec::ProgramSpec;
pub use program_spec::default_program_dir;
pub use ready_check::ReadyCheck;
