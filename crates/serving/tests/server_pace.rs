//! Paces of servers that have just started or recovered, in a model of a hundred hosts.

use std::collections::VecDeque;
use std::ops::Range;
use std::time::Duration;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::ColdStart;
use zinniahinge_serving::LimitLedger;
use zinniahinge_serving::LimitShares;
use zinniahinge_serving::PaceChange;
use zinniahinge_serving::PaceEnd;
use zinniahinge_serving::PaceLedger;
use zinniahinge_serving::PaceStart;
use zinniahinge_serving::PacedServer;
use zinniahinge_serving::ServiceSpec;
use zinniahinge_serving::is_paced;
use zinniahinge_types::AnswerCounts;
use zinniahinge_types::BackendRun;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PaceNotice;
use zinniahinge_types::SlotDecision;

const HOSTS: usize = 100;

/// Servers that run all the time; the paced one is the next.
const PEERS: usize = 9;

/// Requests a second of all hosts together: ten for each server.
const REQUESTS_PER_S: f64 = 100.0;

/// More requests than the model ever has in a second.
const MOST: usize = 150;

/// Interval between two reports of a host, and between two settlements of the coordinator, milliseconds.
const REPORT_MS: u64 = 300;
const SETTLE_MS: u64 = 200;

/// When the paced server appears, or fails and answers again, milliseconds.
const START_MS: u64 = 3000;
const FAILED_MS: u64 = 1000;

const END_MS: u64 = 26_000;

/// Goal of the route, and time of an answer of a sound server.
const GOAL: Duration = Duration::from_millis(500);
const ANSWER_TIME: Duration = Duration::from_millis(100);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(1_000_000 + millis)
}

fn run(index: usize) -> BackendRun {
    BackendRun {
        backend: format!("s{index}").into(),
        born_ms: 1 + index as u64,
    }
}

fn server(index: usize) -> PacedServer {
    PacedServer {
        run: run(index),
        service: "llm".into(),
        slots: 16,
        bound: None,
        is_suspect: false,
        takes_requests: true,
    }
}

#[derive(Clone, Copy)]
enum ServerKind {
    /// Answers all in time.
    Sound,
    /// Rejects more than so many requests a second.
    Rejects(usize),
    /// Answers late.
    Late,
    /// Answers late one time in ten, by chance.
    SomeLate,
    /// Answers in time, but takes so many times as long as its peers.
    Slow(u32),
}

struct PaceCase {
    name: &'static str,
    kind: ServerKind,
    /// True if it runs from the beginning, and is silent from 1 s to 3 s.
    recovers: bool,
    /// Rate that the server takes for other reasons in the first 3 s.
    cold_per_s: Option<f64>,
    /// Time without a coordinator, milliseconds.
    lost_ms: Range<u64>,
    /// Most requests in its first second, and in any one of the first ten seconds.
    most_first: usize,
    most: usize,
    /// Requests in the first ten seconds at least.
    least: usize,
    /// Last end of a pace, if it has ended.
    end: Option<PaceEnd>,
}

/// A host's knowledge of the paced server.
struct HostModel {
    load: BackendLoad,
    peer: BackendLoad,
    shares: LimitShares,
}

struct FleetModel {
    hosts: Vec<HostModel>,
    limits: LimitLedger,
    paces: PaceLedger,
    random: StdRng,
    /// When requests were sent to the paced server, milliseconds after its start.
    sends: Vec<u64>,
    /// Answers under way: when they come, host, time taken; `None` for a rejection or silence.
    answers: VecDeque<(u64, usize, Option<Duration>, bool)>,
    changes: Vec<PaceChange>,
}

impl FleetModel {
    fn new(seed: u64) -> Self {
        let hosts = (0..HOSTS).map(|_| {
            let host = HostModel {
                load: BackendLoad::default(),
                peer: BackendLoad::default(),
                shares: LimitShares::default(),
            };
            host.load.answers().set_used(true);
            host.peer.answers().set_used(true);
            host
        });
        Self {
            hosts: hosts.collect(),
            limits: LimitLedger::new(at(0)),
            paces: PaceLedger::new(at(0)),
            random: StdRng::seed_from_u64(seed),
            sends: Vec::new(),
            answers: VecDeque::new(),
            changes: Vec::new(),
        }
    }

    /// Sends one request of a random host: to the paced server if it has no bar there, since it looks empty.
    fn request(&mut self, case: &PaceCase, now_ms: u64) {
        let now = at(now_ms);
        let number = self.random.random_range(0..HOSTS);
        let is_silent = case.recovers && (FAILED_MS..START_MS).contains(&now_ms);
        let is_there = case.recovers || now_ms >= START_MS;
        let host = &mut self.hosts[number];
        let may_send =
            is_there && host.load.limited_until(now).is_none() && !host.load.is_avoided(now);
        if !may_send || !self.takes_slot(case, number, now_ms) {
            let host = &self.hosts[number];
            host.peer.answers().count_answer(ANSWER_TIME, GOAL);
            return;
        }
        if now_ms >= START_MS {
            self.sends.push(now_ms - START_MS);
        }
        let last_second = self.sends.iter().rev();
        let last_second =
            last_second.take_while(|sent| **sent + 1000 > now_ms - START_MS.min(now_ms));
        let (time, is_rejected) = match case.kind {
            _ if is_silent => (None, false),
            ServerKind::Rejects(most) if last_second.count() > most => (None, true),
            ServerKind::Sound | ServerKind::Rejects(_) => (Some(ANSWER_TIME), false),
            ServerKind::Late => (Some(GOAL * 2), false),
            ServerKind::SomeLate if self.random.random_bool(0.1) => (Some(GOAL * 2), false),
            ServerKind::SomeLate => (Some(ANSWER_TIME), false),
            ServerKind::Slow(factor) => (Some(ANSWER_TIME * factor), false),
        };
        let due_ms = now_ms + time.map_or(50, |time| time.as_millis() as u64);
        self.answers.push_back((due_ms, number, time, is_rejected));
    }

    /// Takes a slot for the paced server if it needs one.
    fn takes_slot(&mut self, case: &PaceCase, number: usize, now_ms: u64) -> bool {
        let now = at(now_ms);
        let host = &mut self.hosts[number];
        let Some(rate) = host.load.send_rate(now) else {
            return true;
        };
        let is_lost = case.lost_ms.contains(&now_ms);
        let decision = if is_lost {
            let (share, phase) = ((rate.per_s, HOSTS as u32), self.random.random());
            host.shares
                .reserve(&run(PEERS), share, Duration::ZERO, phase, now)
        } else {
            self.paces.record_ask(&run(PEERS));
            let bound = bound(case, now_ms);
            let pace = self.paces.pace(&run(PEERS));
            let Some(per_s) = [pace, bound].into_iter().flatten().reduce(f64::min) else {
                return true;
            };
            self.limits.reserve(&run(PEERS), per_s, Duration::ZERO, now)
        };
        let (next_in, is_granted) = match decision {
            SlotDecision::Granted { next_in, .. } => (next_in, true),
            SlotDecision::Refused { again_in } => (again_in, false),
        };
        host.load
            .bar_until_slot(now + next_in.min(Duration::from_secs(3)));
        is_granted
    }

    fn deliver(&mut self, now_ms: u64) {
        let (due, later): (Vec<_>, Vec<_>) = self
            .answers
            .drain(..)
            .partition(|(due_ms, ..)| *due_ms <= now_ms);
        self.answers.extend(later);
        for (_, number, time, is_rejected) in due {
            let load = &self.hosts[number].load;
            match time {
                Some(time) => load.answers().count_answer(time, GOAL),
                None if is_rejected => load.answers().count_rejection(),
                None => {
                    load.count_failure();
                    load.avoid(at(now_ms));
                }
            }
        }
    }

    /// Reports of the hosts that are due, and what they get back.
    fn report(&mut self, case: &PaceCase, now_ms: u64) {
        for number in 0..HOSTS {
            let is_due = (now_ms + number as u64 * 3).is_multiple_of(REPORT_MS);
            if !is_due || case.lost_ms.contains(&now_ms) {
                continue;
            }
            let host = &self.hosts[number];
            if let Some(counts) = host.load.answers().take(run(PEERS).born_ms) {
                self.paces.record(&run(PEERS).backend, &counts, at(now_ms));
            }
            if let Some(counts) = host.peer.answers().take(run(number % PEERS).born_ms) {
                self.paces
                    .record(&run(number % PEERS).backend, &counts, at(now_ms));
            }
            host.load.set_pace(self.paces.pace(&run(PEERS)));
        }
    }

    fn settle(&mut self, case: &PaceCase, now_ms: u64) {
        if !now_ms.is_multiple_of(SETTLE_MS) || case.lost_ms.contains(&now_ms) {
            return;
        }
        if case.lost_ms.end == now_ms && now_ms > 0 {
            self.paces = PaceLedger::new(at(now_ms));
            self.limits = LimitLedger::new(at(now_ms));
        }
        let is_there = case.recovers || now_ms >= START_MS;
        let listed = (0..PEERS + usize::from(is_there)).map(|index| PacedServer {
            bound: bound(case, now_ms).filter(|_| index == PEERS),
            ..server(index)
        });
        self.changes
            .extend(self.paces.settle(listed.collect(), at(now_ms)));
        if case.lost_ms.end == now_ms && now_ms > 0 {
            let paces = self.hosts.iter().filter_map(|host| host.load.pace());
            let notices = paces.map(|per_s| PaceNotice {
                run: run(PEERS),
                per_s,
            });
            let notices: Vec<PaceNotice> = notices.collect();
            self.changes
                .extend(self.paces.inherit(&notices, at(now_ms)));
        }
    }
}

/// Rate that the paced server takes while it is cold.
fn bound(case: &PaceCase, now_ms: u64) -> Option<f64> {
    case.cold_per_s
        .filter(|_| (START_MS..START_MS + 3000).contains(&now_ms))
}

fn play(case: &PaceCase, seed: u64) -> FleetModel {
    let mut model = FleetModel::new(seed);
    for now_ms in 0..END_MS {
        model.settle(case, now_ms);
        if now_ms == START_MS && !case.recovers {
            // Hosts learn of the pace with the entry's first slot.
            for host in &model.hosts {
                host.load.set_pace(model.paces.pace(&run(PEERS)));
            }
        }
        if model.random.random_bool(REQUESTS_PER_S / 1000.0) {
            model.request(case, now_ms);
        }
        model.deliver(now_ms);
        model.report(case, now_ms);
    }
    model
}

fn sends_between(model: &FleetModel, span: Range<u64>) -> usize {
    let sends = model.sends.iter();
    sends.filter(|sent| span.contains(sent)).count()
}

/// Load pattern: a hundred hosts see a server that looks empty, and each would send it all of its requests. Guards against a
/// flood, against a server that stays idle though it answers well, and against one that is pressed though it can't keep up.
#[test]
fn the_pace_follows_the_answers() {
    let case = |name, kind, most_first, most, least, end| PaceCase {
        name,
        kind,
        recovers: false,
        cold_per_s: None,
        lost_ms: 0..0,
        most_first,
        most,
        least,
        end,
    };
    let sufficient = Some(PaceEnd::Sufficient);
    let cases = [
        case("sound", ServerKind::Sound, 8, MOST, 150, sufficient),
        case(
            "late at times",
            ServerKind::SomeLate,
            8,
            MOST,
            100,
            sufficient,
        ),
        case("rejects", ServerKind::Rejects(6), 8, 20, 25, None),
        case("late", ServerKind::Late, 8, 8, 8, None),
        case(
            "slow",
            ServerKind::Slow(4),
            8,
            8,
            15,
            Some(PaceEnd::Expired),
        ),
        PaceCase {
            cold_per_s: Some(4.0),
            ..case("cold at first", ServerKind::Sound, 6, MOST, 100, sufficient)
        },
        PaceCase {
            recovers: true,
            ..case("recovers", ServerKind::Sound, 6, MOST, 100, sufficient)
        },
        PaceCase {
            lost_ms: 4000..7000,
            ..case(
                "the coordinator is lost",
                ServerKind::Sound,
                8,
                MOST,
                20,
                sufficient,
            )
        },
    ];
    for case in cases {
        for seed in 0..5 {
            let model = play(&case, seed);
            let name = format!("{}, seed {seed}, {:?}", case.name, model.changes);
            let first = sends_between(&model, 0..1000);
            assert_that!(first, le(case.most_first), "{name}");
            let most = (0..9000).map(|from| sends_between(&model, from..from + 1000));
            assert_that!(most.max().unwrap_or(0), le(case.most), "{name}");
            assert_that!(sends_between(&model, 0..10_000), ge(case.least), "{name}");
            let ends = model.changes.iter().rev();
            let end = ends.clone().find_map(|change| match change {
                PaceChange::Ended { end, .. } => Some(*end),
                PaceChange::Begun { .. } => None,
            });
            assert_that!(end, eq(case.end), "{name}");
            let mut starts = ends.filter_map(|change| match change {
                PaceChange::Begun { start, .. } => Some(*start),
                PaceChange::Ended { .. } => None,
            });
            let expected = if case.recovers {
                PaceStart::Failed
            } else {
                PaceStart::Started
            };
            assert_that!(starts.next_back(), some(eq(expected)), "{name}");
        }
    }
}

/// Lets the first server answer requests.
fn record_answers(paces: &mut PaceLedger) {
    let counts = AnswerCounts {
        born_ms: 1,
        in_time: 100,
        goal_permille: 20_000,
        ..AnswerCounts::default()
    };
    paces.record(&run(0).backend, &counts, at(0));
}

/// Guards against paces while the servers of a service start one after the other, before any traffic.
#[test]
fn servers_that_start_before_traffic_have_no_pace() {
    let mut paces = PaceLedger::new(at(0));
    for count in 1..20 {
        let changes = paces.settle((0..count).map(server).collect(), at(count as u64 * 200));
        assert_that!(changes.len(), eq(0), "{count}");
    }
}

/// Guards against paces of servers that run already when a host becomes coordinator, and against paces of most servers of a
/// service, after which no other one could take the rest.
#[test]
fn at_most_half_of_the_servers_have_a_pace() {
    let cases = [
        ("first listing", 0, 6, 0),
        ("one of four", 3, 4, 1),
        ("most of six", 2, 6, 3),
        ("a second one", 1, 2, 1),
    ];
    for (name, before, after, paced) in cases {
        let mut paces = PaceLedger::new(at(0));
        if before > 0 {
            paces.settle((0..before).map(server).collect(), at(0));
            record_answers(&mut paces);
        }
        let changes = paces.settle((0..after).map(server).collect(), at(1000));
        assert_that!(changes.len(), eq(paced), "{name}");
        assert_that!(paces.notices().len(), eq(paced), "{name}");
    }
}

/// Guards against a pace that outlives its run, or passes to the next one.
#[test]
fn a_pace_ends_with_its_run() {
    let mut paces = PaceLedger::new(at(0));
    paces.settle((0..4).map(server).collect(), at(0));
    record_answers(&mut paces);
    paces.settle((0..5).map(server).collect(), at(100));
    assert_that!(paces.pace(&run(4)), some(gt(0.0)));
    let changes = paces.settle((0..4).map(server).collect(), at(200));
    assert_that!(
        changes.iter().any(|change| matches!(
            change,
            PaceChange::Ended {
                end: PaceEnd::Gone,
                ..
            }
        )),
        eq(true)
    );
    assert_that!(paces.pace(&run(4)), none());
}

/// Guards against paces of servers whose entries were only away, as in an outage of the store.
#[test]
fn a_run_that_is_listed_again_has_not_started() {
    let mut paces = PaceLedger::new(at(0));
    paces.settle((0..6).map(server).collect(), at(0));
    record_answers(&mut paces);
    paces.settle((0..2).map(server).collect(), at(1000));
    let changes = paces.settle((0..6).map(server).collect(), at(3000));
    assert_that!(changes.len(), eq(0));
    let restarted = PacedServer {
        run: BackendRun {
            born_ms: 20,
            ..run(5)
        },
        ..server(5)
    };
    let listed = (0..5).map(server).chain([restarted]);
    let changes = paces.settle(listed.collect(), at(4000));
    assert_that!(changes.len(), eq(1));
}

/// Guards against paces, and against bytes in reports, where no configuration or setting asks for them.
#[test]
fn only_some_services_have_paces() {
    let spec = |cold_start| ServiceSpec {
        name: Name::from("llm"),
        max_connections: 10,
        cold_start,
        engine: None,
    };
    let cold = ColdStart {
        time: Duration::from_secs(3),
        per_s: 6.5,
    };
    let cases = [
        (None, false, false),
        (Some(cold), false, true),
        (None, true, true),
    ];
    for (cold_start, states_work_time, expected) in cases {
        let is_paced = is_paced(&spec(cold_start), states_work_time);
        assert_that!(is_paced, eq(expected));
    }
    let load = BackendLoad::default();
    load.answers().count_answer(ANSWER_TIME, GOAL);
    load.count_failure();
    assert_that!(load.answers().take(1), none());
}
