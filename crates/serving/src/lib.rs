//! Data and decisions of a host that serves requests: routing, choice of backend servers, rates of client accounts,
//! placement of models, and terms of the coordinator.
//!
//! Nothing in this crate performs I/O; callers pass in the clock and randomness.

mod accounts;
mod coordination;
mod pacing;
mod prompt_parts;
mod residency;
mod routing;

pub use accounts::*;
pub use coordination::*;
pub use pacing::*;
pub use prompt_parts::*;
pub use residency::*;
pub use routing::*;
