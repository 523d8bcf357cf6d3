use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Weight of a new sample is 1 / this.
const SMOOTHING: u32 = 8;

/// Moving averages of how long requests run on a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunEstimate {
    hold: Option<Duration>,
    first_token: Option<Duration>,
}

impl RunEstimate {
    /// Time from grant to release; `None` before the first sample.
    pub(crate) fn hold(&self) -> Option<Duration> {
        self.hold
    }

    /// Time from sending to the first token; zero before the first sample.
    pub(crate) fn first_token(&self) -> Duration {
        self.first_token.unwrap_or_default()
    }

    pub(crate) fn record(&mut self, hold: Duration, first_token: Option<Duration>) {
        self.hold = Some(smoothed(self.hold, hold));
        if let Some(sample) = first_token {
            self.first_token = Some(smoothed(self.first_token, sample));
        }
    }
}

fn smoothed(average: Option<Duration>, sample: Duration) -> Duration {
    average.map_or(sample, |average| {
        (average * (SMOOTHING - 1) + sample) / SMOOTHING
    })
}
