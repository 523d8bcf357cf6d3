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
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Services by weight; never empty.
    pub shares: SmallVec<[ServiceShare; 2]>,
    /// Most backend servers that may run one request.
    pub max_backends: u32,
    /// True if callers need no key.
    pub is_open: bool,
}

impl RouteRule {
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
