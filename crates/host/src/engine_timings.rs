use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::EngineTimes;
use zinniahinge_types::Name;

/// Times that engines took for this host's requests since the last report to the coordinator, by service.
#[derive(Debug, Default)]
pub(crate) struct EngineTimings {
    sums: HashMap<Name, EngineTimes>,
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

    /// Returns all sums for a report and resets them.
    pub(crate) fn take(&mut self) -> Vec<EngineTimes> {
        std::mem::take(&mut self.sums).into_values().collect()
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
