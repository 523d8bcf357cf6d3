//! Waits for the moment at which a waiting request may not run any more.

use std::time::Duration;

use crate::entry_state::EntryState;
use crate::filters::check_account;
use crate::problem::RequestProblem;
use crate::request_context::RequestContext;

/// How often the host's freshness is checked while nothing changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Completes with a problem once the request's key was withdrawn, or once the host cannot tell. A withdrawn key must
/// stop queued requests and open streams, too.
pub async fn key_withdrawn(state: &EntryState, context: &RequestContext) -> RequestProblem {
    let mut changed = state.snapshot.subscribe();
    loop {
        if let Err(problem) = check_account(state, context) {
            return problem;
        }
        let _ = tokio::time::timeout(CHECK_INTERVAL, changed.changed()).await;
    }
}
