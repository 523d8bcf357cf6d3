use std::collections::BTreeMap;
use std::collections::VecDeque;

use zinniahinge_types::Name;
use zinniahinge_types::RequestId;

use crate::queue_entry::QueueEntry;

/// Scale of virtual time, so that integer division by weights above 1 keeps precision for small
/// requests.
const VIRTUAL_TIME_SCALE: u64 = 1024;

/// Waiting requests of one priority class, with weighted fair queueing by tokens between accounts.
///
/// Each account has a virtual time that grows by tokens ÷ weight; the account with the smallest one
/// is served next. An account that was idle resumes at the class's virtual time at the least, so
/// idle time earns no credit.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    accounts: BTreeMap<Name, AccountQueue>,
    virtual_time: u64,
    len: usize,
}

/// Waiting requests and virtual time of one account.
#[derive(Clone, Debug, Default)]
struct AccountQueue {
    /// One queue in arrival order per adapter, so that requests for an adapter that isn't loaded
    /// block no others.
    lanes: BTreeMap<Option<Name>, VecDeque<QueueEntry>>,
    virtual_time: u64,
    len: usize,
}

impl ClassQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn account_len(&self, account: &str) -> usize {
        self.accounts.get(account).map_or(0, |queue| queue.len)
    }

    /// Returns the number of accounts with a waiting request.
    pub(crate) fn backlogged_accounts(&self) -> usize {
        self.accounts.values().filter(|queue| queue.len > 0).count()
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &QueueEntry> {
        self.accounts
            .values()
            .flat_map(|queue| queue.lanes.values().flatten())
    }

    /// Appends a request to the queue of its account and adapter.
    pub(crate) fn push(&mut self, entry: QueueEntry) {
        let class_time = self.virtual_time;
        let queue = self
            .accounts
            .entry(entry.request.account.clone())
            .or_default();
        if queue.len == 0 {
            queue.virtual_time = queue.virtual_time.max(class_time);
        }
        let lane = queue
            .lanes
            .entry(entry.request.adapter.clone())
            .or_default();
        lane.push_back(entry);
        queue.len += 1;
        self.len += 1;
    }

    pub(crate) fn remove(
        &mut self,
        account: &str,
        adapter: &Option<Name>,
        request_id: RequestId,
    ) -> Option<QueueEntry> {
        let queue = self.accounts.get_mut(account)?;
        let lane = queue.lanes.get_mut(adapter)?;
        let index = lane
            .iter()
            .position(|entry| entry.request.request_id == request_id)?;
        let entry = lane.remove(index)?;
        if lane.is_empty() {
            queue.lanes.remove(adapter);
        }
        queue.len -= 1;
        self.len -= 1;
        Some(entry)
    }

    /// Adds a served request's tokens to its account's virtual time.
    pub(crate) fn charge(&mut self, account: &Name, tokens: u64, weight: u32) {
        let Some(queue) = self.accounts.get_mut(account) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += virtual_cost(tokens, weight);
        self.remove_idle_accounts();
    }

    /// Takes unused tokens back out of an account's virtual time.
    pub(crate) fn refund(&mut self, account: &Name, tokens: u64, weight: u32) {
        if let Some(queue) = self.accounts.get_mut(account) {
            let refunded = virtual_cost(tokens, weight);
            queue.virtual_time = queue.virtual_time.saturating_sub(refunded);
        }
    }

    /// Returns the oldest eligible request of the account with the smallest virtual time that has
    /// one.
    pub(crate) fn select(&self, eligible: &dyn Fn(&QueueEntry) -> bool) -> Option<RequestId> {
        let candidates = self.accounts.values().filter_map(|queue| {
            let entry = queue.oldest(eligible)?;
            Some((queue.virtual_time, entry.sequence, entry.request.request_id))
        });
        candidates.min().map(|candidate| candidate.2)
    }

    /// Returns the eligible request that arrived first, regardless of accounts.
    pub(crate) fn oldest(&self, eligible: &dyn Fn(&QueueEntry) -> bool) -> Option<&QueueEntry> {
        let candidates = self
            .accounts
            .values()
            .filter_map(|queue| queue.oldest(eligible));
        candidates.min_by_key(|entry| entry.sequence)
    }

    /// Returns the newest request of the account with the most waiting requests, and their number.
    pub(crate) fn newest_of_longest_account(&self) -> Option<(&QueueEntry, usize)> {
        let queue = self.accounts.values().max_by_key(|queue| queue.len)?;
        let newest = queue.lanes.values().filter_map(VecDeque::back);
        let entry = newest.max_by_key(|entry| entry.sequence)?;
        Some((entry, queue.len))
    }

    /// Removes accounts without requests whose virtual time has been passed by that of the class.
    fn remove_idle_accounts(&mut self) {
        let class_time = self.virtual_time;
        self.accounts
            .retain(|_, queue| queue.len > 0 || queue.virtual_time > class_time);
    }
}

impl AccountQueue {
    fn oldest(&self, eligible: &dyn Fn(&QueueEntry) -> bool) -> Option<&QueueEntry> {
        let heads = self
            .lanes
            .values()
            .filter_map(|lane| first_eligible(lane, eligible));
        heads.min_by_key(|entry| entry.sequence)
    }
}

/// Returns the first eligible request of an adapter's queue. All requests of it without excluded
/// servers are equally eligible, so the search ends at the first of these.
fn first_eligible<'a>(
    lane: &'a VecDeque<QueueEntry>,
    eligible: &dyn Fn(&QueueEntry) -> bool,
) -> Option<&'a QueueEntry> {
    for entry in lane {
        if eligible(entry) {
            return Some(entry);
        }
        if entry.request.excluded.is_empty() {
            return None;
        }
    }
    None
}

/// Converts tokens into virtual time for an account's weight, which must not be 0.
fn virtual_cost(tokens: u64, weight: u32) -> u64 {
    tokens.saturating_mul(VIRTUAL_TIME_SCALE) / u64::from(weight)
}
