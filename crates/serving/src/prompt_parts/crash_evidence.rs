use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;
use zinniahinge_types::CutRequest;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

/// Time for which crashes and progress count. Rare requests need minutes to crash several servers.
const EVIDENCE_TIME: Duration = Duration::from_secs(300);

/// Largest number of crashes that are kept, and of requests and of parts in one request that are kept of each. They
/// bound the memory that callers with ever new parts can take.
const MAX_CRASHES: usize = 128;
const MAX_REQUESTS: usize = 32;
const MAX_PARTS: usize = 16;

/// Largest number of parts whose progress is kept.
const MAX_PROGRESS: usize = 8192;

/// Requests that break off at one server within this time belong to one crash.
const CRASH_WINDOW: Duration = Duration::from_millis(1000);

/// Crashes of several servers within this time count as one: they have a common cause, such as a lost rack.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(100);

/// Smallest number of separate crashes, and of server addresses, that make a part suspect. A server that crashes under
/// anything makes none suspect.
const MIN_CRASHES: usize = 3;
const MIN_ADDRESSES: usize = 2;

/// Assumed share of requests without the part that break off, if fewer do. Crashes are rare but come in groups.
const MIN_CUT_SHARE: f64 = 0.2;

/// Largest probability that a sound part would have broken off as often, for a part without known progress, and for one
/// whose requests were answered before.
const MAX_CHANCE: f64 = 0.01;
const MAX_CHANCE_AFTER_PROGRESS: f64 = 0.001;

/// Smallest number of separate crashes of a part that no blocked part explains.
const MIN_UNEXPLAINED: usize = 2;

/// Finds the prompt part that crashes backend servers, from the requests that broke off and those that did not.
///
/// A part is suspect if its requests broke off in several separate crashes, none of them was answered in between, and
/// other requests were answered too often for chance. The same holds for a part combined with a model and an adapter, which
/// crashes servers if the part alone doesn't. Of several that explain the same crashes, the one that fewest requests have is
/// suspect: the latest in the prompts, combined with the model.
///
/// Crashes with a blocked part say nothing about the parts of other requests. For the parts of the same requests they count as
/// soon as further crashes show that the block was too narrow.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// Oldest first.
    crashes: VecDeque<ServerCrash>,
    /// Time of the last answer that got under way, by part.
    progress: HashMap<u64, MonotonicTime>,
    progressed_requests: u64,
}

/// A crash of a backend server, as the requests on it show it.
#[derive(Debug)]
struct ServerCrash {
    backend: Name,
    address: SocketAddr,
    at: MonotonicTime,
    requests: Vec<CutParts>,
    /// Value of `progressed_requests` when the crash became known.
    progressed_before: u64,
}

/// The parts of a request that broke off.
#[derive(Debug)]
struct CutParts {
    attempt_id: Name,
    parts: SmallVec<[u64; 4]>,
    /// The same parts combined with model and adapter; empty without a model.
    model_parts: SmallVec<[u64; 4]>,
}

/// A part in a request that broke off.
#[derive(Clone, Copy, Debug)]
struct FoundPart {
    id: u64,
    /// Position in the prompt.
    position: usize,
    /// True if this is the part's combination with a model.
    is_combined: bool,
}

/// A part that the evidence makes suspect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspectPart {
    /// Id of the part.
    pub part: u64,
    /// Number of separate crashes.
    pub crashes: usize,
    /// Time of the first of them.
    pub first_at: MonotonicTime,
    /// Probability that a sound part would have broken off as often.
    pub chance: f64,
}

/// Size of the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptEvidence {
    /// Crashes.
    pub crashes: usize,
    /// Parts with known progress.
    pub parts: usize,
}

/// Crashes in which a part took part since its last progress.
#[derive(Debug)]
struct PartRecord {
    /// Times of separate crashes, oldest first.
    times: SmallVec<[MonotonicTime; 8]>,
    addresses: HashSet<SocketAddr>,
    /// Index of the first of the crashes.
    first: usize,
    /// Largest position in a prompt.
    position: usize,
    is_combined: bool,
    /// Number of the crashes that no blocked part explains.
    unexplained: usize,
}

impl CrashEvidence {
    /// Adds a request that broke off before its answer was under way.
    pub fn add_cut(&mut self, cut: &CutRequest, now: MonotonicTime) {
        let at = now.before(Duration::from_millis(cut.age_ms));
        let kept = |parts: &[u64]| parts.iter().copied().take(MAX_PARTS).collect();
        let request = CutParts {
            attempt_id: cut.attempt_id.clone(),
            parts: kept(&cut.parts),
            model_parts: kept(&cut.model_parts),
        };
        let known = self.crashes.iter_mut().find(|crash| {
            let distance = crash.at.since(at).max(at.since(crash.at));
            crash.backend == cut.backend && distance < CRASH_WINDOW
        });
        match known {
            Some(crash) => {
                let mut known = crash.requests.iter();
                let is_new = known.all(|known| known.attempt_id != request.attempt_id);
                if is_new && crash.requests.len() < MAX_REQUESTS {
                    crash.requests.push(request);
                }
            }
            None => {
                let index = self.crashes.partition_point(|crash| crash.at <= at);
                let crash = ServerCrash {
                    backend: cut.backend.clone(),
                    address: cut.address,
                    at,
                    requests: vec![request],
                    progressed_before: self.progressed_requests,
                };
                self.crashes.insert(index, crash);
                if self.crashes.len() > MAX_CRASHES {
                    self.crashes.pop_front();
                }
            }
        }
    }

    /// Adds a part in an answer that got under way `age_ms` ago.
    pub fn add_progress(&mut self, part: u64, age_ms: u64, now: MonotonicTime) {
        let at = now.before(Duration::from_millis(age_ms));
        let last = self.progress.entry(part).or_insert(at);
        *last = at.max(*last);
        if self.progress.len() > MAX_PROGRESS {
            // Drops half of the parts at once, so that the sort is rare.
            let mut times: Vec<_> = self.progress.values().copied().collect();
            times.sort_unstable();
            let limit = times[times.len() / 2];
            self.progress.retain(|_, at| *at > limit);
        }
    }

    /// Adds to the number of requests whose answer got under way.
    pub fn count_progress(&mut self, requests: u32) {
        self.progressed_requests += u64::from(requests);
    }

    /// True if any crash is known.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Time of the last answer with the part that got under way, if it is known.
    pub fn last_progress(&self, part: u64) -> Option<MonotonicTime> {
        self.progress.get(&part).copied()
    }

    /// Time of the last crash in which the part took part, if it is known.
    pub fn last_crash(&self, part: u64) -> Option<MonotonicTime> {
        let mut crashes = self.crashes.iter().rev();
        let crash = crashes.find(|crash| crash.has(part))?;
        Some(crash.at)
    }

    /// Returns the most suspect part if the evidence suffices. Crashes after `settled` are left out, because reports of
    /// progress from that time may be on their way, and so are those in which a part of `blocked` took part.
    pub fn find_suspect(
        &mut self,
        blocked: impl Fn(u64) -> bool,
        settled: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<SuspectPart> {
        self.forget_old(now);
        let records = self.records(&blocked, settled);
        let suspects = records.iter().filter_map(|(part, record)| {
            let is_unknown = !self.progress.contains_key(part);
            let limit = if is_unknown {
                MAX_CHANCE
            } else {
                MAX_CHANCE_AFTER_PROGRESS
            };
            let crashes = record.times.len();
            let is_suspect = record.unexplained >= MIN_UNEXPLAINED
                && crashes >= MIN_CRASHES
                && record.addresses.len() >= MIN_ADDRESSES
                && self.chance(*part, record) <= limit;
            is_suspect.then_some((
                crashes,
                is_unknown,
                record.position,
                record.is_combined,
                *part,
            ))
        });
        let (crashes, _, _, _, part) = suspects.max()?;
        let record = records.get(&part)?;
        Some(SuspectPart {
            part,
            crashes,
            first_at: record.times.first().copied().unwrap_or(now),
            chance: self.chance(part, record),
        })
    }

    /// Collects, for each part, the crashes since its last progress.
    fn records(
        &self,
        blocked: &impl Fn(u64) -> bool,
        settled: MonotonicTime,
    ) -> HashMap<u64, PartRecord> {
        let mut records: HashMap<u64, PartRecord> = HashMap::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            if crash.at > settled {
                continue;
            }
            let has_blocked = |request: &CutParts| request.found().any(|found| blocked(found.id));
            let is_explained = crash.requests.iter().any(has_blocked);
            let requests = crash.requests.iter();
            let counted = requests.filter(|request| !is_explained || has_blocked(request));
            for found in counted.flat_map(CutParts::found) {
                let answered = self.last_progress(found.id);
                if blocked(found.id) || answered.is_some_and(|at| at >= crash.at) {
                    continue;
                }
                let record = records.entry(found.id).or_insert_with(|| PartRecord {
                    times: SmallVec::new(),
                    addresses: HashSet::new(),
                    first: index,
                    position: found.position,
                    is_combined: found.is_combined,
                    unexplained: 0,
                });
                let last = record.times.last();
                if last.is_none_or(|last| crash.at.since(*last) >= COMMON_CAUSE_WINDOW) {
                    record.times.push(crash.at);
                    record.unexplained += usize::from(!is_explained);
                }
                record.addresses.insert(crash.address);
                record.position = record.position.max(found.position);
            }
        }
        records
    }

    /// Probability that a sound part's requests would have broken off in all of its crashes, from the share of requests
    /// without the part that broke off since the first one. The share is that of Laplace's rule of succession, so that few
    /// requests prove little.
    fn chance(&self, part: u64, record: &PartRecord) -> f64 {
        let crashes = self.crashes.range(record.first..);
        let requests = crashes.flat_map(|crash| &crash.requests);
        let cut = requests.filter(|request| !request.has(part)).count() as f64;
        let before = self.crashes.get(record.first);
        let before = before.map_or(0, |crash| crash.progressed_before);
        let progressed = self.progressed_requests.saturating_sub(before) as f64;
        let share = (cut + 1.0) / (cut + progressed + 2.0);
        share
            .max(MIN_CUT_SHARE)
            .powi(record.times.len().min(64) as i32)
    }

    /// Number of crashes and of parts that are kept.
    pub fn kept(&self) -> KeptEvidence {
        KeptEvidence {
            crashes: self.crashes.len(),
            parts: self.progress.len(),
        }
    }

    fn forget_old(&mut self, now: MonotonicTime) {
        while let Some(crash) = self.crashes.front() {
            if now.since(crash.at) < EVIDENCE_TIME {
                break;
            }
            self.crashes.pop_front();
        }
        self.progress.retain(|_, at| now.since(*at) < EVIDENCE_TIME);
    }
}

impl ServerCrash {
    fn has(&self, part: u64) -> bool {
        self.requests.iter().any(|request| request.has(part))
    }
}

impl CutParts {
    fn has(&self, part: u64) -> bool {
        self.parts.contains(&part) || self.model_parts.contains(&part)
    }

    /// The parts, alone and combined with the model.
    fn found(&self) -> impl Iterator<Item = FoundPart> {
        let lists = [(&self.parts, false), (&self.model_parts, true)];
        lists.into_iter().flat_map(|(ids, is_combined)| {
            let ids = ids.iter().enumerate();
            ids.map(move |(position, id)| FoundPart {
                id: *id,
                position,
                is_combined,
            })
        })
    }
}
