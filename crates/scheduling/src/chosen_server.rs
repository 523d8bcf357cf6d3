use std::sync::Arc;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

use crate::ChooserSettings;
use crate::tracked_server::TrackedServer;

/// A server chosen for one request. The request counts as in flight until this is dropped.
#[derive(Debug)]
pub struct ChosenServer {
    slot: Arc<TrackedServer>,
    settings: Arc<ChooserSettings>,
}

impl ChosenServer {
    pub(crate) fn new(slot: Arc<TrackedServer>, settings: Arc<ChooserSettings>) -> Self {
        Self { slot, settings }
    }

    /// Name of the backend server.
    pub fn server(&self) -> &Name {
        &self.slot.entry.server
    }

    /// IP address and port.
    pub fn address(&self) -> &Name {
        &self.slot.entry.address
    }

    /// The server answered; its failures are forgotten.
    pub fn record_success(&self) {
        self.slot.counts.record_success();
    }

    /// The server could not be reached, or broke off.
    pub fn record_failure(&self, now: MonotonicTime) {
        self.slot.counts.record_failure(&self.settings, now);
    }
}

impl Drop for ChosenServer {
    fn drop(&mut self) {
        self.slot.counts.end();
    }
}
