use zinniahinge_types::MonotonicTime;

use crate::BackendEntry;
use crate::BackendLoad;
use crate::BackendPhase;
use crate::EvacuatedPlaces;

/// Why this host may not send requests to a backend server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBar {
    /// The store says that the server drains.
    Draining,
    /// The server said in an answer to this host, or to another one, that it leaves.
    Leaving,
    /// Operators have evacuated the server's data centre.
    Evacuated,
    /// The server asked this host for a pause.
    Paused {
        /// When the pause ends.
        until: MonotonicTime,
    },
    /// The server limits the requests of all hosts, and others have its next slots.
    Limited {
        /// Next free slot that this host knows of.
        until: MonotonicTime,
    },
}

impl SendBar {
    /// Returns why a request may not be sent to the server; `None` if it may.
    pub fn find(
        entry: &BackendEntry,
        load: &BackendLoad,
        evacuated: &EvacuatedPlaces,
        now: MonotonicTime,
    ) -> Option<Self> {
        if load.is_leaving() {
            return Some(Self::Leaving);
        }
        if entry.phase == BackendPhase::Leaving {
            return Some(Self::Draining);
        }
        if evacuated.contains(&entry.place) {
            return Some(Self::Evacuated);
        }
        if let Some(until) = load.paused_until(now) {
            return Some(Self::Paused { until });
        }
        let until = load.limited_until(now)?;
        Some(Self::Limited { until })
    }

    /// Name of the reason in log lines and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Paused { .. } => "paused",
            Self::Limited { .. } => "limited",
        }
    }
}
