use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A new sample has the weight 1 / `SMOOTHING_WINDOW`.
const SMOOTHING_WINDOW: u32 = 8;

/// Moving averages of the run time and the time to the first token of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunEstimate {
    #[serde(rename = "hold")]
    run_time: Option<Duration>,
    first_token: Option<Duration>,
}

impl RunEstimate {
    /// Returns the average time from grant to release; `None` before the first sample.
    pub(crate) fn run_time(&self) -> Option<Duration> {
        self.run_time
    }

    /// Returns the average time from sending to the first token; zero before the first sample.
    pub(crate) fn first_token(&self) -> Duration {
        self.first_token.unwrap_or_default()
    }

    /// Adds one sample; requests without a first token count for the run time only.
    pub(crate) fn record(&mut self, run_time: Duration, first_token: Option<Duration>) {
        self.run_time = Some(smoothed(self.run_time, run_time));
        if let Some(sample) = first_token {
            self.first_token = Some(smoothed(self.first_token, sample));
        }
    }
}

fn smoothed(average: Option<Duration>, sample: Duration) -> Duration {
    average.map_or(sample, |average| {
        (average * (SMOOTHING_WINDOW - 1) + sample) / SMOOTHING_WINDOW
    })
}
