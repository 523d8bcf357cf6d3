//! Randomized faults against real host processes, judged by what callers and backend servers see.

mod call_index;
mod caller_record;
mod caller_task;
mod exceeded_limits;
mod fault_plan;
mod fault_task;
mod flooded_servers;
mod ignored_requests;
mod late_sends;
mod link_proxy;
mod overlapping_runs;
mod promise_check;
mod soak_error;
mod soak_run;
mod soak_settings;
mod soak_world;

pub use caller_record::CallerRecord;
pub use caller_record::RequestKind;
pub use fault_plan::FaultKind;
pub use fault_plan::PlannedFault;
pub use fault_plan::plan_cold_times;
pub use fault_plan::plan_faults;
pub use fault_plan::plan_limits;
pub use fault_plan::plan_refusal_copies;
pub use flooded_servers::ColdSpan;
pub use link_proxy::LinkMode;
pub use link_proxy::LinkProxy;
pub use promise_check::Disturbance;
pub use promise_check::SoakRecords;
pub use promise_check::broken_promises;
pub use soak_error::Result;
pub use soak_error::SoakError;
pub use soak_run::SoakReport;
pub use soak_run::run;
pub use soak_settings::SoakSettings;
pub use soak_settings::soak_arguments;
