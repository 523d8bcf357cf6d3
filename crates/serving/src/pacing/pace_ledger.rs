use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use zinniahinge_types::AnswerCounts;
use zinniahinge_types::BackendRun;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PaceNotice;

use crate::PaceChange;
use crate::PaceEnd;
use crate::PaceStart;
use crate::pacing::peer_answers::PeerAnswers;
use crate::pacing::server_pace::MIN_PACE;
use crate::pacing::server_pace::ServerPace;

/// First pace of a server that has just started, as a share of what its peers answer, and as requests a second for each of
/// its slots.
const START_SHARE: f64 = 0.25;
const START_PER_SLOT: f64 = 0.25;

/// Time over which missing answers of a server without a pace are counted, and their number from which it gets one, if it
/// answered fewer requests.
const FAILURE_WINDOW: Duration = Duration::from_secs(1);
const FAILURES: u32 = 3;

/// At most one in so many servers of a service has a pace; the others have to take the rest.
const PACED_DIVISOR: usize = 2;

/// Time for which runs that are not listed any more are remembered: entries of running servers come back within it after an
/// outage of the store.
const GONE_MEMORY: Duration = Duration::from_secs(60);

/// Time over which a server's failures make it suspect.
const SUSPECT_MEMORY: Duration = Duration::from_secs(4);

/// Time for which a new coordinator takes over paces from reports: all hosts have reported by then.
const INHERIT_TIME: Duration = Duration::from_secs(3);

/// A listed run of a server whose service has paces.
#[derive(Clone, Debug)]
pub struct PacedServer {
    /// The run.
    pub run: BackendRun,
    /// Its service.
    pub service: Name,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests a second that it may get at most, because it is cold or named a limit.
    pub bound: Option<f64>,
    /// True if it fails more requests than its peers.
    pub is_suspect: bool,
    /// False if nothing may be sent to it, because it leaves or its data centre is evacuated.
    pub takes_requests: bool,
}

/// Paces of servers that have just started or recovered. Kept by the coordinator.
///
/// Load pattern: a hundred hosts see an empty server at once, and would all send to it; or all of them avoid a server that
/// failed, and return to it together.
#[derive(Debug)]
pub struct PaceLedger {
    created_at: MonotonicTime,
    servers: HashMap<Name, ServerRecord>,
    peers: HashMap<Name, PeerAnswers>,
    /// Start of the youngest run of each service when the ledger first saw it.
    newest_born_ms: HashMap<Name, u64>,
    /// Runs that are not listed any more, with when that was seen. One that comes back has not started.
    gone: HashMap<BackendRun, MonotonicTime>,
}

/// What is known of a listed server.
#[derive(Debug)]
struct ServerRecord {
    server: PacedServer,
    pace: Option<ServerPace>,
    /// Answers since the begin of the window, while there is no pace.
    counts: AnswerCounts,
    window_at: MonotonicTime,
    /// When its last pace ended.
    ended_at: Option<MonotonicTime>,
}

impl PaceLedger {
    /// Creates the ledger of a host that begins to coordinate at `now`. Servers that are listed by then have no pace, unless
    /// a host reports one.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            created_at: now,
            servers: HashMap::new(),
            peers: HashMap::new(),
            newest_born_ms: HashMap::new(),
            gone: HashMap::new(),
        }
    }

    /// Adds answers of a server that a host reported.
    pub fn record(&mut self, backend: &Name, counts: &AnswerCounts, now: MonotonicTime) {
        let Some(record) = self.servers.get_mut(backend) else {
            return;
        };
        if record.server.run.born_ms != counts.born_ms {
            return;
        }
        if let Some(pace) = &mut record.pace {
            pace.record(counts);
            return;
        }
        if now.since(record.window_at) >= FAILURE_WINDOW {
            record.window_at = now;
            record.counts = AnswerCounts::default();
        }
        record.counts.add(counts);
        let peers = self.peers.entry(record.server.service.clone());
        peers
            .or_insert_with(|| PeerAnswers::new(now))
            .record(counts);
    }

    /// Counts a slot that a host asks for.
    pub fn record_ask(&mut self, run: &BackendRun) {
        if let Some(pace) = self.pace_mut(run) {
            pace.record_ask();
        }
    }

    /// Takes over paces that a host has from an earlier coordinator, the lowest of each server. Call [`Self::settle`] before.
    pub fn inherit(&mut self, notices: &[PaceNotice], now: MonotonicTime) -> Vec<PaceChange> {
        let mut changes = Vec::new();
        if now.since(self.created_at) > INHERIT_TIME {
            return changes;
        }
        for PaceNotice { run, per_s } in notices {
            let record = self.servers.get_mut(&run.backend);
            let Some(record) = record.filter(|record| record.server.run == *run) else {
                continue;
            };
            match &mut record.pace {
                Some(pace) => pace.per_s = pace.per_s.min(per_s.max(MIN_PACE)),
                None => changes.push(record.begin(*per_s, PaceStart::Inherited, now)),
            }
        }
        changes
    }

    /// Takes in the servers that are listed now, begins and ends paces, and changes those that are due. Returns those that
    /// began or ended.
    pub fn settle(&mut self, listed: Vec<PacedServer>, now: MonotonicTime) -> Vec<PaceChange> {
        let mut changes = self.drop_gone(&listed, now);
        for peers in self.peers.values_mut() {
            peers.age(now);
        }
        let mut counts: HashMap<Name, ServiceCount> = HashMap::new();
        for server in &listed {
            let count = counts.entry(server.service.clone()).or_default();
            count.listed += usize::from(server.takes_requests);
            if let Some(record) = self.servers.get(&server.run.backend) {
                count.known += 1;
                count.paced += usize::from(record.pace.is_some());
            }
        }
        self.record_services(&listed);
        for server in listed {
            let count = counts.entry(server.service.clone()).or_default();
            changes.extend(self.settle_server(server, count, now));
        }
        changes
    }

    /// Pace of a run of a server, requests a second; `None` without one.
    pub fn pace(&self, run: &BackendRun) -> Option<f64> {
        let record = self.servers.get(&run.backend);
        let record = record.filter(|record| record.server.run == *run)?;
        Some(record.pace.as_ref()?.per_s)
    }

    /// All paces.
    pub fn notices(&self) -> Vec<PaceNotice> {
        let records = self.servers.values();
        let notices = records.filter_map(|record| {
            Some(PaceNotice {
                run: record.server.run.clone(),
                per_s: record.pace.as_ref()?.per_s,
            })
        });
        notices.collect()
    }

    fn pace_mut(&mut self, run: &BackendRun) -> Option<&mut ServerPace> {
        let record = self.servers.get_mut(&run.backend);
        let record = record.filter(|record| record.server.run == *run)?;
        record.pace.as_mut()
    }

    /// Remembers the youngest run of each service that is seen for the first time. Older runs that are listed later, as after
    /// an outage of the store, have not just started.
    fn record_services(&mut self, listed: &[PacedServer]) {
        let mut newest: HashMap<&Name, u64> = HashMap::new();
        for server in listed {
            let born_ms = newest.entry(&server.service).or_default();
            *born_ms = server.run.born_ms.max(*born_ms);
        }
        for (service, born_ms) in newest {
            let known = self.newest_born_ms.entry(service.clone());
            known.or_insert(born_ms);
        }
    }

    /// Drops runs that are not listed any more.
    fn drop_gone(&mut self, listed: &[PacedServer], now: MonotonicTime) -> Vec<PaceChange> {
        let runs: HashSet<&BackendRun> = listed.iter().map(|server| &server.run).collect();
        let services: HashSet<&Name> = listed.iter().map(|server| &server.service).collect();
        self.peers.retain(|service, _| services.contains(service));
        let gone = self
            .servers
            .extract_if(|_, record| !runs.contains(&record.server.run));
        let mut gone: Vec<ServerRecord> = gone.map(|(_, record)| record).collect();
        let gone_runs = gone.iter().map(|record| (record.server.run.clone(), now));
        self.gone.extend(gone_runs);
        self.gone
            .retain(|_, gone_at| now.since(*gone_at) <= GONE_MEMORY);
        let ended = gone
            .iter_mut()
            .filter_map(|record| record.end(PaceEnd::Gone, now));
        ended.collect()
    }

    /// Begins, changes or ends the pace of one server.
    fn settle_server(
        &mut self,
        server: PacedServer,
        count: &mut ServiceCount,
        now: MonotonicTime,
    ) -> Option<PaceChange> {
        let peers = self.peers.entry(server.service.clone());
        let peers = peers.or_insert_with(|| PeerAnswers::new(now));
        let is_new = !self.servers.contains_key(&server.run.backend);
        let record = self.servers.entry(server.run.backend.clone());
        let record = record.or_insert_with(|| ServerRecord::new(server.clone(), now));
        record.server = server;
        let bound = record.server.bound;
        if let Some(pace) = &mut record.pace {
            let end = pace.step(peers, bound, now)?;
            count.paced -= 1;
            return record.end(end, now);
        }
        if !record.server.takes_requests {
            return None;
        }
        let is_back = self.gone.remove(&record.server.run).is_some();
        // Without answers of peers, the whole service starts, or nobody asks for it.
        let has_peers = count.known > 0 && peers.goal_permille().is_some();
        let newest = self.newest_born_ms.get(&record.server.service);
        let is_younger = newest.is_none_or(|newest| record.server.run.born_ms > *newest);
        let has_started = is_new && has_peers && !is_back && is_younger;
        let has_failed = record.has_failed() || record.is_suspect(now);
        let (per_s, start) = if has_started {
            let usual = peers.rate(count.listed.saturating_sub(count.paced)) * START_SHARE;
            let slots = f64::from(record.server.slots) * START_PER_SLOT;
            (usual.max(slots), PaceStart::Started)
        } else if has_failed {
            (MIN_PACE, PaceStart::Failed)
        } else {
            return None;
        };
        if count.paced >= count.listed / PACED_DIVISOR {
            return None;
        }
        count.paced += 1;
        let per_s = bound.map_or(per_s, |bound| per_s.min(bound));
        Some(record.begin(per_s, start, now))
    }
}

/// Number of servers of one service.
#[derive(Debug, Default)]
struct ServiceCount {
    listed: usize,
    /// Those that were listed before.
    known: usize,
    paced: usize,
}

impl ServerRecord {
    fn new(server: PacedServer, now: MonotonicTime) -> Self {
        Self {
            server,
            pace: None,
            counts: AnswerCounts::default(),
            window_at: now,
            ended_at: None,
        }
    }

    /// True if it fails more requests than its peers, by failures since its last pace.
    fn is_suspect(&self, now: MonotonicTime) -> bool {
        let is_recent = |at| now.since(at) < SUSPECT_MEMORY;
        self.server.is_suspect && !self.ended_at.is_some_and(is_recent)
    }

    /// True if it left more requests unanswered than it answered.
    fn has_failed(&self) -> bool {
        self.counts.missing >= FAILURES && self.counts.missing > self.counts.answered()
    }

    fn begin(&mut self, per_s: f64, start: PaceStart, now: MonotonicTime) -> PaceChange {
        let pace = self.pace.insert(ServerPace::new(per_s, start, now));
        self.counts = AnswerCounts::default();
        PaceChange::Begun {
            run: self.server.run.clone(),
            per_s: pace.per_s,
            start: pace.start,
        }
    }

    fn end(&mut self, end: PaceEnd, now: MonotonicTime) -> Option<PaceChange> {
        let pace = self.pace.take()?;
        self.ended_at = Some(now);
        Some(PaceChange::Ended {
            run: self.server.run.clone(),
            per_s: pace.per_s,
            end,
        })
    }
}
