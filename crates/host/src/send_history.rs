use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::SendBar;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

/// Sends of one request to backend servers so far, and how they ended.
#[derive(Debug, Default)]
pub(crate) struct SendHistory {
    /// Backend servers that may have run the request.
    possible_runs: SmallVec<[Name; 2]>,
    /// Backend servers that the request was sent to.
    sent_to: SmallVec<[Name; 2]>,
    /// Backend servers that the next choice leaves out.
    excluded: SmallVec<[Name; 2]>,
    /// Backend server that the request most recently could not reach.
    last_unreachable: Option<Name>,
    /// Backend server that has just said that it lacks the model, until the coordinator is told.
    pub(crate) missing_model_at: Option<Name>,
    /// Backend server that could not be reached, until the coordinator is told.
    pub(crate) unreported_unreachable: Option<Name>,
    /// Backend server that the request is being sent to, or that has not answered it yet.
    pub(crate) sending_to: Option<Name>,
    /// When the request had arrived at the backend server of the last send, if it arrives at all.
    pub(crate) arrived_by: MonotonicTime,
    /// Backend server at which a run may go on although its connection ended. The request is sent to no other one before the
    /// run is known to be over.
    pub(crate) open_run: Option<BackendCandidate>,
    /// True if the request may be sent to the server of the open run again.
    may_return: bool,
    /// Backend servers that the request returned to.
    returned_to: SmallVec<[Name; 2]>,
    /// Why a backend server was last left out, although it could have run the request.
    pub(crate) bar: Option<SendBar>,
    /// When the stream broke off that the request resumes; `None` before its first event.
    pub(crate) broken_at: Option<Instant>,
    /// Longest time that the next send may wait for a slot at a backend server that limits requests.
    pub(crate) slot_wait: Duration,
    /// True if no other backend server than the chosen one can run the request now.
    pub(crate) is_only_target: bool,
    /// Sends that reached a backend server.
    pub(crate) delivered_sends: u32,
}

impl SendHistory {
    /// Records a send; returns true if the request was sent to the same server before.
    pub(crate) fn record_send_to(&mut self, backend: &Name) -> bool {
        if self.sent_to.contains(backend) {
            return true;
        }
        self.sent_to.push(backend.clone());
        false
    }

    /// Records that a server may have run the request, and excludes the server from the next choices.
    pub(crate) fn record_possible_run(&mut self, backend: &Name) {
        if !self.possible_runs.contains(backend) {
            self.possible_runs.push(backend.clone());
        }
        self.exclude(backend);
    }

    /// Records that a run at a server of models may go on although its connection ended, by itself if `is_lost`.
    pub(crate) fn record_open_run(&mut self, target: &BackendCandidate, is_lost: bool) {
        self.may_return = is_lost && !self.returned_to.contains(&target.entry.id);
        self.open_run = Some(target.clone());
    }

    /// Returns the server of the open run if the request may be sent to it again, once for each server.
    pub(crate) fn take_return(&mut self) -> Option<BackendCandidate> {
        if !std::mem::take(&mut self.may_return) {
            return None;
        }
        let target = self.open_run.clone()?;
        self.returned_to.push(target.entry.id.clone());
        Some(target)
    }

    /// True if the request was to be sent to a server before, even if that could not be reached.
    pub(crate) fn has_tried(&self) -> bool {
        !self.sent_to.is_empty()
    }

    /// Excludes a server from the next choices.
    pub(crate) fn exclude(&mut self, backend: &Name) {
        if !self.excluded.contains(backend) {
            self.excluded.push(backend.clone());
        }
    }

    /// Makes all servers eligible again; called when each of them is excluded.
    pub(crate) fn clear_excluded(&mut self) {
        self.excluded.clear();
    }

    /// True if the next choice leaves the server out.
    pub(crate) fn is_excluded(&self, backend: &Name) -> bool {
        self.excluded.contains(backend)
    }

    /// Records that a server may not be sent to now, and excludes it from the next choices unless it has a slot later.
    pub(crate) fn record_bar(&mut self, backend: &Name, bar: SendBar) {
        self.bar = Some(bar);
        if !matches!(bar, SendBar::Limited { .. }) {
            self.exclude(backend);
        }
    }

    /// Records that a server could not be reached, and excludes it from the next choices.
    pub(crate) fn record_unreachable(&mut self, backend: &Name) {
        self.unreported_unreachable = Some(backend.clone());
        self.last_unreachable = Some(backend.clone());
        self.exclude(backend);
    }

    /// True if the server is the last one that could not be reached.
    pub(crate) fn is_last_unreachable(&self, backend: &Name) -> bool {
        self.last_unreachable.as_ref() == Some(backend)
    }

    /// Number of servers that may have run the request.
    pub(crate) fn possible_run_count(&self) -> u32 {
        self.possible_runs.len() as u32
    }

    /// Backend servers that may have run the request, for log lines.
    pub(crate) fn possible_runs_text(&self) -> String {
        self.possible_runs.join(",")
    }

    /// True if any server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.possible_runs.is_empty() || self.sending_to.is_some()
    }
}
