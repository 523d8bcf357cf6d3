use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::Logger;
use slog::info;
use tokio::sync::watch;
use zinniahinge_platform::EngineClient;
use zinniahinge_platform::FleetBounds;
use zinniahinge_platform::StartupSettings;
use zinniahinge_serving::AccountMeter;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::ConfigFreshness;
use zinniahinge_serving::LimitShares;
use zinniahinge_serving::LimitStatement;
use zinniahinge_serving::MeterSettings;
use zinniahinge_serving::SendBar;
use zinniahinge_serving::SilentHosts;
use zinniahinge_serving::StandInMeter;
use zinniahinge_serving::StoreEraRecord;
use zinniahinge_serving::WatchPace;
use zinniahinge_serving::WatchRole;
use zinniahinge_telemetry::BootClock;
use zinniahinge_transport::HttpPool;
use zinniahinge_types::BackendRun;
use zinniahinge_types::ColdNotice;
use zinniahinge_types::FleetCharge;
use zinniahinge_types::FleetChargeReply;
use zinniahinge_types::HostId;
use zinniahinge_types::LimitNotice;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::engine_timings::EngineTimings;
use crate::fleet_table::FleetTable;
use crate::host_counters::HostCounters;
use crate::model_uses::ModelUses;
use crate::part_watch::PartWatch;
use crate::peer_link::PeerLink;
use crate::peer_link::REPORT_TIMEOUT;
use crate::retry_budgets::RetryBudgets;
use crate::stop_progress::StopProgress;
use crate::table_source::TableSource;

/// Subtracted from the deadline for revoked keys: covers the time that a request takes to reach its backend server, and the
/// second for which a watch may miss changes while the store drops its history.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(1400);

/// State that all tasks and request handlers of the process share.
pub(crate) struct HostState {
    pub(crate) startup: StartupSettings,
    pub(crate) clock: BootClock,
    pub(crate) logger: Logger,
    pub(crate) counters: HostCounters,
    /// Current snapshot that requests read.
    pub(crate) table: ArcSwap<FleetTable>,
    /// Incremented with each new table.
    pub(crate) table_version: watch::Sender<u64>,
    /// State from which the table is built; changed by [`Self::update`].
    pub(crate) source: Mutex<TableSource>,
    /// Time at which the known store state was last confirmed to be the newest.
    pub(crate) confirmed: ConfigFreshness,
    /// Newest era of the store, which the store and other hosts state.
    pub(crate) eras: Arc<StoreEraRecord>,
    /// Connection pool to backend servers.
    pub(crate) pool: HttpPool,
    /// Usage of client accounts on this host.
    pub(crate) meter: Mutex<AccountMeter>,
    /// Meter for charges that this host decides as the stand-in of a coordinator that doesn't answer.
    pub(crate) stand_in: Mutex<StandInMeter>,
    pub(crate) retries: RetryBudgets,
    /// This host's shares of the limits that backend servers name.
    pub(crate) limit_shares: Mutex<LimitShares>,
    /// Uses of models since the last report to the coordinator.
    pub(crate) uses: Mutex<ModelUses>,
    /// Times that engines took for requests since the last report to the coordinator.
    pub(crate) timings: Mutex<EngineTimings>,
    /// What requests showed about their prompt parts.
    pub(crate) parts: Mutex<PartWatch>,
    /// Age that the loads of other hosts may have, milliseconds.
    pub(crate) totals_age_ms: AtomicU64,
    /// Hosts that did not answer this one lately.
    pub(crate) silent_hosts: Mutex<SilentHosts>,
    /// Asks backend servers what they work on.
    pub(crate) engines: EngineClient,
    /// Client for messages to other hosts.
    pub(crate) link: PeerLink,
    pub(crate) stop: StopProgress,
}

impl HostState {
    pub(crate) fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Why no request may be sent to the server of an earlier choice now; `None` if one may.
    pub(crate) fn bar(&self, target: &BackendCandidate) -> Option<SendBar> {
        let evacuated = &self.table.load().evacuated;
        SendBar::find(&target.entry, &target.load, evacuated, self.now())
    }

    /// Data centres in `regions`.
    pub(crate) fn places_in(&self, regions: &[Name]) -> Vec<Name> {
        let places = self.startup.regions.iter();
        let places = places.filter(|(_, region)| regions.contains(region));
        places.map(|(place, _)| place.clone()).collect()
    }

    /// Locks the meter of client accounts.
    pub(crate) fn meter(&self) -> MutexGuard<'_, AccountMeter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the stand-in's grants and replaces them by an empty meter. Called when this host becomes the coordinator and
    /// counts them in its ledger.
    pub(crate) fn take_stand_in(&self) -> StandInMeter {
        let mut stand_in = self.stand_in.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = StandInMeter::new(meter_settings(&self.startup.bounds));
        std::mem::replace(&mut *stand_in, fresh)
    }

    /// Decides on a charge as the stand-in, for a host that gets no answer from the coordinator. `Unknown` if the account is
    /// not in the configuration in force; the asking host is counted all the same.
    pub(crate) fn stand_in_charge(&self, request: &FleetCharge) -> FleetChargeReply {
        let hosts = self.with_source(|source| source.hosts.len() as u32);
        let table = self.table.load();
        let accounts = table.config.as_ref().map(|config| &config.accounts);
        let now = self.now();
        let mut stand_in = self.stand_in.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(account) = accounts.and_then(|accounts| accounts.get(&request.account)) else {
            stand_in.record_host(&request.host, hosts, now);
            return FleetChargeReply::Unknown;
        };
        let charged = stand_in.charge(&request.host, hosts, account, request.units, now);
        FleetChargeReply::StandIn {
            is_admitted: charged.is_ok(),
            again_in_ms: charged.err().unwrap_or_default().as_millis() as u64,
        }
    }

    /// Locks this host's shares of limits.
    pub(crate) fn limit_shares(&self) -> MutexGuard<'_, LimitShares> {
        self.limit_shares
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the model uses.
    pub(crate) fn uses(&self) -> MutexGuard<'_, ModelUses> {
        self.uses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the measured times of engines.
    pub(crate) fn timings(&self) -> MutexGuard<'_, EngineTimings> {
        self.timings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what requests showed about their prompt parts.
    pub(crate) fn parts(&self) -> MutexGuard<'_, PartWatch> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the hosts that did not answer lately.
    pub(crate) fn silent_hosts(&self) -> MutexGuard<'_, SilentHosts> {
        self.silent_hosts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the hosts in the order in which they claim the coordinator lease and stand in for the coordinator, without
    /// those that did not answer lately.
    pub(crate) fn answering_candidates(&self) -> Vec<HostId> {
        let order = self.with_source(TableSource::candidate_order);
        self.silent_hosts().without_silent(order, self.now())
    }

    /// True if the coordinator did not answer this host lately, or there is none.
    pub(crate) fn misses_coordinator(&self) -> bool {
        let table = self.table.load();
        let holder = table.holder.as_ref();
        holder.is_none_or(|holder| {
            let silence = self.silent_hosts().silence(&holder.host, self.now());
            silence.is_some()
        })
    }

    /// What this host watches the store for.
    pub(crate) fn watch_role(&self) -> WatchRole {
        let holder = self.table.load().holder.clone();
        let holder = holder.as_ref().map(|holder| &*holder.host);
        let silence = holder.and_then(|holder| self.silent_hosts().silence(holder, self.now()));
        let candidates = if holder.is_none() || silence.is_some() {
            self.answering_candidates()
        } else {
            Vec::new()
        };
        WatchRole::new(&self.startup.host, holder, silence, &candidates)
    }

    /// How often this host watches the store.
    pub(crate) fn watch_pace(&self) -> WatchPace {
        let bounds = &self.startup.bounds;
        WatchPace {
            deadline: bounds
                .config_deadline
                .min(bounds.drain_deadline)
                .min(bounds.evacuation_deadline.unwrap_or(Duration::MAX)),
        }
    }

    /// Calls `change` with the table's source under its lock, and publishes a new table if it returns true.
    pub(crate) fn update(&self, change: impl FnOnce(&mut TableSource) -> bool) {
        let mut source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        if change(&mut source) {
            // Published under the lock, so that an older table never replaces a newer one.
            self.table.store(Arc::new(source.build(self.now())));
            self.table_version.send_modify(|version| *version += 1);
        }
    }

    /// Records runs of backend servers that other hosts say leave, and publishes a new table if this host did not know.
    pub(crate) fn mark_leaving(&self, runs: &[BackendRun]) {
        if runs.is_empty() {
            return;
        }
        let table = self.table.load();
        let slots = table.services.values().flatten();
        let named = slots.filter(|slot| {
            let mut runs = runs.iter();
            runs.any(|run| run.backend == slot.entry.id && run.born_ms == slot.entry.born_ms)
        });
        let new = named.filter(|slot| slot.load.mark_leaving());
        if new.count() > 0 {
            self.update(|_| true);
        }
    }

    /// Records limits that backend servers named to other hosts; the ages in `notices` count from `at`.
    pub(crate) fn record_limits(&self, notices: &[LimitNotice], at: MonotonicTime) {
        let changed = self.with_source(|source| {
            let changed = notices.iter().filter(|notice| {
                // The message may have been under way for that long; a limit must not end before it was lifted.
                let is_lifted = notice.limit_per_s.is_none();
                let slack = if is_lifted {
                    REPORT_TIMEOUT
                } else {
                    Duration::ZERO
                };
                let statement = LimitStatement {
                    limit_per_s: notice.limit_per_s,
                    at: at.before(notice.age + slack),
                };
                let load = source.load(&notice.run);
                load.is_some_and(|load| load.record_limit(statement))
            });
            changed.collect::<Vec<_>>()
        });
        for notice in &changed {
            info!(self.logger, "limit of a backend server learned from another host";
                "backend" => &*notice.run.backend, "limit_per_s" => notice.limit_per_s,
                "age_ms" => notice.age.as_millis() as u64);
        }
        if !changed.is_empty() {
            // The next plan takes the limit into account.
            self.update(|_| true);
        }
    }

    /// Records backend servers that other hosts found to be cold; the times in `notices` count from now.
    pub(crate) fn record_cold(&self, notices: &[ColdNotice]) {
        if notices.is_empty() {
            return;
        }
        let now = self.now();
        let changed = self.with_source(|source| {
            let mut changed = 0;
            for notice in notices {
                let load = source.load(&notice.run);
                let is_new = load.is_some_and(|load| load.presume_cold(now + notice.left, now));
                changed += usize::from(is_new);
            }
            changed
        });
        if changed > 0 {
            info!(self.logger, "backend servers are cold, as other hosts found"; "count" => changed);
            // The next plan takes it into account.
            self.update(|_| true);
        }
    }

    /// Records that the store answered a call that was sent at `sent`. To be called before the answer is applied.
    pub(crate) fn record_store_answer(&self, sent: MonotonicTime) {
        let now = self.now();
        self.update(|source| {
            source.roster.record_answer(sent, now);
            false
        });
    }

    /// Sets the number of hosts that share the accounts' rates and the retry budgets.
    pub(crate) fn set_hosts(&self, hosts: u32) {
        self.meter().set_hosts(hosts);
        self.retries.set_hosts(hosts);
    }

    /// Age that the loads of other hosts may have.
    pub(crate) fn totals_age(&self) -> Duration {
        Duration::from_millis(self.totals_age_ms.load(Ordering::Relaxed))
    }

    /// Calls `read` with the table's source under its lock.
    pub(crate) fn with_source<T>(&self, read: impl FnOnce(&TableSource) -> T) -> T {
        read(&self.source.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// True if the store's state was confirmed recently enough; unlike [`Self::has_fresh_keys`], also while readings of a store
    /// that returned from a copy prove nothing about keys.
    pub(crate) fn has_recent_reading(&self) -> bool {
        self.startup.bounds.revoke_deadline.is_none_or(|deadline| {
            let limit = deadline.saturating_sub(CONFIRMATION_MARGIN);
            let age = self.confirmed.age(self.now());
            age.is_some_and(|age| age < limit)
        })
    }

    /// True if the known configuration was confirmed recently enough to contain every key revocation older than the
    /// deadline. Always true if the platform sets no such deadline.
    pub(crate) fn has_fresh_keys(&self) -> bool {
        match self.startup.bounds.revoke_deadline {
            None => true,
            Some(deadline) => {
                let limit = deadline.saturating_sub(CONFIRMATION_MARGIN);
                self.confirmed.is_fresh(self.now(), limit)
            }
        }
    }
}

/// Returns the platform's tolerance for usage beyond the client accounts' rates.
pub(crate) fn meter_settings(bounds: &FleetBounds) -> MeterSettings {
    MeterSettings {
        window: bounds.quota_window,
        excess_share: bounds.quota_excess_share,
        excess_units: bounds.quota_excess_units,
    }
}
