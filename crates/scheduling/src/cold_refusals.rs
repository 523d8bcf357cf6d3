use std::collections::BTreeMap;

use zinniahinge_types::DispatchRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;

/// Requests that were refused because a load takes longer than their deadline. They still count as
/// demand until the load could have finished; otherwise a model whose requests have short deadlines
/// would never be loaded.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdRefusals {
    by_adapter: BTreeMap<Option<Name>, ColdRefusal>,
}

/// Latest refused request for one adapter.
#[derive(Clone, Debug)]
pub(crate) struct ColdRefusal {
    pub(crate) account: Name,
    pub(crate) class: PriorityClass,
    pub(crate) until: MonotonicTime,
}

impl ColdRefusals {
    /// Keeps the request as demand until `until`; it replaces an earlier one for the same adapter.
    pub(crate) fn record(&mut self, request: &DispatchRequest, until: MonotonicTime) {
        let refusal = ColdRefusal {
            account: request.account.clone(),
            class: request.class,
            until,
        };
        self.by_adapter.insert(request.adapter.clone(), refusal);
    }

    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        self.by_adapter.retain(|_, refusal| refusal.until > now);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Option<Name>, &ColdRefusal)> {
        self.by_adapter.iter()
    }
}
