/// Part of the rate of a cold server that hosts which reach no coordinator divide. Their slots fall together by chance, and one
/// second too many crashes the server.
const COLD_SHARE: f64 = 0.25;

/// Why a server gets only so many requests a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateReason {
    /// It named a limit.
    Limit,
    /// It is cold.
    Cold,
    /// It has just started or recovered, and the coordinator finds out what it takes.
    Pace,
}

/// Requests a second that a run of a server gets from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendRate {
    /// Requests a second.
    pub per_s: f64,
    /// Why it gets no more.
    pub reason: RateReason,
}

impl RateReason {
    /// Name in log lines and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Limit => "limit",
            Self::Cold => "cold",
            Self::Pace => "pace",
        }
    }
}

impl SendRate {
    /// Requests a second that hosts which reach no coordinator divide among them, as [`crate::LimitShares`] does.
    pub fn shared_per_s(&self) -> f64 {
        match self.reason {
            RateReason::Cold => self.per_s * COLD_SHARE,
            RateReason::Limit | RateReason::Pace => self.per_s,
        }
    }

    /// The smallest of the rates; `None` if none applies. Of equal rates, the first reason counts.
    pub fn smallest(limit: Option<f64>, cold: Option<f64>, pace: Option<f64>) -> Option<Self> {
        let rates = [
            (limit, RateReason::Limit),
            (cold, RateReason::Cold),
            (pace, RateReason::Pace),
        ];
        let rates = rates.into_iter().filter_map(|(per_s, reason)| {
            Some(Self {
                per_s: per_s?,
                reason,
            })
        });
        rates.min_by(|one, other| one.per_s.total_cmp(&other.per_s))
    }
}
