//! Export and import of a [`PoolPlanner`]'s state for a planned handover.

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::MemoryReservation;
use crate::OrderId;
use crate::PoolPlanner;
use crate::PoolSettings;
use crate::PoolState;
use crate::demand_record::DemandRecord;
use crate::open_order::OpenOrder;
use crate::pool_state::AdapterSnapshot;
use crate::pool_state::DemandSnapshot;
use crate::pool_state::DrainSnapshot;
use crate::pool_state::FailureSnapshot;
use crate::pool_state::OrderSnapshot;
use crate::pool_state::ReplicaSnapshot;
use crate::pool_state::ServerSnapshot;
use crate::pool_state::time_before;
use crate::replica_record::AdapterRecord;
use crate::replica_record::DrainRecord;
use crate::replica_record::ReplicaRecord;
use crate::server_record::LoadFailure;
use crate::server_record::ServerRecord;

impl PoolPlanner {
    /// Exports the state for the next owner. This planner must not be asked for decisions
    /// afterwards, or two owners would order loads at the same time.
    pub fn export_state(&self, now: MonotonicTime) -> PoolState {
        let servers = self.servers.iter();
        let demands = self.demands.iter();
        let orders = self.orders.iter();
        PoolState {
            version: self.version,
            last_order: self.last_order,
            permit_in: self.permits.next_start().since(now),
            servers: servers
                .map(|(name, record)| (name.clone(), server_snapshot(record, now)))
                .collect(),
            demands: demands
                .map(|(name, record)| (name.clone(), demand_snapshot(record, now)))
                .collect(),
            orders: orders
                .map(|(order_id, order)| order_snapshot(*order_id, order, now))
                .collect(),
        }
    }

    /// Creates a planner from the state of the previous owner. `fence` must be larger than the
    /// previous one.
    pub fn from_state(
        service: Name,
        settings: PoolSettings,
        fence: u64,
        seed: u64,
        state: PoolState,
        now: MonotonicTime,
    ) -> Self {
        let PoolState {
            version,
            last_order,
            permit_in,
            servers,
            demands,
            orders,
        } = state;
        let mut planner = Self::new(service, settings, fence, seed);
        planner.version = planner.version.max(version);
        planner.last_order = planner.last_order.max(last_order);
        planner.permits.delay_until(now + permit_in);
        planner.servers = servers
            .into_iter()
            .map(|(name, snapshot)| (name, server_record(snapshot, now)))
            .collect();
        planner.demands = demands
            .into_iter()
            .map(|(name, snapshot)| (name, demand_record(snapshot, now)))
            .collect();
        for order in orders {
            let order_id = order.reservation.order_id;
            planner.orders.insert(order_id, open_order(order, now));
        }
        planner
    }
}

// -------------------------------------------------------------------------------------------------
// Export

fn server_snapshot(record: &ServerRecord, now: MonotonicTime) -> ServerSnapshot {
    let replicas = record.replicas.iter();
    let failures = record.failures.iter();
    ServerSnapshot {
        address: record.address.clone(),
        place: record.place.clone(),
        boot_id: record.boot_id,
        fencing: record.fencing,
        leaving: record.leaving,
        observed: record.observed,
        memory_bytes: record.memory_bytes,
        accelerators: record.accelerators,
        cached: record.cached.clone(),
        replicas: replicas
            .map(|(model, replica)| (model.clone(), replica_snapshot(replica, now)))
            .collect(),
        failures: failures
            .map(|(model, failure)| (model.clone(), failure_snapshot(failure, now)))
            .collect(),
    }
}

fn failure_snapshot(failure: &LoadFailure, now: MonotonicTime) -> FailureSnapshot {
    FailureSnapshot {
        count: failure.count,
        retry_in: failure.retry_at.since(now),
    }
}

fn replica_snapshot(replica: &ReplicaRecord, now: MonotonicTime) -> ReplicaSnapshot {
    let adapters = replica.adapters.iter();
    ReplicaSnapshot {
        stage: replica.stage,
        bytes: replica.bytes,
        bytes_include_adapters: replica.bytes_include_adapters,
        slots: replica.slots,
        adapters: adapters
            .map(|(name, adapter)| (name.clone(), adapter_snapshot(adapter, now)))
            .collect(),
        drain: replica.drain.map(|drain| drain_snapshot(drain, now)),
        in_flight: replica.in_flight,
        running: replica.running,
        maybe_running: replica.maybe_running,
        used: replica.used,
        ready_for: now.since(replica.ready_at),
        idle_for: now.since(replica.last_busy),
    }
}

fn adapter_snapshot(adapter: &AdapterRecord, now: MonotonicTime) -> AdapterSnapshot {
    AdapterSnapshot {
        stage: adapter.stage,
        bytes: adapter.bytes,
        drain: adapter.drain.map(|drain| drain_snapshot(drain, now)),
        idle_for: now.since(adapter.last_used),
    }
}

fn drain_snapshot(drain: DrainRecord, now: MonotonicTime) -> DrainSnapshot {
    DrainSnapshot {
        reason: drain.reason,
        version: drain.version,
        running_for: now.since(drain.since),
        acknowledged: drain.acknowledged,
    }
}

fn demand_snapshot(record: &DemandRecord, now: MonotonicTime) -> DemandSnapshot {
    DemandSnapshot {
        waiting: record.waiting.clone(),
        reported: record.reported,
        report_age: now.since(record.reported_at),
        sent_version: record.sent_version,
        list_version: record.list_version,
        gaps: record.gaps.clone(),
        inactive_for: record.last_active.map(|last| now.since(last)),
    }
}

fn order_snapshot(order_id: OrderId, order: &OpenOrder, now: MonotonicTime) -> OrderSnapshot {
    OrderSnapshot {
        reservation: order.reservation(order_id),
        resend_in: order.resend_at.since(now),
        permit: order.permit,
        account: order.account.clone(),
    }
}

// -------------------------------------------------------------------------------------------------
// Import

fn server_record(snapshot: ServerSnapshot, now: MonotonicTime) -> ServerRecord {
    let replicas = snapshot.replicas.into_iter();
    let failures = snapshot.failures.into_iter();
    ServerRecord {
        address: snapshot.address,
        place: snapshot.place,
        boot_id: snapshot.boot_id,
        fencing: snapshot.fencing,
        leaving: snapshot.leaving,
        observed: snapshot.observed,
        memory_bytes: snapshot.memory_bytes,
        accelerators: snapshot.accelerators,
        cached: snapshot.cached,
        replicas: replicas
            .map(|(model, replica)| (model, replica_record(replica, now)))
            .collect(),
        confirmed_at: now,
        observed_at: now,
        failures: failures
            .map(|(model, failure)| (model, load_failure(failure, now)))
            .collect(),
    }
}

fn load_failure(snapshot: FailureSnapshot, now: MonotonicTime) -> LoadFailure {
    LoadFailure {
        count: snapshot.count,
        retry_at: now + snapshot.retry_in,
    }
}

fn replica_record(snapshot: ReplicaSnapshot, now: MonotonicTime) -> ReplicaRecord {
    let adapters = snapshot.adapters.into_iter();
    ReplicaRecord {
        stage: snapshot.stage,
        bytes: snapshot.bytes,
        bytes_include_adapters: snapshot.bytes_include_adapters,
        slots: snapshot.slots,
        adapters: adapters
            .map(|(name, adapter)| (name, adapter_record(adapter, now)))
            .collect(),
        drain: snapshot.drain.map(|drain| drain_record(drain, now)),
        in_flight: snapshot.in_flight,
        running: snapshot.running,
        maybe_running: snapshot.maybe_running,
        maybe_running_since: now,
        ready_at: time_before(now, snapshot.ready_for),
        last_busy: time_before(now, snapshot.idle_for),
        used: snapshot.used,
        unload_after: now,
    }
}

fn adapter_record(snapshot: AdapterSnapshot, now: MonotonicTime) -> AdapterRecord {
    AdapterRecord {
        stage: snapshot.stage,
        bytes: snapshot.bytes,
        drain: snapshot.drain.map(|drain| drain_record(drain, now)),
        last_used: time_before(now, snapshot.idle_for),
    }
}

fn drain_record(snapshot: DrainSnapshot, now: MonotonicTime) -> DrainRecord {
    DrainRecord {
        reason: snapshot.reason,
        version: snapshot.version,
        since: time_before(now, snapshot.running_for),
        acknowledged: snapshot.acknowledged,
    }
}

fn demand_record(snapshot: DemandSnapshot, now: MonotonicTime) -> DemandRecord {
    let inactive_for = snapshot.inactive_for;
    DemandRecord {
        waiting: snapshot.waiting,
        reported: snapshot.reported,
        reported_at: time_before(now, snapshot.report_age),
        // Unknown until the dispatcher reports to this planner.
        applied_version: 0,
        sent_version: snapshot.sent_version,
        list_version: snapshot.list_version,
        gaps: snapshot.gaps,
        last_active: inactive_for.map(|inactive_for| time_before(now, inactive_for)),
        surplus_since: None,
    }
}

fn open_order(snapshot: OrderSnapshot, now: MonotonicTime) -> OpenOrder {
    let MemoryReservation {
        order_id: _,
        action,
        server,
        boot_id,
        model,
        adapter,
        bytes,
    } = snapshot.reservation;
    OpenOrder {
        action,
        server,
        boot_id,
        model,
        adapter,
        bytes,
        issued_at: now,
        resend_at: now + snapshot.resend_in,
        permit: snapshot.permit,
        account: snapshot.account,
    }
}
