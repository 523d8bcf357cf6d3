//! Limits of the weight store.

/// What the weight store bears before loads slow each other down.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightStoreLimits {
    /// Model loads that may start per second.
    pub loads_per_second: f64,
    /// Model loads that run at full speed side by side.
    pub at_once: u32,
    /// Adapter loads in flight in the whole fleet before each takes proportionally longer.
    pub adapters_at_once: u32,
}
