use zinniahinge_types::Name;

/// Memory of one backend server by the planner's records, for metrics and events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Backend server.
    pub server: Name,
    /// Accelerator memory in bytes.
    pub memory_bytes: u64,
    /// Memory of replicas, adapters and orders with an unknown result, in bytes.
    pub used_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}
