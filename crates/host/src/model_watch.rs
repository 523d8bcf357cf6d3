use std::collections::HashMap;
use std::time::Duration;

use slog::info;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_serving::UnservedModels;
use zinniahinge_types::ModelUse;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::host_state::HostState;

/// Time between two log lines on the models that wait. A second is short against the time that callers wait.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Logs the models and adapters that are asked for and not served, and why no order for them was sent.
#[derive(Debug, Default)]
pub(crate) struct ModelWatch {
    unserved: UnservedModels,
    logged_at: MonotonicTime,
}

impl ModelWatch {
    /// Applies one host's requests for a model or adapter since its last report.
    pub(crate) fn record(&mut self, used: &ModelUse, now: MonotonicTime) {
        self.unserved.record(used, now);
    }

    /// Updates the gauges and writes the log lines if they are due.
    pub(crate) fn observe(
        &mut self,
        planners: &HashMap<Name, ResidencyPlanner>,
        state: &HostState,
        now: MonotonicTime,
    ) {
        if now.since(self.logged_at) < LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let summary = self.unserved.summary(now);
        let (count, age) = summary
            .as_ref()
            .map_or((0, Duration::ZERO), |summary| (summary.count, summary.age));
        state.counters.unserved_models.set(count as i64);
        state.counters.unserved_age.set(age.as_secs() as i64);
        if let Some(summary) = summary {
            info!(state.logger, "models asked for and not served"; "count" => summary.count,
                "model" => &*summary.model, "adapter" => summary.adapter.as_deref(),
                "age_ms" => summary.age.as_millis() as u64);
        }
        for planner in planners.values() {
            for load in planner.held_loads(now) {
                info!(state.logger, "load held back"; "model" => &*load.model,
                    "adapter" => load.adapter.as_deref(),
                    "age_ms" => load.age.map(|age| age.as_millis() as u64), "rate" => load.rate,
                    "work" => load.work, "replicas" => load.replicas, "saved" => load.saved,
                    "hold" => ?load.hold);
            }
        }
    }
}
