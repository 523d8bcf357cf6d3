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
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::host_state::HostState;
use crate::record_keys::PEER_KEYS_KEY;
use crate::record_keys::host_record;
use crate::store_changes::StoreChanges;
use crate::store_relay::relayed_rest;

/// All keys: one watch carries the configuration, the backend servers and this system's own records, so that each
/// answer confirms all three.
const WATCHED_PREFIX: &str = "";

/// Pause after an answer with changes, so that changes that come together cost one call: part, in percent, of the time in
/// which a leaving backend server must get no more requests, and a configuration must be in force.
const BATCH_PERCENT: u32 = 45;

/// The same for the coordinating host, which passes the changes on.
const HOLDER_PAUSE: Duration = Duration::from_millis(150);

/// Time that a watch of the coordinating host waits. Its readings, twice as old at most, and the time between two
/// reports add up to the age of what the other hosts know.
const HOLDER_WAIT: Duration = Duration::from_millis(300);

/// Pauses after a failed call, drawn between these so that hosts don't call all at once.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 120..320;

/// Most doublings of the pause; it stays under [`StoreFollower::batch_pause`], too.
const MAX_DOUBLINGS: u32 = 4;

/// Failed calls in a row after which the pause doubles, and doubles again.
const RETRY_STEP: u32 = 2;

/// Follows the store and keeps the host's table up to date.
pub(crate) struct StoreFollower {
    pub(crate) state: Arc<HostState>,
    pub(crate) changes: StoreChanges,
    pub(crate) store: StoreClient,
    pub(crate) watch_wait: Duration,
    /// Calls that failed in a row.
    pub(crate) failures: AtomicU32,
}

impl StoreFollower {
    /// Runs until `token` is cancelled.
    pub(crate) async fn run(self, token: CancellationToken) {
        token.run_until_cancelled(self.follow()).await;
    }

    async fn follow(&self) {
        let mut is_registered = false;
        loop {
            if let Err(error) = self.list().await {
                self.fail(&error).await;
                continue;
            }
            if !is_registered {
                match self.register().await {
                    Ok(()) => is_registered = true,
                    Err(error) => {
                        self.fail(&error).await;
                        continue;
                    }
                }
            }
            self.watch().await;
        }
    }

    /// Reads everything.
    async fn list(&self) -> StoreResult<()> {
        let sent = self.state.now();
        let (items, revision) = self.store.range(WATCHED_PREFIX).await?;
        self.changes.apply_listing(items, revision, sent);
        self.log_belief("listed the store", revision);
        Ok(())
    }

    /// Follows changes until something may have been missed. Rests while the coordinating host passes its readings on.
    async fn watch(&self) {
        let mut is_down = false;
        loop {
            if let Some(rest) = relayed_rest(&self.state) {
                tokio::time::sleep(rest).await;
                continue;
            }
            let revision = self.state.with_source(|source| source.log.revision());
            let sent = self.state.now();
            let wait = if self.is_holder() {
                HOLDER_WAIT.min(self.watch_wait)
            } else {
                self.watch_wait
            };
            match self.store.watch(WATCHED_PREFIX, revision, wait).await {
                Ok(answer) => {
                    self.failures.store(0, Ordering::Relaxed);
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
                    let range = (revision, answer.revision);
                    self.changes.apply(answer.changes, range, sent);
                    if has_changes {
                        let pause = if self.is_holder() {
                            HOLDER_PAUSE
                        } else {
                            self.batch_pause()
                        };
                        tokio::time::sleep(pause).await;
                    }
                }
                Err(StoreError::HistoryCompacted) => {
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
        let bounds = &self.state.boot.bounds;
        bounds.config_deadline.min(bounds.drain_deadline) * BATCH_PERCENT / 100
    }

    fn is_holder(&self) -> bool {
        let table = self.state.table.load();
        let holder = table.holder.as_ref();
        holder.is_some_and(|holder| holder.host == self.state.boot.host)
    }

    // ---------------------------------------------------------------------------------------------

    /// Records this host's address, and the fleet's peer keys if there are none yet.
    async fn register(&self) -> StoreResult<()> {
        let boot = &self.state.boot;
        let known = self
            .state
            .with_source(|source| source.hosts.get(&boot.host).map(|known| known.address));
        if known != Some(boot.peers) {
            let write = host_record(boot);
            self.store.transact(&[], &[write], &[]).await?;
        }
        if self.state.with_source(|source| source.has_peer_keys) {
            return Ok(());
        }
        let text = KeyRing::generate_text(&format!("k{:x}", rand::random::<u32>()));
        let key = Name::from(PEER_KEYS_KEY);
        let condition = StoreCondition {
            key: key.clone(),
            revision: 0,
        };
        let write = StoreWrite {
            key,
            value: text.into(),
            lease: None,
        };
        // A conflict means that another host was first; the watch brings its keys, and this host's own if it won.
        let outcome = self.store.transact(&[condition], &[write], &[]).await?;
        let is_created = matches!(outcome, TransactionOutcome::Done { .. });
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
        let failed = self.failures.fetch_add(1, Ordering::Relaxed);
        let pause = Duration::from_millis(rand::rng().random_range(RETRY_PAUSE_MS));
        let pause = pause * 2_u32.pow((failed / RETRY_STEP).min(MAX_DOUBLINGS));
        tokio::time::sleep(pause.min(self.batch_pause())).await;
    }

    fn log_belief(&self, message: &str, revision: Revision) {
        let table = self.state.table.load();
        let backends: usize = table.services.values().map(Vec::len).sum();
        let version = table.config.as_ref().map(|config| config.version);
        info!(self.state.logger, "{message}"; "revision" => revision, "backends" => backends,
            "config" => version);
    }
}
