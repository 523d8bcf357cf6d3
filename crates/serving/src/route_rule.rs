use std::time::Duration;

use smallvec::SmallVec;
use zinniahinge_types::Name;

/// What may be done again with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a series of events.
    Streaming {
        /// Another backend server may go on after the last event that arrived, so the request may run more than once.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// True if a request may run on a second backend server although a first may have run it.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { is_resumable } => is_resumable,
        }
    }

    /// True for a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A service that takes part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Service.
    pub service: Name,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: Name,
    /// Value of the `Host` header.
    pub host: Name,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the end of the answer.
    pub timeout: Duration,
    /// Time until the answer, or its first event, that callers count as good.
    pub goal: Duration,
    /// Longest pause between two events that callers count as good; `None` if the route states none.
    pub pause_goal: Option<Duration>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services by weight; never empty.
    pub shares: SmallVec<[ServiceShare; 2]>,
    /// Most backend servers that may run one request.
    pub max_backends: u32,
    /// True if callers need no key.
    pub is_open: bool,
}

/// Callers leave a stream without an event for the longest of these: a time, and multiples of the route's goals.
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_GOALS: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

impl RouteRule {
    /// How long callers wait for the first event of a stream, from the users' protocol page; `None` for other answers,
    /// for which they wait until their deadline.
    pub fn first_event_timeout(&self) -> Option<Duration> {
        let pause = self.pause_goal.unwrap_or_default();
        let patience = (self.goal * PATIENCE_GOALS).max(pause * PATIENCE_PAUSES);
        self.kind.is_stream().then(|| patience.max(MIN_PATIENCE))
    }

    /// Service for a request, by weight; `draw` is uniform over all values.
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
