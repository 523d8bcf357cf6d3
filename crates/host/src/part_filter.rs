//! Refuses requests with a prompt part that crashes backend servers.

use std::time::Duration;

use slog::info;
use zinniahinge_serving::RequestFacts;
use zinniahinge_types::BlockedPart;

use crate::caller_response::Refusal;
use crate::caller_response::RefusalKind;
use crate::caller_response::Result;
use crate::host_state::HostState;

/// Shortest delay after which callers are told to retry. The trial that decides on the part may be due already.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(20);

/// Checks a request that has just arrived, or still waits: refuses it if it has a blocked part of which this host has no
/// trial.
pub(crate) fn check_parts(state: &HostState, facts: &RequestFacts) -> Result<()> {
    for entry in blocked_parts(state, facts) {
        if !has_trial(state, &entry) {
            return Err(refuse(state, facts, &entry));
        }
    }
    Ok(())
}

/// Checks a request right before it is sent to a backend server. Uses up the trial of a blocked part.
pub(crate) fn check_parts_before_send(state: &HostState, facts: &RequestFacts) -> Result<()> {
    check_parts(state, facts)?;
    for entry in blocked_parts(state, facts) {
        info!(state.logger, "trial of a blocked prompt part"; "id" => &*facts.attempt_id,
            "part" => format!("{:x}", entry.part), "failed_trials" => entry.failed_trials);
        state.parts().use_trial(&entry, state.now());
    }
    Ok(())
}

/// The blocked ones among the request's shared parts, alone or combined with its model and adapter.
fn blocked_parts(state: &HostState, facts: &RequestFacts) -> Vec<BlockedPart> {
    let table = state.table.load();
    if table.blocked.parts.is_empty() {
        return Vec::new();
    }
    let shared = facts.shared_parts().iter().map(|part| part.id);
    let ids = shared.chain(facts.model_parts());
    let blocked = ids.filter_map(|id| table.blocked.find(id));
    blocked.cloned().collect()
}

fn has_trial(state: &HostState, entry: &BlockedPart) -> bool {
    let is_granted = entry.trial_host.as_ref() == Some(&state.startup.host);
    is_granted && state.parts().has_trial(entry, state.now())
}

/// Logs and counts the refusal; the caller may come back when the part is tried again.
fn refuse(state: &HostState, facts: &RequestFacts, entry: &BlockedPart) -> Refusal {
    let now = state.now();
    state.parts().record_refusal(entry.part, now);
    let known_for = now.since(state.table.load().blocked_at);
    let next_trial = Duration::from_millis(entry.next_trial_ms).saturating_sub(known_for);
    info!(state.logger, "request refused: a part of its prompt crashes backend servers";
        "id" => &*facts.attempt_id, "part" => format!("{:x}", entry.part),
        "failed_trials" => entry.failed_trials, "known_ms" => known_for.as_millis() as u64,
        "next_trial_ms" => next_trial.as_millis() as u64);
    Refusal::not_run(RefusalKind::PartBlocked).retry_after(next_trial.max(MIN_RETRY_AFTER))
}
