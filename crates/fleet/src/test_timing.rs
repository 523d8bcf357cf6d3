use std::env;
use std::time::Duration;

/// Variable that selects full-length tests with default times.
const FULL_LENGTH_VARIABLE: &str = "ZINNIAHINGE_FULL_LENGTH";

/// Times of the authority protocol and lengths of faults in one test run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TestTiming {
    /// Default times of the programs, and faults as long as the design page states them.
    pub is_full_length: bool,
    /// How long an acknowledged heartbeat lasts.
    pub term: Duration,
    /// Time without joins and deaths before shards are rebalanced.
    pub settle: Duration,
}

impl TestTiming {
    /// Short times, or the default ones if `ZINNIAHINGE_FULL_LENGTH` is 1.
    pub fn from_environment() -> Self {
        if env::var(FULL_LENGTH_VARIABLE).is_ok_and(|value| value == "1") {
            return Self::full_length();
        }
        Self {
            is_full_length: false,
            term: Duration::from_millis(900),
            settle: Duration::from_millis(500),
        }
    }

    /// Default times of the programs.
    pub fn full_length() -> Self {
        Self {
            is_full_length: true,
            term: Duration::from_secs(3),
            settle: Duration::from_secs(5),
        }
    }

    /// Arguments of the control processes.
    pub fn control_arguments(&self) -> &'static [&'static str] {
        if self.is_full_length {
            return &[];
        }
        &[
            "--term-ms",
            "900",
            "--heartbeat-ms",
            "200",
            "--settle-ms",
            "500",
        ]
    }

    /// Chooses between a full and a short length.
    pub fn pick(&self, full: Duration, short: Duration) -> Duration {
        if self.is_full_length { full } else { short }
    }
}
