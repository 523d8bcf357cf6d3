//! Route of a service.

use std::time::Duration;

use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;

/// Path prefix and how requests under it are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Path prefix without a trailing slash. It covers whole path segments.
    pub prefix: Name,
    /// Methods in upper case.
    pub methods: Vec<Name>,
    /// Whether a key is needed.
    pub access: RouteAccess,
    /// Whether a request may be sent again after a failure.
    pub idempotent: bool,
    /// Class of requests that do not ask for one.
    pub class: PriorityClass,
    /// Time from arrival until the request is refused or cut.
    pub deadline: Duration,
    /// The same for requests of class [`PriorityClass::Batch`], if they may wait longer.
    pub batch_deadline: Option<Duration>,
    /// What serves the requests.
    pub target: RouteTarget,
}

impl ServiceRoute {
    /// Time that a request of `class` has.
    pub fn deadline_for(&self, class: PriorityClass) -> Duration {
        match (class, self.batch_deadline) {
            (PriorityClass::Batch, Some(batch_deadline)) => batch_deadline,
            _ => self.deadline,
        }
    }

    /// Whether the route lists `method`.
    pub fn allows(&self, method: &str) -> bool {
        self.methods.iter().any(|allowed| **allowed == *method)
    }

    /// Whether `path` is the prefix or lies below it.
    pub fn covers(&self, path: &str) -> bool {
        match path.strip_prefix(&*self.prefix) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || &*self.prefix == "/",
            None => false,
        }
    }
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteAccess {
    /// Anybody; no key is looked at.
    Open,
    /// Client accounts that list the route.
    Keyed,
}

/// What serves the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RouteTarget {
    /// The models of this service, through the OpenAI-compatible interface.
    ModelApi,
    /// Backend servers of this group in the host list; the request is forwarded as it is.
    Group(Name),
}
