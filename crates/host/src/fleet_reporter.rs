use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_serving::LIVENESS_INTERVAL;
use zinniahinge_types::BackendTotal;
use zinniahinge_types::BackendUse;
use zinniahinge_types::FleetReply;
use zinniahinge_types::FleetReport;
use zinniahinge_types::FleetView;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::account_charge::notify_stand_in;
use crate::fleet_table::DutyHolder;
use crate::host_state::HostState;
use crate::record_keys::host_record;
use crate::store_relay::StoreRelay;
use crate::table_source::TableSource;

/// A host without traffic reports this many times less often.
const IDLE_FACTOR: u32 = 2;

/// Longest time between two reports of a host without traffic. The coordinating host counts on a host's own share after 0.9 s.
const MAX_IDLE_INTERVAL: Duration = Duration::from_millis(800);

/// Time between two reports for each host of the fleet: the coordinating host answers 333 reports a second at most.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(3);

/// Tells the coordinating host what this one does, and takes in what the fleet does.
pub(crate) struct FleetReporter {
    pub(crate) state: Arc<HostState>,
    pub(crate) relay: StoreRelay,
    /// Shortest time between two reports.
    pub(crate) interval: Duration,
}

/// What the reporter remembers between two reports.
#[derive(Default)]
struct ReportMemory {
    /// Fencing number of the holder that answered last.
    fence: u64,
    is_lost: bool,
    idle_rounds: u32,
    /// When a report was sent that a holder answered.
    answered_at: MonotonicTime,
    /// When this host last wrote its record again.
    shown_at: MonotonicTime,
    /// What all hosts have on backend servers, under the fencing number.
    totals: HashMap<Name, BackendTotal>,
    /// Version of those totals.
    totals_version: u64,
}

impl FleetReporter {
    /// Runs until `token` is cancelled.
    pub(crate) async fn run(self, token: CancellationToken) {
        let mut memory = ReportMemory {
            // The record was written at the start.
            shown_at: self.state.now(),
            ..ReportMemory::default()
        };
        loop {
            let hosts = self.state.with_source(|source| source.hosts.len() as u32);
            let interval = self.interval.max(INTERVAL_PER_HOST * hosts);
            let pause = tokio::time::sleep(interval);
            if token.run_until_cancelled(pause).await.is_none() {
                return;
            }
            self.state.retries.accrue(interval);
            let holder = self.state.table.load().holder.clone();
            if let Some(holder) = holder {
                self.round(&holder, interval, &mut memory).await;
            }
            self.show_alive(&mut memory).await;
        }
    }

    /// Writes this host's record again while it reaches no holder for long, so that the holder keeps this host's share of
    /// the accounts' rates for it.
    async fn show_alive(&self, memory: &mut ReportMemory) {
        let state = &self.state;
        let now = state.now();
        let last = memory.answered_at.max(memory.shown_at);
        if now.since(last) < LIVENESS_INTERVAL {
            return;
        }
        memory.shown_at = now;
        let write = host_record(&state.boot);
        match self.relay.store.transact(&[], &[write], &[]).await {
            Ok(_) => info!(
                state.logger,
                "host record written again, no coordinating host answers"
            ),
            Err(error) => {
                info!(state.logger, "host record not written"; "error" => %error);
            }
        }
    }

    async fn round(&self, holder: &DutyHolder, interval: Duration, memory: &mut ReportMemory) {
        let state = &self.state;
        let is_idle = state.uses().is_empty() && state.counters.active.get() == 0;
        memory.idle_rounds = if is_idle { memory.idle_rounds + 1 } else { 0 };
        let is_known = memory.fence == holder.fence;
        if is_known
            && interval * IDLE_FACTOR <= MAX_IDLE_INTERVAL
            && memory.idle_rounds > IDLE_FACTOR
            && !memory.idle_rounds.is_multiple_of(IDLE_FACTOR)
        {
            return;
        }
        let now = state.now();
        let report = self.build(holder, memory);
        match state.link.report(holder, &report, state).await {
            Ok(FleetReply::View(view)) => {
                if memory.fence != view.fence {
                    memory.totals.clear();
                }
                memory.fence = view.fence;
                memory.answered_at = now;
                if memory.is_lost {
                    info!(state.logger, "coordinating host regained"; "host" => &*holder.host,
                        "fence" => holder.fence);
                    memory.is_lost = false;
                }
                self.apply(view, &report, memory, now);
            }
            answer => {
                state.meter().return_unreported(report.accounts);
                notify_stand_in(state).await;
                if !memory.is_lost {
                    let error = answer.err().map(|error| error.to_string());
                    warn!(state.logger, "coordinating host does not answer"; "host" => &*holder.host,
                        "fence" => holder.fence, "error" => error);
                    memory.is_lost = true;
                }
            }
        }
    }

    fn build(&self, holder: &DutyHolder, memory: &ReportMemory) -> FleetReport {
        let state = &self.state;
        let is_new = memory.fence != holder.fence;
        let (accounts, heard) = {
            let mut meter = state.meter();
            let heard = if is_new {
                meter.prior_levels(state.now())
            } else {
                Vec::new()
            };
            (meter.take_unreported(&holder.host), heard)
        };
        let table = state.table.load();
        let slots = table.services.values().flatten();
        let backends = slots.filter_map(|slot| {
            let (succeeded, failed) = slot.load.take_outcomes();
            let in_flight = slot.load.in_flight();
            (in_flight + succeeded + failed > 0).then(|| BackendUse {
                backend: slot.entry.id.clone(),
                in_flight,
                pending_tokens: slot.load.pending_tokens(),
                succeeded,
                failed,
            })
        });
        FleetReport {
            host: state.boot.host.clone(),
            fence: memory.fence,
            totals_version: memory.totals_version,
            view_version: state.with_source(|source| source.view_version),
            store_revision: state.with_source(TableSource::known_revision),
            accounts,
            heard,
            backends: backends.collect(),
            models: state.uses().take(),
        }
    }

    fn apply(
        &self,
        view: FleetView,
        report: &FleetReport,
        memory: &mut ReportMemory,
        asked_at: MonotonicTime,
    ) {
        let state = &self.state;
        let FleetView {
            fence: _,
            hosts,
            accounts,
            backends,
            totals_version,
            view_version,
            engines,
            store,
        } = view;
        let known_hosts = state.with_source(|source| source.hosts.len() as u32);
        state.set_hosts(hosts.max(known_hosts));
        {
            let mut meter = state.meter();
            meter.apply_levels(&accounts, asked_at);
            meter.resume_coordinator_calls();
        }
        memory.totals_version = totals_version;
        let changed = backends.into_iter();
        let changed = changed.map(|total| (total.backend.clone(), total));
        memory.totals.extend(changed);
        self.apply_totals(report, memory);
        let now = state.now();
        state.update(|source| source.apply_views(engines, view_version, now));
        if let Some(reading) = store {
            self.relay.apply(reading, asked_at);
        }
    }

    /// Tells this host's choice of servers what the other hosts have on them: the totals less what this host reported.
    fn apply_totals(&self, report: &FleetReport, memory: &mut ReportMemory) {
        let own = report.backends.iter();
        let own: HashMap<&Name, &BackendUse> = own.map(|usage| (&usage.backend, usage)).collect();
        let table = self.state.table.load();
        let mut listed = HashSet::new();
        for slot in table.services.values().flatten() {
            let id = &slot.entry.id;
            listed.insert(id.clone());
            let Some(total) = memory.totals.get(id) else {
                slot.load.set_others(0, 0, false);
                continue;
            };
            let own = own.get(id);
            let (own_requests, own_tokens) =
                own.map_or((0, 0), |own| (own.in_flight, own.pending_tokens));
            slot.load.set_others(
                total.in_flight.saturating_sub(own_requests),
                total.pending_tokens.saturating_sub(own_tokens),
                total.is_suspect,
            );
        }
        memory.totals.retain(|id, _| listed.contains(id));
    }
}
