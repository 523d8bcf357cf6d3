use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_serving::SHOW_INTERVAL;
use zinniahinge_types::BackendTotal;
use zinniahinge_types::BackendUse;
use zinniahinge_types::FleetReply;
use zinniahinge_types::FleetReport;
use zinniahinge_types::FleetView;
use zinniahinge_types::MonotonicTime;

use crate::fleet_table::DutyHolder;
use crate::host_state::HostState;
use crate::record_keys::host_record;
use crate::store_relay::StoreRelay;
use crate::table_source::TableSource;

/// A host without traffic reports this many times less often.
const IDLE_FACTOR: u32 = 2;

/// Longest time between two reports of a host without traffic. The coordinating host counts on a host's own share after 0.9 s.
const MAX_IDLE_INTERVAL: Duration = Duration::from_millis(800);

/// Time between two reports for each host of the fleet: the coordinating host answers 500 reports a second at most.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(2);

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
        if now.since(last) < SHOW_INTERVAL {
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
        let report = self.build(memory.fence);
        match state.link.report(holder, &report, state).await {
            Ok(FleetReply::View(view)) => {
                memory.fence = view.fence;
                memory.answered_at = now;
                if memory.is_lost {
                    info!(state.logger, "coordinating host regained"; "host" => &*holder.host,
                        "fence" => holder.fence);
                    memory.is_lost = false;
                }
                self.apply(view, now);
            }
            answer => {
                state.meter().return_unreported(report.accounts);
                if !memory.is_lost {
                    let error = answer.err().map(|error| error.to_string());
                    warn!(state.logger, "coordinating host does not answer"; "host" => &*holder.host,
                        "fence" => holder.fence, "error" => error);
                    memory.is_lost = true;
                }
            }
        }
    }

    fn build(&self, fence: u64) -> FleetReport {
        let state = &self.state;
        let accounts = state.meter().take_unreported();
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
            fence,
            view_version: state.with_source(|source| source.view_version),
            store_revision: state.with_source(TableSource::known_revision),
            accounts,
            backends: backends.collect(),
            models: state.uses().take(),
        }
    }

    fn apply(&self, view: FleetView, asked_at: MonotonicTime) {
        let state = &self.state;
        let FleetView {
            fence: _,
            hosts,
            accounts,
            backends,
            view_version,
            engines,
            store,
        } = view;
        let known_hosts = state.with_source(|source| source.hosts.len() as u32);
        state.set_hosts(hosts.max(known_hosts));
        state.meter().apply_levels(&accounts, asked_at);
        for slot in state.table.load().services.values().flatten() {
            let total = backends.iter().find(|total| total.backend == slot.entry.id);
            match total {
                Some(total) => {
                    let BackendTotal {
                        in_flight,
                        pending_tokens,
                        is_suspect,
                        ..
                    } = *total;
                    slot.load.set_others(in_flight, pending_tokens, is_suspect);
                }
                None => slot.load.set_others(0, 0, false),
            }
        }
        let now = state.now();
        state.update(|source| source.apply_views(engines, view_version, now));
        if let Some(reading) = store {
            self.relay.apply(reading, asked_at);
        }
    }
}
