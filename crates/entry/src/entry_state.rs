//! State that all requests of an entry process share.

use std::sync::Arc;
use std::time::Duration;

use zinniahinge_limits::RetryBudget;
use zinniahinge_telemetry::EventLog;
use zinniahinge_types::HostId;
use zinniahinge_types::Name;

use crate::backend_client::BackendClient;
use crate::entry_counters::EntryCounters;
use crate::entry_snapshot::SnapshotCell;
use crate::filter_chain::FilterChain;
use crate::owner_client::OwnerClient;
use crate::plain_servers::PlainServers;

/// Limits that apply to every request.
#[derive(Clone, Debug)]
pub struct RequestLimits {
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Largest header section in bytes, names and values together.
    pub max_header_bytes: usize,
    /// Time for the body to arrive.
    pub body_timeout: Duration,
    /// Deadline of model requests whose document has no route for them.
    pub default_deadline: Duration,
    /// Longest wait for tokens.
    pub max_charge_wait: Duration,
    /// Age of the snapshot beyond which keyed requests are refused.
    pub max_staleness: Duration,
    /// `Retry-After` of refusals without a better estimate.
    pub retry_after: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 16 * 1024 * 1024,
            max_header_bytes: 32 * 1024,
            body_timeout: Duration::from_secs(10),
            default_deadline: Duration::from_secs(60),
            max_charge_wait: Duration::from_secs(5),
            max_staleness: Duration::from_secs(3),
            retry_after: Duration::from_secs(1),
        }
    }
}

/// Shared state.
pub struct EntryState {
    /// Host of the process.
    pub host: HostId,
    /// Place of the host.
    pub place: Name,
    /// Limits.
    pub limits: RequestLimits,
    /// What is in force.
    pub snapshot: Arc<SnapshotCell>,
    /// Backend servers of plain services.
    pub plain_servers: Arc<PlainServers>,
    /// Calls to owners.
    pub owners: OwnerClient,
    /// Calls to backend servers.
    pub backends: BackendClient,
    /// Bounds retries, so that a failing backend server does not multiply the load.
    pub retries: RetryBudget,
    /// Filters.
    pub chain: FilterChain,
    /// Events.
    pub events: Arc<EventLog>,
    /// Counters.
    pub counters: EntryCounters,
}
