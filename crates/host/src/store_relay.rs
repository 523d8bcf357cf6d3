//! The coordinating host passes its reading of the store on in its answers to reports, so that the others need not watch
//! the store themselves.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use slog::warn;
use zinniahinge_platform::CONFIG_KEY;
use zinniahinge_platform::StoreChange;
use zinniahinge_platform::StoreClient;
use zinniahinge_types::ConfigReply;
use zinniahinge_types::ConfigRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::RecordBytes;
use zinniahinge_types::RelayedChange;
use zinniahinge_types::RelayedValue;
use zinniahinge_types::Revision;
use zinniahinge_types::StoreUpdate;

use crate::host_state::HostState;
use crate::store_changes::StoreChanges;

/// Part, in percent, of the time in which a configuration must be in force, or a leaving server get no more requests.
/// A host whose newest reading is older watches the store itself; the rest is for that call.
const TRUST_PERCENT: u32 = 70;

/// Takes in readings that the coordinating host passes on.
#[derive(Clone)]
pub(crate) struct StoreRelay {
    pub(crate) changes: StoreChanges,
    pub(crate) store: StoreClient,
    /// True while values are read that the coordinating host doesn't pass on.
    pub(crate) is_reading: Arc<AtomicBool>,
}

impl StoreRelay {
    /// Takes in a reading that came with the answer to a report which was sent at `asked_at`.
    pub(crate) fn apply(&self, reading: StoreUpdate, asked_at: MonotonicTime) {
        let mut changes = reading.changes.iter();
        if !changes.any(|change| change.value == RelayedValue::Omitted) {
            self.finish(reading, asked_at);
            return;
        }
        // Reports go on meanwhile; their readings are left until this one is complete.
        if self.is_reading.swap(true, Ordering::AcqRel) {
            return;
        }
        let this = self.clone();
        tokio::spawn(async move {
            if let Some(reading) = this.complete(reading).await {
                this.finish(reading, asked_at);
            }
            this.is_reading.store(false, Ordering::Release);
        });
    }

    /// Reads the values that were not passed on; the last change of a key is enough.
    async fn complete(&self, mut reading: StoreUpdate) -> Option<StoreUpdate> {
        let changes = std::mem::take(&mut reading.changes);
        for (index, change) in changes.iter().enumerate() {
            let mut later = changes[index + 1..].iter();
            if change.value != RelayedValue::Omitted {
                reading.changes.push(change.clone());
            } else if !later.any(|other| other.key == change.key) {
                let value = self.read_value(change).await?;
                reading.changes.push(RelayedChange {
                    value,
                    ..change.clone()
                });
            }
        }
        Some(reading)
    }

    /// Reads a value that was not passed on: from the store, or from the holder if the store fails this host.
    async fn read_value(&self, change: &RelayedChange) -> Option<RelayedValue> {
        let state = &self.changes.state;
        let read = self.store.get_at_least(&change.key, change.revision);
        let error = match read.await {
            Ok(Some(item)) => {
                return Some(RelayedValue::Written(RecordBytes(item.value.to_vec())));
            }
            Ok(None) => return Some(RelayedValue::Removed),
            Err(error) => error,
        };
        let holder = state.table.load().holder.clone();
        if &*change.key == CONFIG_KEY
            && let Some(holder) = holder
        {
            let request = ConfigRequest {
                revision: change.revision,
            };
            let reply = state.link.config(&holder, &request).await;
            info!(state.logger, "configuration read from the coordinating host";
                "revision" => change.revision, "answered" => reply.is_ok(), "store_error" => %error);
            if let Ok(ConfigReply::Written(value)) = reply {
                return Some(RelayedValue::Written(value));
            }
        }
        warn!(state.logger, "relayed reading not used"; "key" => &*change.key,
            "revision" => change.revision, "error" => %error);
        None
    }

    fn finish(&self, reading: StoreUpdate, asked_at: MonotonicTime) {
        let StoreUpdate {
            after,
            revision,
            age_ms,
            outage_age_ms,
            changes,
        } = reading;
        let state = &self.changes.state;
        if let Some(age_ms) = outage_age_ms {
            let failed_at = earlier(asked_at, age_ms);
            state.update(|source| {
                source.roster.note_outage(failed_at);
                false
            });
        }
        let changes = changes.into_iter().map(decode).collect();
        // The holder answered after the report was sent, so its reading is at most this old.
        let read_at = earlier(asked_at, age_ms);
        if !self.changes.apply(changes, (after, revision), read_at) {
            info!(state.logger, "relayed reading has a gap"; "after" => after, "revision" => revision);
        }
    }
}

/// The configuration that this host has read, for one that can't.
pub(crate) fn config_since(state: &HostState, request: &ConfigRequest) -> ConfigReply {
    state.with_source(|source| match &source.config_item {
        Some((revision, value)) if *revision >= request.revision => {
            ConfigReply::Written(RecordBytes(value.to_vec()))
        }
        _ => ConfigReply::Unknown,
    })
}

/// What this host, which coordinates, has read since `after`; `None` if it can't tell.
pub(crate) fn reading_since(state: &HostState, after: Revision) -> Option<StoreUpdate> {
    let now = state.now();
    // Before the changes are read: they may be newer than the confirmation, never older.
    let age = state.confirmed.age(now)?;
    state.with_source(|source| {
        let changes = source.log.since(after)?.cloned().collect();
        Some(StoreUpdate {
            after,
            revision: source.known_revision()?,
            age_ms: age.as_millis() as u64 + 1,
            outage_age_ms: source
                .roster
                .outage_age(now)
                .map(|age| age.as_millis() as u64),
            changes,
        })
    })
}

/// Time for which this host need not watch the store, because its reading is fresh and another host coordinates.
pub(crate) fn relayed_rest(state: &HostState) -> Option<Duration> {
    let table = state.table.load();
    let holder = table.holder.as_ref()?;
    if holder.host == state.boot.host {
        return None;
    }
    let bounds = &state.boot.bounds;
    let limit = bounds.config_deadline.min(bounds.drain_deadline) * TRUST_PERCENT / 100;
    let rest = limit.saturating_sub(state.confirmed.age(state.now())?);
    (!rest.is_zero()).then_some(rest)
}

fn decode(change: RelayedChange) -> StoreChange {
    let RelayedChange {
        key,
        revision,
        value,
    } = change;
    StoreChange {
        key,
        revision,
        value: match value {
            RelayedValue::Written(value) => Some(value.0.into()),
            RelayedValue::Removed | RelayedValue::Omitted => None,
        },
    }
}

fn earlier(time: MonotonicTime, age_ms: u64) -> MonotonicTime {
    let age = Duration::from_millis(age_ms);
    MonotonicTime::from_origin(time.since_origin().saturating_sub(age))
}
