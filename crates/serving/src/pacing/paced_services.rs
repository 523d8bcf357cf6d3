use crate::ServiceSpec;

/// True if servers of the service that have just started or recovered get a pace: where they start cold, where the memory of
/// the fleet is tight, so that a server which is flooded crashes, or where servers share their machines with other work, as
/// they say by stating how long work takes.
pub fn is_paced(service: &ServiceSpec, has_tight_memory: bool, states_work_time: bool) -> bool {
    service.cold_start.is_some() || has_tight_memory || states_work_time
}
