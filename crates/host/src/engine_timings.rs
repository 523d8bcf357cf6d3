use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_serving::BackendCandidate;
use zinniahinge_types::BackendRun;
use zinniahinge_types::EngineTimes;
use zinniahinge_types::Name;
use zinniahinge_types::RunTimes;

/// Times that engines took for this host's requests since the last report to the coordinator, by service, and those of servers
/// that state how long work takes, by run.
#[derive(Debug, Default)]
pub(crate) struct EngineTimings {
    sums: HashMap<Name, EngineTimes>,
    runs: HashMap<(BackendRun, Option<Name>), RunTimes>,
}

impl EngineTimings {
    /// Adds the time until the first event of a request that was sent to an engine without other unread prompts.
    pub(crate) fn record_prompt(&mut self, service: &Name, tokens: u64, time: Duration) {
        let sums = self.sums(service);
        sums.prompt_tokens += tokens;
        sums.prompt_us += time.as_micros() as u64;
    }

    /// Adds the time between the first and the last event of a complete answer that may have `tokens`.
    pub(crate) fn record_output(&mut self, service: &Name, tokens: u64, time: Duration) {
        let sums = self.sums(service);
        sums.output_tokens += tokens;
        sums.output_us += time.as_micros() as u64;
    }

    /// Adds work of `target`: the model, the units of work and their time. Counts nothing for a server
    /// that doesn't state how long work takes.
    pub(crate) fn record_work(
        &mut self,
        target: &BackendCandidate,
        (model, units, time): (Option<&Name>, u64, Duration),
    ) {
        if !target.load.states_work_time() {
            return;
        }
        let run = target.entry.run();
        let key = (run.clone(), model.cloned());
        let sums = self.runs.entry(key).or_insert_with(|| RunTimes {
            run,
            model: model.cloned(),
            service: target.entry.service.clone(),
            units: 0,
            time_us: 0,
        });
        sums.units += units;
        sums.time_us += time.as_micros() as u64;
    }

    /// Returns the sums by service and by run for a report, and resets them.
    pub(crate) fn take(&mut self) -> (Vec<EngineTimes>, Vec<RunTimes>) {
        let Self { sums, runs } = std::mem::take(self);
        (sums.into_values().collect(), runs.into_values().collect())
    }

    fn sums(&mut self, service: &Name) -> &mut EngineTimes {
        self.sums
            .entry(service.clone())
            .or_insert_with(|| EngineTimes {
                service: service.clone(),
                ..EngineTimes::default()
            })
    }
}
