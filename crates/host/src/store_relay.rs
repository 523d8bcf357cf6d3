//! Relays store changes: the coordinator adds what it read to its answers to reports, so that the other hosts need not
//! watch the store themselves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use slog::warn;
use zinniahinge_platform::CONFIG_KEY;
use zinniahinge_platform::StoreChange;
use zinniahinge_platform::StoreClient;
use zinniahinge_platform::StoreItem;
use zinniahinge_serving::StoreOutage;
use zinniahinge_types::ConfigReply;
use zinniahinge_types::ConfigRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::RecordBytes;
use zinniahinge_types::RelayedChange;
use zinniahinge_types::RelayedOutage;
use zinniahinge_types::RelayedValue;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;
use zinniahinge_types::StoreUpdate;

use crate::change_applier::ChangeApplier;
use crate::host_state::HostState;
use crate::record_keys::PEER_KEYS_KEY;

/// Receives the readings that the coordinator relays, and reads the values that it omits.
#[derive(Clone)]
pub(crate) struct StoreRelay {
    pub(crate) changes: ChangeApplier,
    pub(crate) store: StoreClient,
    /// True while a task reads the values that the coordinator omitted from a reading.
    pub(crate) is_completing: Arc<AtomicBool>,
}

impl StoreRelay {
    /// Applies the outage that came with the answer to a report, sent at `asked_at`; `None` if the coordinator had none.
    pub(crate) fn apply_outage(&self, outage: Option<RelayedOutage>, asked_at: MonotonicTime) {
        let state = &self.changes.state;
        let now = state.now();
        // The coordinator's ages are those of a moment between `asked_at` and now. Both ends are moved inwards, so that no
        // call of this host is wrongly taken for one during the outage.
        let outage = outage.map(|outage| StoreOutage {
            since: earlier(now, outage.since_ms),
            last_sent: earlier(asked_at, outage.last_sent_ms),
            until: earlier(asked_at, outage.until_ms),
        });
        state.update(|source| {
            source.roster.set_relayed_outage(outage);
            source.roster.has_missing()
        });
    }

    /// Applies a reading that came with the answer to a report; the report was sent at `asked_at`. Omitted values are read
    /// first, in a task.
    pub(crate) fn apply(&self, reading: StoreUpdate, asked_at: MonotonicTime) {
        let mut changes = reading.changes.iter();
        if !changes.any(|change| change.value == RelayedValue::Omitted) {
            self.apply_complete_reading(reading, asked_at);
            return;
        }
        // Reports continue meanwhile. Readings with omitted values that arrive before this one is complete are dropped;
        // the coordinator sends their changes again until they are known here.
        if self.is_completing.swap(true, Ordering::AcqRel) {
            return;
        }
        let this = self.clone();
        tokio::spawn(async move {
            if let Some(reading) = this.complete(reading).await {
                this.apply_complete_reading(reading, asked_at);
            }
            this.is_completing.store(false, Ordering::Release);
        });
    }

    /// Fills in the omitted values; `None` if one can't be read. Of several omitted changes of a key, only the last is read.
    async fn complete(&self, mut reading: StoreUpdate) -> Option<StoreUpdate> {
        let changes = std::mem::take(&mut reading.changes);
        for (index, change) in changes.iter().enumerate() {
            let mut later = changes[index + 1..].iter();
            if change.value != RelayedValue::Omitted {
                reading.changes.push(change.clone());
            } else if reading.after == 0 && *change.key == *PEER_KEYS_KEY {
                // A host that got this reading already has them.
            } else if !later.any(|other| other.key == change.key) {
                let value = self.read_value(change, reading.era).await?;
                reading.changes.push(RelayedChange {
                    value,
                    ..change.clone()
                });
            }
        }
        Some(reading)
    }

    /// Reads an omitted value from the store. If that fails, asks the coordinator, but only for the configuration.
    async fn read_value(&self, change: &RelayedChange, era: StoreEra) -> Option<RelayedValue> {
        let state = &self.changes.state;
        let store = self.store.in_era(era);
        let read = store.get_at_least(&change.key, change.revision);
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
                era,
                revision: change.revision,
            };
            let reply = state.link.config(&holder, &request).await;
            info!(state.logger, "configuration requested from the coordinator";
                "revision" => change.revision, "answered" => reply.is_ok(), "store_error" => %error);
            if let Ok(ConfigReply::Written(value)) = reply {
                return Some(RelayedValue::Written(value));
            }
        }
        warn!(state.logger, "relayed changes dropped, an omitted value cannot be read";
            "key" => &*change.key, "revision" => change.revision, "error" => %error);
        None
    }

    /// Applies a reading without omitted values. Reports answered in the meantime may have left a gap before it.
    fn apply_complete_reading(&self, reading: StoreUpdate, asked_at: MonotonicTime) {
        let StoreUpdate {
            era,
            after,
            revision,
            age_ms,
            outage_age_ms: _,
            changes,
        } = reading;
        let state = &self.changes.state;
        let changes: Vec<_> = changes.into_iter().map(decode).collect();
        // The coordinator answered after the report was sent, so its reading is at most this old.
        let read_at = earlier(asked_at, age_ms);
        let until = StorePosition { era, revision };
        if after == 0 && !era.is_first() {
            info!(state.logger, "listing of the store received from the coordinator"; "era" => era.0,
                "revision" => revision);
            let items = listed_items(changes);
            self.changes.apply_listing(items, until, read_at);
            return;
        }
        if !self.changes.apply(changes, (after, until), read_at) {
            info!(state.logger, "relayed changes dropped, earlier ones are missing";
                "after" => after, "revision" => revision);
        }
    }
}

/// Returns the configuration as this host read it, for a host that can't read the store; `Unknown` if it is older than the
/// requested revision.
pub(crate) fn config_since(state: &HostState, request: &ConfigRequest) -> ConfigReply {
    let wanted = StorePosition {
        era: request.era,
        revision: request.revision,
    };
    state.with_source(|source| match &source.config_item {
        Some((position, value)) if position.era == wanted.era && *position >= wanted => {
            ConfigReply::Written(RecordBytes(value.to_vec()))
        }
        _ => ConfigReply::Unknown,
    })
}

/// Returns the changes that this host, the coordinator, has read after `after`; `None` if the log doesn't reach back that
/// far, is of another era, or nothing was read yet.
pub(crate) fn reading_since(state: &HostState, after: StorePosition) -> Option<StoreUpdate> {
    let now = state.now();
    // Taken before the changes are, so that these may be newer than the age says, but never older.
    let age = state.confirmed.age(now)?;
    state.with_source(|source| {
        let changes = source.log.since(after)?.cloned().collect();
        Some(StoreUpdate {
            era: after.era,
            after: after.revision,
            revision: source.known_position()?.revision,
            age_ms: age.as_millis() as u64 + 1,
            outage_age_ms: relayed(source.roster.own_outage(now), now)
                .map(|outage| outage.until_ms),
            changes,
        })
    })
}

/// Returns the outage that the coordinator's own calls had, for the other hosts.
pub(crate) fn relayed_outage(state: &HostState) -> Option<RelayedOutage> {
    let now = state.now();
    relayed(
        state.with_source(|source| source.roster.own_outage(now)),
        now,
    )
}

fn relayed(outage: Option<StoreOutage>, now: MonotonicTime) -> Option<RelayedOutage> {
    let age_ms = |at: MonotonicTime| now.since(at).as_millis() as u64;
    outage.map(|outage| RelayedOutage {
        since_ms: age_ms(outage.since),
        last_sent_ms: age_ms(outage.last_sent),
        until_ms: age_ms(outage.until),
    })
}

/// Returns how long this host need not watch the store because relayed readings are fresh; `None` if it should watch now.
pub(crate) fn watch_pause(state: &HostState) -> Option<Duration> {
    let age = state.confirmed.age(state.now())?;
    state.watch_pace().relay_time(state.watch_role(), age)
}

/// Turns a relayed change into the form in which the store delivers it.
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

/// Returns the items that exist after all of `changes`.
fn listed_items(changes: Vec<StoreChange>) -> Vec<StoreItem> {
    let mut items = BTreeMap::new();
    for change in changes {
        let StoreChange {
            key,
            revision,
            value,
        } = change;
        match value {
            Some(value) => {
                let item = StoreItem {
                    key: key.clone(),
                    value,
                    revision,
                };
                items.insert(key, item);
            }
            None => {
                items.remove(&key);
            }
        }
    }
    items.into_values().collect()
}

/// Returns the time `age_ms` before `time`, no earlier than the clock's origin.
fn earlier(time: MonotonicTime, age_ms: u64) -> MonotonicTime {
    time.before(Duration::from_millis(age_ms))
}
