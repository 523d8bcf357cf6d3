use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerError;
use zinniahinge_peer::PeerTarget;
use zinniahinge_types::ConfigReply;
use zinniahinge_types::ConfigRequest;
use zinniahinge_types::FleetCharge;
use zinniahinge_types::FleetChargeReply;
use zinniahinge_types::FleetReply;
use zinniahinge_types::FleetReport;
use zinniahinge_types::PlacementReply;
use zinniahinge_types::PlacementRequest;
use zinniahinge_types::SlotDecision;
use zinniahinge_types::SlotRequest;

use crate::coordinator::CoordinatorCell;
use crate::fleet_table::LeaseHolder;
use crate::host_state::HostState;

/// Path of requests for the configuration.
pub(crate) const CONFIG_PATH: &str = "/peer/config";

/// Timeout of a request for the configuration. A megabyte over a link of 20 Mbit/s takes 0.4 s.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(1200);

/// Path of reports to the coordinator.
pub(crate) const REPORT_PATH: &str = "/peer/report";

/// Path of requests for a placement, which ask to which backend server a request can go.
pub(crate) const PLACE_PATH: &str = "/peer/place";

/// Path of requests to charge a client account.
pub(crate) const CHARGE_PATH: &str = "/peer/charge";

/// Timeout of a charge. Short, because the caller's request waits for it.
const CHARGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Path of requests for a slot at a backend server that limits requests.
pub(crate) const SLOT_PATH: &str = "/peer/slot";

/// Timeout of a request for a slot. Short, because the caller's request waits for it.
const SLOT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a report.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of a placement request, whose answer the coordinator may hold back for up to 400 ms.
const PLACE_TIMEOUT: Duration = Duration::from_millis(900);

/// Client for messages to the coordinator or its stand-in. Reports and placement requests are answered locally if this host
/// coordinates.
pub(crate) struct PeerLink {
    pub(crate) client: PeerClient,
    pub(crate) cell: Arc<CoordinatorCell>,
}

impl PeerLink {
    /// Sends a message to `path` at `address` and waits for the reply until the timeout.
    async fn call<Req: Serialize, Rep: DeserializeOwned>(
        &self,
        address: SocketAddr,
        (path, timeout): (&'static str, Duration),
        message: &Req,
    ) -> Result<Rep, PeerError> {
        let address = address.to_string();
        let target = PeerTarget {
            address: &address,
            path,
            timeout,
        };
        self.client.call(target, message).await
    }

    /// Sends a report to the coordinator.
    pub(crate) async fn report(
        &self,
        holder: &LeaseHolder,
        report: &FleetReport,
        state: &HostState,
    ) -> Result<FleetReply, PeerError> {
        if holder.host == state.startup.host {
            return Ok(self.cell.report(report, state.now()));
        }
        self.call(holder.address, (REPORT_PATH, REPORT_TIMEOUT), report)
            .await
    }

    /// Asks the coordinator for the configuration.
    pub(crate) async fn config(
        &self,
        holder: &LeaseHolder,
        request: &ConfigRequest,
    ) -> Result<ConfigReply, PeerError> {
        self.call(holder.address, (CONFIG_PATH, CONFIG_TIMEOUT), request)
            .await
    }

    /// Asks the host at `address` to charge a request to its client account.
    pub(crate) async fn charge(
        &self,
        address: SocketAddr,
        request: &FleetCharge,
    ) -> Result<FleetChargeReply, PeerError> {
        self.call(address, (CHARGE_PATH, CHARGE_TIMEOUT), request)
            .await
    }

    /// Asks the coordinator when a request may be sent to a backend server that limits requests; `None` if the receiver does not
    /// coordinate.
    pub(crate) async fn slot(
        &self,
        holder: &LeaseHolder,
        request: &SlotRequest,
        state: &HostState,
    ) -> Result<Option<SlotDecision>, PeerError> {
        if holder.host == state.startup.host {
            return Ok(self.cell.slot(request, state.now()));
        }
        self.call(holder.address, (SLOT_PATH, SLOT_TIMEOUT), request)
            .await
    }

    /// Asks the coordinator to which backend server a request can go.
    pub(crate) async fn place(
        &self,
        holder: &LeaseHolder,
        request: &PlacementRequest,
        state: &HostState,
    ) -> Result<PlacementReply, PeerError> {
        if holder.host == state.startup.host {
            return Ok(self.cell.place(request, state).await);
        }
        self.call(holder.address, (PLACE_PATH, PLACE_TIMEOUT), request)
            .await
    }
}
