use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use tokio::time::Instant;
use zinniahinge_serving::AccountSpec;
use zinniahinge_serving::KeyDigest;
use zinniahinge_serving::RequestFacts;
use zinniahinge_serving::RouteRule;
use zinniahinge_serving::ServingConfig;
use zinniahinge_types::Name;

use crate::body_reader::HeldBytes;

/// A request after all filters: where it goes, for whom, and until when.
pub(crate) struct RequestContext {
    pub(crate) arrived: Instant,
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Counts the body as held, for streams until they end: they may be sent again.
    pub(crate) _held: HeldBytes,
    pub(crate) facts: RequestFacts,
    /// Configuration under which it was admitted.
    pub(crate) config: Arc<ServingConfig>,
    pub(crate) rule: Arc<RouteRule>,
    pub(crate) service: Name,
    /// Client account and key; `None` on open routes.
    pub(crate) account: Option<(Arc<AccountSpec>, KeyDigest)>,
    /// When the answer must have ended.
    pub(crate) deadline: Instant,
}

impl RequestContext {
    /// Rank: the account's goes before the route's.
    pub(crate) fn urgency(&self) -> u8 {
        let account = self.account.as_ref();
        let priority = account.and_then(|(account, _)| account.priority);
        priority.unwrap_or(self.rule.priority)
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time that the request had when it arrived.
    pub(crate) fn whole_time(&self) -> Duration {
        self.deadline.saturating_duration_since(self.arrived)
    }

    /// When the caller leaves if nothing of the answer has come.
    pub(crate) fn first_answer_by(&self) -> Instant {
        let patience = self.rule.first_event_timeout();
        patience.map_or(self.deadline, |patience| {
            self.deadline.min(self.arrived + patience)
        })
    }

    /// Units that the request counts against its account's rate.
    pub(crate) fn cost(&self) -> u64 {
        let account = self.account.as_ref();
        account.map_or(0, |(account, _)| account.cost(self.facts.charged_tokens()))
    }
}
