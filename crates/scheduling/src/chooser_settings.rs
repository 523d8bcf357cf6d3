use std::time::Duration;

/// Rule by which a [`crate::ServerChooser`] selects a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChooserRule {
    /// The less busy of two random servers in the same data centre, unless servers of the same
    /// region or elsewhere have far fewer requests in flight.
    #[default]
    NearPowerOfTwo,
    /// Baseline: any server.
    Random,
    /// Baseline: fewest requests in flight, wherever it is.
    LeastLoaded,
}

/// Limits and rule of a [`crate::ServerChooser`].
#[derive(Clone, Debug)]
pub struct ChooserSettings {
    /// Rule by which a server is selected.
    pub rule: ChooserRule,
    /// Consecutive failures after which a server is ejected.
    pub ejection_failures: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub base_ejection_time: Duration,
    /// Longest duration of an ejection.
    pub max_ejection_time: Duration,
    /// A farther server is used when a nearer one has more than this many additional requests in
    /// flight.
    pub spill_after: u32,
}

impl Default for ChooserSettings {
    fn default() -> Self {
        Self {
            rule: ChooserRule::default(),
            ejection_failures: 3,
            base_ejection_time: Duration::from_secs(2),
            max_ejection_time: Duration::from_secs(30),
            spill_after: 16,
        }
    }
}
