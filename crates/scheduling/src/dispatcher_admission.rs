//! Admission control of a [`ModelDispatcher`]: requests that are refused on arrival.

use std::time::Duration;

use zinniahinge_types::DispatchRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::RequestId;

use crate::ModelDispatcher;

impl ModelDispatcher {
    /// Returns why a new request must be refused; `None` if it may be queued. In a full queue
    /// another request may be refused in its place.
    pub(crate) fn refuse_on_arrival(
        &mut self,
        request: &DispatchRequest,
        now: MonotonicTime,
    ) -> Option<RefusalReason> {
        if request.deadline_in.is_zero() {
            return Some(RefusalReason::DeadlinePassed);
        }
        if self.refuses_early(request, now) {
            return Some(RefusalReason::DeadlineUnreachable);
        }
        let admitted = match request.class {
            PriorityClass::Batch => self.admit_batch(request),
            PriorityClass::Urgent | PriorityClass::Normal => self.admit_or_displace(request),
        };
        (!admitted).then_some(RefusalReason::QueueFull)
    }

    /// Returns true if the deadline cannot be met: by the expected wait if a replica is ready,
    /// otherwise by the load time. Batch requests are never refused early.
    fn refuses_early(&mut self, request: &DispatchRequest, now: MonotonicTime) -> bool {
        if !self.settings.early_refusal || request.class == PriorityClass::Batch {
            return false;
        }
        if self.replicas.serves(request.adapter.as_ref()) {
            return self.expected_wait(request) > request.deadline_in;
        }
        let base_is_ready = self.replicas.serves(None);
        let load = self.load_estimate.filter(|_| !base_is_ready);
        let unreachable = load.is_some_and(|load| load > request.deadline_in);
        if unreachable {
            let until = now + load.unwrap_or_default();
            self.cold_refusals.record(request, until);
        }
        unreachable
    }

    /// Estimates the wait behind earlier requests plus the time to the first token. Zero without a
    /// sample or if nothing runs.
    fn expected_wait(&self, request: &DispatchRequest) -> Duration {
        let Some(run_time) = self.estimate.run_time() else {
            return Duration::ZERO;
        };
        if self.tickets.len() == 0 {
            return Duration::ZERO;
        }
        let slots = self.replicas.ready_slots().max(1);
        let in_flight = u32::try_from(self.tickets.len()).unwrap_or(u32::MAX);
        let free = slots.saturating_sub(in_flight);
        let ahead = u32::try_from(self.requests_ahead(request)).unwrap_or(u32::MAX);
        let behind = ahead.saturating_sub(free);
        run_time.saturating_mul(behind) / slots + self.estimate.first_token()
    }

    /// Counts the waiting requests that are served before this one: those of higher classes, and in
    /// its own class the account's backlog once per competing account, by fair queueing.
    fn requests_ahead(&self, request: &DispatchRequest) -> usize {
        let class = self.queue.class(request.class);
        let own = class.account_len(&request.account) + 1;
        let competing = class.backlogged_accounts().max(1);
        let same = class.len().min(own * competing);
        let urgent = match request.class {
            PriorityClass::Urgent => 0,
            _ => self.queue.class(PriorityClass::Urgent).len(),
        };
        urgent + same
    }

    /// Returns true if the batch queue has space. One account may fill at most half of it; waiting
    /// batch requests are never displaced.
    fn admit_batch(&self, request: &DispatchRequest) -> bool {
        let class = self.queue.class(PriorityClass::Batch);
        let limit = self.settings.batch_limit;
        let own = class.account_len(&request.account);
        class.len() < limit && own < limit.div_ceil(2)
    }

    /// Returns true if the request can be queued. In a full queue this refuses a request of the
    /// account with the most waiting requests in the lowest class.
    fn admit_or_displace(&mut self, request: &DispatchRequest) -> bool {
        let urgent = self.queue.class(PriorityClass::Urgent).len();
        let normal = self.queue.class(PriorityClass::Normal).len();
        if urgent + normal < self.settings.queue_limit {
            return true;
        }
        let Some(displaced) = self.choose_displaced(request) else {
            return false;
        };
        self.queue.remove(displaced);
        self.refuse(displaced, RefusalReason::QueueFull);
        true
    }

    /// Returns the request to refuse in place of this one. Urgent requests displace normal ones
    /// first; within a class the account's own backlog must be shorter by at least 2.
    fn choose_displaced(&self, request: &DispatchRequest) -> Option<RequestId> {
        let normal = self.queue.class(PriorityClass::Normal);
        let urgent = self.queue.class(PriorityClass::Urgent);
        let lower = normal.newest_of_longest_account();
        if let (PriorityClass::Urgent, Some((entry, _))) = (request.class, lower) {
            return Some(entry.request.request_id);
        }
        let class = match request.class {
            PriorityClass::Urgent => urgent,
            _ => normal,
        };
        let (entry, longest) = class.newest_of_longest_account()?;
        let own = class.account_len(&request.account);
        (own + 1 < longest).then_some(entry.request.request_id)
    }
}
