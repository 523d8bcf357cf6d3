use zinniahinge_types::Name;

/// Memory of one backend server as the pool counts it, for metrics and events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Backend server.
    pub server: Name,
    /// Accelerator memory in bytes.
    pub memory_bytes: u64,
    /// Memory of replicas, adapters and orders without a known result, in bytes.
    pub used_bytes: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}
