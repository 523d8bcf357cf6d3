use crate::ServiceSpec;

/// True if servers of the service that have just started or recovered get a pace: where they start cold, or the memory of
/// the fleet is tight, so that a server which is flooded crashes.
pub fn is_paced(service: &ServiceSpec, has_tight_memory: bool) -> bool {
    service.cold_start.is_some() || has_tight_memory
}
