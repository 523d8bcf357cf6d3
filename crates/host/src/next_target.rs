use zinniahinge_serving::BackendCandidate;

use crate::caller_response::Refusal;
use crate::caller_response::RefusalKind;
use crate::caller_response::Result;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::run_check::wait_for_run_end;
use crate::send_history::SendHistory;
use crate::send_permit::SHORT_SLOT_WAIT;
use crate::send_permit::longest_slot_wait;
use crate::target_choice::choose_target;

/// Chooses the backend server for the next send of a request.
///
/// A request whose run may go on at a server returns to that server once, if the connection was lost; it keeps the prompt's
/// parts there, and the request is at no second server. After that, the request waits until the run is over. The error is the
/// refusal that the caller gets.
pub(crate) async fn next_target(
    state: &HostState,
    context: &RequestContext,
    history: &mut SendHistory,
) -> Result<BackendCandidate> {
    history.slot_wait = SHORT_SLOT_WAIT;
    history.is_only_target = false;
    if let Some(target) = history.take_return() {
        history.slot_wait = longest_slot_wait(context, history);
        history.is_only_target = true;
        return Ok(target);
    }
    if let Some(target) = &history.open_run {
        if !wait_for_run_end(state, context, target, history.arrived_by).await {
            return Err(Refusal::not_run(RefusalKind::BackendFailed));
        }
        history.open_run = None;
    }
    choose_target(state, context, history).await
}
