//! Sets the deadline and the priority class.

use std::time::Duration;

use zinniahinge_types::PriorityClass;

use crate::entry_state::EntryState;
use crate::filter_chain::FilterStep;
use crate::filter_chain::FilterVerdict;
use crate::problem::ProblemKind;
use crate::problem::RequestProblem;
use crate::problem::Result;
use crate::request_context::RequestContext;

/// Header with which a caller shortens the deadline, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Header with which a caller asks for a priority class, up to its account's ceiling.
const CLASS_HEADER: &str = "x-priority-class";

/// Sets the deadline and the class.
pub(super) fn apply(state: &EntryState, context: &mut RequestContext) -> FilterVerdict {
    let route = context.route().cloned();
    let asked_class = read_class(context)?;
    let route_class = route
        .as_ref()
        .map_or(PriorityClass::Normal, |route| route.class);
    let class = limit_class(state, context, asked_class.unwrap_or(route_class));
    let default = state.limits.default_deadline;
    let allowed = route.map_or(default, |route| route.deadline_for(class));
    let asked = read_timeout(context)?;
    context.class = class;
    context.deadline = context.arrived + asked.map_or(allowed, |asked| asked.min(allowed));
    Ok(FilterStep::Continue)
}

fn limit_class(
    state: &EntryState,
    context: &RequestContext,
    class: PriorityClass,
) -> PriorityClass {
    let snapshot = state.snapshot.load();
    let account = context.service().zip(context.key.as_ref());
    let account = account.and_then(|(service, key)| snapshot.account(service, &key.digest));
    account.map_or(class, |account| account.allowed_class(class))
}

fn read_timeout(context: &RequestContext) -> Result<Option<Duration>> {
    let Some(value) = context.headers.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => Err(invalid(format!(
            "{TIMEOUT_HEADER}: expected a positive number of milliseconds"
        ))),
    }
}

fn read_class(context: &RequestContext) -> Result<Option<PriorityClass>> {
    let Some(value) = context.headers.get(CLASS_HEADER) else {
        return Ok(None);
    };
    match value.as_bytes() {
        b"urgent" => Ok(Some(PriorityClass::Urgent)),
        b"normal" => Ok(Some(PriorityClass::Normal)),
        b"batch" => Ok(Some(PriorityClass::Batch)),
        _ => Err(invalid(format!(
            "{CLASS_HEADER}: expected urgent, normal or batch"
        ))),
    }
}

fn invalid(detail: String) -> RequestProblem {
    RequestProblem::not_run(ProblemKind::InvalidBody, detail)
}
