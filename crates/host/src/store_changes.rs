use std::sync::Arc;

use bytes::Bytes;
use slog::info;
use slog::warn;
use zinniahinge_peer::KeyRing;
use zinniahinge_peer::SharedKeyRing;
use zinniahinge_platform::CONFIG_KEY;
use zinniahinge_platform::SERVERS_PREFIX;
use zinniahinge_platform::StoreChange;
use zinniahinge_platform::StoreItem;
use zinniahinge_platform::decode_backend;
use zinniahinge_platform::decode_config;
use zinniahinge_serving::BackendEntry;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::RecordBytes;
use zinniahinge_types::RelayedChange;
use zinniahinge_types::RelayedValue;
use zinniahinge_types::Revision;

use crate::fleet_table::DutyHolder;
use crate::fleet_table::DutyRecord;
use crate::fleet_table::TermRecord;
use crate::host_state::HostState;
use crate::record_keys::DUTY_KEY;
use crate::record_keys::HOSTS_PREFIX;
use crate::record_keys::PEER_KEYS_KEY;
use crate::record_keys::TERM_KEY;
use crate::record_keys::read_host_record;
use crate::table_source::KnownHost;
use crate::table_source::TableSource;

/// Applies what the store says, whether this host read it itself or the coordinating host passed it on.
#[derive(Clone)]
pub(crate) struct StoreChanges {
    pub(crate) state: Arc<HostState>,
    pub(crate) keys: SharedKeyRing,
}

impl StoreChanges {
    /// Takes in a listing of everything that was asked for at `sent`.
    pub(crate) fn apply_listing(
        &self,
        items: Vec<StoreItem>,
        revision: Revision,
        sent: MonotonicTime,
    ) {
        let state = &self.state;
        let now = state.now();
        state.update(|source| {
            let mut backends = Vec::new();
            source.holder = None;
            source.hosts.clear();
            for item in items {
                if let Some(id) = item.key.strip_prefix(SERVERS_PREFIX) {
                    if let Some(entry) = self.decode_entry(source, id, &item.value) {
                        backends.push((entry, item.revision));
                    }
                } else {
                    self.apply_item(source, &item);
                }
            }
            source.roster.replace(backends, revision, now);
            source.log.restart(revision);
            source.is_listed = true;
            true
        });
        self.count_hosts();
        state.confirmed.confirm(sent);
    }

    /// Takes in the changes after revision `after` up to `revision`, which were the newest ones at `read_at`. Changes that
    /// are known already are passed over. Returns false if changes between them and what is known may be missing.
    pub(crate) fn apply(
        &self,
        changes: Vec<StoreChange>,
        (after, revision): (Revision, Revision),
        read_at: MonotonicTime,
    ) -> bool {
        let state = &self.state;
        let now = state.now();
        let mut is_complete = false;
        state.update(|source| {
            is_complete = source.known_revision().is_some_and(|known| after <= known);
            if !is_complete {
                return false;
            }
            let known = source.log.revision();
            let mut is_changed = source.roster.has_missing();
            for change in changes {
                if change.revision > known {
                    is_changed = true;
                    self.apply_change(source, change, now);
                }
            }
            source.log.advance(revision);
            is_changed
        });
        if is_complete {
            self.count_hosts();
            state.confirmed.confirm(read_at);
        }
        is_complete
    }

    /// Recorded hosts share rates and budgets; those that are gone are counted, too, which is on the safe side.
    fn count_hosts(&self) {
        let hosts = self.state.with_source(|source| source.hosts.len());
        self.state.set_hosts(hosts as u32);
    }

    fn apply_change(&self, source: &mut TableSource, change: StoreChange, now: MonotonicTime) {
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
            self.apply_own_change(source, key, revision, value);
            return;
        };
        let entry = value.and_then(|value| self.decode_entry(source, id, &value));
        let known = source.roster.find(id);
        let is_minor = known
            .zip(entry.as_ref())
            .is_some_and(|(known, entry)| known.has_same_routing(entry));
        if !is_minor {
            source.log.push(relayed);
        }
        match entry {
            Some(entry) => source.put_backend(entry, revision, now),
            None => source.roster.remove(id, revision, now),
        }
    }

    /// Applies a change of the configuration or of one of this system's own records.
    fn apply_own_change(
        &self,
        source: &mut TableSource,
        key: Name,
        revision: Revision,
        value: Option<Bytes>,
    ) {
        match value {
            Some(value) => {
                let item = StoreItem {
                    key,
                    value,
                    revision,
                };
                self.apply_item(source, &item);
            }
            None if *key == *DUTY_KEY => {
                if let Some(holder) = source.holder.take() {
                    info!(self.state.logger, "coordinating host lost"; "host" => &*holder.host,
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

    fn apply_item(&self, source: &mut TableSource, item: &StoreItem) {
        let logger = &self.state.logger;
        match &*item.key {
            CONFIG_KEY => {
                self.apply_config(source, &item.value);
                source.config_item = Some((item.revision, item.value.clone()));
            }
            DUTY_KEY => match serde_json::from_slice::<DutyRecord>(&item.value) {
                Ok(record) => {
                    let holder = DutyHolder {
                        host: record.host,
                        address: record.address,
                        fence: item.revision,
                    };
                    if source.holder.as_ref() != Some(&holder) {
                        info!(logger, "coordinating host known"; "host" => &*holder.host,
                            "fence" => holder.fence);
                    }
                    source.holder = Some(holder);
                }
                Err(error) => warn!(logger, "duty record ignored"; "error" => %error),
            },
            TERM_KEY => match serde_json::from_slice::<TermRecord>(&item.value) {
                Ok(record) => source.last_term = Some(record),
                Err(error) => warn!(logger, "term record ignored"; "error" => %error),
            },
            PEER_KEYS_KEY => {
                source.has_peer_keys = true;
                self.apply_keys(&item.value);
            }
            key => {
                let host = key.strip_prefix(HOSTS_PREFIX);
                if let Some((host, (address, power))) = host.zip(read_host_record(&item.value)) {
                    let known = KnownHost {
                        address,
                        power,
                        shown_at: self.state.now(),
                    };
                    source.hosts.insert(host.into(), known);
                }
            }
        }
    }

    fn apply_config(&self, source: &mut TableSource, value: &[u8]) {
        let logger = &self.state.logger;
        let config = match decode_config(value) {
            Ok(config) => config,
            Err(error) => {
                warn!(logger, "configuration kept"; "error" => %error);
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

    fn apply_keys(&self, value: &[u8]) {
        let ring = std::str::from_utf8(value).map_err(|error| error.to_string());
        match ring.and_then(KeyRing::parse) {
            Ok(ring) => self.keys.replace(ring),
            Err(error) => warn!(self.state.logger, "peer keys kept"; "error" => error),
        }
    }

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

/// What is passed on of a value. The configuration is large, and the keys between hosts are secret.
fn relayed_value(key: &str, value: Option<&[u8]>) -> RelayedValue {
    match value {
        None => RelayedValue::Removed,
        Some(_) if key == CONFIG_KEY || key == PEER_KEYS_KEY => RelayedValue::Omitted,
        Some(value) => RelayedValue::Written(RecordBytes(value.to_vec())),
    }
}
