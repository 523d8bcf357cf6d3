use std::time::Duration;

use zinniahinge_types::Name;

/// Where a request can be sent, or when to ask again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// A backend server has the model, and the adapter if one is requested.
    Ready {
        /// Id of the server.
        backend: Name,
    },
    /// A backend server is loading the model or the adapter.
    Loading {
        /// Id of the server.
        backend: Name,
        /// Estimated time until the load ends.
        ready_in: Duration,
    },
    /// No server can be named yet.
    Wait {
        /// Time after which to ask again.
        again_in: Duration,
    },
    /// The model can't be loaded before the request's deadline, or is not defined.
    Refused {
        /// Time after which a request could succeed; `None` if it never can.
        retry_after: Option<Duration>,
    },
}
