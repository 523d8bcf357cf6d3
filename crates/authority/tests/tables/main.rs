//! Table tests of the state machines, one for each guard of the protocol.
//!
//! A name in capitals in the comment of a test is the guard's name in the specification in `spec/`.

mod assignment_planner;
mod fixture;
mod guardian_watch;
mod host_authority;
