use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use tokio::time::Instant;
use zinniahinge_serving::AccountSpec;
use zinniahinge_serving::HomeRule;
use zinniahinge_serving::KeyDigest;
use zinniahinge_serving::RequestFacts;
use zinniahinge_serving::RouteRule;
use zinniahinge_serving::ServingConfig;
use zinniahinge_types::Name;

use crate::body_reader::BodyReservation;

/// An admitted request with its route, client account and deadline.
pub(crate) struct RequestContext {
    pub(crate) arrived: Instant,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Reserves the memory of the body until the request ends; streams keep it too, since they may be sent again.
    pub(crate) _reservation: BodyReservation,
    pub(crate) facts: RequestFacts,
    /// Configuration under which the request was admitted.
    pub(crate) config: Arc<ServingConfig>,
    pub(crate) rule: Arc<RouteRule>,
    pub(crate) service: Name,
    /// Client account and key; `None` on open routes.
    pub(crate) account: Option<(Arc<AccountSpec>, KeyDigest)>,
    /// Time by which the response must have ended.
    pub(crate) deadline: Instant,
}

impl RequestContext {
    /// Priority of the request: the client account's, or the route's if the account has none.
    pub(crate) fn urgency(&self) -> u8 {
        let account = self.account.as_ref();
        let priority = account.and_then(|(account, _)| account.priority);
        priority.unwrap_or(self.rule.priority)
    }

    /// Regions in which the request may run.
    pub(crate) fn homes(&self) -> HomeRule<'_> {
        let account = self.account.as_ref();
        HomeRule {
            route: &self.rule.homes,
            account: account.map_or(&[], |(account, _)| &account.homes),
        }
    }

    /// Time until the deadline; zero after it.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time from the arrival to the deadline.
    pub(crate) fn total_time(&self) -> Duration {
        self.deadline.saturating_duration_since(self.arrived)
    }

    /// Time by which the caller must get the first event of a stream, or else it disconnects; the deadline for other
    /// responses.
    pub(crate) fn first_response_deadline(&self) -> Instant {
        let timeout = self.rule.first_event_timeout();
        timeout.map_or(self.deadline, |timeout| {
            self.deadline.min(self.arrived + timeout)
        })
    }

    /// Units that the request counts against its client account's rate; 0 without an account.
    pub(crate) fn cost(&self) -> u64 {
        let account = self.account.as_ref();
        account.map_or(0, |(account, _)| account.cost(self.facts.charged_tokens()))
    }
}
