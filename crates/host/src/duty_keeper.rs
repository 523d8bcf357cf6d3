use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_platform::Condition;
use zinniahinge_platform::StoreClient;
use zinniahinge_platform::StoreResult;
use zinniahinge_platform::TransactOutcome;
use zinniahinge_platform::Write;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::coordinator::Coordinator;
use crate::coordinator::CoordinatorCell;
use crate::fleet_table::DutyRecord;
use crate::host_state::HostState;
use crate::record_keys::DUTY_KEY;
use crate::record_keys::TERM_KEY;

/// Renewals in one lease time. Two may be lost.
const RENEWALS_PER_LEASE: u32 = 4;

/// Pause before the next try of a renewal that failed.
const RENEW_RETRY: Duration = Duration::from_millis(200);

/// How often the duty is looked at while another host has it.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// A host waits for a time drawn from this before it tries to get the duty, so that one of them is first.
const CANDIDATE_DELAY_MS: std::ops::Range<u64> = 0..250;

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
        token
            .run_until_cancelled(async {
                loop {
                    lease = self.wait_for_duty().await;
                    if let Some(held) = lease {
                        self.hold(held).await;
                        lease = None;
                    }
                }
            })
            .await;
        self.cell.end_term();
        if let Some(held) = lease {
            let ended = self.store.end_lease(held).await;
            info!(self.state.logger, "duty given up"; "answered" => ended.is_ok());
        }
    }

    /// Waits until nobody has the duty and tries to get it; the lease if that succeeded.
    async fn wait_for_duty(&self) -> Option<u64> {
        let mut tables = self.state.table_version.subscribe();
        let table = self.state.table.load_full();
        if table.config.is_none() || table.holder.is_some() || !self.state.trusts_keys() {
            let _ = tokio::time::timeout(IDLE_CHECK, tables.changed()).await;
            return None;
        }
        let delay = rand::rng().random_range(CANDIDATE_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        let is_free = self.state.table.load().holder.is_none();
        if !is_free || self.state.is_stopping.load(Ordering::Acquire) {
            return None;
        }
        match self.acquire().await {
            Ok(lease) => lease,
            Err(error) => {
                warn!(self.state.logger, "duty not acquired"; "error" => %error);
                tokio::time::sleep(IDLE_CHECK).await;
                None
            }
        }
    }

    async fn acquire(&self) -> StoreResult<Option<u64>> {
        let state = &self.state;
        let boot = &state.boot;
        let sent = state.now();
        let grant = self.store.grant_lease(boot.lease_time).await?;
        let record = DutyRecord {
            host: boot.host.clone(),
            address: boot.peers,
            nonce: rand::random(),
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let duty = Name::from(DUTY_KEY);
        let condition = Condition {
            key: duty.clone(),
            revision: 0,
        };
        let writes = [
            Write {
                key: duty,
                value: value.clone().into(),
                lease: Some(grant.lease),
            },
            Write {
                key: TERM_KEY.into(),
                value: value.into(),
                lease: None,
            },
        ];
        let last_holder = state.with_source(|source| source.last_holder.clone());
        let fence = match self.store.transact(&[condition], &writes, &[]).await {
            Ok(TransactOutcome::Done { revision }) => revision,
            Ok(outcome) => {
                info!(state.logger, "duty not acquired"; "outcome" => ?outcome);
                return Ok(None);
            }
            Err(error) => match self.read_back(&record).await? {
                Some(fence) => fence,
                None => return Err(error),
            },
        };
        let had_predecessor = last_holder.is_some_and(|last| last != boot.host);
        let now = state.now();
        self.cell.start_term(
            Coordinator::new(state.clone(), fence),
            fence,
            sent,
            now,
            had_predecessor,
        );
        info!(state.logger, "duty acquired"; "fence" => fence, "lease" => grant.lease,
            "waits" => had_predecessor);
        Ok(Some(grant.lease))
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
    async fn hold(&self, lease: u64) {
        let interval = self.state.boot.lease_time / RENEWALS_PER_LEASE;
        let mut pause = interval;
        let mut is_lapsed = false;
        loop {
            tokio::time::sleep(pause).await;
            let sent = self.state.now();
            match self.store.keep_lease(lease).await {
                Ok(true) => {
                    self.cell.renew(sent);
                    pause = interval;
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

    fn is_lapsed(&self, now: MonotonicTime) -> bool {
        self.cell.fence(now).is_none()
    }
}
