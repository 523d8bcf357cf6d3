use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use tokio_util::sync::CancellationToken;
use zinniahinge_types::Revision;

use crate::BatchOutcome;
use crate::CallCounts;
use crate::CallKind;
use crate::CasOutcome;
use crate::KvEntry;
use crate::KvError;
use crate::KvSettings;
use crate::MAX_BATCH_OPERATIONS;
use crate::RangeListing;
use crate::Result;
use crate::WatchStream;
use crate::WriteAction;
use crate::WriteOperation;
use crate::gateway_message::Compare;
use crate::gateway_message::KeyValue;
use crate::gateway_message::PutRequest;
use crate::gateway_message::RangeRequest;
use crate::gateway_message::RangeResponse;
use crate::gateway_message::RequestOp;
use crate::gateway_message::TxnRequest;
use crate::gateway_message::TxnResponse;
use crate::gateway_message::encode;
use crate::gateway_message::encode_prefix_end;
use crate::gateway_transport::GatewayTransport;
use crate::kv_watch::open_watch;

/// Client of the key-value service. Clones share connections and counters.
///
/// No call is repeated once it was sent. [`KvError::OutcomeUnknown`] from a write means that it may
/// have taken effect; the caller reads the record back before it decides.
#[derive(Clone)]
pub struct KvClient {
    pub(crate) transport: Arc<GatewayTransport>,
}

impl KvClient {
    /// Creates a client that connects on its first call.
    ///
    /// # Errors
    /// Returns [`KvError::BadSettings`] if `settings` name no endpoint or the HTTP client cannot be
    /// built.
    pub fn new(settings: KvSettings) -> Result<Self> {
        let transport = Arc::new(GatewayTransport::new(settings)?);
        Ok(Self { transport })
    }

    /// Returns the number of calls so far, by kind.
    pub fn counts(&self) -> CallCounts {
        self.transport.counter().counts()
    }

    /// Returns when the last answered request was sent or the last watch message came, whichever is
    /// later; `None` before the first answer.
    pub fn last_contact(&self) -> Option<Instant> {
        self.transport.last_contact()
    }

    /// Reads the record of `key`; `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KvEntry>> {
        let request = RangeRequest {
            key: encode(key.as_bytes()),
            range_end: None,
        };
        let listing = self.range(&request).await?;
        Ok(listing.entries.into_iter().next())
    }

    /// Reads all records whose key starts with `prefix`, at one revision of the store.
    pub async fn range_prefix(&self, prefix: &str) -> Result<RangeListing> {
        let request = RangeRequest {
            key: encode(prefix.as_bytes()),
            range_end: Some(encode_prefix_end(prefix)),
        };
        self.range(&request).await
    }

    /// Writes `value` if the record has revision `expected_mod_revision`; 0 means that it must not
    /// exist.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected_mod_revision: Revision,
        value: impl Into<Bytes>,
    ) -> Result<CasOutcome> {
        let operation = WriteOperation::put(key, value).with_expected(expected_mod_revision);
        self.write_one(operation).await
    }

    /// Removes the record if it has revision `expected_mod_revision`.
    pub async fn compare_and_delete(
        &self,
        key: &str,
        expected_mod_revision: Revision,
    ) -> Result<CasOutcome> {
        let operation = WriteOperation::delete(key).with_expected(expected_mod_revision);
        self.write_one(operation).await
    }

    /// Removes the record whatever its revision and returns the revision of the store. A missing
    /// record is no error.
    pub async fn delete(&self, key: &str) -> Result<Revision> {
        match self.write_batch(&[WriteOperation::delete(key)]).await? {
            BatchOutcome::Swapped { revision } => Ok(revision),
            BatchOutcome::Conflict { .. } => {
                let reason = "unconditional delete was answered with a conflict";
                Err(self.transport.count_outcome_unknown(reason))
            }
        }
    }

    /// Applies all of `operations` in one transaction, or none of them.
    ///
    /// # Errors
    /// Returns [`KvError::BadRequest`] for an empty batch or one above [`MAX_BATCH_OPERATIONS`].
    pub async fn write_batch(&self, operations: &[WriteOperation]) -> Result<BatchOutcome> {
        if operations.is_empty() || operations.len() > MAX_BATCH_OPERATIONS {
            return Err(KvError::BadRequest {
                reason: format!(
                    "batch has {} operations, not 1 to {MAX_BATCH_OPERATIONS}",
                    operations.len()
                ),
            });
        }
        let request = build_transaction(operations);
        self.transact(&request).await
    }

    /// Streams the changes of records whose key starts with `prefix`, from `from_revision` on; 0
    /// starts at the present revision.
    ///
    /// The stream ends with an error if the watch is lost, starts before a compaction or skips an
    /// event; the caller then lists again. It ends without an error when `token` is cancelled.
    pub fn watch(
        &self,
        prefix: &str,
        from_revision: Revision,
        token: CancellationToken,
    ) -> WatchStream {
        open_watch(self.transport.clone(), prefix, from_revision, token)
    }

    async fn range(&self, request: &RangeRequest) -> Result<RangeListing> {
        let response: RangeResponse = self
            .transport
            .call(CallKind::Read, "/v3/kv/range", request)
            .await?;
        Ok(RangeListing {
            entries: self.decode_entries(&response.kvs)?,
            revision: response.header.revision,
        })
    }

    async fn write_one(&self, operation: WriteOperation) -> Result<CasOutcome> {
        let outcome = match self.write_batch(&[operation]).await? {
            BatchOutcome::Swapped { revision } => CasOutcome::Swapped { revision },
            BatchOutcome::Conflict { current } => CasOutcome::Conflict {
                current: current.into_iter().next(),
            },
        };
        Ok(outcome)
    }

    pub(crate) async fn transact(&self, request: &TxnRequest) -> Result<BatchOutcome> {
        let response: TxnResponse = self
            .transport
            .call(CallKind::Write, "/v3/kv/txn", request)
            .await?;
        if response.succeeded {
            let revision = response.header.revision;
            return Ok(BatchOutcome::Swapped { revision });
        }
        let mut current = Vec::new();
        for response in response.responses {
            let result = response.response_range.unwrap_or_default();
            current.extend(self.decode_entries(&result.kvs)?);
        }
        Ok(BatchOutcome::Conflict { current })
    }

    fn decode_entries(&self, kvs: &[KeyValue]) -> Result<Vec<KvEntry>> {
        kvs.iter()
            .map(KeyValue::decode)
            .collect::<Result<_, _>>()
            .map_err(|e| self.transport.count_outcome_unknown(e))
    }
}

// ----------------------------------------------------------------------------------------------

fn build_transaction(operations: &[WriteOperation]) -> TxnRequest {
    let mut request = TxnRequest::default();
    for operation in operations {
        let WriteOperation {
            key,
            expected,
            action,
        } = operation;
        let key = encode(key.as_bytes());
        if let Some(expected) = expected {
            request.compare.push(Compare {
                key: key.clone(),
                target: "MOD",
                result: "EQUAL",
                mod_revision: expected.to_string(),
            });
            request.failure.push(RequestOp::Range(RangeRequest {
                key: key.clone(),
                range_end: None,
            }));
        }
        match action {
            WriteAction::Put(value) => request.success.push(RequestOp::Put(PutRequest {
                key,
                value: encode(value),
                lease: None,
            })),
            WriteAction::Delete => {
                let range = RangeRequest {
                    key,
                    range_end: None,
                };
                request.success.push(RequestOp::DeleteRange(range));
            }
            WriteAction::Check => {}
        }
    }
    request
}
