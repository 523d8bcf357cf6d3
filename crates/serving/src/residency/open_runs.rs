use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::BackendUse;
use zinniahinge_types::HostId;
use zinniahinge_types::ModelRuns;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

/// Age up to which a host's requests count: two reports in a fleet of 400 hosts.
const MAX_AGE: Duration = Duration::from_millis(2400);

/// Requests in flight for the models of one service, summed up over all hosts from their reports.
#[derive(Debug, Default)]
pub(crate) struct OpenRuns {
    hosts: HashMap<HostId, HostRuns>,
    totals: HashMap<Name, HashMap<Name, RunTotal>>,
    /// When the hosts' ages were last checked.
    checked_at: MonotonicTime,
}

#[derive(Debug)]
struct HostRuns {
    reported_at: MonotonicTime,
    /// By backend server.
    runs: Vec<(Name, ModelRuns)>,
}

/// Requests in flight for one model on one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTotal {
    pub(crate) count: u32,
    output_tokens: u64,
    adapters: HashMap<Name, u32>,
}

impl OpenRuns {
    /// Replaces what a host reported before.
    pub(crate) fn replace(&mut self, host: &HostId, usage: &[BackendUse], now: MonotonicTime) {
        let runs = usage.iter().flat_map(|usage| {
            let runs = usage.runs.iter();
            runs.map(|runs| (usage.backend.clone(), runs.clone()))
        });
        let current = HostRuns {
            reported_at: now,
            runs: runs.collect(),
        };
        for (backend, runs) in &current.runs {
            let models = self.totals.entry(backend.clone()).or_default();
            models.entry(runs.model.clone()).or_default().add(runs);
        }
        if let Some(before) = self.hosts.insert(host.clone(), current) {
            self.subtract(&before);
        }
        if now.since(self.checked_at) >= MAX_AGE {
            self.checked_at = now;
            self.drop_silent_hosts(now);
        }
    }

    /// Requests for the model on the engine; `None` if there are none.
    pub(crate) fn on(&self, backend: &str, model: &str) -> Option<&RunTotal> {
        self.totals.get(backend)?.get(model)
    }

    /// True if requests for the adapter are in flight on the engine.
    pub(crate) fn uses_adapter(&self, backend: &str, model: &str, adapter: &str) -> bool {
        self.on(backend, model)
            .is_some_and(|total| total.adapters.contains_key(adapter))
    }

    fn drop_silent_hosts(&mut self, now: MonotonicTime) {
        let hosts = std::mem::take(&mut self.hosts);
        for (host, runs) in hosts {
            if now.since(runs.reported_at) < MAX_AGE {
                self.hosts.insert(host, runs);
            } else {
                self.subtract(&runs);
            }
        }
    }

    fn subtract(&mut self, before: &HostRuns) {
        for (backend, runs) in &before.runs {
            let Some(models) = self.totals.get_mut(backend) else {
                continue;
            };
            if let Some(total) = models.get_mut(&runs.model) {
                total.subtract(runs);
                if total.count == 0 {
                    models.remove(&runs.model);
                }
            }
            if models.is_empty() {
                self.totals.remove(backend);
            }
        }
    }
}

impl RunTotal {
    /// Output tokens that one of the requests allows, on average.
    pub(crate) fn mean_output_tokens(&self) -> u64 {
        self.output_tokens / u64::from(self.count.max(1))
    }

    fn add(&mut self, runs: &ModelRuns) {
        self.count = self.count.saturating_add(runs.count);
        self.output_tokens = self.output_tokens.saturating_add(runs.output_tokens);
        if let Some(adapter) = &runs.adapter {
            let count = self.adapters.entry(adapter.clone()).or_default();
            *count = count.saturating_add(runs.count);
        }
    }

    fn subtract(&mut self, runs: &ModelRuns) {
        self.count = self.count.saturating_sub(runs.count);
        self.output_tokens = self.output_tokens.saturating_sub(runs.output_tokens);
        if let Some(adapter) = &runs.adapter
            && let Some(count) = self.adapters.get_mut(adapter)
        {
            *count = count.saturating_sub(runs.count);
            if *count == 0 {
                self.adapters.remove(adapter);
            }
        }
    }
}
