use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_peer::KeyRing;
use zinniahinge_platform::StoreClient;
use zinniahinge_platform::StoreCondition;
use zinniahinge_platform::StoreError;
use zinniahinge_platform::StoreResult;
use zinniahinge_platform::StoreWrite;
use zinniahinge_platform::TransactionOutcome;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::StorePosition;

use crate::change_applier::ChangeApplier;
use crate::host_state::HostState;
use crate::record_keys::PEER_KEYS_KEY;
use crate::record_keys::host_record;
use crate::store_relay::watch_pause;

/// Watches all keys: one watch covers the configuration, the backend servers and this system's own records, so that each
/// answer confirms that all three are up to date.
const WATCHED_PREFIX: &str = "";

/// Longest time until a host that relies on relayed readings notices that the coordinator doesn't answer.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest wait of a watch call on the coordinator. What the other hosts know is at most as old as two such waits and the
/// time between two reports together.
const COORDINATOR_WATCH_WAIT: Duration = Duration::from_millis(300);

/// Range of the random pause after a failed call; random, so that hosts don't all call at once.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 120..320;

/// Largest number of times that the pause is doubled. It never exceeds [`zinniahinge_serving::WatchPace::longest_pause`] either.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// Number of failed calls in a row for each doubling of the pause.
const FAILURES_PER_DOUBLING: u32 = 2;

/// Follows the platform's store with a listing and watches, and keeps the host's table up to date. Doesn't watch while the
/// coordinator relays fresh readings.
pub(crate) struct StoreFollower {
    pub(crate) state: Arc<HostState>,
    pub(crate) changes: ChangeApplier,
    pub(crate) store: StoreClient,
    pub(crate) watch_wait: Duration,
    /// Number of calls that failed in a row.
    pub(crate) failures: AtomicU32,
}

impl StoreFollower {
    /// Follows the store until `token` is cancelled.
    pub(crate) async fn run(self, token: CancellationToken) {
        token.run_until_cancelled(self.follow()).await;
    }

    /// Lists the store, registers this host once in each era, and watches; starts again with a listing when changes may be missing.
    async fn follow(&self) {
        let mut registered_era = None;
        loop {
            let sent = self.state.now();
            let era_before = self.known_position().era;
            if let Err(error) = self.list().await {
                if self.failures.load(Ordering::Relaxed) == 0 {
                    warn!(self.state.logger, "store not listed, trying again"; "error" => %error);
                }
                self.handle_failure(&error, sent).await;
                let era = self.known_position().era;
                if era != era_before && era == self.store.newest_era() {
                    // The coordinator relayed a listing meanwhile. This host's record follows with the reports.
                    self.watch().await;
                }
                continue;
            }
            let era = self.known_position().era;
            if registered_era != Some(era) {
                let sent = self.state.now();
                match self.register().await {
                    Ok(()) => registered_era = Some(era),
                    Err(error) => {
                        self.handle_failure(&error, sent).await;
                        continue;
                    }
                }
            }
            self.watch().await;
        }
    }

    /// Reads all keys and replaces all known state of the store.
    async fn list(&self) -> StoreResult<()> {
        let sent = self.state.now();
        let (items, position) = self.store.range(WATCHED_PREFIX).await?;
        self.state.record_store_answer(sent);
        self.changes.apply_listing(items, position, sent);
        self.log_known_state("listed the store", position);
        Ok(())
    }

    /// Position of the last listing and the changes applied since.
    fn known_position(&self) -> StorePosition {
        self.state.with_source(|source| source.log.position())
    }

    /// Watches for changes until some may be missing. Makes no calls while the coordinator's relayed readings are fresh.
    async fn watch(&self) {
        let mut is_store_lost = false;
        loop {
            let position = self.known_position();
            let revision = position.revision;
            if position.era != self.store.newest_era() {
                return;
            }
            if let Some(rest) = watch_pause(&self.state) {
                tokio::time::sleep(rest.min(RELAY_CHECK_INTERVAL)).await;
                continue;
            }
            let sent = self.state.now();
            let wait = if self.is_coordinator() {
                COORDINATOR_WATCH_WAIT.min(self.watch_wait)
            } else {
                self.watch_wait
            };
            let wait = match self.state.confirmed.proof_wait(sent) {
                Some(left) => wait.min(left.max(COORDINATOR_WATCH_WAIT)),
                None => wait,
            };
            match self.store.watch(WATCHED_PREFIX, position, wait).await {
                Ok(answer) => {
                    self.failures.store(0, Ordering::Relaxed);
                    self.state.record_store_answer(sent);
                    if is_store_lost {
                        info!(self.state.logger, "store reachable again"; "revision" => answer.position.revision);
                        is_store_lost = false;
                    }
                    let is_gap = answer.changes.is_empty() && answer.position > position;
                    if is_gap {
                        // Each revision changes some key, and all keys are watched, so changes were not delivered.
                        warn!(self.state.logger, "watch skipped changes"; "from" => revision,
                            "to" => answer.position.revision);
                        return;
                    }
                    let has_changes = !answer.changes.is_empty();
                    let range = (revision, answer.position);
                    self.changes.apply(answer.changes, range, sent);
                    if has_changes {
                        let role = self.state.watch_role();
                        let pause = self.state.watch_pace().pause_after_changes(role);
                        tokio::time::sleep(pause).await;
                    }
                }
                // Reported when the listing is applied.
                Err(StoreError::OtherEra { era }) if era > position.era => return,
                Err(StoreError::HistoryCompacted) => {
                    info!(self.state.logger, "store dropped changes that are not known here, listing again";
                        "revision" => revision);
                    return;
                }
                Err(error) => {
                    if !is_store_lost {
                        warn!(self.state.logger, "store unreachable, last known state stays in use";
                            "error" => %error, "revision" => revision);
                        is_store_lost = true;
                    }
                    self.handle_failure(&error, sent).await;
                }
            }
        }
    }

    fn is_coordinator(&self) -> bool {
        let table = self.state.table.load();
        let holder = table.holder.as_ref();
        holder.is_some_and(|holder| holder.host == self.state.startup.host)
    }

    /// Writes this host's record to the store if it is missing or its address changed, and the fleet's peer keys if there are
    /// none: the known ones, or new ones.
    async fn register(&self) -> StoreResult<()> {
        let startup = &self.state.startup;
        let known = self.state.with_source(|source| {
            let known = source.hosts.get(&startup.host);
            let known = known.filter(|_| source.has_host_record(&startup.host));
            known.map(|known| known.address)
        });
        if known != Some(startup.peers) {
            let write = host_record(startup);
            self.store.transact(&[], &[write], &[]).await?;
        }
        if self.state.with_source(|source| source.has_peer_keys) {
            return Ok(());
        }
        let known = self.state.with_source(|source| source.peer_keys.clone());
        let text = known.unwrap_or_else(|| {
            let id = format!("k{:x}", rand::random::<u32>());
            KeyRing::generate_text(&id).into()
        });
        let key = Name::from(PEER_KEYS_KEY);
        let condition = StoreCondition {
            key: key.clone(),
            revision: 0,
        };
        let write = StoreWrite {
            key,
            value: text,
            lease: None,
        };
        // On a conflict another host was first. The watch delivers the keys in either case.
        let outcome = self.store.transact(&[condition], &[write], &[]).await?;
        let is_created = matches!(outcome, TransactionOutcome::Done { .. });
        info!(self.state.logger, "fleet has peer keys"; "created_here" => is_created);
        Ok(())
    }

    /// Counts a failed call that was sent at `sent`, notes the outage, and sleeps for a random pause that grows with the
    /// failures in a row.
    async fn handle_failure(&self, error: &StoreError, sent: MonotonicTime) {
        let state = &self.state;
        state.counters.store_failures.inc();
        let now = state.now();
        state.update(|source| {
            source.roster.record_failure(sent, now);
            false
        });
        slog::debug!(state.logger, "store call failed"; "error" => %error);
        let failed = self.failures.fetch_add(1, Ordering::Relaxed);
        let pause = Duration::from_millis(rand::rng().random_range(RETRY_PAUSE_MS));
        let pause = pause * 2_u32.pow((failed / FAILURES_PER_DOUBLING).min(MAX_PAUSE_DOUBLINGS));
        tokio::time::sleep(pause.min(state.watch_pace().longest_pause())).await;
    }

    /// Logs `message` with the known revision, number of backend servers and version of the configuration.
    fn log_known_state(&self, message: &str, position: StorePosition) {
        let table = self.state.table.load();
        let backends: usize = table.services.values().map(Vec::len).sum();
        let version = table.config.as_ref().map(|config| config.version);
        info!(self.state.logger, "{message}"; "revision" => position.revision, "backends" => backends,
            "config" => version);
    }
}
