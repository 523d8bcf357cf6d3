use std::time::Duration;

/// Share of the slots of all hosts together that hosts which reach no coordinator use beyond those that the coordinator
/// grants.
const SHARED_SLOTS: f64 = 0.25;

/// Requests a second that may arrive beyond the slots of that second, because others took longer on their way.
const DELAYED_REQUESTS: f64 = 2.0;

/// How servers of a service start: slowly, with few requests a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Requests a second that a cold server takes from all hosts together.
    pub per_s: f64,
}

/// How far requests in one second may exceed what a cold server takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor.
    pub factor: f64,
    /// Further requests.
    pub requests: f64,
}

impl Default for ColdTolerance {
    /// No excess.
    fn default() -> Self {
        Self {
            factor: 1.0,
            requests: 0.0,
        }
    }
}

impl ColdStart {
    /// Slots a second with which no second has more requests than the tolerance allows, also if some hosts reach no
    /// coordinator; at most what a cold server takes.
    pub fn slots_per_s(&self, tolerance: &ColdTolerance) -> f64 {
        let allowed = self.per_s * tolerance.factor + tolerance.requests;
        let slots = (allowed - DELAYED_REQUESTS) / (1.0 + SHARED_SLOTS);
        slots.clamp(0.0, self.per_s)
    }
}
