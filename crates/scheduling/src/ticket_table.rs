use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RequestId;
use zinniahinge_types::TicketId;

use crate::ticket_record::TicketRecord;

/// Tickets that have been neither released nor expired, with indexes and counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct TicketTable {
    records: BTreeMap<TicketId, TicketRecord>,
    by_request: BTreeMap<RequestId, TicketId>,
    deadlines: BTreeSet<(MonotonicTime, TicketId)>,
    per_server: BTreeMap<Name, u32>,
    per_account: BTreeMap<Name, u32>,
    batch: u32,
}

impl TicketTable {
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &TicketRecord> {
        self.records.values()
    }

    /// Returns the ticket that was granted to the request.
    pub(crate) fn by_request(&self, request_id: RequestId) -> Option<&TicketRecord> {
        self.records.get(self.by_request.get(&request_id)?)
    }

    /// Counts the tickets for a backend server.
    pub(crate) fn server_count(&self, server: &str) -> u32 {
        self.per_server.get(server).copied().unwrap_or(0)
    }

    /// Counts the tickets of a client account.
    pub(crate) fn account_count(&self, account: &str) -> u32 {
        self.per_account.get(account).copied().unwrap_or(0)
    }

    /// Counts the tickets of batch requests.
    pub(crate) fn batch_count(&self) -> u32 {
        self.batch
    }

    /// Returns the accounts with at least one ticket.
    pub(crate) fn accounts(&self) -> impl Iterator<Item = &Name> {
        self.per_account.keys()
    }

    /// Returns the servers with at least one ticket, and their counts.
    pub(crate) fn servers(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.per_server.iter().map(|(name, count)| (name, *count))
    }

    pub(crate) fn next_deadline(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|key| key.0)
    }

    pub(crate) fn insert(&mut self, record: TicketRecord) {
        let ticket_id = record.ticket.ticket_id;
        self.by_request.insert(record.request_id, ticket_id);
        self.deadlines.insert((record.deadline, ticket_id));
        increment(&mut self.per_server, &record.ticket.server);
        increment(&mut self.per_account, &record.account);
        self.batch += u32::from(record.class == PriorityClass::Batch);
        self.records.insert(ticket_id, record);
    }

    pub(crate) fn remove(&mut self, ticket_id: TicketId) -> Option<TicketRecord> {
        let record = self.records.remove(&ticket_id)?;
        self.by_request.remove(&record.request_id);
        self.deadlines.remove(&(record.deadline, ticket_id));
        decrement(&mut self.per_server, &record.ticket.server);
        decrement(&mut self.per_account, &record.account);
        self.batch -= u32::from(record.class == PriorityClass::Batch);
        Some(record)
    }

    /// Removes the tickets of requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: MonotonicTime) {
        while let Some((deadline, ticket_id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.remove(ticket_id);
        }
    }

    /// Removes all tickets given to `host` and returns how many there were.
    pub(crate) fn reclaim_host(&mut self, host: &str) -> usize {
        let held = self.records().filter(|record| &*record.host == host);
        let ids: Vec<_> = held.map(|record| record.ticket.ticket_id).collect();
        for ticket_id in &ids {
            self.remove(*ticket_id);
        }
        ids.len()
    }
}

fn increment(counts: &mut BTreeMap<Name, u32>, name: &Name) {
    *counts.entry(name.clone()).or_default() += 1;
}

fn decrement(counts: &mut BTreeMap<Name, u32>, name: &Name) {
    let Some(count) = counts.get_mut(name) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(name);
    }
}
