use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_platform::StartupSettings;
use zinniahinge_platform::StoreClient;
use zinniahinge_platform::StoreCondition;
use zinniahinge_platform::StoreResult;
use zinniahinge_platform::StoreWrite;
use zinniahinge_platform::TransactionOutcome;
use zinniahinge_serving::CoordinatorTimes;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::coordinator::Coordinator;
use crate::coordinator::CoordinatorCell;
use crate::fleet_table::DutyRecord;
use crate::fleet_table::TermRecord;
use crate::host_state::HostState;
use crate::record_keys::DUTY_KEY;
use crate::record_keys::TERM_KEY;
use crate::table_source::TableSource;

/// Lease of the duty. Longer means a later successor, shorter that a slow store ends it.
const LEASE_TIME: Duration = Duration::from_secs(2);

/// Drift of two clocks over a lease and the way of an order.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// Time for which orders may be given after a renewal was sent: two renewals may be late or lost.
const ORDER_TIME: Duration = Duration::from_millis(1100);

/// Time between two renewals. They cost a tenth of a read.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Pause before the next try of a renewal that failed.
const RENEW_RETRY: Duration = Duration::from_millis(150);

/// How often the duty is looked at while another host has it.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// The first host in the order of names tries to get the duty at once; the others give it this time to be seen.
const CANDIDATE_DELAY: Duration = Duration::from_millis(450);

/// A holder gives the duty up for a host that is this many times as strong. Less is not worth the pause in orders.
const MUCH_STRONGER: f64 = 1.5;

/// Age of such a host's last report, at most.
const STRONGER_HEARD: Duration = Duration::from_millis(1500);

/// Time between the tries of two hosts.
const RANK_DELAY: Duration = Duration::from_millis(40);

/// Longest time that a host waits for those before it.
const MAX_RANK_DELAY: Duration = Duration::from_millis(1500);

/// Times of the duty on this platform.
pub(crate) fn duty_times(boot: &StartupSettings) -> CoordinatorTimes {
    CoordinatorTimes {
        lease: LEASE_TIME.max(boot.min_lease_ttl),
        margin: LEASE_MARGIN,
        order_window: ORDER_TIME,
        handover_gap: boot.bounds.min_order_gap,
    }
}

/// Gets the duty to coordinate when nobody has it, and keeps it.
pub(crate) struct DutyKeeper {
    pub(crate) state: Arc<HostState>,
    pub(crate) store: StoreClient,
    pub(crate) cell: Arc<CoordinatorCell>,
}

impl DutyKeeper {
    /// Runs until `token` is cancelled, then gives the duty up.
    pub(crate) async fn run(self, token: CancellationToken) {
        let mut lease = None;
        // Hosts that this one has made room for. One that didn't take the duty doesn't live any more.
        let mut yielded = HashSet::new();
        token
            .run_until_cancelled(async {
                loop {
                    lease = self.wait_for_duty().await;
                    if let Some(held) = lease {
                        self.hold(held, &mut yielded).await;
                        lease = None;
                    }
                }
            })
            .await;
        match lease {
            Some(held) => self.resign(held).await,
            None => self.cell.end_term(),
        }
    }

    async fn resign(&self, lease: u64) {
        self.cell.end_term();
        // A successor counts on the time that a lease takes to lapse.
        tokio::time::sleep(duty_times(&self.state.boot).resign_pause()).await;
        let ended = self.store.end_lease(lease).await;
        info!(self.state.logger, "duty given up"; "answered" => ended.is_ok());
    }

    /// A host that should coordinate instead of this one: it reports to this one, so it lives and is reached.
    fn much_stronger(&self, yielded: &HashSet<HostId>) -> Option<HostId> {
        let now = self.state.now();
        let least = f64::from(self.state.boot.power) * MUCH_STRONGER;
        let order = self.state.with_source(|source| {
            let order = source.duty_order().into_iter();
            let stronger = order.filter(|host| {
                let known = source.hosts.get(host);
                known.is_some_and(|known| f64::from(known.power) >= least)
            });
            stronger.collect::<Vec<_>>()
        });
        let reports = |host: &HostId| {
            let reports = self.cell.with(|coordinator| {
                let heard = coordinator.ledger.last_report_at(host);
                heard.is_some_and(|at| now.since(at) < STRONGER_HEARD)
            });
            reports.unwrap_or(false)
        };
        let mut order = order.into_iter();
        order.find(|host| !yielded.contains(host) && reports(host))
    }

    /// Waits until nobody has the duty and tries to get it; the lease if that succeeded.
    async fn wait_for_duty(&self) -> Option<u64> {
        let mut tables = self.state.table_version.subscribe();
        if self.vacancy().is_none() {
            let _ = tokio::time::timeout(IDLE_CHECK, tables.changed()).await;
            return None;
        }
        let is_own = self.state.table.load().holder.is_some();
        if !is_own {
            let _ = tokio::time::timeout(self.delay(), self.until_taken()).await;
        }
        let revision = self.vacancy()?;
        match self.acquire(revision).await {
            Ok(lease) => lease,
            Err(error) => {
                warn!(self.state.logger, "duty not acquired"; "error" => %error);
                tokio::time::sleep(IDLE_CHECK).await;
                None
            }
        }
    }

    /// How long this host leaves the others the first try.
    fn delay(&self) -> Duration {
        let own = &self.state.boot.host;
        let order = self.state.with_source(TableSource::duty_order);
        let rank = order.iter().position(|host| host == own);
        match rank.unwrap_or(order.len()) {
            0 => Duration::ZERO,
            rank => CANDIDATE_DELAY + (RANK_DELAY * rank as u32).min(MAX_RANK_DELAY),
        }
    }

    /// Waits until another host has the duty.
    async fn until_taken(&self) {
        let mut tables = self.state.table_version.subscribe();
        while self.vacancy().is_some() {
            if tables.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Revision that the record of the duty has if this host may try to get it: 0 if there is none. The record of an
    /// earlier process of this host counts as none, because that process has ended.
    fn vacancy(&self) -> Option<Revision> {
        let state = &self.state;
        let table = state.table.load();
        let is_stopping = state.stopping.is_cancelled();
        if table.config.is_none() || is_stopping || !state.trusts_keys() {
            return None;
        }
        match &table.holder {
            None => Some(0),
            Some(holder) => (holder.host == state.boot.host).then_some(holder.fence),
        }
    }

    async fn acquire(&self, revision: Revision) -> StoreResult<Option<u64>> {
        let state = &self.state;
        let boot = &state.boot;
        let sent = state.now();
        let grant = self.store.grant_lease(duty_times(boot).lease).await?;
        let record = DutyRecord {
            host: boot.host.clone(),
            address: boot.peers,
            nonce: rand::random(),
        };
        let last_term = state.with_source(|source| source.last_term.clone());
        let is_first = last_term.is_none() && boot.is_first_start;
        let had_predecessor = last_term.is_some_and(|last| last.makes_wait(&boot.host));
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let duty = Name::from(DUTY_KEY);
        let condition = StoreCondition {
            key: duty.clone(),
            revision,
        };
        let writes = [
            StoreWrite {
                key: duty,
                value: value.into(),
                lease: Some(grant.lease),
            },
            self.term_write(!had_predecessor),
        ];
        let fence = match self.store.transact(&[condition], &writes, &[]).await {
            Ok(TransactionOutcome::Done { revision }) => revision,
            Ok(TransactionOutcome::LeaseExpired) => return Ok(None),
            Ok(TransactionOutcome::Conflict { .. }) => {
                info!(state.logger, "duty not acquired, another host was first");
                tokio::time::sleep(IDLE_CHECK).await;
                return Ok(None);
            }
            Err(error) => match self.read_back(&record).await? {
                Some(fence) => fence,
                None => return Err(error),
            },
        };
        let now = state.now();
        self.cell.start_term(
            Coordinator::new(state.clone(), fence, is_first),
            fence,
            sent,
            now,
            had_predecessor,
        );
        info!(state.logger, "duty acquired"; "fence" => fence, "lease" => grant.lease,
            "waits" => had_predecessor);
        Ok(Some(grant.lease))
    }

    fn term_write(&self, is_settled: bool) -> StoreWrite {
        let record = TermRecord {
            host: self.state.boot.host.clone(),
            is_settled,
        };
        StoreWrite {
            key: TERM_KEY.into(),
            value: serde_json::to_vec(&record).unwrap_or_default().into(),
            lease: None,
        }
    }

    /// Records that this term may have given orders, so that this host need not wait again if it starts anew. Returns
    /// true once that is recorded; a failed call is made again at the next renewal.
    async fn settle_term(&self) -> bool {
        let state = &self.state;
        let Some(fence) = self.cell.order_fence(state.now()) else {
            return false;
        };
        let condition = StoreCondition {
            key: DUTY_KEY.into(),
            revision: fence,
        };
        let writes = [self.term_write(true)];
        match self.store.transact(&[condition], &writes, &[]).await {
            Ok(outcome) => {
                info!(state.logger, "term settled"; "fence" => fence,
                    "recorded" => matches!(outcome, TransactionOutcome::Done { .. }));
                true
            }
            Err(error) => {
                info!(state.logger, "term not settled yet"; "error" => %error);
                false
            }
        }
    }

    /// Fencing number if the record is in the store: the answer to its write was lost.
    async fn read_back(&self, record: &DutyRecord) -> StoreResult<Option<u64>> {
        let item = self.store.get(DUTY_KEY).await?;
        let ours = item.filter(|item| {
            let stored = serde_json::from_slice::<DutyRecord>(&item.value);
            stored.is_ok_and(|stored| stored == *record)
        });
        Ok(ours.map(|item| item.revision))
    }

    /// Renews until the lease has ended.
    async fn hold(&self, lease: u64, yielded: &mut HashSet<HostId>) {
        let mut pause = RENEW_INTERVAL;
        let mut is_lapsed = false;
        let mut is_settled = self.is_settled();
        loop {
            tokio::time::sleep(pause).await;
            if !is_settled {
                is_settled = self.settle_term().await;
            }
            if let Some(stronger) = self.much_stronger(yielded) {
                info!(self.state.logger, "duty given up for a stronger host"; "to" => &*stronger,
                    "lease" => lease);
                yielded.insert(stronger);
                self.resign(lease).await;
                return;
            }
            let sent = self.state.now();
            match self.store.renew_lease(lease).await {
                Ok(true) => {
                    self.cell.renew(sent);
                    pause = RENEW_INTERVAL;
                    if is_lapsed {
                        info!(self.state.logger, "duty valid again"; "lease" => lease);
                        is_lapsed = false;
                    }
                }
                Ok(false) => {
                    info!(self.state.logger, "duty lost, its lease has ended"; "lease" => lease);
                    self.cell.end_term();
                    return;
                }
                Err(error) => {
                    pause = RENEW_RETRY;
                    if !is_lapsed && self.is_lapsed(self.state.now()) {
                        warn!(self.state.logger, "duty lapsed, no renewal was answered"; "error" => %error);
                        is_lapsed = true;
                    }
                }
            }
        }
    }

    /// True if the store's record of the last term says that this host need not wait.
    fn is_settled(&self) -> bool {
        let state = &self.state;
        state.with_source(|source| {
            let term = source.last_term.as_ref();
            term.is_some_and(|term| !term.makes_wait(&state.boot.host))
        })
    }

    fn is_lapsed(&self, now: MonotonicTime) -> bool {
        self.cell.fence(now).is_none()
    }
}
