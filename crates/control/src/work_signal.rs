//! Lets a periodic task rest while there is nothing to do.

use std::time::Duration;

use tokio::sync::Notify;

/// Wakes a periodic task before its rest is over. Ticking at the rate that a busy task needs would cost every idle
/// process more than a percent of a core.
#[derive(Debug, Default)]
pub struct WorkSignal {
    notify: Notify,
}

impl WorkSignal {
    /// Wakes the task, or spares it its next rest.
    pub fn raise(&self) {
        self.notify.notify_one();
    }

    /// Pauses for `busy` while there is work, otherwise until [`Self::raise`] or for `idle`.
    pub async fn pause(&self, is_busy: bool, busy: Duration, idle: Duration) {
        if is_busy {
            tokio::time::sleep(busy).await;
        } else {
            let _ = tokio::time::timeout(idle, self.notify.notified()).await;
        }
    }
}
