use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_serving::LIVENESS_INTERVAL;
use zinniahinge_serving::WorkTime;
use zinniahinge_serving::learned_factor;
use zinniahinge_types::BackendTotal;
use zinniahinge_types::BackendUse;
use zinniahinge_types::BlockedParts;
use zinniahinge_types::FleetReply;
use zinniahinge_types::FleetReport;
use zinniahinge_types::FleetView;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PartReport;
use zinniahinge_types::RelayedOutage;

use crate::account_charge::notify_stand_in;
use crate::fleet_table::LeaseHolder;
use crate::host_state::HostState;
use crate::record_keys::host_record;
use crate::store_relay::StoreRelay;

/// Factor by which a host without traffic reports less often.
const IDLE_INTERVAL_FACTOR: u32 = 2;

/// Longest time between two reports of a host without traffic. After 0.9 s without a report, the coordinator assumes that
/// the host uses its own share of the rates.
const MAX_IDLE_INTERVAL: Duration = Duration::from_millis(800);

/// Age up to which a report repeats what a backend server said about its limit: two reports of a fleet of 400 hosts.
const MAX_LIMIT_AGE: Duration = Duration::from_millis(2400);

/// Time without an answer of a coordinator after which paces end. A coordinator ends them about as soon.
const MAX_PACE_AGE: Duration = Duration::from_secs(20);

/// Shortest report interval divided by the number of hosts in the fleet. Limits the coordinator to 333 reports a second.
pub(crate) const INTERVAL_PER_HOST: Duration = Duration::from_millis(3);

/// Reports this host's usage and load to the coordinator at intervals, and applies the fleet's state from the answers.
pub(crate) struct FleetReporter {
    pub(crate) state: Arc<HostState>,
    pub(crate) relay: StoreRelay,
    /// Shortest time between two reports; large fleets report less often.
    pub(crate) interval: Duration,
}

/// State of the reporter between two reports.
#[derive(Default)]
struct ReportSession {
    /// Fencing number of the coordinator that answered last; 0 before the first answer.
    fence: u64,
    /// True if the last report sent was not answered.
    is_unanswered: bool,
    /// Number of report intervals in a row without traffic.
    idle_rounds: u32,
    /// When the last report that was answered was sent.
    answered_at: MonotonicTime,
    /// When this host last wrote its record to the store.
    record_written_at: MonotonicTime,
    /// Load of all hosts together on each backend server, from the coordinator of this fencing number.
    totals: HashMap<Name, BackendTotal>,
    /// True if the coordinator's last answer named paces.
    has_paces: bool,
    /// Newest version of the totals, after which the coordinator sends changes.
    totals_version: u64,
}

impl FleetReporter {
    /// Reports until `token` is cancelled.
    pub(crate) async fn run(self, token: CancellationToken) {
        let mut session = ReportSession {
            // The store follower writes the record at the start.
            record_written_at: self.state.now(),
            ..ReportSession::default()
        };
        loop {
            let hosts = self.state.with_source(|source| source.hosts.len() as u32);
            let interval = self.interval.max(INTERVAL_PER_HOST * hosts);
            // The reports of other hosts are up to an interval old, and so is the answer that sums them up.
            let totals_age = interval * 2;
            let totals_age_ms = &self.state.totals_age_ms;
            totals_age_ms.store(totals_age.as_millis() as u64, Ordering::Relaxed);
            let pause = tokio::time::sleep(interval);
            if token.run_until_cancelled(pause).await.is_none() {
                return;
            }
            self.state.retries.accrue(interval);
            let holder = self.state.table.load().holder.clone();
            if let Some(holder) = holder {
                self.send_report(&holder, interval, &mut session).await;
            }
            self.refresh_host_record(&mut session).await;
            self.settle_limits(&mut session);
            self.gauge_work_times();
        }
    }

    /// Drops shares of runs that are gone and paces that no coordinator confirms, and counts the backend servers that get only
    /// so many requests a second.
    fn settle_limits(&self, session: &mut ReportSession) {
        let table = self.state.table.load();
        let now = self.state.now();
        if session.has_paces && now.since(session.answered_at) >= MAX_PACE_AGE {
            session.has_paces = false;
            table.set_paces(&[]);
        }
        let counters = &self.state.counters;
        let limited = table.count_loads(|load| load.limit_per_s().is_some());
        counters.limited_servers.set(limited as i64);
        let cold = table.count_loads(|load| load.cold_left(now).is_some());
        counters.cold_servers.set(cold as i64);
        let paced = table.count_loads(|load| load.pace().is_some());
        counters.paced_servers.set(paced as i64);
        let mut shares = self.state.limit_shares();
        self.state
            .with_source(|source| shares.retain(|run| source.load(run).is_some()));
    }

    /// Sets the gauges of how much the times of work differ between backend servers.
    fn gauge_work_times(&self) {
        let table = self.state.table.load();
        let now = self.state.now();
        let slots = table.services.values().flatten();
        let times: Vec<WorkTime> = slots.map(|slot| slot.load.work_time()).collect();
        let learned = times.iter().filter_map(WorkTime::learned);
        let stated = times.iter().filter_map(|time| time.stated(now));
        let counters = &self.state.counters;
        counters.learned_spread.set(spread_percent(learned));
        counters.stated_spread.set(spread_percent(stated));
    }

    /// Writes this host's record again after [`LIVENESS_INTERVAL`] without an answered report or a write, or without a write if
    /// the store lacks the record since it returned from a copy. The coordinator learns
    /// from it that this host is alive, and keeps this host's share of the accounts' rates reserved.
    async fn refresh_host_record(&self, session: &mut ReportSession) {
        let state = &self.state;
        let now = state.now();
        let is_missing = !state.eras.newest().is_first()
            && state.with_source(|source| !source.has_host_record(&state.startup.host));
        let last = if is_missing {
            session.record_written_at
        } else {
            session.answered_at.max(session.record_written_at)
        };
        if now.since(last) < LIVENESS_INTERVAL {
            return;
        }
        session.record_written_at = now;
        let write = host_record(&state.startup);
        match self.relay.store.transact(&[], &[write], &[]).await {
            Ok(_) => info!(
                state.logger,
                "host record written again, no coordinator answers or the store lacks it"
            ),
            Err(error) => {
                info!(state.logger, "host record not written"; "error" => %error);
            }
        }
    }

    /// Sends a report unless this host is idle and may skip it, and applies the answer. Without an answer, the reported
    /// usage goes back to the meter, and the stand-in learns that this host reaches no coordinator.
    async fn send_report(
        &self,
        holder: &LeaseHolder,
        interval: Duration,
        session: &mut ReportSession,
    ) {
        let state = &self.state;
        let is_idle = state.uses().is_empty()
            && state.counters.active.get() == 0
            && !state.parts().has_unreported_cut();
        session.idle_rounds = if is_idle { session.idle_rounds + 1 } else { 0 };
        let is_known = session.fence == holder.fence;
        if is_known
            && interval * IDLE_INTERVAL_FACTOR <= MAX_IDLE_INTERVAL
            && session.idle_rounds > IDLE_INTERVAL_FACTOR
            && !session.idle_rounds.is_multiple_of(IDLE_INTERVAL_FACTOR)
        {
            return;
        }
        let now = state.now();
        let report = self.build(holder, session, now);
        match state.link.report(holder, &report, state).await {
            Ok(FleetReply::View(view)) => {
                if session.fence != view.fence {
                    session.totals.clear();
                }
                session.fence = view.fence;
                session.answered_at = now;
                state.parts().record_answer(view.fence, now);
                state.silent_hosts().record_answer(&holder.host);
                if session.is_unanswered {
                    info!(state.logger, "coordinator answers again"; "host" => &*holder.host,
                        "fence" => holder.fence);
                    session.is_unanswered = false;
                }
                self.apply(*view, &report, session, now);
            }
            answer => {
                if let Ok(FleetReply::NotHolderInEra(era)) = answer {
                    state.eras.observe(era);
                }
                state.meter().return_unreported(report.accounts);
                state
                    .silent_hosts()
                    .record_silence(&holder.host, state.now());
                notify_stand_in(state).await;
                if !session.is_unanswered {
                    let error = answer.err().map(|error| error.to_string());
                    warn!(state.logger, "coordinator does not answer reports"; "host" => &*holder.host,
                        "fence" => holder.fence, "error" => error);
                    session.is_unanswered = true;
                }
            }
        }
    }

    /// Builds a report of the usage and load since the last one. A new coordinator also gets the account levels that its
    /// predecessor sent to this host.
    fn build(
        &self,
        holder: &LeaseHolder,
        session: &ReportSession,
        now: MonotonicTime,
    ) -> FleetReport {
        let state = &self.state;
        let is_new = session.fence != holder.fence;
        let (accounts, prior_levels) = {
            let mut meter = state.meter();
            let prior_levels = if is_new {
                meter.prior_levels(state.now())
            } else {
                Vec::new()
            };
            (meter.take_unreported(&holder.host), prior_levels)
        };
        // The coordinator that answered the last report knows of the older ones.
        let limit_age = if is_new || session.is_unanswered {
            Duration::MAX
        } else {
            MAX_LIMIT_AGE
        };
        let store_era = state.eras.newest();
        let position = state.with_source(|source| source.reported_position(store_era, now));
        let (engine_times, run_times) = state.timings().take();
        let table = state.table.load();
        let slots = table.services.values().flatten();
        let backends = slots.filter_map(|slot| {
            let (succeeded, failed) = slot.load.take_outcomes();
            let in_flight = slot.load.in_flight();
            let answers = slot.load.answers().take(slot.entry.born_ms);
            (in_flight + succeeded + failed > 0 || answers.is_some()).then(|| BackendUse {
                backend: slot.entry.id.clone(),
                in_flight,
                pending_tokens: slot.load.pending_tokens(),
                succeeded,
                failed,
                runs: slot.load.open_runs(),
                answers,
            })
        });
        FleetReport {
            host: state.startup.host.clone(),
            fence: session.fence,
            totals_version: session.totals_version,
            view_version: state.with_source(|source| source.view_version),
            store_revision: position.map(|position| position.revision),
            store_era,
            accounts,
            heard: prior_levels,
            backends: backends.collect(),
            models: state.uses().take(),
            engine_times,
            run_times,
            parts: PartReport {
                blocked_version: table.blocked.version,
                prior_blocked: (is_new && !table.blocked.parts.is_empty())
                    .then(|| BlockedParts::clone(&table.blocked)),
                ..state.parts().report(holder.fence, now)
            },
            leaving: table.leaving_unlisted(),
            limits: table.limit_notices(limit_age, now),
            cold: table.cold_notices(|load| load.own_cold_left(now)),
            paces: if is_new {
                table.pace_notices()
            } else {
                Vec::new()
            },
        }
    }

    /// Applies the answer to `report`, which was sent at `asked_at`.
    fn apply(
        &self,
        view: FleetView,
        report: &FleetReport,
        session: &mut ReportSession,
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
            store_era,
            store_outage,
            blocked,
            leaving,
            limits,
            cold,
            paces,
        } = view;
        state.eras.observe(store_era);
        let known_hosts = state.with_source(|source| source.hosts.len() as u32);
        state.set_hosts(hosts.max(known_hosts));
        {
            let mut meter = state.meter();
            meter.apply_levels(&accounts, asked_at);
            meter.resume_coordinator_calls();
        }
        session.totals_version = totals_version;
        let changed = backends.into_iter();
        let changed = changed.map(|total| (total.backend.clone(), total));
        session.totals.extend(changed);
        self.apply_totals(report, session);
        let now = state.now();
        state.update(|source| {
            let has_views = source.apply_views(engines, view_version, now);
            let has_blocked = blocked.is_some_and(|blocked| source.apply_blocked(blocked, now));
            has_views || has_blocked
        });
        state.mark_leaving(&leaving);
        state.record_limits(&limits, asked_at);
        state.record_cold(&cold);
        if session.has_paces || !paces.is_empty() {
            session.has_paces = !paces.is_empty();
            state.table.load().set_paces(&paces);
        }
        // A coordinator of an earlier version states no more than when a call last failed.
        let last_failure = store.as_ref().and_then(|reading| reading.outage_age_ms);
        let last_failure = last_failure.map(|age_ms| RelayedOutage {
            since_ms: age_ms,
            last_sent_ms: age_ms,
            until_ms: age_ms,
        });
        self.relay
            .apply_outage(store_outage.or(last_failure), asked_at);
        if let Some(reading) = store {
            self.relay.apply(reading, asked_at);
        }
    }

    /// Sets the load of other hosts on each backend server, for this host's choice between them: the totals less what this
    /// host reported.
    fn apply_totals(&self, report: &FleetReport, session: &mut ReportSession) {
        let own = report.backends.iter();
        let own: HashMap<&Name, &BackendUse> = own.map(|usage| (&usage.backend, usage)).collect();
        let table = self.state.table.load();
        let mut listed = HashSet::new();
        for slot in table.services.values().flatten() {
            let id = &slot.entry.id;
            listed.insert(id.clone());
            let Some(total) = session.totals.get(id) else {
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
            if let Some(factor) = learned_factor(total, slot.entry.born_ms) {
                slot.load.set_learned_factor(factor);
            }
        }
        session.totals.retain(|id, _| listed.contains(id));
    }
}

/// The largest factor in percent of the smallest; 0 without any.
fn spread_percent(factors: impl Iterator<Item = f64>) -> i64 {
    let ends = factors.fold(None, |ends: Option<(f64, f64)>, factor| {
        let (low, high) = ends.unwrap_or((factor, factor));
        Some((low.min(factor), high.max(factor)))
    });
    ends.map_or(0, |(low, high)| (high / low * 100.0).round() as i64)
}
