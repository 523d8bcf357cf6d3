use std::time::Duration;

use smallvec::SmallVec;
use zinniahinge_types::Name;

/// How often a route's requests may run, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// A request is answered by a stream of events.
    Streaming {
        /// True if another backend server can continue the stream after the last event that arrived. The request may
        /// then run more than once.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// True if a request may be sent to a second backend server although the first may have run it.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { is_resumable } => is_resumable,
        }
    }

    /// True if the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Definition of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route, for logs.
    pub name: Name,
    /// Value of the `Host` header that the route matches.
    pub host: Name,
    /// Path prefix that the route matches; starts and ends with a slash.
    pub prefix: Name,
    /// How often a request may run, and how it is answered.
    pub kind: RouteKind,
    /// Longest time from the request to the end of the answer.
    pub timeout: Duration,
    /// Target for the time to the answer, or to its first event.
    pub goal: Duration,
    /// Target for the longest pause between two events; `None` if the route states none.
    pub pause_goal: Option<Duration>,
    /// Priority of the route's requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that receive the requests; never empty.
    pub shares: SmallVec<[ServiceShare; 2]>,
    /// Largest number of backend servers that one request may be sent to.
    pub max_backends: u32,
    /// True if callers need no key.
    pub is_open: bool,
    /// Regions in which the requests may run; empty for all.
    pub homes: SmallVec<[Name; 2]>,
}

/// Shortest time for which callers wait for the first event. They wait for the longest of this and the multiples of the
/// route's goals below.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Multiple of the goal for the first event.
const FIRST_EVENT_GOALS: u32 = 4;
/// Multiple of the goal for the pause between events.
const FIRST_EVENT_PAUSES: u32 = 8;

impl RouteRule {
    /// Time for which callers wait for the first event of a stream, as the users' protocol states; `None` for other
    /// answers, for which they wait until their deadline.
    pub fn first_event_timeout(&self) -> Option<Duration> {
        let pause = self.pause_goal.unwrap_or_default();
        let timeout = (self.goal * FIRST_EVENT_GOALS).max(pause * FIRST_EVENT_PAUSES);
        self.kind
            .is_stream()
            .then(|| timeout.max(MIN_FIRST_EVENT_TIMEOUT))
    }

    /// Picks the service for a request by weight. `draw` must be uniformly distributed over all values.
    pub fn service(&self, draw: u32) -> Option<&Name> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut point = (u64::from(draw) * total) >> 32;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        self.shares.last().map(|share| &share.service)
    }
}
