use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::Logger;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use zinniahinge_platform::FleetBounds;
use zinniahinge_platform::StartupSettings;
use zinniahinge_serving::AccountMeter;
use zinniahinge_serving::ConfigFreshness;
use zinniahinge_serving::MeterSettings;
use zinniahinge_serving::StandInMeter;
use zinniahinge_telemetry::BootClock;
use zinniahinge_transport::HttpPool;
use zinniahinge_types::FleetCharge;
use zinniahinge_types::FleetChargeReply;
use zinniahinge_types::MonotonicTime;

use crate::fleet_table::FleetTable;
use crate::host_counters::HostCounters;
use crate::model_uses::ModelUses;
use crate::peer_link::PeerLink;
use crate::retry_budgets::RetryBudgets;
use crate::table_source::TableSource;

/// Taken off the deadline of withdrawn keys: the way of a request to its backend server, and the second for which a
/// watch may miss changes while the store drops its history.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(1400);

/// State that all parts of the process share.
pub(crate) struct HostState {
    pub(crate) boot: StartupSettings,
    pub(crate) clock: BootClock,
    pub(crate) logger: Logger,
    pub(crate) counters: HostCounters,
    /// What requests look at.
    pub(crate) table: ArcSwap<FleetTable>,
    /// Raised with each new table.
    pub(crate) table_version: watch::Sender<u64>,
    pub(crate) source: Mutex<TableSource>,
    /// When the configuration was last known to be the newest.
    pub(crate) confirmed: ConfigFreshness,
    /// Connections to backend servers.
    pub(crate) pool: HttpPool,
    pub(crate) meter: Mutex<AccountMeter>,
    /// Admits requests of other hosts while no holder answers them.
    pub(crate) stand_in: Mutex<StandInMeter>,
    pub(crate) retries: RetryBudgets,
    pub(crate) uses: Mutex<ModelUses>,
    pub(crate) link: PeerLink,
    /// Cancelled by the signal of a planned stop.
    pub(crate) stopping: CancellationToken,
    /// Cancelled when answers end their connections, some time after that signal.
    pub(crate) closing: CancellationToken,
}

impl HostState {
    pub(crate) fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    pub(crate) fn meter(&self) -> MutexGuard<'_, AccountMeter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this host gave away in place of a holder, which it forgets.
    pub(crate) fn take_stand_in(&self) -> StandInMeter {
        let mut stand_in = self.stand_in.lock().unwrap_or_else(PoisonError::into_inner);
        let fresh = StandInMeter::new(meter_settings(&self.boot.bounds));
        std::mem::replace(&mut *stand_in, fresh)
    }

    /// Decides in place of a holder that doesn't answer.
    pub(crate) fn stand_in_charge(&self, request: &FleetCharge) -> FleetChargeReply {
        let hosts = self.with_source(|source| source.hosts.len() as u32);
        let table = self.table.load();
        let accounts = table.config.as_ref().map(|config| &config.accounts);
        let now = self.now();
        let mut stand_in = self.stand_in.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(account) = accounts.and_then(|accounts| accounts.get(&request.account)) else {
            stand_in.note_host(&request.host, hosts, now);
            return FleetChargeReply::Unknown;
        };
        let charged = stand_in.charge(&request.host, hosts, account, request.units, now);
        FleetChargeReply::StandIn {
            is_admitted: charged.is_ok(),
            again_in_ms: charged.err().unwrap_or_default().as_millis() as u64,
        }
    }

    pub(crate) fn uses(&self) -> MutexGuard<'_, ModelUses> {
        self.uses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what the host has heard and puts the new table in force if `change` returns true.
    pub(crate) fn update(&self, change: impl FnOnce(&mut TableSource) -> bool) {
        let mut source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        if change(&mut source) {
            // Stored under the lock, so that an older table never replaces a newer one.
            self.table.store(Arc::new(source.build(self.now())));
            self.table_version.send_modify(|version| *version += 1);
        }
    }

    /// Sets the number of hosts that share rates and budgets.
    pub(crate) fn set_hosts(&self, hosts: u32) {
        self.meter().set_hosts(hosts);
        self.retries.set_hosts(hosts);
    }

    /// Reads what the host has heard.
    pub(crate) fn with_source<T>(&self, read: impl FnOnce(&TableSource) -> T) -> T {
        read(&self.source.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// True if a withdrawn key would be known here.
    pub(crate) fn trusts_keys(&self) -> bool {
        match self.boot.bounds.revoke_deadline {
            None => true,
            Some(deadline) => {
                let limit = deadline.saturating_sub(CONFIRMATION_MARGIN);
                self.confirmed.is_fresh(self.now(), limit)
            }
        }
    }
}

/// What is tolerated beyond client accounts' rates.
pub(crate) fn meter_settings(bounds: &FleetBounds) -> MeterSettings {
    MeterSettings {
        window: bounds.quota_window,
        excess_share: bounds.quota_excess_share,
        excess_units: bounds.quota_excess_units,
    }
}
