use std::time::Duration;

use zinniahinge_peer::PeerClient;
use zinniahinge_peer::PeerCounters;
use zinniahinge_peer::PeerTarget;
use zinniahinge_peer::SharedKeyRing;
use zinniahinge_telemetry::MetricsRegistry;
use zinniahinge_types::ChargeReply;
use zinniahinge_types::ChargeRequest;
use zinniahinge_types::GrantId;

use crate::Fleet;
use crate::FleetError;
use crate::fleet_error::Result;

/// Longest wait for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends peer messages to a control process of the test's choice, as an entry process with an old
/// assignment would.
#[derive(Clone)]
pub struct PeerProbe {
    client: PeerClient,
}

impl PeerProbe {
    /// A probe that holds the fleet's peer keys.
    pub fn new(fleet: &Fleet) -> Result<Self> {
        let keys = SharedKeyRing::open(fleet.peer_keys()).map_err(failed)?;
        let registry = MetricsRegistry::new();
        let counters = PeerCounters::register(&registry).map_err(failed)?;
        let client = PeerClient::new(keys, counters).map_err(failed)?;
        Ok(Self { client })
    }

    /// Charges `tokens` to an account at a control process, without waiting for tokens.
    pub async fn charge(
        &self,
        address: &str,
        service: &str,
        account: &str,
        tokens: u64,
    ) -> Result<ChargeReply> {
        let message = ChargeRequest {
            service: service.into(),
            account: account.into(),
            grant_id: GrantId(rand::random()),
            tokens,
            max_wait: Duration::ZERO,
        };
        let target = PeerTarget {
            address,
            path: "/peer/charge",
            timeout: REPLY_TIMEOUT,
        };
        self.client.call(target, &message).await.map_err(failed)
    }
}

fn failed(error: impl ToString) -> FleetError {
    FleetError::Command {
        what: "a peer message".to_owned(),
        output: error.to_string(),
    }
}
