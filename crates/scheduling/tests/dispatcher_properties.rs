//! Invariants of the model dispatcher under random event sequences.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use common::at;
use common::identity;
use common::release;
use common::replica;
use common::request;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use zinniahinge_scheduling::DispatchDecision;
use zinniahinge_scheduling::DispatcherSettings;
use zinniahinge_scheduling::EnqueueOutcome;
use zinniahinge_scheduling::ModelDispatcher;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::DispatchTicket;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RefusalReason;
use zinniahinge_types::ReleaseOutcome;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::ReplicaPhase;
use zinniahinge_types::RequestId;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Enqueue {
        account: u8,
        class: PriorityClass,
        adapter: Option<u8>,
        excluded: Option<u8>,
        deadline_ms: u64,
    },
    Repeat(usize),
    Release(usize, ReleaseOutcome),
    Cancel(usize),
    Withdraw(u8),
    Replicas(Vec<u8>),
    Handover,
}

fn class() -> impl Strategy<Value = PriorityClass> {
    prop_oneof![
        Just(PriorityClass::Urgent),
        Just(PriorityClass::Normal),
        Just(PriorityClass::Batch),
    ]
}

fn outcome() -> impl Strategy<Value = ReleaseOutcome> {
    prop_oneof![
        6 => Just(ReleaseOutcome::Finished),
        1 => Just(ReleaseOutcome::Cancelled),
        1 => Just(ReleaseOutcome::ConnectFailed),
        1 => Just(ReleaseOutcome::ServerFailed),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let adapter = prop::option::of(0..2_u8);
    let excluded = prop::option::weighted(0.2, 0..3_u8);
    let enqueue = (0..3_u8, class(), adapter, excluded, 1..20_000_u64).prop_map(
        |(account, class, adapter, excluded, deadline_ms)| Step::Enqueue {
            account,
            class,
            adapter,
            excluded,
            deadline_ms,
        },
    );
    prop_oneof![
        6 => (1..2000_u64).prop_map(Step::Advance),
        12 => enqueue,
        2 => any::<usize>().prop_map(Step::Repeat),
        8 => (any::<usize>(), outcome()).prop_map(|(pick, outcome)| Step::Release(pick, outcome)),
        1 => any::<usize>().prop_map(Step::Cancel),
        1 => (0..3_u8).prop_map(Step::Withdraw),
        3 => prop::collection::vec(0..12_u8, 3).prop_map(Step::Replicas),
        1 => Just(Step::Handover),
    ]
}

/// A dispatcher with the requests and tickets that its callers know of.
struct Simulation {
    now: u64,
    run: u64,
    dispatcher: ModelDispatcher,
    version: u64,
    replicas: Vec<ReplicaEntry>,
    requests: BTreeMap<RequestId, Caller>,
    open: BTreeSet<RequestId>,
    tickets: BTreeMap<RequestId, DispatchTicket>,
}

struct Caller {
    request: DispatchRequest,
    deadline: u64,
}

fn settings() -> DispatcherSettings {
    DispatcherSettings {
        queue_limit: 12,
        batch_limit: 6,
        ..DispatcherSettings::default()
    }
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: 0,
            run: 1,
            dispatcher: ModelDispatcher::new(identity(1), settings(), 1),
            version: 0,
            replicas: Vec::new(),
            requests: BTreeMap::new(),
            open: BTreeSet::new(),
            tickets: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Advance(millis) => self.advance(*millis),
            Step::Enqueue { .. } => self.enqueue(step),
            Step::Repeat(pick) => self.repeat(*pick),
            Step::Release(pick, outcome) => self.release(*pick, *outcome),
            Step::Cancel(pick) => self.cancel(*pick),
            Step::Withdraw(account) => {
                self.dispatcher
                    .withdraw_account(&format!("account-{account}"));
            }
            Step::Replicas(shapes) => self.replace_replicas(shapes),
            Step::Handover => self.handover(),
        }
        self.poll();
    }

    /// Advances the clock and polls at each wakeup that the dispatcher requests.
    fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some(wakeup) = self.dispatcher.next_wakeup(at(self.now)) {
            let wakeup = u64::try_from(wakeup.since_origin().as_millis()).unwrap_or(u64::MAX);
            if wakeup > end {
                break;
            }
            assert!(wakeup > self.now, "asks for a wakeup that changes nothing");
            self.now = wakeup;
            self.poll();
        }
        self.now = end;
    }

    fn enqueue(&mut self, step: &Step) {
        let Step::Enqueue {
            account,
            class,
            adapter,
            excluded,
            deadline_ms,
        } = step
        else {
            return;
        };
        let id = self.requests.len() as u128;
        let mut arriving = request(id, &format!("account-{account}"), *deadline_ms);
        arriving.class = *class;
        arriving.adapter = adapter.map(|adapter| format!("a{adapter}").into());
        arriving.excluded = excluded
            .iter()
            .map(|server| format!("s{server}").into())
            .collect();
        let outcome = self.dispatcher.enqueue(arriving.clone(), at(self.now));
        match outcome {
            EnqueueOutcome::Queued => {
                self.open.insert(RequestId(id));
            }
            EnqueueOutcome::Refused { reason, .. } => check_refusal(&arriving, reason),
            other => panic!("a new request is not {other:?}"),
        }
        let caller = Caller {
            request: arriving,
            deadline: self.now + deadline_ms,
        };
        self.requests.insert(RequestId(id), caller);
    }

    fn repeat(&mut self, pick: usize) {
        let known: Vec<_> = self
            .open
            .iter()
            .chain(self.tickets.keys())
            .copied()
            .collect();
        let Some(index) = pick.checked_rem(known.len()) else {
            return;
        };
        let request_id = known[index];
        let caller = &self.requests[&request_id];
        let mut repeated = caller.request.clone();
        repeated.deadline_in = std::time::Duration::from_millis(caller.deadline - self.now);
        let outcome = self.dispatcher.enqueue(repeated, at(self.now));
        match self.tickets.get(&request_id) {
            Some(ticket) => assert_eq!(outcome, EnqueueOutcome::Granted(ticket.clone())),
            None => assert_eq!(outcome, EnqueueOutcome::AlreadyQueued),
        }
    }

    fn release(&mut self, pick: usize, outcome: ReleaseOutcome) {
        let Some(index) = pick.checked_rem(self.tickets.len()) else {
            return;
        };
        let request_id = *self.tickets.keys().nth(index).expect("index in range");
        let ticket = self.tickets.remove(&request_id).expect("known ticket");
        let ended = release(&ticket, outcome);
        assert!(self.dispatcher.release(&ended, at(self.now)), "open ticket");
        assert!(
            !self.dispatcher.release(&ended, at(self.now)),
            "released twice"
        );
    }

    fn cancel(&mut self, pick: usize) {
        let Some(index) = pick.checked_rem(self.open.len()) else {
            return;
        };
        let request_id = *self.open.iter().nth(index).expect("index in range");
        self.open.remove(&request_id);
        assert!(self.dispatcher.cancel(request_id));
    }

    /// Replaces the replica list. Each number encodes one replica: absent, draining, or ready with
    /// some adapters.
    fn replace_replicas(&mut self, shapes: &[u8]) {
        let shapes = shapes.iter().enumerate().filter(|(_, shape)| **shape < 9);
        let replicas = shapes.map(|(server, shape)| {
            let mut entry = replica(&format!("s{server}"), u32::from(shape % 3) + 1);
            entry.adapters = (0..shape % 3)
                .map(|adapter| format!("a{adapter}").into())
                .collect();
            if *shape < 3 {
                entry.phase = ReplicaPhase::Draining;
            }
            entry
        });
        self.version += 1;
        self.replicas = replicas.collect();
        assert!(
            self.dispatcher
                .apply_replicas(self.version, self.replicas.clone())
        );
        assert!(!self.dispatcher.apply_replicas(self.version - 1, Vec::new()));
    }

    fn handover(&mut self) {
        self.run += 1;
        let state = self.dispatcher.export_state(at(self.now));
        let next = identity(self.run);
        self.dispatcher =
            ModelDispatcher::from_state(next, settings(), self.run, state, at(self.now));
    }

    // ---------------------------------------------------------------------------------------------
    // Invariants

    fn poll(&mut self) {
        let now = self.now;
        let requests = &self.requests;
        self.tickets
            .retain(|request_id, _| requests[request_id].deadline > now);
        for decision in self.dispatcher.poll(at(now)) {
            let request_id = decision.request_id();
            assert!(self.open.remove(&request_id), "decided twice: {decision:?}");
            match decision {
                DispatchDecision::Granted { ticket, .. } => self.check_grant(request_id, ticket),
                DispatchDecision::Refused { reason, .. } => {
                    check_refusal(&self.requests[&request_id].request, reason);
                }
            }
        }
        for request_id in &self.open {
            let deadline = self.requests[request_id].deadline;
            assert!(deadline > now, "{request_id} waits beyond its deadline");
        }
        assert_eq!(
            self.dispatcher.queue_len(),
            self.open.len(),
            "dropped without an answer"
        );
        assert_eq!(self.dispatcher.in_flight(), self.tickets.len());
    }

    fn check_grant(&mut self, request_id: RequestId, ticket: DispatchTicket) {
        let caller = &self.requests[&request_id];
        let request = &caller.request;
        assert!(caller.deadline > self.now, "granted after the deadline");
        assert!(
            !request.excluded.contains(&ticket.server),
            "excluded server"
        );
        let entry = self
            .replicas
            .iter()
            .find(|entry| entry.server == ticket.server);
        let entry = entry.expect("a server of the list");
        assert_eq!(entry.phase, ReplicaPhase::Ready);
        let adapter = request.adapter.as_ref();
        assert!(adapter.is_none_or(|adapter| entry.adapters.contains(adapter)));
        let before = self.tickets.insert(request_id, ticket);
        assert!(before.is_none(), "second ticket");
        let server = &entry.server;
        let used = self
            .tickets
            .values()
            .filter(|ticket| ticket.server == *server)
            .count();
        assert!(
            used <= entry.slots as usize,
            "more requests than slots on {server}"
        );
    }
}

fn check_refusal(request: &DispatchRequest, reason: RefusalReason) {
    let early = reason == RefusalReason::DeadlineUnreachable;
    let batch = request.class == PriorityClass::Batch;
    assert!(!(early && batch), "batch request refused early");
}

/// Guards against requests that are dropped, decided twice or granted after their deadline
/// (invariant I3), and against grants beyond a replica's slots or on a replica that must not serve
/// the request.
#[test]
fn invariants_hold_under_random_events() {
    let config = Config {
        cases: 2000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 20..200);
    runner
        .run(&steps, |steps| {
            let mut simulation = Simulation::new();
            for step in &steps {
                simulation.apply(step);
            }
            Ok(())
        })
        .unwrap();
}
