//! Access to records, replaceable in tests.

use std::future::Future;
use std::ops::RangeInclusive;
use std::pin::Pin;

use bytes::Bytes;
use futures::StreamExt;
use tokio_util::sync::CancellationToken;
use zinniahinge_kv::CasOutcome;
use zinniahinge_kv::KvClient;
use zinniahinge_kv::KvEntry;
use zinniahinge_kv::KvError;
use zinniahinge_kv::WatchChange;
use zinniahinge_types::Revision;

/// Answer of the key-value service.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, KvError>> + Send>>;

/// Reads the record of a key.
pub type GetCall = dyn Fn(String) -> StoreFuture<Option<KvEntry>> + Send + Sync;

/// Writes a value if the record has the given revision, 0 for absent.
pub type SwapCall = dyn Fn(String, Revision, Bytes) -> StoreFuture<CasOutcome> + Send + Sync;

/// Reads the records whose key starts with a prefix.
pub type ListCall = dyn Fn(String) -> StoreFuture<Vec<KvEntry>> + Send + Sync;

/// Reads the values written to a key in a range of revisions; the last one must exist.
pub type HistoryCall =
    dyn Fn(String, RangeInclusive<Revision>) -> StoreFuture<Vec<KvEntry>> + Send + Sync;

/// The calls that commands make.
pub struct RecordStore {
    /// Reads one record.
    pub get: Box<GetCall>,
    /// Writes one record.
    pub compare_and_swap: Box<SwapCall>,
    /// Reads all records of a kind.
    pub list: Box<ListCall>,
    /// Reads earlier values of a record.
    pub history: Box<HistoryCall>,
}

impl RecordStore {
    /// Store that calls the key-value service.
    pub fn from_client(client: KvClient) -> Self {
        let (getter, swapper, lister) = (client.clone(), client.clone(), client.clone());
        Self {
            get: Box::new(move |key| {
                let client = getter.clone();
                Box::pin(async move { client.get(&key).await })
            }),
            compare_and_swap: Box::new(move |key, expected, value| {
                let client = swapper.clone();
                Box::pin(async move { client.compare_and_swap(&key, expected, value).await })
            }),
            list: Box::new(move |prefix| {
                let client = lister.clone();
                Box::pin(async move { Ok(client.range_prefix(&prefix).await?.entries) })
            }),
            history: Box::new(move |key, revisions| {
                let client = client.clone();
                Box::pin(async move { read_history(&client, &key, revisions).await })
            }),
        }
    }
}

/// Replays the changes of a key by a watch that starts in the past.
async fn read_history(
    client: &KvClient,
    key: &str,
    revisions: RangeInclusive<Revision>,
) -> Result<Vec<KvEntry>, KvError> {
    let token = CancellationToken::new();
    let mut events = client.watch(key, *revisions.start(), token);
    let mut entries = Vec::new();
    while let Some(event) = events.next().await {
        let event = event?;
        if event.mod_revision > *revisions.end() {
            break;
        }
        let is_last = event.mod_revision == *revisions.end() && *event.key == *key;
        if let (
            WatchChange::Put {
                value,
                create_revision,
            },
            true,
        ) = (event.change, *event.key == *key)
        {
            entries.push(KvEntry {
                key: event.key,
                value,
                mod_revision: event.mod_revision,
                create_revision,
            });
        }
        if is_last {
            break;
        }
    }
    Ok(entries)
}
