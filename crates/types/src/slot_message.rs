//! Messages about backend servers that limit the rate of requests to them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::serde_as;

use crate::BackendRun;
use crate::HostId;

/// States what a run of a backend server last said about its limit, as far as the sender knows.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Run of the backend server.
    pub run: BackendRun,
    /// Requests a second that it takes from all hosts together; `None` if it names no limit any more.
    pub limit_per_s: Option<f64>,
    /// Time since the backend server said so.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "age_us")]
    pub age: Duration,
}

/// Asks the coordinator when one request may be sent to a backend server that limits requests.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Host that sends this.
    pub host: HostId,
    /// The limit as the sender knows it; of an age from before all other statements if it knows none.
    pub notice: LimitNotice,
    /// Requests a second that the sender keeps to for another reason than the limit; `None` if only the limit counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<f64>,
    /// Time for which the backend server stays cold, as far as the sender knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    #[serde(rename = "cold_left_us")]
    pub cold_left: Option<Duration>,
    /// Longest time that the request can wait.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "max_wait_us")]
    pub max_wait: Duration,
}

/// Result of asking for a slot in the schedule of a backend server. A host that is not the coordinator answers a
/// [`SlotRequest`] with `None`.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotDecision {
    /// The request has a slot.
    Granted {
        /// Time until the slot.
        #[serde_as(as = "DurationMicroSeconds<u64>")]
        #[serde(rename = "wait_us")]
        wait: Duration,
        /// Time until the slot after it, for the next request of any host.
        #[serde_as(as = "DurationMicroSeconds<u64>")]
        #[serde(rename = "next_in_us")]
        next_in: Duration,
    },
    /// The next slot is later than the request can wait for; none was reserved.
    Refused {
        /// Time until the next slot.
        #[serde_as(as = "DurationMicroSeconds<u64>")]
        #[serde(rename = "again_in_us")]
        again_in: Duration,
    },
}
