//! Filters that a request passes before it is forwarded.

use futures::future::BoxFuture;

use crate::entry_state::EntryState;
use crate::problem::Result;
use crate::request_context::RequestContext;

type ApplyFilter =
    for<'a> fn(&'a EntryState, &'a mut RequestContext) -> BoxFuture<'a, FilterVerdict>;

/// What a filter decided.
pub type FilterVerdict = Result<FilterStep>;

/// How the chain goes on.
pub enum FilterStep {
    /// To the next filter.
    Continue,
    /// The request is answered; the later filters are skipped.
    Answer(volo_http::response::Response),
}

/// One named filter.
#[derive(Clone, Copy)]
pub struct RequestFilter {
    /// Name for counters.
    pub name: &'static str,
    /// The filter itself.
    pub apply: ApplyFilter,
}

/// Filters in order.
#[derive(Clone)]
pub struct FilterChain {
    filters: Vec<RequestFilter>,
}

impl FilterChain {
    /// A chain of `filters`.
    pub fn new(filters: Vec<RequestFilter>) -> Self {
        Self { filters }
    }

    /// Runs the filters until one answers or refuses.
    pub async fn run(&self, state: &EntryState, context: &mut RequestContext) -> FilterVerdict {
        for filter in &self.filters {
            match (filter.apply)(state, context).await {
                Ok(FilterStep::Continue) => {}
                Ok(answer) => return Ok(answer),
                Err(problem) => {
                    state.counters.refused(filter.name, problem.kind);
                    return Err(problem);
                }
            }
        }
        Ok(FilterStep::Continue)
    }
}
