//! Adapter orders of a [`PoolPlanner`].

use zinniahinge_types::AdapterDemand;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::AdapterSpec;
use crate::OrderAction;
use crate::PoolOrder;
use crate::PoolPlanner;
use crate::open_order::OpenOrder;
use crate::pool_drain::ReplicaKey;
use crate::replica_record::LifecycleStage;

/// An adapter that requests wait for.
#[derive(Clone, Debug)]
struct AdapterWish {
    model: Name,
    demand: AdapterDemand,
    spec: AdapterSpec,
}

impl PoolPlanner {
    /// Load orders for adapters that requests wait for, most urgent first.
    pub(crate) fn load_adapters(&mut self, now: MonotonicTime) -> Vec<PoolOrder> {
        let mut wishes = self.adapter_wishes();
        wishes.sort_by_key(|wish| (wish.demand.class, wish.demand.deadline_in));
        let mut orders = Vec::new();
        for wish in &wishes {
            if self.open_adapter_loads() >= self.settings.adapter_limit as usize {
                break;
            }
            orders.extend(self.load_adapter(wish, now));
        }
        orders
    }

    fn open_adapter_loads(&self) -> usize {
        let orders = self.orders.values();
        let loads = orders.filter(|order| order.action == OrderAction::LoadAdapter);
        loads.count()
    }

    fn adapter_wishes(&self) -> Vec<AdapterWish> {
        let mut wishes = Vec::new();
        for (model, record) in &self.demands {
            for demand in &record.waiting {
                wishes.extend(self.adapter_wish(model, demand));
            }
        }
        wishes
    }

    /// An adapter wants one replica with it, however many requests wait.
    fn adapter_wish(&self, model: &Name, demand: &AdapterDemand) -> Option<AdapterWish> {
        let adapter = demand.adapter.as_ref()?;
        let spec = self.catalog.adapters.get(adapter)?;
        let present = self.servers.values().any(|record| {
            let replica = record.replicas.get(model);
            replica.is_some_and(|replica| {
                let usable = matches!(
                    replica.stage,
                    LifecycleStage::Ready | LifecycleStage::Loading
                );
                usable && replica.adapters.contains_key(adapter)
            })
        });
        let wanted = spec.model == *model && !present;
        wanted.then(|| AdapterWish {
            model: model.clone(),
            demand: demand.clone(),
            spec: spec.clone(),
        })
    }

    fn load_adapter(&mut self, wish: &AdapterWish, now: MonotonicTime) -> Option<PoolOrder> {
        let key = self.adapter_target_replica(wish)?;
        let record = self.servers.get(&key.server)?;
        let order = OpenOrder {
            action: OrderAction::LoadAdapter,
            server: key.server.clone(),
            boot_id: record.boot_id,
            model: wish.model.clone(),
            adapter: wish.demand.adapter.clone(),
            bytes: wish.spec.bytes,
            issued_at: now,
            resend_at: now + self.settings.resend_after,
            permit: false,
            account: Some(wish.demand.account.clone()),
        };
        self.open_order(order, now)
    }

    /// The least busy ready replica with enough free memory.
    fn adapter_target_replica(&self, wish: &AdapterWish) -> Option<ReplicaKey> {
        let keys = self.replica_keys(|record, model, replica| {
            *model == wish.model
                && replica.stage == LifecycleStage::Ready
                && !record.leaving
                && record.free_bytes() >= wish.spec.bytes
        });
        keys.into_iter().min_by_key(|key| {
            let replica = self.replica(key);
            replica.map_or((0, 0), |replica| {
                (replica.in_flight, replica.adapters.len())
            })
        })
    }
}
