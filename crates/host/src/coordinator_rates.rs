//! Which backend servers get only so many requests a second of all hosts together, and when hosts may send to them.

use std::time::Duration;

use slog::info;
use zinniahinge_serving::PaceChange;
use zinniahinge_serving::SendRate;
use zinniahinge_types::BackendRun;
use zinniahinge_types::ColdNotice;
use zinniahinge_types::LimitNotice;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SlotDecision;
use zinniahinge_types::SlotRequest;

use crate::coordinator::Coordinator;
use crate::fleet_table::FleetTable;

/// Time after which a host that asks for a slot of a replaced run may ask again. It has usually learned of the new run by then.
const REPLACED_RUN_PAUSE: Duration = Duration::from_millis(200);

impl Coordinator {
    /// Tells the planners which engines take only so many requests a second. Paces are left out: they end soon.
    pub(crate) fn set_planner_limits(&mut self, table: &FleetTable, now: MonotonicTime) {
        for (service, planner) in &mut self.planners {
            let slots = table.backends(service).iter();
            let limits = slots.filter_map(|slot| {
                let load = &slot.load;
                Some((slot.entry.id.clone(), load.bound_rate(now)?.per_s))
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
        let listed = table.paced_servers(now);
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
        if request.cold_left.is_some() && self.is_replaced(&notice.run) {
            return SlotDecision::Refused {
                again_in: REPLACED_RUN_PAUSE,
            };
        }
        self.paces.record_ask(&notice.run);
        // The asking host's cold time isn't recorded, since it may stem from this coordinator's own views.
        let stated = request.cold_left.and(request.rate_per_s);
        let rate = self
            .state
            .with_source(|source| match source.load(&notice.run) {
                Some(load) => {
                    let known = load.send_rate(now).map(|rate| rate.per_s);
                    SendRate::smallest(known, stated, None)
                }
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

    /// True if the store lists a later run under the same id. The slots of both would add up on one process.
    fn is_replaced(&self, run: &BackendRun) -> bool {
        self.state.with_source(|source| {
            let listed = source.roster.find(&run.backend);
            listed.is_some_and(|entry| entry.born_ms > run.born_ms)
        })
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
