//! Table tests: each guard of the protocol, with the failure that it prevents.

mod assignment_planner;
mod fixture;
mod guardian_watch;
mod host_authority;
