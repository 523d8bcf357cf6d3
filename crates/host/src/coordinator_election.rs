use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_platform::LeaseGrant;
use zinniahinge_platform::StartupSettings;
use zinniahinge_platform::StoreClient;
use zinniahinge_platform::StoreCondition;
use zinniahinge_platform::StoreError;
use zinniahinge_platform::StoreResult;
use zinniahinge_platform::StoreWrite;
use zinniahinge_platform::TransactionOutcome;
use zinniahinge_serving::CoordinatorTimes;
use zinniahinge_serving::HandoverWait;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;

use crate::coordinator::Coordinator;
use crate::coordinator::CoordinatorCell;
use crate::fleet_table::LeaseRecord;
use crate::fleet_table::TermRecord;
use crate::host_state::HostState;
use crate::record_keys::BLOCKED_PARTS_KEY;
use crate::record_keys::LEASE_KEY;
use crate::record_keys::TERM_KEY;
use crate::table_source::TableSource;

/// Time to live of the coordinator lease. A longer lease delays the successor of a failed coordinator; with a shorter one,
/// a slow store ends the term.
const LEASE_TIME: Duration = Duration::from_secs(2);

/// Allowance for the drift between two hosts' clocks during a lease and for the time an order spends on the network.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(150);

/// Time after sending an acknowledged renewal during which orders may be sent. Long enough for two renewals in a row to be
/// late or lost.
const ORDER_PERIOD: Duration = Duration::from_millis(1100);

/// Time between two lease renewals. A renewal costs a tenth of a store read.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Pause before a failed renewal is retried.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest time between two checks whether the lease is free, while another host holds it.
const VACANCY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Head start of the first host in the candidate order. It claims the lease at once; the others wait this long, so that
/// they can see its claim in the store first.
const FIRST_CANDIDATE_LEAD: Duration = Duration::from_millis(450);

/// The coordinator hands over to a host with at least this many times its power. A smaller gain is not worth the pause in
/// orders that a handover causes.
const HANDOVER_POWER_RATIO: f64 = 1.5;

/// A stronger host is a candidate for a handover only if its last report is younger than this.
const CANDIDATE_REPORT_MAX_AGE: Duration = Duration::from_millis(1500);

/// Additional delay before claiming the lease for each host that precedes this one in the candidate order.
const DELAY_PER_RANK: Duration = Duration::from_millis(40);

/// Upper bound on the sum of the delays per rank.
const MAX_RANK_DELAY: Duration = Duration::from_millis(1500);

/// Returns the lease and order times for this host; the lease is no shorter than the platform's shortest one.
pub(crate) fn lease_times(startup: &StartupSettings) -> CoordinatorTimes {
    CoordinatorTimes {
        lease: LEASE_TIME.max(startup.min_lease_ttl),
        margin: CLOCK_DRIFT_MARGIN,
        order_window: ORDER_PERIOD,
        handover_gap: startup.bounds.handover_gap,
    }
}

/// Leader election over a lease in the store: claims the coordinator lease when it is free, renews it, and hands it over to
/// a much stronger host.
pub(crate) struct CoordinatorElection {
    pub(crate) state: Arc<HostState>,
    pub(crate) store: StoreClient,
    pub(crate) cell: Arc<CoordinatorCell>,
}

impl CoordinatorElection {
    /// Runs until `token` is cancelled, then releases the lease if this host holds it.
    pub(crate) async fn run(self, token: CancellationToken) {
        let mut lease: Option<LeaseGrant> = None;
        // Hosts to which this one has handed over. One that did not claim the lease then is assumed to be dead and gets no
        // second offer.
        let mut offered = HashSet::new();
        token
            .run_until_cancelled(async {
                loop {
                    lease = self.wait_for_lease().await;
                    if let Some(held) = lease {
                        self.renew_until_lost(held, &mut offered).await;
                        lease = None;
                    }
                }
            })
            .await;
        match lease {
            Some(held) => self.release(held).await,
            None => self.cell.end_term(),
        }
    }

    /// Ends the term and releases the lease, after a pause that keeps the successor's first order clear of this host's last.
    async fn release(&self, held: LeaseGrant) {
        self.cell.end_term();
        // The successor relies on a lease time having passed since the last renewal, which an early release would cut short.
        tokio::time::sleep(lease_times(&self.state.startup).resign_pause()).await;
        let store = self.store.in_era(held.era);
        // After the store's return from a copy, the id may name the lease of another host. A renewal shows the era and extends a
        // lease at most.
        let is_same_era =
            held.era.is_first() || matches!(store.renew_lease(held.lease).await, Ok(true));
        if !is_same_era || self.store.newest_era() != held.era {
            return;
        }
        let ended = store.end_lease(held.lease).await;
        info!(self.state.logger, "coordinator lease released"; "answered" => ended.is_ok());
    }

    /// Returns a host that should coordinate instead of this one: much stronger, not yet offered the lease, and reporting
    /// to this host, which shows that it is alive and reachable.
    fn stronger_candidate(&self, offered: &HashSet<HostId>) -> Option<HostId> {
        let now = self.state.now();
        let least = f64::from(self.state.startup.power) * HANDOVER_POWER_RATIO;
        let order = self.state.with_source(|source| {
            let order = source.candidate_order().into_iter();
            let stronger = order.filter(|host| {
                let known = source.hosts.get(host);
                known.is_some_and(|known| f64::from(known.power) >= least)
            });
            stronger.collect::<Vec<_>>()
        });
        let reports = |host: &HostId| {
            let reports = self.cell.with(|coordinator| {
                let last_report = coordinator.ledger.last_report_at(host);
                last_report.is_some_and(|at| now.since(at) < CANDIDATE_REPORT_MAX_AGE)
            });
            reports.unwrap_or(false)
        };
        let mut order = order.into_iter();
        order.find(|host| !offered.contains(host) && reports(host))
    }

    /// Waits for a free lease and tries to claim it once; returns the store lease on success.
    async fn wait_for_lease(&self) -> Option<LeaseGrant> {
        let mut tables = self.state.table_version.subscribe();
        if self.claimable_position().is_none() {
            let _ = tokio::time::timeout(VACANCY_CHECK_INTERVAL, tables.changed()).await;
            return None;
        }
        let is_own_claim = self.state.table.load().holder.is_some();
        if !is_own_claim {
            let _ = tokio::time::timeout(self.claim_delay(), self.wait_until_claimed()).await;
        }
        let position = self.claimable_position()?;
        match self.acquire(position).await {
            Ok(lease) => lease,
            Err(error) => {
                warn!(self.state.logger, "coordinator lease not acquired"; "error" => %error);
                tokio::time::sleep(VACANCY_CHECK_INTERVAL).await;
                None
            }
        }
    }

    /// Time that this host waits before it claims a free lease, by its rank in the candidate order.
    fn claim_delay(&self) -> Duration {
        let own = &self.state.startup.host;
        let order = self.state.answering_candidates();
        let rank = order.iter().position(|host| host == own);
        match rank.unwrap_or(order.len()) {
            0 => Duration::ZERO,
            rank => FIRST_CANDIDATE_LEAD + (DELAY_PER_RANK * rank as u32).min(MAX_RANK_DELAY),
        }
    }

    /// Waits until another host holds the lease.
    async fn wait_until_claimed(&self) {
        let mut tables = self.state.table_version.subscribe();
        while self.claimable_position().is_some() {
            if tables.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Position of the lease record on which a claim by this host is conditional, with revision 0 if there is no record.
    /// `None` if this host must not claim the lease now. A record of an earlier process of this host, or of its term in an
    /// earlier era of the store, can be claimed, because that process or term has ended.
    fn claimable_position(&self) -> Option<StorePosition> {
        let state = &self.state;
        let table = state.table.load();
        let is_stopping = state.stop.started.is_cancelled();
        if table.config.is_none() || is_stopping || !state.has_recent_reading() {
            return None;
        }
        let era = state.with_source(TableSource::known_position)?.era;
        if era != self.store.newest_era() {
            return None;
        }
        let revision: Option<Revision> = match &table.holder {
            None => Some(0),
            Some(holder) => (holder.host == state.startup.host).then_some(holder.revision),
        };
        revision.map(|revision| StorePosition { era, revision })
    }

    /// Claims the lease in the store, provided that its record still has the revision of `known`, and starts a term. Returns
    /// the store lease, or `None` if another host was first or the lease expired meanwhile. Fails if the store is not in the era
    /// of `known` throughout, since the record names the era from which all hosts compute the fencing number.
    async fn acquire(&self, known: StorePosition) -> StoreResult<Option<LeaseGrant>> {
        let state = &self.state;
        let startup = &state.startup;
        let sent = state.now();
        let era = known.era;
        let store = self.store.in_era(era);
        let grant = store.grant_lease(lease_times(startup).lease).await?;
        let record = LeaseRecord {
            host: startup.host.clone(),
            address: startup.peers,
            nonce: rand::random(),
            era,
        };
        let last_term = state.with_source(|source| source.last_term.clone());
        let is_first = last_term.is_none() && startup.is_first_start;
        let prior = last_term.map(|last| last.to_prior(&startup.host));
        // A host that is new to an existing fleet may start just after the store's return.
        let has_era_risen = state.eras.has_risen() || !era.is_first() && !startup.is_first_start;
        let wait = HandoverWait::find(prior, era, has_era_risen);
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let lease_key = Name::from(LEASE_KEY);
        let condition = StoreCondition {
            key: lease_key.clone(),
            revision: known.revision,
        };
        let writes = [
            StoreWrite {
                key: lease_key,
                value: value.into(),
                lease: Some(grant.lease),
            },
            self.term_write(wait, era),
        ];
        let position = match store.transact(&[condition], &writes, &[]).await {
            Ok(TransactionOutcome::Done { position }) => position,
            Ok(TransactionOutcome::LeaseExpired) => return Ok(None),
            Ok(TransactionOutcome::Conflict { .. }) => {
                info!(
                    state.logger,
                    "coordinator lease not acquired, another host was first"
                );
                tokio::time::sleep(VACANCY_CHECK_INTERVAL).await;
                return Ok(None);
            }
            Err(error @ StoreError::OtherEra { .. }) => return Err(error),
            Err(error) => match self.read_own_claim(&record).await? {
                Some(position) => position,
                None => return Err(error),
            },
        };
        let fence = position.fence();
        let now = state.now();
        self.cell.start_term(
            Coordinator::new(state.clone(), position, is_first),
            position,
            sent,
            now,
            wait,
        );
        info!(state.logger, "coordinator lease acquired"; "fence" => fence, "lease" => grant.lease,
            "waits" => wait != HandoverWait::None);
        Ok(Some(grant))
    }

    /// Returns the write of the term record for this host, whose orders still have to wait as `wait` requires.
    fn term_write(&self, wait: HandoverWait, era: StoreEra) -> StoreWrite {
        let record = TermRecord {
            host: self.state.startup.host.clone(),
            is_settled: wait == HandoverWait::None,
            era,
            is_after_loss: wait == HandoverWait::LeaseLost,
        };
        StoreWrite {
            key: TERM_KEY.into(),
            value: serde_json::to_vec(&record).unwrap_or_default().into(),
            lease: None,
        }
    }

    /// Records in the store that this term may have sent orders, so that this host need not wait again after a restart.
    /// Returns true once the store has answered; after a failed call, the next renewal tries again.
    async fn record_settled_term(&self) -> bool {
        let state = &self.state;
        let Some(fence) = self.cell.order_fence(state.now()) else {
            return false;
        };
        let Some(claimed) = self.cell.with(|coordinator| coordinator.claim) else {
            return false;
        };
        let condition = StoreCondition {
            key: LEASE_KEY.into(),
            revision: claimed.revision,
        };
        let writes = [self.term_write(HandoverWait::None, claimed.era)];
        let store = self.store.in_era(claimed.era);
        match store.transact(&[condition], &writes, &[]).await {
            Ok(outcome) => {
                info!(state.logger, "term recorded as settled"; "fence" => fence,
                    "recorded" => matches!(outcome, TransactionOutcome::Done { .. }));
                true
            }
            Err(error) => {
                info!(state.logger, "term not recorded as settled yet"; "error" => %error);
                false
            }
        }
    }

    /// Writes the blocked prompt parts to the store if they have changed, so that they outlast all hosts. After a failed
    /// call, the next renewal tries again.
    async fn store_blocked_parts(&self) {
        let state = &self.state;
        let now = state.now();
        let unstored = self.cell.with(|coordinator| {
            let blocked = coordinator.parts.unstored(now)?;
            Some((coordinator.claim, blocked))
        });
        let Some(Some((claimed, blocked))) = unstored else {
            return;
        };
        let condition = StoreCondition {
            key: LEASE_KEY.into(),
            revision: claimed.revision,
        };
        let write = StoreWrite {
            key: BLOCKED_PARTS_KEY.into(),
            value: serde_json::to_vec(&blocked).unwrap_or_default().into(),
            lease: None,
        };
        let store = self.store.in_era(claimed.era);
        match store.transact(&[condition], &[write], &[]).await {
            Ok(outcome) => {
                let is_written = matches!(outcome, TransactionOutcome::Done { .. });
                info!(state.logger, "blocked prompt parts stored"; "version" => blocked.version,
                    "parts" => blocked.parts.len(), "written" => is_written);
                self.cell.with(|coordinator| {
                    if is_written {
                        coordinator.parts.record_stored(blocked.version);
                    }
                });
            }
            Err(error) => {
                info!(state.logger, "blocked prompt parts not stored yet"; "error" => %error);
            }
        }
    }

    /// Checks whether a claim without an answer succeeded all the same; returns its position if the store, still in the era of
    /// the claim, holds `record`.
    async fn read_own_claim(&self, record: &LeaseRecord) -> StoreResult<Option<StorePosition>> {
        let era = record.era;
        let item = self.store.in_era(era).get(LEASE_KEY).await?;
        let ours = item.filter(|item| {
            let stored = serde_json::from_slice::<LeaseRecord>(&item.value);
            stored.is_ok_and(|stored| stored == *record)
        });
        Ok(ours.map(|item| StorePosition {
            era,
            revision: item.revision,
        }))
    }

    /// Renews the lease until it has expired in the store or was released to a stronger host.
    async fn renew_until_lost(&self, held: LeaseGrant, offered: &mut HashSet<HostId>) {
        let lease = held.lease;
        let store = self.store.in_era(held.era);
        let mut pause = RENEW_INTERVAL;
        let mut is_expired = false;
        let mut is_settled = self.is_settled(held.era);
        loop {
            tokio::time::sleep(pause).await;
            if self.store.newest_era() != held.era {
                info!(self.state.logger, "coordinator term ended, the store returned from a copy"; "lease" => lease,
                    "era" => held.era.0);
                self.cell.end_term();
                return;
            }
            if !is_settled {
                is_settled = self.record_settled_term().await;
            }
            if let Some(stronger) = self.stronger_candidate(offered) {
                info!(self.state.logger, "coordinator lease released to a stronger host"; "to" => &*stronger,
                    "lease" => lease);
                offered.insert(stronger);
                self.release(held).await;
                return;
            }
            let sent = self.state.now();
            match store.renew_lease(lease).await {
                Ok(true) => {
                    self.state.record_store_answer(sent);
                    self.cell.renew(sent);
                    self.store_blocked_parts().await;
                    pause = RENEW_INTERVAL;
                    if is_expired {
                        info!(self.state.logger, "coordinator lease renewed after a lapse"; "lease" => lease);
                        is_expired = false;
                    }
                }
                Ok(false) => {
                    info!(self.state.logger, "coordinator lease lost, it expired in the store"; "lease" => lease);
                    self.cell.end_term();
                    return;
                }
                // Ends the term at the next check.
                Err(StoreError::OtherEra { era }) if era > held.era => pause = Duration::ZERO,
                Err(error) => {
                    self.state.update(|source| {
                        source.roster.record_failed_renewal(sent);
                        false
                    });
                    pause = RENEW_RETRY_PAUSE;
                    if !is_expired && self.is_expired(self.state.now()) {
                        warn!(self.state.logger, "coordinator term lapsed, no renewal was answered in time";
                            "error" => %error);
                        is_expired = true;
                    }
                }
            }
        }
    }

    /// True if the store's record of the last term shows that this host need not wait before it sends orders.
    fn is_settled(&self, era: StoreEra) -> bool {
        let state = &self.state;
        state.with_source(|source| {
            let term = source.last_term.as_ref();
            let prior = term.map(|term| term.to_prior(&state.startup.host));
            prior.is_some_and(|prior| prior.is_own && prior.is_settled && prior.era == era)
        })
    }

    /// True if the last acknowledged renewal is too old for the term to be valid.
    fn is_expired(&self, now: MonotonicTime) -> bool {
        self.cell.fence(now).is_none()
    }
}
