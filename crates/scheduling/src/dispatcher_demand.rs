//! Demand reports of a [`ModelDispatcher`], and its state for a planned handover.

use std::collections::BTreeMap;

use zinniahinge_types::AdapterDemand;
use zinniahinge_types::DemandRequest;
use zinniahinge_types::InFlightCount;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::DispatcherIdentity;
use crate::DispatcherSettings;
use crate::DispatcherState;
use crate::ModelDispatcher;
use crate::QueuedState;
use crate::TicketState;
use crate::queue_entry::QueueEntry;
use crate::ticket_record::TicketRecord;

impl ModelDispatcher {
    /// Builds the report for the pool planner, and resets the count of arrivals.
    pub fn demand(&mut self, now: MonotonicTime) -> DemandRequest {
        DemandRequest {
            service: self.identity.service.clone(),
            model: self.identity.model.clone(),
            applied_version: self.replicas.version(),
            waiting: self.waiting(now),
            in_flight: self.in_flight_counts(),
            arrivals: std::mem::take(&mut self.arrivals),
        }
    }

    /// Returns true if a request waits for a model or adapter that no replica serves. The pool
    /// planner should then be queried at short intervals.
    pub fn waits_for_load(&self) -> bool {
        let mut entries = self.queue.entries();
        entries.any(|entry| !self.replicas.serves(entry.request.adapter.as_ref()))
    }

    fn in_flight_counts(&self) -> Vec<InFlightCount> {
        let counts = self.tickets.servers().map(|(server, count)| InFlightCount {
            server: server.clone(),
            count,
        });
        counts.collect()
    }

    /// Sums the waiting requests per adapter, with refused cold requests as one each.
    fn waiting(&self, now: MonotonicTime) -> Vec<AdapterDemand> {
        let mut demands = BTreeMap::new();
        for entry in self.queue.entries() {
            add_entry(&mut demands, entry, now);
        }
        for (adapter, refusal) in self.cold_refusals.iter() {
            demands
                .entry(adapter.clone())
                .or_insert_with(|| AdapterDemand {
                    adapter: adapter.clone(),
                    count: 1,
                    class: refusal.class,
                    account: refusal.account.clone(),
                    deadline_in: refusal.until.since(now),
                    waited: Default::default(),
                });
        }
        demands.into_values().collect()
    }

    // ---------------------------------------------------------------------------------------------
    // Handover

    /// Exports the state for the next owner. This dispatcher must not be polled afterwards, or two
    /// owners would grant the same slots.
    pub fn export_state(&self, now: MonotonicTime) -> DispatcherState {
        let mut entries: Vec<_> = self.queue.entries().collect();
        entries.sort_by_key(|entry| entry.sequence);
        let queued = entries.into_iter().map(|entry| queued_state(entry, now));
        let tickets = self.tickets.records();
        DispatcherState {
            version: self.replicas.version(),
            replicas: self.replicas.entries().to_vec(),
            queued: queued.collect(),
            tickets: tickets.map(|record| ticket_state(record, now)).collect(),
            arrivals: self.arrivals,
            estimate: self.estimate,
        }
    }

    /// Creates a dispatcher from the state of the previous owner.
    pub fn from_state(
        identity: DispatcherIdentity,
        settings: DispatcherSettings,
        seed: u64,
        state: DispatcherState,
        now: MonotonicTime,
    ) -> Self {
        let DispatcherState {
            version,
            replicas,
            queued,
            tickets,
            arrivals,
            estimate,
        } = state;
        let mut dispatcher = Self::new(identity, settings, seed);
        dispatcher.apply_replicas(version, replicas);
        dispatcher.arrivals = arrivals;
        dispatcher.estimate = estimate;
        for ticket in tickets {
            dispatcher.tickets.insert(ticket_record(ticket, now));
        }
        for entry in queued {
            dispatcher.push(entry.request, entry.waited, entry.cold, now);
        }
        dispatcher
    }
}

/// Adds one waiting request to the demand of its adapter. The demand keeps the highest class, the
/// shortest deadline and the account that has waited longest.
fn add_entry(
    demands: &mut BTreeMap<Option<Name>, AdapterDemand>,
    entry: &QueueEntry,
    now: MonotonicTime,
) {
    let request = &entry.request;
    let waited = now.since(entry.arrived);
    let deadline_in = entry.deadline.since(now);
    let demand = demands
        .entry(request.adapter.clone())
        .or_insert_with(|| AdapterDemand {
            adapter: request.adapter.clone(),
            count: 0,
            class: request.class,
            account: request.account.clone(),
            deadline_in,
            waited,
        });
    demand.count += 1;
    demand.class = demand.class.min(request.class);
    demand.deadline_in = demand.deadline_in.min(deadline_in);
    if waited > demand.waited {
        demand.waited = waited;
        demand.account = request.account.clone();
    }
}

fn queued_state(entry: &QueueEntry, now: MonotonicTime) -> QueuedState {
    let mut request = entry.request.clone();
    request.deadline_in = entry.deadline.since(now);
    QueuedState {
        request,
        waited: now.since(entry.arrived),
        cold: entry.cold,
    }
}

fn ticket_state(record: &TicketRecord, now: MonotonicTime) -> TicketState {
    TicketState {
        ticket: record.ticket.clone(),
        request_id: record.request_id,
        host: record.host.clone(),
        account: record.account.clone(),
        class: record.class,
        tokens: record.tokens,
        held: now.since(record.granted),
        expires_in: record.deadline.since(now),
    }
}

fn ticket_record(state: TicketState, now: MonotonicTime) -> TicketRecord {
    let granted = now.since_origin().saturating_sub(state.held);
    TicketRecord {
        ticket: state.ticket,
        request_id: state.request_id,
        host: state.host,
        account: state.account,
        class: state.class,
        tokens: state.tokens,
        granted: MonotonicTime::from_origin(granted),
        deadline: now + state.expires_in,
    }
}
