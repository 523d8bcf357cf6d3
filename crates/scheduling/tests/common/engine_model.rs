use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinniahinge_scheduling::LoadedModel;
use zinniahinge_scheduling::OrderAction;
use zinniahinge_scheduling::OrderId;
use zinniahinge_scheduling::PoolOrder;
use zinniahinge_types::Name;

use super::GB;

/// Memory for one model and one adapter, so that most loads need an eviction.
pub const MEMORY: u64 = 11 * GB;

/// Simulated backend server that executes orders.
#[derive(Clone, Debug)]
pub struct EngineModel {
    pub boot_id: u64,
    pub fencing: bool,
    pub newest_fence: u64,
    pub loaded: BTreeMap<Name, LoadedModel>,
    pub done: BTreeSet<OrderId>,
    pub running: Vec<RunningRequest>,
}

#[derive(Clone, Debug)]
pub struct RunningRequest {
    pub model: Name,
    pub adapter: Option<Name>,
    /// Restart count of the dispatcher that holds the request's ticket.
    pub dispatcher_run: u32,
}

impl EngineModel {
    /// Returns true if the model and adapter of the request are loaded.
    pub fn has(&self, request: &RunningRequest) -> bool {
        let loaded = self.loaded.get(&request.model);
        loaded.is_some_and(|loaded| {
            let adapter = request.adapter.as_ref();
            adapter.is_none_or(|adapter| loaded.adapters.contains_key(adapter))
        })
    }

    /// Returns the loaded models with their running requests, as the server reports them.
    pub fn state(&self) -> BTreeMap<Name, LoadedModel> {
        let mut state = self.loaded.clone();
        for request in &self.running {
            let loaded = state
                .get_mut(&request.model)
                .expect("the model of a running request is loaded");
            loaded.running += 1;
        }
        state
    }

    /// Executes an order, and panics on one that must never be sent: a second load, an unload under
    /// running requests, or more memory than there is.
    pub fn execute(&mut self, order: &PoolOrder) {
        let model = order.model.clone();
        let adapter = order.adapter.clone();
        match order.action {
            OrderAction::LoadModel => {
                let loaded = LoadedModel {
                    bytes: order.bytes,
                    ..LoadedModel::default()
                };
                let before = self.loaded.insert(model, loaded);
                assert!(before.is_none(), "second load: {order:?}");
            }
            OrderAction::UnloadModel => {
                self.loaded.remove(&model);
            }
            OrderAction::LoadAdapter => {
                let replica = self
                    .loaded
                    .get_mut(&model)
                    .expect("the adapter's model is loaded");
                replica
                    .adapters
                    .insert(adapter.expect("adapter"), order.bytes);
            }
            OrderAction::UnloadAdapter => {
                let replica = self
                    .loaded
                    .get_mut(&model)
                    .expect("the adapter's model is loaded");
                replica.adapters.remove(&adapter.expect("adapter"));
            }
        }
        let served = self.running.iter().all(|request| self.has(request));
        assert!(served, "unload under running requests: {order:?}");
        let memory = used(self);
        assert!(memory <= MEMORY, "overcommitted to {memory}: {order:?}");
    }
}

/// Returns the bytes of all loaded models and adapters.
fn used(engine: &EngineModel) -> u64 {
    let models = engine.loaded.values();
    models
        .map(|model| model.bytes + model.adapters.values().sum::<u64>())
        .sum()
}
