use std::time::Duration;

/// Rule of a [`crate::ServerChooser`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChooserRule {
    /// Near place first, then the region, then anywhere; the less busy of two random servers.
    #[default]
    NearPowerOfTwo,
    /// Baseline: any server.
    Random,
    /// Baseline: fewest requests in flight, wherever it is.
    LeastLoaded,
}

/// Bounds and rule of a [`crate::ServerChooser`].
#[derive(Clone, Debug)]
pub struct ChooserSettings {
    /// Choice between servers.
    pub rule: ChooserRule,
    /// Consecutive failures after which a server is ejected.
    pub ejection_failures: u32,
    /// Time out of service after the first ejection; doubles with each further one.
    pub base_ejection_time: Duration,
    /// Longest time out of service.
    pub max_ejection_time: Duration,
    /// Requests in flight by which a nearer server must exceed a farther one to lose against it.
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
