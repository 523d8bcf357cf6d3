use std::collections::BTreeMap;
use std::collections::VecDeque;

use zinniahinge_types::Name;
use zinniahinge_types::RequestId;

use crate::queue_entry::QueueEntry;

/// Scale of virtual time, so that weights above 1 keep their effect on small requests.
const VIRTUAL_TIME_SCALE: u64 = 1024;

/// Waiting requests of one priority class, fair by tokens between accounts.
///
/// Each account has a virtual time that grows by tokens ÷ weight; the account with the smallest
/// one is served. An account that comes back from idleness starts at the class's virtual time, so
/// it neither has saved up credit nor pays for the past.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    accounts: BTreeMap<Name, AccountQueue>,
    virtual_time: u64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    /// Arrival order per adapter, so that requests for a cold adapter block no others.
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

    /// Accounts with a waiting request.
    pub(crate) fn backlogged_accounts(&self) -> usize {
        self.accounts.values().filter(|queue| queue.len > 0).count()
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &QueueEntry> {
        self.accounts
            .values()
            .flat_map(|queue| queue.lanes.values().flatten())
    }

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

    /// Counts a served request's tokens for its account.
    pub(crate) fn charge(&mut self, account: &Name, tokens: u64, weight: u32) {
        let Some(queue) = self.accounts.get_mut(account) else {
            return;
        };
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += virtual_cost(tokens, weight);
        self.remove_idle_accounts();
    }

    pub(crate) fn refund(&mut self, account: &Name, tokens: u64, weight: u32) {
        if let Some(queue) = self.accounts.get_mut(account) {
            let refunded = virtual_cost(tokens, weight);
            queue.virtual_time = queue.virtual_time.saturating_sub(refunded);
        }
    }

    /// Request of the account with the smallest virtual time that has a placeable one.
    pub(crate) fn select(&self, eligible: &dyn Fn(&QueueEntry) -> bool) -> Option<RequestId> {
        let candidates = self.accounts.values().filter_map(|queue| {
            let entry = queue.oldest(eligible)?;
            Some((queue.virtual_time, entry.sequence, entry.request.request_id))
        });
        candidates.min().map(|candidate| candidate.2)
    }

    pub(crate) fn oldest(&self, eligible: &dyn Fn(&QueueEntry) -> bool) -> Option<&QueueEntry> {
        let candidates = self
            .accounts
            .values()
            .filter_map(|queue| queue.oldest(eligible));
        candidates.min_by_key(|entry| entry.sequence)
    }

    /// Newest request of the account with most waiting requests, and that number.
    pub(crate) fn newest_of_longest_account(&self) -> Option<(&QueueEntry, usize)> {
        let queue = self.accounts.values().max_by_key(|queue| queue.len)?;
        let newest = queue.lanes.values().filter_map(VecDeque::back);
        let entry = newest.max_by_key(|entry| entry.sequence)?;
        Some((entry, queue.len))
    }

    /// Drops accounts whose virtual time carries no information any more.
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

/// First placeable request of a lane. Only requests with excluded servers can differ from the
/// others of their lane, so the search ends at the first one without.
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

fn virtual_cost(tokens: u64, weight: u32) -> u64 {
    tokens.saturating_mul(VIRTUAL_TIME_SCALE) / u64::from(weight)
}
