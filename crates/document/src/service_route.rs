//! Routes of a service, as listed in a document.

use std::time::Duration;

use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;

/// Handling of the requests under a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Path prefix without a trailing slash. It matches whole path segments only.
    pub prefix: Name,
    /// HTTP methods of the route, in upper case.
    pub methods: Vec<Name>,
    /// Whether requests need a client account's key.
    pub access: RouteAccess,
    /// True if a request may be sent again after a failure.
    pub idempotent: bool,
    /// Priority class of requests that don't ask for one.
    pub class: PriorityClass,
    /// Time from the arrival of a request until it is refused or aborted.
    pub deadline: Duration,
    /// Deadline of [`PriorityClass::Batch`] requests, not below [`Self::deadline`]; `None` if that
    /// applies to them, too.
    pub batch_deadline: Option<Duration>,
    /// Destination of the requests.
    pub target: RouteTarget,
}

impl ServiceRoute {
    /// Returns the deadline of requests of `class`, counted from their arrival.
    pub fn deadline_for(&self, class: PriorityClass) -> Duration {
        match (class, self.batch_deadline) {
            (PriorityClass::Batch, Some(batch_deadline)) => batch_deadline,
            _ => self.deadline,
        }
    }

    /// Returns true if the route lists `method`, which is compared case-sensitively.
    pub fn allows(&self, method: &str) -> bool {
        self.methods.iter().any(|allowed| **allowed == *method)
    }

    /// Returns true if `path` is the prefix or lies below it. Pass paths through
    /// [`normalize_path`](crate::normalize_path) first.
    pub fn covers(&self, path: &str) -> bool {
        match path.strip_prefix(&*self.prefix) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || &*self.prefix == "/",
            None => false,
        }
    }
}

/// Access control of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteAccess {
    /// Anybody may use the route; keys are ignored.
    Open,
    /// Only client accounts that list the route may use it.
    Keyed,
}

/// Destination of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RouteTarget {
    /// The models of this service, called through the OpenAI-compatible API.
    ModelApi,
    /// The named group of backend servers in the host list; requests are forwarded unchanged.
    Group(Name),
}
