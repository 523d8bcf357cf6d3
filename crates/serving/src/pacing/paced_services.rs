use crate::ServiceSpec;

/// True if servers of the service that have just started or recovered get a pace: where they start cold, or where servers
/// share their machines with other work, as they say by stating how long work takes.
pub fn is_paced(service: &ServiceSpec, states_work_time: bool) -> bool {
    service.cold_start.is_some() || states_work_time
}
