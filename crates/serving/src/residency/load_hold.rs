use zinniahinge_types::Name;

/// Why a plan sent no order towards a load that is wanted.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadHold {
    /// No engine can load the model now: none is accepting, or its memory is reserved or in use.
    NoTarget,
    /// No engine can load the model from a copy, and the weight store is kept for other loads.
    NoCopy {
        /// Loads from the weight store that are under way.
        store_loads: usize,
        /// Estimated number of such loads that run at full speed at once.
        full_speed: f64,
    },
    /// The load costs more than it saves, seconds.
    OverCost {
        /// Lowest cost over all engines.
        cost_s: f64,
        /// Largest cost that is worth it.
        limit_s: f64,
    },
    /// The chosen engine carries out another order.
    EngineBusy {
        /// Id of the server.
        backend: Name,
    },
    /// The weight store's bandwidth or rate limit is in use.
    StoreBusy,
    /// No engine with the model can take an order now.
    NoReadyEngine,
    /// The engine has no place for another adapter before one is unloaded.
    AdaptersFull {
        /// Id of the server.
        backend: Name,
    },
}
