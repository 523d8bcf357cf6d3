use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::DispatchTicket;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::ReleaseOutcome;
use zinniahinge_types::ReleaseRequest;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::RequestId;
use zinniahinge_types::TicketId;

use crate::DispatchDecision;
use crate::DispatcherIdentity;
use crate::DispatcherSettings;
use crate::EnqueueOutcome;
use crate::cold_refusals::ColdRefusals;
use crate::fair_queue::FairQueue;
use crate::queue_entry::QueueEntry;
use crate::replica_table::ReplicaTable;
use crate::run_estimate::RunEstimate;
use crate::slot_limits::SlotLimits;
use crate::ticket_record::TicketRecord;
use crate::ticket_table::TicketTable;

/// Retry-After while the load time or run time from which it would be computed is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides which waiting request of one base model runs next, and on which replica.
///
/// Does no I/O. The caller passes the time in, delivers the decisions of [`Self::poll`], and calls
/// it again after every change and at [`Self::next_wakeup`].
#[derive(Debug)]
pub struct ModelDispatcher {
    pub(crate) identity: DispatcherIdentity,
    pub(crate) settings: DispatcherSettings,
    pub(crate) queue: FairQueue,
    pub(crate) tickets: TicketTable,
    pub(crate) replicas: ReplicaTable,
    pub(crate) estimate: RunEstimate,
    pub(crate) cold_refusals: ColdRefusals,
    pub(crate) arrivals: u64,
    pub(crate) next_sequence: u64,
    pub(crate) recent_accounts: BTreeMap<Name, MonotonicTime>,
    pub(crate) load_estimate: Option<Duration>,
    pending: Vec<DispatchDecision>,
    next_ticket: u64,
    rng: StdRng,
}

impl ModelDispatcher {
    /// Creates a dispatcher with an empty queue and no replicas.
    pub fn new(identity: DispatcherIdentity, settings: DispatcherSettings, seed: u64) -> Self {
        Self {
            identity,
            queue: FairQueue::default(),
            tickets: TicketTable::default(),
            replicas: ReplicaTable::new(settings.prefix_limit),
            settings,
            estimate: RunEstimate::default(),
            cold_refusals: ColdRefusals::default(),
            arrivals: 0,
            next_sequence: 0,
            recent_accounts: BTreeMap::new(),
            load_estimate: None,
            pending: Vec::new(),
            next_ticket: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the fair-queueing weights of accounts; an account without one has weight 1.
    pub fn set_weights(&mut self, weights: BTreeMap<Name, u32>) {
        self.queue.set_weights(weights);
    }

    /// Sets the region of each data centre. One without an entry counts as in the same region as
    /// all others.
    pub fn set_regions(&mut self, regions: BTreeMap<Name, Name>) {
        self.replicas.set_regions(regions);
    }

    /// Sets the shortest time in which a model that is not loaded can become ready. Requests with
    /// an earlier deadline are refused on arrival; `None` refuses none for that reason.
    pub fn set_load_estimate(&mut self, estimate: Option<Duration>) {
        self.load_estimate = estimate;
    }

    /// Starts recovery after a takeover without state: until `until`, the latest deadline that a
    /// ticket of the predecessor can have, the load that servers report also occupies slots.
    pub fn begin_recovery(&mut self, until: MonotonicTime) {
        self.replicas.use_reported_load_until(until);
    }

    /// Returns the number of waiting requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of granted tickets that have been neither released nor expired.
    pub fn in_flight(&self) -> usize {
        self.tickets.len()
    }

    /// Returns the version of the applied replica list; 0 before the first one.
    pub fn replica_version(&self) -> u64 {
        self.replicas.version()
    }

    // ---------------------------------------------------------------------------------------------
    // Arrival

    /// Queues or refuses a request. A repeat of a known request gets the earlier decision, so that
    /// a repeated message doesn't run a request twice.
    pub fn enqueue(&mut self, request: DispatchRequest, now: MonotonicTime) -> EnqueueOutcome {
        if self.queue.contains(request.request_id) {
            return EnqueueOutcome::AlreadyQueued;
        }
        if let Some(ticket) = self.repeated_ticket(&request, now) {
            return EnqueueOutcome::Granted(ticket);
        }
        self.arrivals += 1;
        self.recent_accounts.insert(request.account.clone(), now);
        let refusal = self.refuse_on_arrival(&request, now);
        if let Some(reason) = refusal {
            let retry_after = self.retry_after();
            return EnqueueOutcome::Refused {
                reason,
                retry_after,
            };
        }
        let waited = Duration::ZERO;
        let cold = !self.replicas.serves(request.adapter.as_ref());
        self.push(request, waited, cold, now);
        EnqueueOutcome::Queued
    }

    /// Returns the ticket of an earlier grant of this request. If the repeat excludes the ticket's
    /// server, the caller has abandoned that attempt: the ticket ends and the request is queued
    /// again.
    fn repeated_ticket(
        &mut self,
        request: &DispatchRequest,
        now: MonotonicTime,
    ) -> Option<DispatchTicket> {
        let record = self.tickets.by_request(request.request_id)?;
        let ticket = record.ticket.clone();
        if record.deadline > now && !request.excluded.contains(&ticket.server) {
            return Some(ticket);
        }
        self.tickets.remove(ticket.ticket_id);
        if request.excluded.contains(&ticket.server) {
            // A later release of this ticket is ignored, so its failure must be counted here.
            self.replicas
                .record_failure(&ticket.server, &self.settings, now);
        }
        None
    }

    /// Queues a request that has already waited for `waited`.
    pub(crate) fn push(
        &mut self,
        request: DispatchRequest,
        waited: Duration,
        cold: bool,
        now: MonotonicTime,
    ) {
        let arrived = now.since_origin().saturating_sub(waited);
        let entry = QueueEntry {
            deadline: now + request.deadline_in,
            arrived: MonotonicTime::from_origin(arrived),
            sequence: self.next_sequence,
            cold,
            request,
        };
        self.next_sequence += 1;
        self.queue.push(entry);
    }

    // ---------------------------------------------------------------------------------------------
    // Decisions

    /// Returns all grants and refusals that are possible at `now`, and expires tickets and
    /// accounts.
    pub fn poll(&mut self, now: MonotonicTime) -> Vec<DispatchDecision> {
        self.tickets.expire(now);
        self.cold_refusals.expire(now);
        self.refuse_expired(now);
        self.expire_accounts(now);
        while self.decide_one(now) {}
        std::mem::take(&mut self.pending)
    }

    /// Returns when [`Self::poll`] must be called even if nothing else happens; `None` for never.
    pub fn next_wakeup(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        if !self.pending.is_empty() {
            return Some(now);
        }
        let queued = self.queue.next_deadline();
        let ticket = self.tickets.next_deadline();
        let replica = self.replicas.next_change(now);
        let account = self.next_account_expiry(now);
        [queued, ticket, replica, account]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns when the next account stops counting as active, which can open reserved slots to
    /// others.
    fn next_account_expiry(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let seen = self.recent_accounts.values().min()?;
        let expiry = *seen + self.settings.account_idle_timeout;
        (self.queue.len() > 0).then_some(expiry.max(now))
    }

    /// Refuses the waiting requests whose deadline has passed.
    fn refuse_expired(&mut self, now: MonotonicTime) {
        while let Some(entry) = self.queue.pop_expired(now) {
            self.refuse(entry.request.request_id, RefusalReason::DeadlinePassed);
        }
    }

    /// Drops accounts that sent no request within the idle timeout.
    fn expire_accounts(&mut self, now: MonotonicTime) {
        let timeout = self.settings.account_idle_timeout;
        self.recent_accounts
            .retain(|_, seen| now.since(*seen) < timeout);
    }

    /// Grants or refuses one request; returns false if no waiting request can start.
    fn decide_one(&mut self, now: MonotonicTime) -> bool {
        let Some(request_id) = self.select(now) else {
            return false;
        };
        let Some(entry) = self.queue.remove(request_id) else {
            return false;
        };
        if self.misses_deadline(&entry, now) {
            self.refuse(request_id, RefusalReason::DeadlineUnreachable);
            return true;
        }
        let request = &entry.request;
        let chosen =
            self.replicas
                .choose(request, &self.tickets, &self.settings, now, &mut self.rng);
        match chosen {
            Some(replica) => self.grant(entry, &replica, now),
            None => {
                self.queue.push(entry);
                return false;
            }
        }
        true
    }

    /// Returns the next waiting request that fits the slot limits and a free replica.
    fn select(&mut self, now: MonotonicTime) -> Option<RequestId> {
        let limits = SlotLimits::for_dispatcher(self);
        let tickets = &self.tickets;
        let replicas = &self.replicas;
        let eligible = |entry: &QueueEntry| {
            limits.admits(&entry.request, tickets)
                && replicas.can_place(&entry.request, tickets, now)
        };
        self.queue.select(&self.settings, now, &eligible)
    }

    /// Returns true if the first token is expected after the deadline. Batch requests aren't
    /// checked, and neither are requests to an idle model: otherwise one slow sample would refuse
    /// every request, and no new sample would ever correct it.
    fn misses_deadline(&self, entry: &QueueEntry, now: MonotonicTime) -> bool {
        let left = entry.deadline.since(now);
        let batch = entry.request.class == PriorityClass::Batch;
        let idle = self.tickets.len() == 0;
        let checked = self.settings.early_refusal && !batch && !idle;
        checked && left < self.estimate.first_token()
    }

    /// Issues a ticket for the request and charges its tokens to its account.
    fn grant(&mut self, entry: QueueEntry, replica: &ReplicaEntry, now: MonotonicTime) {
        let request = &entry.request;
        let ticket = DispatchTicket {
            ticket_id: self.issue_ticket_id(),
            server: replica.server.clone(),
            address: replica.address.clone(),
            incarnation: self.identity.incarnation,
            cold: entry.cold,
        };
        self.queue.charge(request);
        self.tickets.insert(TicketRecord {
            ticket: ticket.clone(),
            request_id: request.request_id,
            host: request.host.clone(),
            account: request.account.clone(),
            class: request.class,
            tokens: request.tokens,
            granted: now,
            deadline: entry.deadline,
        });
        self.pending.push(DispatchDecision::Granted {
            request_id: request.request_id,
            ticket,
        });
    }

    /// Returns a ticket id with the incarnation in the upper 64 bits, so that it is unique over
    /// takeovers.
    fn issue_ticket_id(&mut self) -> TicketId {
        self.next_ticket += 1;
        TicketId(u128::from(self.identity.incarnation) << 64 | u128::from(self.next_ticket))
    }

    /// Adds a refusal to the decisions that the next [`Self::poll`] returns.
    pub(crate) fn refuse(&mut self, request_id: RequestId, reason: RefusalReason) {
        let retry_after = self.retry_after();
        self.pending.push(DispatchDecision::Refused {
            request_id,
            reason,
            retry_after,
        });
    }

    /// Estimates when a retry can succeed: the load time if no replica is ready, otherwise the time
    /// to work through the queue, between 100 ms and 60 s.
    fn retry_after(&self) -> Duration {
        if self.replicas.ready_slots() == 0 {
            return self.load_estimate.unwrap_or(DEFAULT_RETRY_AFTER);
        }
        let slots = self.replicas.ready_slots().max(1);
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let run_time = self.estimate.run_time().unwrap_or(DEFAULT_RETRY_AFTER);
        let drained = run_time.saturating_mul(waiting.min(10_000)) / slots;
        drained.clamp(Duration::from_millis(100), Duration::from_secs(60))
    }

    // ---------------------------------------------------------------------------------------------
    // Ends

    /// Ends a ticket and records its outcome; returns false if the ticket was already released or
    /// expired.
    pub fn release(&mut self, release: &ReleaseRequest, now: MonotonicTime) -> bool {
        let Some(record) = self.tickets.remove(release.ticket_id) else {
            return false;
        };
        let unused = record.tokens.saturating_sub(release.tokens);
        self.queue.refund(record.class, &record.account, unused);
        let server = &record.ticket.server;
        match release.outcome {
            ReleaseOutcome::Finished => {
                self.replicas.record_success(server);
                let run_time = now.since(record.granted);
                self.estimate.record(run_time, release.first_token);
            }
            ReleaseOutcome::Cancelled => {}
            ReleaseOutcome::ConnectFailed | ReleaseOutcome::ServerFailed => {
                self.replicas.record_failure(server, &self.settings, now);
            }
        }
        true
    }

    /// Removes a waiting request whose caller disconnected; returns false if it isn't queued.
    pub fn cancel(&mut self, request_id: RequestId) -> bool {
        self.queue.remove(request_id).is_some()
    }

    /// Refuses all waiting requests of an account whose keys were revoked, and returns their
    /// number. The next [`Self::poll`] returns the refusals.
    pub fn withdraw_account(&mut self, account: &str) -> usize {
        let of_account = |entry: &QueueEntry| &*entry.request.account == account;
        self.refuse_where(of_account, RefusalReason::AccountWithdrawn)
    }

    /// Refuses all waiting requests whose adapter is not in `adapters`, the configured list, and
    /// returns their number.
    pub fn retain_adapters(&mut self, adapters: &[Name]) -> usize {
        let removed = |entry: &QueueEntry| {
            let adapter = entry.request.adapter.as_ref();
            adapter.is_some_and(|adapter| !adapters.contains(adapter))
        };
        self.refuse_where(removed, RefusalReason::UnknownModel)
    }

    /// Refuses all waiting requests because the model was removed from the configuration, and
    /// returns their number.
    pub fn withdraw_model(&mut self) -> usize {
        self.refuse_where(|_| true, RefusalReason::UnknownModel)
    }

    /// Ends the tickets of a host that was declared dead and removes its waiting requests; returns
    /// the number of ended tickets.
    pub fn reclaim_host(&mut self, host: &str) -> usize {
        let waiting = self.queue.entries();
        let lost: Vec<_> = waiting
            .filter(|entry| &*entry.request.host == host)
            .map(|entry| entry.request.request_id)
            .collect();
        for request_id in lost {
            self.queue.remove(request_id);
        }
        self.tickets.reclaim_host(host)
    }

    /// Replaces the replica list; returns false and keeps the present list if `version` is not
    /// newer.
    pub fn apply_replicas(&mut self, version: u64, replicas: Vec<ReplicaEntry>) -> bool {
        self.replicas.apply(version, replicas)
    }

    /// Refuses the waiting requests that match, and returns their number.
    fn refuse_where(
        &mut self,
        matches: impl Fn(&QueueEntry) -> bool,
        reason: RefusalReason,
    ) -> usize {
        let entries = self.queue.entries().filter(|entry| matches(entry));
        let refused: Vec<_> = entries.map(|entry| entry.request.request_id).collect();
        for request_id in &refused {
            self.queue.remove(*request_id);
            self.refuse(*request_id, reason);
        }
        refused.len()
    }
}
