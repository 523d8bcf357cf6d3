use std::time::Duration;

use smallvec::SmallVec;
use zinniahinge_types::BlockedParts;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::PartReport;

use crate::BlockList;
use crate::CrashEvidence;
use crate::KeptEvidence;
use crate::SuspectPart;

/// Time after the start of a term in which no part is blocked, because hosts still report what they saw before.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(1500);

/// Pause between two tries to store the list. Each try delays a renewal of the coordinator's lease while the store is slow.
const STORE_PAUSE: Duration = Duration::from_secs(2);

/// Changes of the blocked parts, for log lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartDecisions {
    /// Parts that are blocked from now on.
    pub blocked: SmallVec<[SuspectPart; 2]>,
    /// Parts that are released.
    pub released: SmallVec<[u64; 2]>,
}

/// Decides which prompt parts are blocked, from the reports of all hosts. Kept by the coordinator.
#[derive(Debug)]
pub struct PartLedger {
    evidence: CrashEvidence,
    list: BlockList,
    started_at: MonotonicTime,
    /// Version of the list that the store has.
    stored_version: u64,
    /// When the list was last returned to be stored.
    stored_at: Option<MonotonicTime>,
    decisions: PartDecisions,
}

impl PartLedger {
    /// Starts a term with the parts that are known to be blocked; `first_version` is below all versions of the term.
    pub fn new(known: &BlockedParts, first_version: u64, now: MonotonicTime) -> Self {
        let mut list = BlockList::new(first_version.max(known.version));
        list.take_over(known, now);
        let stored_version = if known.parts.is_empty() {
            list.version()
        } else {
            0
        };
        Self {
            evidence: CrashEvidence::default(),
            list,
            started_at: now,
            stored_version,
            stored_at: None,
            decisions: PartDecisions::default(),
        }
    }

    /// Applies what a host reports.
    pub fn apply(&mut self, host: &HostId, report: &PartReport, now: MonotonicTime) {
        if let Some(known) = &report.prior_blocked {
            self.list.take_over(known, now);
        }
        self.evidence.count_progress(report.progressed_requests);
        for progress in &report.progressed {
            self.evidence
                .add_progress(progress.part, progress.age_ms, now);
            self.release_if_sound(progress.part);
        }
        for cut in &report.cut {
            self.evidence.add_cut(cut, now);
            for part in cut.parts.iter().chain(&cut.model_parts) {
                self.list.record_cut(*part, now);
            }
        }
        for part in &report.refused {
            self.list.record_refusal(*part, host, now);
        }
    }

    /// Releases a blocked part if an answer with it got under way after the last crash with it.
    fn release_if_sound(&mut self, part: u64) {
        let progress = self.evidence.last_progress(part);
        let Some((progress, blocked_at)) = progress.zip(self.list.blocked_at(part)) else {
            return;
        };
        let last_crash = self.evidence.last_crash(part).unwrap_or(blocked_at);
        if progress > last_crash && self.list.release(part) {
            self.decisions.released.push(part);
        }
    }

    /// Blocks a part if the evidence suffices. `report_lag` is the time within which all hosts report what they saw.
    pub fn settle(&mut self, report_lag: Duration, now: MonotonicTime) -> PartDecisions {
        if now.since(self.started_at) >= FIRST_REPORTS_TIME && self.evidence.has_crashes() {
            let list = &self.list;
            let settled = now.before(report_lag);
            let suspect = self
                .evidence
                .find_suspect(|part| list.contains(part), settled, now);
            if let Some(suspect) = suspect {
                self.list.block(suspect.part, now);
                self.decisions.blocked.push(suspect);
            }
        }
        std::mem::take(&mut self.decisions)
    }

    /// The blocked parts, if their version is newer than `known`.
    pub fn changes_since(&self, known: u64, now: MonotonicTime) -> Option<BlockedParts> {
        (self.list.version() > known).then(|| self.list.to_message(now))
    }

    /// The blocked parts, if the store does not have this version and the last try is [`STORE_PAUSE`] old.
    pub fn unstored(&mut self, now: MonotonicTime) -> Option<BlockedParts> {
        let is_due = self.stored_at.is_none_or(|at| now.since(at) >= STORE_PAUSE);
        if self.list.version() == self.stored_version || !is_due {
            return None;
        }
        self.stored_at = Some(now);
        Some(self.list.to_message(now))
    }

    /// Number of crashes and of parts with known progress that are kept.
    pub fn kept(&self) -> KeptEvidence {
        self.evidence.kept()
    }

    /// Records that the store has a version of the list.
    pub fn record_stored(&mut self, version: u64) {
        self.stored_version = version;
    }
}
