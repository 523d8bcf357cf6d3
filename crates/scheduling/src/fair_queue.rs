use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use zinniahinge_types::DispatchRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RequestId;

use crate::DispatcherSettings;
use crate::QueueOrder;
use crate::class_queue::ClassQueue;
use crate::queue_entry::QueueEntry;

/// Priority classes, the most urgent first.
const CLASSES: [PriorityClass; 3] = [
    PriorityClass::Urgent,
    PriorityClass::Normal,
    PriorityClass::Batch,
];

/// Waiting requests of one model, with indexes by request id and by deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    classes: [ClassQueue; 3],
    locations: BTreeMap<RequestId, Location>,
    deadlines: BTreeSet<(MonotonicTime, RequestId)>,
    weights: BTreeMap<Name, u32>,
    grants_since_aged: u32,
}

/// Position of a request in the class queues.
#[derive(Clone, Debug)]
struct Location {
    class: PriorityClass,
    account: Name,
    adapter: Option<Name>,
    deadline: MonotonicTime,
}

impl FairQueue {
    pub(crate) fn set_weights(&mut self, weights: BTreeMap<Name, u32>) {
        self.weights = weights;
    }

    pub(crate) fn len(&self) -> usize {
        self.locations.len()
    }

    pub(crate) fn contains(&self, request_id: RequestId) -> bool {
        self.locations.contains_key(&request_id)
    }

    pub(crate) fn class(&self, class: PriorityClass) -> &ClassQueue {
        &self.classes[class as usize]
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &QueueEntry> {
        self.classes.iter().flat_map(ClassQueue::entries)
    }

    pub(crate) fn push(&mut self, entry: QueueEntry) {
        let request = &entry.request;
        let location = Location {
            class: request.class,
            account: request.account.clone(),
            adapter: request.adapter.clone(),
            deadline: entry.deadline,
        };
        self.deadlines.insert((entry.deadline, request.request_id));
        self.locations.insert(request.request_id, location);
        self.classes[request.class as usize].push(entry);
    }

    pub(crate) fn remove(&mut self, request_id: RequestId) -> Option<QueueEntry> {
        let location = self.locations.remove(&request_id)?;
        self.deadlines.remove(&(location.deadline, request_id));
        let class = &mut self.classes[location.class as usize];
        class.remove(&location.account, &location.adapter, request_id)
    }

    /// Charges a served request's tokens to its account.
    pub(crate) fn charge(&mut self, request: &DispatchRequest) {
        let weight = self.weight(&request.account);
        self.classes[request.class as usize].charge(&request.account, request.tokens, weight);
    }

    /// Refunds tokens that were charged and not used.
    pub(crate) fn refund(&mut self, class: PriorityClass, account: &Name, tokens: u64) {
        let weight = self.weight(account);
        self.classes[class as usize].refund(account, tokens, weight);
    }

    pub(crate) fn next_deadline(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|key| key.0)
    }

    /// Removes and returns one request whose deadline has passed at `now`.
    pub(crate) fn pop_expired(&mut self, now: MonotonicTime) -> Option<QueueEntry> {
        let (deadline, request_id) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(request_id)
    }

    /// Returns the next request to serve among those that `eligible` accepts; it stays queued.
    pub(crate) fn select(
        &mut self,
        settings: &DispatcherSettings,
        now: MonotonicTime,
        eligible: &dyn Fn(&QueueEntry) -> bool,
    ) -> Option<RequestId> {
        match settings.queue_order {
            QueueOrder::FirstInFirstOut => self.select_oldest(eligible),
            QueueOrder::Fair => self.select_fair(settings, now, eligible),
        }
    }

    /// Returns the eligible request that arrived first, regardless of class and account.
    fn select_oldest(&self, eligible: &dyn Fn(&QueueEntry) -> bool) -> Option<RequestId> {
        let candidates = self.entries().filter(|entry| eligible(entry));
        let oldest = candidates.min_by_key(|entry| entry.sequence)?;
        Some(oldest.request.request_id)
    }

    /// Returns a request of the highest class; one grant in `aged_interval` goes to an aged request
    /// of a lower class instead.
    fn select_fair(
        &mut self,
        settings: &DispatcherSettings,
        now: MonotonicTime,
        eligible: &dyn Fn(&QueueEntry) -> bool,
    ) -> Option<RequestId> {
        let ordinary = self.first_class(eligible)?;
        let aged = self.aged_class(settings.ageing, now, ordinary.0, eligible);
        let Some(aged) = aged else {
            self.grants_since_aged = 0;
            return Some(ordinary.1);
        };
        self.grants_since_aged += 1;
        if self.grants_since_aged < settings.aged_interval {
            return Some(ordinary.1);
        }
        self.grants_since_aged = 0;
        Some(aged)
    }

    /// Returns the highest class with an eligible request, and that request.
    fn first_class(
        &self,
        eligible: &dyn Fn(&QueueEntry) -> bool,
    ) -> Option<(PriorityClass, RequestId)> {
        CLASSES.iter().find_map(|class| {
            let request_id = self.class(*class).select(eligible)?;
            Some((*class, request_id))
        })
    }

    /// Returns the request of a class below `served` that has waited longest, if it has waited for
    /// `ageing`.
    fn aged_class(
        &self,
        ageing: Duration,
        now: MonotonicTime,
        served: PriorityClass,
        eligible: &dyn Fn(&QueueEntry) -> bool,
    ) -> Option<RequestId> {
        let lower = CLASSES.iter().filter(|class| **class > served);
        let oldest = lower
            .filter_map(|class| self.class(*class).oldest(eligible))
            .min_by_key(|entry| entry.arrived)?;
        let waited = now.since(oldest.arrived);
        (waited >= ageing).then_some(oldest.request.request_id)
    }

    /// Returns the account's weight, which is at least 1.
    fn weight(&self, account: &Name) -> u32 {
        self.weights.get(account).copied().unwrap_or(1).max(1)
    }
}
