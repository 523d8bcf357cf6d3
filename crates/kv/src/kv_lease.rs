use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use zinniahinge_types::Revision;

use crate::BatchOutcome;
use crate::CallKind;
use crate::CasOutcome;
use crate::KvClient;
use crate::Result;
use crate::gateway_message::Compare;
use crate::gateway_message::LeaseResponse;
use crate::gateway_message::LeaseStreamResponse;
use crate::gateway_message::PutRequest;
use crate::gateway_message::RangeRequest;
use crate::gateway_message::RequestOp;
use crate::gateway_message::TxnRequest;
use crate::gateway_message::encode;

/// Lease that the service granted. Records bound to it are removed when it lapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Id by which the lease is extended, revoked and bound to records.
    pub lease_id: i64,
    /// Time to live, counted from the service's receipt of the request.
    pub time_to_live: Duration,
}

impl KvClient {
    /// Requests a lease of `time_to_live`, rounded up to whole seconds. The service may grant
    /// another time.
    pub async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseGrant> {
        let seconds = time_to_live.as_millis().div_ceil(1000).max(1);
        let request = json!({ "TTL": seconds.to_string() });
        let response: LeaseResponse = self
            .transport
            .call(CallKind::Lease, "/v3/lease/grant", &request)
            .await?;
        Ok(decode_grant(&response))
    }

    /// Extends a lease by its time to live; `None` if it has lapsed.
    pub async fn keep_lease_alive(&self, lease_id: i64) -> Result<Option<LeaseGrant>> {
        let request = json!({ "ID": lease_id.to_string() });
        let response: LeaseStreamResponse = self
            .transport
            .call(CallKind::Lease, "/v3/lease/keepalive", &request)
            .await?;
        let response = response.result.ok_or_else(|| {
            self.transport
                .count_outcome_unknown("keep-alive response has no result")
        })?;
        let grant = decode_grant(&response);
        Ok((response.ttl_seconds > 0).then_some(grant))
    }

    /// Ends a lease and removes its records.
    pub async fn revoke_lease(&self, lease_id: i64) -> Result<()> {
        let request = json!({ "ID": lease_id.to_string() });
        let _: LeaseResponse = self
            .transport
            .call(CallKind::Lease, "/v3/lease/revoke", &request)
            .await?;
        Ok(())
    }

    /// Does the same as [`KvClient::compare_and_swap`] and binds the record to a lease.
    pub async fn compare_and_swap_leased(
        &self,
        key: &str,
        expected_mod_revision: Revision,
        value: impl Into<Bytes>,
        lease_id: i64,
    ) -> Result<CasOutcome> {
        let key = encode(key.as_bytes());
        let request = TxnRequest {
            compare: vec![Compare {
                key: key.clone(),
                target: "MOD",
                result: "EQUAL",
                mod_revision: expected_mod_revision.to_string(),
            }],
            success: vec![RequestOp::Put(PutRequest {
                key: key.clone(),
                value: encode(&value.into()),
                lease: Some(lease_id.to_string()),
            })],
            failure: vec![RequestOp::Range(RangeRequest {
                key,
                range_end: None,
            })],
        };
        Ok(match self.transact(&request).await? {
            BatchOutcome::Swapped { revision } => CasOutcome::Swapped { revision },
            BatchOutcome::Conflict { current } => CasOutcome::Conflict {
                current: current.into_iter().next(),
            },
        })
    }
}

fn decode_grant(response: &LeaseResponse) -> LeaseGrant {
    LeaseGrant {
        lease_id: response.id,
        time_to_live: Duration::from_secs(response.ttl_seconds.max(0).unsigned_abs()),
    }
}
