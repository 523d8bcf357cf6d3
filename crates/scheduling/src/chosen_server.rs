use std::sync::Arc;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::ChooserSettings;
use crate::tracked_server::TrackedServer;

/// The server chosen for one request, which counts as in flight until this value is dropped.
#[derive(Debug)]
pub struct ChosenServer {
    tracked: Arc<TrackedServer>,
    settings: Arc<ChooserSettings>,
}

impl ChosenServer {
    pub(crate) fn new(tracked: Arc<TrackedServer>, settings: Arc<ChooserSettings>) -> Self {
        Self { tracked, settings }
    }

    /// Returns the name of the backend server.
    pub fn server(&self) -> &Name {
        &self.tracked.entry.server
    }

    /// Returns the IP address and port of the backend server.
    pub fn address(&self) -> &Name {
        &self.tracked.entry.address
    }

    /// Records that the server answered, which resets its failure count and ends an ejection.
    pub fn record_success(&self) {
        self.tracked.counts.record_success();
    }

    /// Records that the server was unreachable or broke the connection; enough failures in a row
    /// eject it.
    pub fn record_failure(&self, now: MonotonicTime) {
        self.tracked.counts.record_failure(&self.settings, now);
    }
}

impl Drop for ChosenServer {
    fn drop(&mut self) {
        self.tracked.counts.end();
    }
}
