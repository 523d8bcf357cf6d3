//! Reports of a [`PoolPlanner`] for metrics and events.

use zinniahinge_types::Name;

use crate::PoolPlanner;
use crate::ReplicaReport;
use crate::ServerReport;
use crate::replica_record::ReplicaRecord;

impl PoolPlanner {
    /// Returns all replicas, including those with an open order.
    pub fn replicas(&self) -> impl Iterator<Item = ReplicaReport> {
        self.servers.iter().flat_map(|(server, record)| {
            let replicas = record.replicas.iter();
            replicas.map(|(model, replica)| replica_report(server, model, replica))
        })
    }

    /// Returns all known backend servers with their memory.
    pub fn servers(&self) -> impl Iterator<Item = ServerReport> {
        self.servers.iter().map(|(server, record)| ServerReport {
            server: server.clone(),
            memory_bytes: record.memory_bytes,
            used_bytes: record.used_bytes(),
            accelerators: record.accelerators,
        })
    }

    /// Returns the number of orders whose results are unknown.
    pub fn open_orders(&self) -> usize {
        self.orders.len()
    }
}

fn replica_report(server: &Name, model: &Name, replica: &ReplicaRecord) -> ReplicaReport {
    ReplicaReport {
        server: server.clone(),
        model: model.clone(),
        stage: replica.stage,
        bytes: replica.total_bytes(),
        in_flight: replica.in_flight,
        adapters: replica.adapters.keys().cloned().collect(),
    }
}
