use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_peer::KeyRing;
use zinniahinge_peer::KeyRingFile;
use zinniahinge_platform::CONFIG_KEY;
use zinniahinge_platform::Condition;
use zinniahinge_platform::SERVERS_PREFIX;
use zinniahinge_platform::StoreChange;
use zinniahinge_platform::StoreClient;
use zinniahinge_platform::StoreError;
use zinniahinge_platform::StoreItem;
use zinniahinge_platform::StoreResult;
use zinniahinge_platform::TransactOutcome;
use zinniahinge_platform::Write;
use zinniahinge_platform::decode_backend;
use zinniahinge_platform::decode_config;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::fleet_table::DutyHolder;
use crate::fleet_table::DutyRecord;
use crate::host_state::HostState;
use crate::record_keys::DUTY_KEY;
use crate::record_keys::HOSTS_PREFIX;
use crate::record_keys::PEER_KEYS_KEY;
use crate::record_keys::TERM_KEY;
use crate::table_source::TableSource;

/// All keys: one watch carries the configuration, the backend servers and this system's own records, so that each
/// answer confirms all three.
const WATCHED_PREFIX: &str = "";

/// Pause after an answer with changes, so that changes that come together cost one call. Half of the time in which a
/// leaving backend server must get no more requests, and a configuration must be in force.
const BATCH_PAUSE: Duration = Duration::from_millis(900);

/// The same for the coordinating host, which tells the others of leaving servers.
const HOLDER_PAUSE: Duration = Duration::from_millis(150);

/// Pauses after a failed call, drawn between these so that hosts don't call all at once.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 120..320;

/// Follows the store and keeps the host's table up to date.
pub(crate) struct StoreFollower {
    pub(crate) state: Arc<HostState>,
    pub(crate) store: StoreClient,
    pub(crate) keys: KeyRingFile,
    pub(crate) watch_wait: Duration,
}

impl StoreFollower {
    /// Runs until `token` is cancelled.
    pub(crate) async fn run(self, token: CancellationToken) {
        token.run_until_cancelled(self.follow()).await;
    }

    async fn follow(&self) {
        let mut is_registered = false;
        loop {
            let revision = match self.list().await {
                Ok(revision) => revision,
                Err(error) => {
                    self.fail(&error).await;
                    continue;
                }
            };
            if !is_registered {
                match self.register().await {
                    Ok(()) => is_registered = true,
                    Err(error) => {
                        self.fail(&error).await;
                        continue;
                    }
                }
            }
            self.watch(revision).await;
        }
    }

    /// Reads everything; returns a revision from which a watch misses nothing.
    async fn list(&self) -> StoreResult<Revision> {
        let sent = self.state.now();
        let (items, revision) = self.store.range(WATCHED_PREFIX).await?;
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
            true
        });
        self.count_hosts();
        state.confirmed.confirm(sent);
        self.log_belief("listed the store", revision);
        Ok(revision)
    }

    /// Follows changes until something may have been missed.
    async fn watch(&self, mut revision: Revision) {
        let mut is_down = false;
        loop {
            let sent = self.state.now();
            let answer = self
                .store
                .watch(WATCHED_PREFIX, revision, self.watch_wait)
                .await;
            match answer {
                Ok(answer) => {
                    if is_down {
                        info!(self.state.logger, "store regained"; "revision" => answer.revision);
                        is_down = false;
                    }
                    let is_gap = answer.changes.is_empty() && answer.revision > revision;
                    if is_gap {
                        // Every change has a key, so changes without events were not delivered.
                        warn!(self.state.logger, "watch skipped changes"; "from" => revision,
                            "to" => answer.revision);
                        return;
                    }
                    let has_changes = !answer.changes.is_empty();
                    self.apply_changes(answer.changes, sent);
                    revision = answer.revision;
                    if has_changes {
                        tokio::time::sleep(self.batch_pause()).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    info!(self.state.logger, "store dropped its history"; "revision" => revision);
                    return;
                }
                Err(error) => {
                    if !is_down {
                        warn!(self.state.logger, "store lost"; "error" => %error, "revision" => revision);
                        is_down = true;
                    }
                    self.fail(&error).await;
                }
            }
        }
    }

    fn batch_pause(&self) -> Duration {
        let table = self.state.table.load();
        let holder = table.holder.as_ref();
        let is_holder = holder.is_some_and(|holder| holder.host == self.state.boot.host);
        if is_holder { HOLDER_PAUSE } else { BATCH_PAUSE }
    }

    fn apply_changes(&self, changes: Vec<StoreChange>, sent: MonotonicTime) {
        let state = &self.state;
        let now = state.now();
        state.update(|source| {
            let is_changed = !changes.is_empty() || source.roster.has_missing();
            for change in changes {
                self.apply_change(source, change, now);
            }
            is_changed
        });
        self.count_hosts();
        state.confirmed.confirm(sent);
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
        if let Some(id) = key.strip_prefix(SERVERS_PREFIX) {
            match value.and_then(|value| self.decode_entry(source, id, &value)) {
                Some(entry) => source.roster.put(entry, revision),
                None => source.roster.remove(id, revision, now),
            }
            return;
        }
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
            CONFIG_KEY => self.apply_config(source, &item.value),
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
            TERM_KEY => match serde_json::from_slice::<DutyRecord>(&item.value) {
                Ok(record) => source.last_holder = Some(record.host),
                Err(error) => warn!(logger, "term record ignored"; "error" => %error),
            },
            PEER_KEYS_KEY => {
                source.has_peer_keys = true;
                self.apply_keys(&item.value);
            }
            key => {
                let host = key.strip_prefix(HOSTS_PREFIX);
                let address = std::str::from_utf8(&item.value).ok();
                let address = address.and_then(|address| address.parse().ok());
                if let Some((host, address)) = host.zip(address) {
                    source.hosts.insert(host.into(), address);
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
    ) -> Option<zinniahinge_serving::BackendEntry> {
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

    // ---------------------------------------------------------------------------------------------

    /// Records this host's address, and the fleet's peer keys if there are none yet.
    async fn register(&self) -> StoreResult<()> {
        let boot = &self.state.boot;
        let address = boot.peers.to_string();
        let known = self
            .state
            .with_source(|source| source.hosts.get(&boot.host).copied());
        if known != Some(boot.peers) {
            let write = Write {
                key: format!("{HOSTS_PREFIX}{}", boot.host).into(),
                value: address.into(),
                lease: None,
            };
            self.store.transact(&[], &[write], &[]).await?;
        }
        if self.state.with_source(|source| source.has_peer_keys) {
            return Ok(());
        }
        let text = KeyRing::generate_text(&format!("k{:x}", rand::random::<u32>()));
        let key = Name::from(PEER_KEYS_KEY);
        let condition = Condition {
            key: key.clone(),
            revision: 0,
        };
        let write = Write {
            key,
            value: text.into(),
            lease: None,
        };
        // A conflict means that another host was first; the watch brings its keys, and this host's own if it won.
        let outcome = self.store.transact(&[condition], &[write], &[]).await?;
        let is_created = matches!(outcome, TransactOutcome::Done { .. });
        info!(self.state.logger, "peer keys"; "created_here" => is_created);
        Ok(())
    }

    async fn fail(&self, error: &StoreError) {
        let state = &self.state;
        state.counters.store_failures.inc();
        let now = state.now();
        state.update(|source| {
            source.roster.note_outage(now);
            false
        });
        slog::debug!(state.logger, "store call failed"; "error" => %error);
        let pause = rand::rng().random_range(RETRY_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    fn log_belief(&self, message: &str, revision: Revision) {
        let table = self.state.table.load();
        let backends: usize = table.services.values().map(Vec::len).sum();
        let version = table.config.as_ref().map(|config| config.version);
        info!(self.state.logger, "{message}"; "revision" => revision, "backends" => backends,
            "config" => version);
    }
}
