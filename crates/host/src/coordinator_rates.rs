//! Which backend servers get only so many requests a second of all hosts together, and when hosts may send to them.

use std::time::Duration;

use slog::info;
use zinniahinge_serving::PaceChange;
use zinniahinge_serving::SendRate;
use zinniahinge_types::ColdNotice;
use zinniahinge_types::LimitNotice;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SlotDecision;
use zinniahinge_types::SlotRequest;

use crate::coordinator::Coordinator;
use crate::fleet_table::FleetTable;

impl Coordinator {
    /// Tells the planners which engines take only so many requests a second. Paces are left out: they end soon.
    pub(crate) fn set_planner_limits(&mut self, table: &FleetTable, now: MonotonicTime) {
        for (service, planner) in &mut self.planners {
            let slots = table.backends(service).iter();
            let limits = slots.filter_map(|slot| {
                let load = &slot.load;
                let rate = SendRate::smallest(load.limit_per_s(), load.cold_rate(now), None)?;
                Some((slot.entry.id.clone(), rate.per_s))
            });
            planner.set_limits(&limits.collect());
        }
    }

    /// Finds the backend servers that are cold, and changes the paces that are due.
    pub(crate) fn settle_paces(&mut self, table: &FleetTable, now: MonotonicTime) {
        let had_cold = !self.cold.is_empty();
        self.cold = table.cold_notices(|load| load.cold_left(now));
        if had_cold || !self.cold.is_empty() {
            self.set_planner_limits(table, now);
        }
        let has_tight_memory = self.state.startup.bounds.has_tight_memory;
        let listed = table.paced_servers(has_tight_memory, now);
        let changes = self.paces.settle(listed, now);
        self.apply_paces(table, &changes);
    }

    /// Logs changes of paces, and keeps this host to them at once.
    pub(crate) fn apply_paces(&mut self, table: &FleetTable, changes: &[PaceChange]) {
        let logger = &self.state.logger;
        for change in changes {
            match change {
                PaceChange::Begun { run, per_s, start } => {
                    info!(logger, "pace of a backend server begins"; "backend" => &*run.backend,
                        "per_s" => per_s, "start" => start.name(), "fence" => self.fence);
                }
                PaceChange::Ended { run, per_s, end } => {
                    info!(logger, "pace of a backend server ends"; "backend" => &*run.backend,
                        "per_s" => per_s, "end" => end.name(), "fence" => self.fence);
                }
            }
        }
        self.pace_notices = self.paces.notices();
        if !self.pace_notices.is_empty() || !changes.is_empty() {
            table.set_paces(&self.pace_notices);
        }
    }

    /// Backend servers that are cold, with the times that are left at `now`.
    pub(crate) fn cold_known(&self, now: MonotonicTime) -> Vec<ColdNotice> {
        let since = now.since(self.settled_at);
        let notices = self.cold.iter().cloned();
        let notices = notices.map(|notice| ColdNotice {
            left: notice.left.saturating_sub(since),
            ..notice
        });
        notices.collect()
    }

    /// Reserves a slot for one request to a backend server that gets only so many a second.
    pub(crate) fn slot(&mut self, request: &SlotRequest, now: MonotonicTime) -> SlotDecision {
        let notice = &request.notice;
        self.state.record_limits(std::slice::from_ref(notice), now);
        if let Some(left) = request.cold_left {
            let run = notice.run.clone();
            self.state.record_cold(&[ColdNotice { run, left }]);
        }
        self.paces.record_ask(&notice.run);
        let rate = self
            .state
            .with_source(|source| match source.load(&notice.run) {
                Some(load) => load.send_rate(now),
                None => SendRate::smallest(notice.limit_per_s, request.rate_per_s, None),
            });
        rate.map_or(
            // Another host has heard that the limit is lifted, or the pace has ended.
            SlotDecision::Granted {
                wait: Duration::ZERO,
                next_in: Duration::ZERO,
            },
            |rate| {
                self.limits
                    .reserve(&notice.run, rate.per_s, request.max_wait, now)
            },
        )
    }

    /// What backend servers said about their limits, with their ages at `now`.
    pub(crate) fn limits_known(&self, now: MonotonicTime) -> Vec<LimitNotice> {
        let since = now.since(self.settled_at);
        let notices = self.limit_notices.iter().cloned();
        let notices = notices.map(|notice| LimitNotice {
            age: notice.age + since,
            ..notice
        });
        notices.collect()
    }
}
