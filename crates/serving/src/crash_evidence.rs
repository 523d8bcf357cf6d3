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

/// Number of crashes from which one of several equally suspect parts is returned: the one that is later in the prompts, which
/// fewer requests share.
const TIE_CRASHES: usize = 5;

/// Finds the prompt part that crashes backend servers, from the requests that broke off and those that did not.
///
/// A part is suspect if its requests broke off in several separate crashes, none of them was answered in between, and
/// other requests were answered too often for chance. Crashes in which a blocked part took part say nothing about other
/// parts.
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
    requests: Vec<(Name, SmallVec<[u64; 4]>)>,
    /// Value of `progressed_requests` when the crash became known.
    progressed_before: u64,
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
}

impl CrashEvidence {
    /// Adds a request that broke off before its answer was under way.
    pub fn add_cut(&mut self, cut: &CutRequest, now: MonotonicTime) {
        let at = now.before(Duration::from_millis(cut.age_ms));
        let parts: SmallVec<[u64; 4]> = cut.parts.iter().copied().take(MAX_PARTS).collect();
        let request = (cut.attempt_id.clone(), parts);
        let known = self.crashes.iter_mut().find(|crash| {
            let distance = crash.at.since(at).max(at.since(crash.at));
            crash.backend == cut.backend && distance < CRASH_WINDOW
        });
        match known {
            Some(crash) => {
                let is_new = crash.requests.iter().all(|(id, _)| *id != request.0);
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
            let is_suspect = crashes >= MIN_CRASHES
                && record.addresses.len() >= MIN_ADDRESSES
                && self.chance(*part, record) <= limit;
            is_suspect.then_some((crashes, is_unknown, record.position, *part))
        });
        let mut suspects: SmallVec<[_; 4]> = suspects.collect();
        suspects.sort_unstable_by(|one, other| other.cmp(one));
        let (crashes, is_unknown, _, part) = *suspects.first()?;
        let record = records.get(&part)?;
        let mut others = suspects.iter().skip(1);
        let is_tied = others.any(|(_, is_other_unknown, _, other)| {
            let other = records.get(other);
            *is_other_unknown == is_unknown
                && other.is_some_and(|other| other.times == record.times)
        });
        if is_tied && crashes < TIE_CRASHES {
            return None;
        }
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
            if crash.at > settled || crash.parts().any(|(_, part)| blocked(part)) {
                continue;
            }
            for (position, part) in crash.parts() {
                if self.last_progress(part).is_some_and(|at| at >= crash.at) {
                    continue;
                }
                let record = records.entry(part).or_insert_with(|| PartRecord {
                    times: SmallVec::new(),
                    addresses: HashSet::new(),
                    first: index,
                    position,
                });
                let last = record.times.last();
                if last.is_none_or(|last| crash.at.since(*last) >= COMMON_CAUSE_WINDOW) {
                    record.times.push(crash.at);
                }
                record.addresses.insert(crash.address);
                record.position = record.position.max(position);
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
        let cut = requests.filter(|(_, parts)| !parts.contains(&part)).count() as f64;
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
    /// Parts of the requests that broke off, with their position in the prompt.
    fn parts(&self) -> impl Iterator<Item = (usize, u64)> {
        let requests = self.requests.iter();
        requests.flat_map(|(_, parts)| parts.iter().copied().enumerate())
    }

    fn has(&self, part: u64) -> bool {
        self.parts().any(|(_, own)| own == part)
    }
}
