//! State of one request as it passes the filters.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use zinniahinge_document::ServiceRoute;
use zinniahinge_types::GrantId;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RequestId;
use zinniahinge_types::TraceId;

use crate::caller_key::CallerKey;
use crate::chat_call::ChatCall;
use crate::settlement::ClaimGuard;

/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// One request.
pub struct RequestContext {
    /// Identifies the request in all processes.
    pub request_id: RequestId,
    /// Trace of the caller, or a new one.
    pub trace_id: TraceId,
    /// When the headers had arrived.
    pub arrived: Instant,
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: Name,
    /// Query.
    pub query: Option<Name>,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Key of the caller.
    pub key: Option<CallerKey>,
    /// Where the request goes; set by the route filter.
    pub target: Option<RequestTarget>,
    /// Account that the request runs for; set by the authentication filter, `None` on open routes.
    pub account: Option<Name>,
    /// When the request must be answered; set by the deadline filter.
    pub deadline: Instant,
    /// Class; set by the deadline filter.
    pub class: PriorityClass,
    /// Claimed idempotency key; set by the idempotency filter.
    pub idempotency: Option<ClaimGuard>,
    /// Tokens taken from the account's bucket; set by the charge filter.
    pub charge: Option<ChargeGrant>,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub enum RequestTarget {
    /// A model of a service.
    Model {
        /// Service whose document defines the model.
        service: Name,
        /// Parsed request.
        call: ChatCall,
        /// Route of the model interface, if the document has one.
        route: Option<ServiceRoute>,
    },
    /// A plain service.
    Plain {
        /// Service whose document defines the route.
        service: Name,
        /// Route.
        route: ServiceRoute,
        /// Group of backend servers.
        group: Name,
    },
}

/// A key that must be finished or abandoned.
#[derive(Clone, Debug)]
pub struct IdempotencyUse {
    /// Value of the `Idempotency-Key` header.
    pub key: Name,
    /// SHA-256 over method, route and body.
    pub fingerprint: [u8; 32],
    /// Client account that sent the key.
    pub account: Name,
    /// Request that claims the key.
    pub request_id: RequestId,
}

/// A charge that must be settled.
#[derive(Clone, Debug)]
pub struct ChargeGrant {
    /// Service whose document defines the account.
    pub service: Name,
    /// Client account that was charged.
    pub account: Name,
    /// Identifies the charge.
    pub grant_id: GrantId,
    /// Tokens that were charged.
    pub tokens: u64,
    /// Tokens left in the bucket, for the rate-limit headers.
    pub remaining: u64,
    /// Size of the bucket.
    pub burst: u64,
}

impl RequestContext {
    /// Service that the request goes to.
    pub fn service(&self) -> Option<&Name> {
        match self.target.as_ref()? {
            RequestTarget::Model { service, .. } | RequestTarget::Plain { service, .. } => {
                Some(service)
            }
        }
    }

    /// A copy for the task that forwards the request. Claims stay behind, because each has one guard.
    pub fn detach(&self) -> Self {
        Self {
            request_id: self.request_id,
            trace_id: self.trace_id,
            arrived: self.arrived,
            method: self.method.clone(),
            path: self.path.clone(),
            query: self.query.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            key: self.key.clone(),
            target: self.target.clone(),
            account: self.account.clone(),
            deadline: self.deadline,
            class: self.class,
            idempotency: None,
            charge: None,
        }
    }

    /// Route of the document, if there is one for the request.
    pub fn route(&self) -> Option<&ServiceRoute> {
        match self.target.as_ref()? {
            RequestTarget::Model { route, .. } => route.as_ref(),
            RequestTarget::Plain { route, .. } => Some(route),
        }
    }

    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Subject for events: model or route.
    pub fn subject(&self) -> Name {
        match &self.target {
            Some(RequestTarget::Model { call, .. }) => match &call.adapter {
                Some(adapter) => format!("{}:{adapter}", call.model).into(),
                None => call.model.clone(),
            },
            Some(RequestTarget::Plain { route, .. }) => route.prefix.clone(),
            // The path is the caller's text and may contain a key.
            None => "no route".into(),
        }
    }
}
