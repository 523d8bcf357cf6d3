use std::collections::HashMap;

use zinniahinge_types::ModelUse;
use zinniahinge_types::Name;

/// Requests and tokens by service, model and adapter since the last report to the coordinator.
#[derive(Debug, Default)]
pub(crate) struct ModelUses {
    counts: HashMap<(Name, Name, Option<Name>), UseCount>,
}

#[derive(Debug, Default)]
struct UseCount {
    count: u32,
    prompt_tokens: u64,
    output_tokens: u64,
    served: u32,
}

impl ModelUses {
    /// Counts a request with the tokens of its prompt and the most tokens of its output.
    pub(crate) fn record(
        &mut self,
        service: &Name,
        model: &Name,
        adapter: Option<&Name>,
        prompt_tokens: u64,
        output_tokens: u64,
    ) {
        let key = (service.clone(), model.clone(), adapter.cloned());
        let entry = self.counts.entry(key).or_default();
        entry.count += 1;
        entry.prompt_tokens += prompt_tokens;
        entry.output_tokens += output_tokens;
    }

    /// Counts a request whose caller got a whole answer.
    pub(crate) fn record_served(&mut self, service: &Name, model: &Name, adapter: Option<&Name>) {
        let key = (service.clone(), model.clone(), adapter.cloned());
        self.counts.entry(key).or_default().served += 1;
    }

    /// Returns all counts for a report and resets them.
    pub(crate) fn take(&mut self) -> Vec<ModelUse> {
        let counts = std::mem::take(&mut self.counts);
        let uses = counts
            .into_iter()
            .map(|((service, model, adapter), used)| ModelUse {
                service,
                model,
                adapter,
                count: used.count,
                prompt_tokens: used.prompt_tokens,
                output_tokens: used.output_tokens,
                served: used.served,
            });
        uses.collect()
    }

    /// True if no request was counted since the last report.
    pub(crate) fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
