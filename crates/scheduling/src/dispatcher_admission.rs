//! Refusals of a [`ModelDispatcher`] on arrival.

use std::time::Duration;

use zinniahinge_types::DispatchRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::RequestId;

use crate::ModelDispatcher;

impl ModelDispatcher {
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

    /// Wait behind the requests that are served before this one, plus the time to a first token.
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

    /// Requests of higher classes, and of this class as far as fair queueing serves them first: an
    /// account's own backlog once per account that competes.
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

    /// One account may fill at most half of the batch queue; nothing that waits is displaced.
    fn admit_batch(&self, request: &DispatchRequest) -> bool {
        let class = self.queue.class(PriorityClass::Batch);
        let limit = self.settings.batch_limit;
        let own = class.account_len(&request.account);
        class.len() < limit && own < limit.div_ceil(2)
    }

    /// Makes room in a full queue at the expense of the account with most waiting requests in the
    /// lowest class.
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
