//! Load limits of the weight store, as stated in a document.

/// Loads that the weight store can serve before they slow each other down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightStoreLimits {
    /// Maximum rate of model load starts, per second.
    pub loads_per_second: f64,
    /// Maximum number of concurrent model loads that all run at full speed.
    pub at_once: u32,
    /// Maximum number of concurrent adapter loads in the whole fleet that all run at full speed; above
    /// it, each takes proportionally longer.
    pub adapters_at_once: u32,
}
