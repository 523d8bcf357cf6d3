use std::sync::Arc;

use bytes::Bytes;
use slog::info;
use slog::warn;
use zinniahinge_peer::KeyRing;
use zinniahinge_peer::SharedKeyRing;
use zinniahinge_platform::CONFIG_KEY;
use zinniahinge_platform::EVACUATION_PREFIX;
use zinniahinge_platform::SERVERS_PREFIX;
use zinniahinge_platform::StoreChange;
use zinniahinge_platform::StoreItem;
use zinniahinge_platform::decode_backend;
use zinniahinge_platform::decode_config;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::EraChange;
use zinniahinge_types::BlockedParts;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::RecordBytes;
use zinniahinge_types::RelayedChange;
use zinniahinge_types::RelayedValue;
use zinniahinge_types::Revision;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;

use crate::fleet_table::LeaseRecord;
use crate::fleet_table::TermRecord;
use crate::host_state::HostState;
use crate::record_keys::BLOCKED_PARTS_KEY;
use crate::record_keys::HOSTS_PREFIX;
use crate::record_keys::LEASE_KEY;
use crate::record_keys::PEER_KEYS_KEY;
use crate::record_keys::TERM_KEY;
use crate::record_keys::read_host_record;
use crate::table_source::KnownHost;
use crate::table_source::REREGISTRATION_TIME;
use crate::table_source::TableSource;

/// Applies listings and changes of the store to the host's table, whether this host read them or the coordinator relayed
/// them.
#[derive(Clone)]
pub(crate) struct ChangeApplier {
    pub(crate) state: Arc<HostState>,
    pub(crate) keys: SharedKeyRing,
}

impl ChangeApplier {
    /// Replaces all known state of the store by a listing of all keys at `position`. `sent` is when the listing was requested.
    /// After a change of the store's era, keeps what the listing may lack.
    pub(crate) fn apply_listing(
        &self,
        items: Vec<StoreItem>,
        position: StorePosition,
        sent: MonotonicTime,
    ) {
        let state = &self.state;
        let now = state.now();
        let relayed = if position.era.is_first() {
            Vec::new()
        } else {
            relayed_listing(&items)
        };
        state.update(|source| {
            let mut backends = Vec::new();
            let mut evacuated = Vec::new();
            let known = source.known_position();
            let is_behind = known.is_some_and(|known| {
                known.era > position.era || !position.era.is_first() && known > position
            });
            if is_behind {
                // A listing that the coordinator relayed; this host has read the store meanwhile.
                return false;
            }
            source.holder = None;
            let known_era = known.map(|known| known.era);
            let change = EraChange::find(known_era, position.era, now);
            match change {
                Some(change) => self.start_era(source, change),
                None => source.hosts.clear(),
            }
            state.counters.store_era.set(position.era.0 as i64);
            for item in items {
                if let Some(id) = item.key.strip_prefix(SERVERS_PREFIX) {
                    if let Some(entry) = self.decode_entry(source, id, &item.value) {
                        backends.push((entry, item.revision));
                    }
                } else if let Some(place) = item.key.strip_prefix(EVACUATION_PREFIX) {
                    evacuated.push(place.into());
                } else {
                    self.apply_item(source, &item, position.era);
                }
            }
            source.roster.replace(backends, position.revision, now);
            if let Some(change) = change {
                let deadline = state.startup.bounds.evacuation_deadline;
                let hold = deadline.unwrap_or_default().max(REREGISTRATION_TIME);
                source
                    .evacuations
                    .hold_missing(&evacuated, change.at + hold);
            }
            let (begun, ended) = source.evacuations.replace(&evacuated, now);
            self.log_evacuations(source, &begun, &ended, position.revision);
            source.log.restart(position);
            if !relayed.is_empty() {
                source.log.keep_listing(relayed);
            }
            source.is_listed = true;
            true
        });
        self.update_host_count();
        state.confirmed.confirm(sent);
    }

    /// Prepares the known state for the first listing of the store after it returned from a copy.
    fn start_era(&self, source: &mut TableSource, change: EraChange) {
        let state = &self.state;
        source.roster.start_era(change.at);
        source.era_began_at = change.at;
        source.has_peer_keys = false;
        state
            .confirmed
            .require_proof_from(change.proof_from(REREGISTRATION_TIME));
        state.counters.era_changes.inc();
        let dropped = source.log.position().revision;
        let config = source.config.as_ref().map(|config| config.version);
        warn!(state.logger, "store returned from a copy"; "era" => change.to.0, "before" => change.from.0,
            "dropped_revision" => dropped, "kept_backends" => source.roster.entries().count(),
            "kept_hosts" => source.hosts.len(), "kept_config" => config);
    }

    /// Applies the changes after revision `after` up to `until`, which was the newest at `read_at`. Skips changes that
    /// are known already. Returns false and applies none if changes between the known revision and `after` may be missing, or
    /// if the known state is of another era.
    pub(crate) fn apply(
        &self,
        changes: Vec<StoreChange>,
        (after, until): (Revision, StorePosition),
        read_at: MonotonicTime,
    ) -> bool {
        let state = &self.state;
        let mut is_complete = false;
        state.update(|source| {
            let newest_era = state.eras.newest();
            let known = source.known_position();
            is_complete = known.is_some_and(|known| {
                after <= known.revision && known.era == until.era && until.era == newest_era
            });
            if !is_complete {
                return false;
            }
            let known = source.log.position().revision;
            let expired = source.evacuations.expire(state.now());
            self.log_evacuations(source, &[], &expired, known);
            let mut is_changed = source.roster.has_missing() || !expired.is_empty();
            for change in changes {
                if change.revision > known {
                    is_changed = true;
                    self.apply_change(source, change, read_at);
                }
            }
            source.log.advance(until.revision);
            is_changed
        });
        if is_complete {
            self.update_host_count();
            state.confirmed.confirm(read_at);
        }
        is_complete
    }

    /// Sets the number of hosts that share rates and budgets to that of the host records. Records of hosts that are gone
    /// are included: that makes each share smaller, which is the safe side.
    fn update_host_count(&self) {
        let hosts = self.state.with_source(|source| source.hosts.len());
        self.state.set_hosts(hosts as u32);
    }

    /// Applies one change and adds it to the log for the other hosts. Leaves out of the log an update of a backend server's
    /// entry that makes no difference to requests. `read_at` is the time at which the change was requested.
    fn apply_change(&self, source: &mut TableSource, change: StoreChange, read_at: MonotonicTime) {
        let now = self.state.now();
        let StoreChange {
            key,
            revision,
            value,
        } = change;
        let relayed = RelayedChange {
            value: relayed_value(&key, value.as_deref()),
            key: key.clone(),
            revision,
        };
        let Some(id) = key.strip_prefix(SERVERS_PREFIX) else {
            source.log.push(relayed);
            if *key == *LEASE_KEY && value.is_none() {
                source.roster.record_lease_end(read_at);
            }
            self.apply_record_change(source, key, revision, value);
            return;
        };
        let entry = value.and_then(|value| self.decode_entry(source, id, &value));
        let known = source.roster.find_listed(id);
        let is_minor = known.zip(entry.as_ref()).is_some_and(|(known, entry)| {
            known.has_same_routing(entry) && !source.shows_new_cold_time(entry, now)
        });
        if !is_minor {
            source.log.push(relayed);
        }
        match entry {
            Some(entry) => source.put_backend(entry, revision, now),
            None => {
                source.roster.remove(id, revision, now);
                if source.roster.find(id).is_some() {
                    info!(self.state.logger, "backend kept, its entry disappeared around an outage of the store";
                        "backend" => id, "revision" => revision);
                }
            }
        }
    }

    /// Applies a change or removal of the configuration or of one of this system's own records.
    fn apply_record_change(
        &self,
        source: &mut TableSource,
        key: Name,
        revision: Revision,
        value: Option<Bytes>,
    ) {
        if let Some(place) = key.strip_prefix(EVACUATION_PREFIX) {
            self.apply_evacuation(source, place, value.is_some(), revision);
            return;
        }
        match value {
            Some(value) => {
                let item = StoreItem {
                    key,
                    value,
                    revision,
                };
                if *item.key == *CONFIG_KEY && self.is_newest_config(source, &item.value) {
                    self.state.confirmed.accept_proof();
                }
                let era = source.log.position().era;
                self.apply_item(source, &item, era);
            }
            None if *key == *LEASE_KEY => {
                if let Some(holder) = source.holder.take() {
                    info!(self.state.logger, "coordinator lease ended"; "host" => &*holder.host,
                        "fence" => holder.fence);
                }
            }
            None => {
                if let Some(host) = key.strip_prefix(HOSTS_PREFIX) {
                    source.hosts.remove(host);
                }
            }
        }
    }

    /// Begins or ends the evacuation of a place.
    fn apply_evacuation(
        &self,
        source: &mut TableSource,
        place: &str,
        is_evacuated: bool,
        revision: Revision,
    ) {
        let place = Name::from(place);
        let places = std::slice::from_ref(&place);
        if is_evacuated && source.evacuations.begin(&place) {
            self.log_evacuations(source, places, &[], revision);
        } else if !is_evacuated && source.evacuations.end(&place, self.state.now()) {
            self.log_evacuations(source, &[], places, revision);
        }
    }

    /// Logs which evacuations began and ended, and counts the evacuated places.
    fn log_evacuations(
        &self,
        source: &TableSource,
        begun: &[Name],
        ended: &[Name],
        revision: Revision,
    ) {
        let logger = &self.state.logger;
        for place in begun {
            warn!(logger, "data centre evacuated, its servers get no requests";
                "place" => &**place, "revision" => revision);
        }
        for place in ended {
            info!(logger, "data centre taken back"; "place" => &**place, "revision" => revision);
        }
        let count = source.evacuations.count();
        self.state.counters.evacuated_places.set(count as i64);
    }

    /// Applies a value other than a backend server's entry. Values that can't be decoded are logged and ignored.
    /// `era` is the store's era in which the item was read.
    fn apply_item(&self, source: &mut TableSource, item: &StoreItem, era: StoreEra) {
        let logger = &self.state.logger;
        match &*item.key {
            CONFIG_KEY => {
                self.apply_config(source, &item.value);
                let revision = item.revision;
                let position = StorePosition { era, revision };
                source.config_item = Some((position, item.value.clone()));
            }
            LEASE_KEY => match serde_json::from_slice::<LeaseRecord>(&item.value) {
                Ok(record) => {
                    let holder = record.into_holder(item.revision);
                    if source.holder.as_ref() != Some(&holder) {
                        info!(logger, "coordinator known"; "host" => &*holder.host,
                            "fence" => holder.fence);
                    }
                    source.holder = Some(holder);
                }
                Err(error) => {
                    warn!(logger, "coordinator lease record ignored, cannot decode it"; "error" => %error)
                }
            },
            TERM_KEY => match serde_json::from_slice::<TermRecord>(&item.value) {
                Ok(record) => source.last_term = Some(record),
                Err(error) => {
                    warn!(logger, "term record ignored, cannot decode it"; "error" => %error)
                }
            },
            BLOCKED_PARTS_KEY => match serde_json::from_slice::<BlockedParts>(&item.value) {
                Ok(blocked) => {
                    source.apply_blocked(blocked, self.state.now());
                }
                Err(error) => {
                    warn!(logger, "record of blocked prompt parts ignored, cannot decode it"; "error" => %error)
                }
            },
            PEER_KEYS_KEY => {
                source.has_peer_keys = true;
                source.peer_keys = Some(item.value.clone());
                self.apply_keys(&item.value);
            }
            key => {
                let host = key.strip_prefix(HOSTS_PREFIX);
                if let Some((host, (address, power))) = host.zip(read_host_record(&item.value)) {
                    let known = KnownHost {
                        address,
                        power,
                        record_seen_at: self.state.now(),
                    };
                    source.hosts.insert(host.into(), known);
                }
            }
        }
    }

    /// True if a configuration that was written is no older than the one in force.
    fn is_newest_config(&self, source: &TableSource, value: &[u8]) -> bool {
        let known = source.config.as_ref().map(|config| config.version);
        decode_config(value).is_ok_and(|config| known.is_none_or(|known| config.version >= known))
    }

    /// Puts a configuration in force if it can be decoded and its version is newer.
    fn apply_config(&self, source: &mut TableSource, value: &[u8]) {
        let logger = &self.state.logger;
        let config = match decode_config(value) {
            Ok(config) => config,
            Err(error) => {
                warn!(logger, "configuration rejected, the previous one stays in force";
                    "error" => %error);
                return;
            }
        };
        let known = source.config.as_ref().map(|config| config.version);
        if known.is_some_and(|known| config.version <= known) {
            return;
        }
        info!(logger, "configuration in force"; "version" => config.version, "before" => known,
            "routes" => config.routes.len());
        source.config = Some(Arc::new(config));
    }

    /// Replaces the keys that authenticate messages between hosts if the new ones can be parsed.
    fn apply_keys(&self, value: &[u8]) {
        let ring = std::str::from_utf8(value).map_err(|error| error.to_string());
        match ring.and_then(KeyRing::parse) {
            Ok(ring) => self.keys.replace(ring),
            Err(error) => {
                warn!(self.state.logger, "peer keys rejected, the previous ones stay in use"; "error" => error)
            }
        }
    }

    /// Decodes a backend server's entry. Logs an undecodable one once for each distinct error.
    fn decode_entry(
        &self,
        source: &mut TableSource,
        id: &str,
        value: &[u8],
    ) -> Option<BackendEntry> {
        match decode_backend(id, value) {
            Ok(entry) => {
                source.unreadable.remove(id);
                Some(entry)
            }
            Err(error) => {
                let error = error.to_string();
                let id = Name::from(id);
                if source.unreadable.get(&id) != Some(&error) {
                    warn!(self.state.logger, "backend entry ignored"; "backend" => &*id, "error" => &error);
                    source.unreadable.insert(id, error);
                }
                None
            }
        }
    }
}

/// Returns what is relayed of a listing to hosts that can't read the store.
fn relayed_listing(items: &[StoreItem]) -> Vec<RelayedChange> {
    let changes = items.iter().map(|item| RelayedChange {
        key: item.key.clone(),
        revision: item.revision,
        value: relayed_value(&item.key, Some(&item.value)),
    });
    changes.collect()
}

/// Returns what is relayed to other hosts of a value. Omits the configuration, which is large, and the peer keys, which are
/// secret.
fn relayed_value(key: &str, value: Option<&[u8]>) -> RelayedValue {
    match value {
        None => RelayedValue::Removed,
        Some(_) if key == CONFIG_KEY || key == PEER_KEYS_KEY => RelayedValue::Omitted,
        Some(value) => RelayedValue::Written(RecordBytes(value.to_vec())),
    }
}
