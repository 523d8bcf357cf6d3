//! Simulated hosts that share a network and a key-value service in simulated time.

mod network;

use std::collections::BTreeMap;
use std::sync::Arc;

use zinniahinge_authority::*;
use zinniahinge_types::*;

pub const STEP_MS: u64 = 50;
pub const HOSTS: usize = 3;

/// Simulated process of one host with all its state machines.
pub struct Node {
    pub authority: HostAuthority,
    pub guardian: GuardianWatch,
    pub planner: AssignmentPlanner,
    pub staged: StagedShards,
    pub members: MemberTable,
    pub incarnation: Incarnation,
    pub running: bool,
    pub paused: bool,
    /// Whether messages between the host and the key-value service are lost.
    pub is_cut_off_from_service: bool,
    /// Whether messages between the host and other hosts are lost.
    pub is_cut_off_from_peers: bool,
    /// Rate of the host's clock in thousandths, within the drift allowance.
    clock_rate: u64,
    applied_changes: usize,
    /// State of each own shard as this host knows it, which is the number of changes made to it.
    state: BTreeMap<ShardId, u64>,
}

enum Message {
    Heartbeat {
        from: usize,
        sequence: u64,
        heartbeat: ReceivedHeartbeat,
    },
    Reply {
        incarnation: Incarnation,
        sequence: u64,
        acknowledged: bool,
    },
    WriteHost {
        from: usize,
        renewal: Option<u64>,
        host: HostId,
        expected: Revision,
        record: HostRecord,
    },
    WriteHostDone {
        incarnation: Incarnation,
        renewal: u64,
        outcome: WriteOutcome,
    },
    ReadHost {
        from: usize,
    },
    ReadHostDone {
        revision: Revision,
        record: Option<HostRecord>,
    },
    WriteAssignment {
        from: usize,
        incarnation: Incarnation,
        expected: Revision,
        assignment: Assignment,
    },
    WriteAssignmentDone {
        incarnation: Incarnation,
        expected: Revision,
        assignment: Assignment,
        outcome: WriteOutcome,
    },
    ReadAssignment {
        from: usize,
    },
    ReadAssignmentDone {
        incarnation: Incarnation,
        revision: Revision,
        assignment: Assignment,
    },
    Handover {
        from: usize,
        request: HandoverRequest,
    },
    HandoverDone {
        incarnation: Incarnation,
        shard: ShardId,
        frozen_at: Revision,
        ack: PeerAck,
    },
}

/// Receiver of a message.
#[derive(Clone, Copy, PartialEq)]
enum Target {
    Host(usize),
    Service,
}

pub struct World {
    pub nodes: Vec<Node>,
    pub service_up: bool,
    /// Probability of loss, of duplication and of a long delay, per mille.
    pub loss_per_mille: u64,
    now_ms: u64,
    revision: Revision,
    hosts: BTreeMap<HostId, MemberEntry>,
    assignment: (Revision, Assignment),
    /// Changes of host records in revision order.
    record_changes: Vec<(HostId, MemberEntry)>,
    /// Correct state of each shard, which is the number of changes made to it by any host.
    correct_state: BTreeMap<ShardId, u64>,
    messages: Vec<(u64, Target, Arc<Message>)>,
    random_state: u64,
    pub tombstones_written: u64,
    pub resumed_shards: u64,
}

pub fn host(index: usize) -> HostId {
    format!("host-{index}").into()
}

fn index(host: &str) -> usize {
    host.trim_start_matches("host-").parse().expect("host name")
}

pub fn address(index: usize) -> HostAddress {
    HostAddress {
        control: format!("127.0.0.1:{}", 9000 + index).into(),
        place: format!("place-{index}").into(),
        region: "region".into(),
    }
}

impl Node {
    fn new(id: usize, incarnation: Incarnation) -> Self {
        let settings = AuthoritySettings::default();
        Self {
            authority: HostAuthority::new(host(id), incarnation, address(id), settings),
            guardian: GuardianWatch::new(settings),
            planner: AssignmentPlanner::new(host(id), incarnation, settings),
            staged: StagedShards::new(incarnation),
            members: MemberTable::new(),
            incarnation,
            running: true,
            paused: false,
            is_cut_off_from_service: false,
            is_cut_off_from_peers: false,
            clock_rate: [995, 1000, 1005][id % 3],
            applied_changes: 0,
            state: BTreeMap::new(),
        }
    }

    pub fn may_act(&self, shard: ShardId, now: MonotonicTime) -> Option<Revision> {
        let authority = self.running && self.authority.has_authority(now);
        self.planner.fencing_number(shard, authority)
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self {
            nodes: (0..HOSTS).map(|id| Node::new(id, 1)).collect(),
            service_up: true,
            loss_per_mille: 0,
            now_ms: 1000,
            revision: 1,
            hosts: BTreeMap::new(),
            assignment: (0, Assignment::default()),
            record_changes: Vec::new(),
            correct_state: BTreeMap::new(),
            messages: Vec::new(),
            random_state: seed,
            tombstones_written: 0,
            resumed_shards: 0,
        }
    }

    pub fn now(&self, id: usize) -> MonotonicTime {
        MonotonicTime::from_millis(self.now_ms * self.nodes[id].clock_rate / 1000)
    }

    pub fn is_tombstoned(&self, id: usize) -> bool {
        self.hosts.get(&host(id)).is_some_and(|entry| {
            let MemberEntry { record, .. } = entry;
            let same = record.incarnation == self.nodes[id].incarnation;
            record.incarnation > self.nodes[id].incarnation
                || same && record.state == HostState::Dead
        })
    }

    pub fn kill(&mut self, id: usize) {
        self.nodes[id].running = false;
    }

    /// Starts a new process on the host. It binds the same address, so the old process has ended.
    pub fn restart(&mut self, id: usize) {
        self.nodes[id] = Node::new(id, self.nodes[id].incarnation + 1);
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now_ms += STEP_MS;
            self.deliver_due();
            for id in 0..self.nodes.len() {
                if self.nodes[id].running && !self.nodes[id].paused {
                    self.follow_records(id);
                    self.tick(id);
                    self.use_shards(id);
                }
                self.check();
            }
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Properties; the texts are their names in the specification

    pub fn check(&self) {
        for shard in 0..SHARD_COUNT {
            let holders = (0..self.nodes.len())
                .filter(|id| self.nodes[*id].may_act(shard, self.now(*id)).is_some())
                .count();
            assert!(
                holders <= 1,
                "never two holders: shard {shard} has {holders}"
            );
        }
        for id in 0..self.nodes.len() {
            let acts =
                self.nodes[id].running && self.nodes[id].authority.has_authority(self.now(id));
            assert!(
                !acts || !self.is_tombstoned(id),
                "a tombstone never acts: {id}"
            );
        }
    }

    pub fn check_progress(&self) {
        let running: Vec<usize> = (0..HOSTS).filter(|id| self.nodes[*id].running).collect();
        for id in &running {
            assert!(
                self.nodes[*id].authority.has_authority(self.now(*id)),
                "progress: {id}"
            );
        }
        for shard in 0..SHARD_COUNT {
            let held = running
                .iter()
                .any(|id| self.nodes[*id].may_act(shard, self.now(*id)).is_some());
            assert!(held, "progress: shard {shard} has no holder");
        }
    }

    // ---------------------------------------------------------------------------------------------
    // Hosts

    fn tick(&mut self, id: usize) {
        let now = self.now(id);
        let node = &mut self.nodes[id];
        let incarnation = node.incarnation;
        let host_actions = node.authority.tick(now, &node.members);
        let own = node.authority.local_status(now);
        let guardian_actions = node.guardian.tick(&own, &node.members, now);
        let shard_actions = node.planner.tick(&own, &node.members, now);
        for action in host_actions {
            match action {
                HostAction::SendHeartbeat {
                    to,
                    sequence,
                    record_revision,
                } => {
                    let heartbeat = ReceivedHeartbeat {
                        host: host(id),
                        incarnation,
                        record_revision,
                    };
                    let message = Message::Heartbeat {
                        from: id,
                        sequence,
                        heartbeat,
                    };
                    self.send(Target::Host(index(&to)), message);
                }
                HostAction::WriteRecord {
                    renewal,
                    expected,
                    record,
                } => {
                    let renewal = Some(renewal);
                    let message = Message::WriteHost {
                        from: id,
                        renewal,
                        host: host(id),
                        expected,
                        record,
                    };
                    self.send(Target::Service, message);
                }
                HostAction::ReadRecord => {
                    self.send(Target::Service, Message::ReadHost { from: id })
                }
                HostAction::Rejoin { above } => {
                    self.nodes[id] = Node::new(id, above + 1);
                    return;
                }
                HostAction::Stopped => self.nodes[id].running = false,
            }
        }
        for action in guardian_actions {
            let (GuardianAction::DeclareDead {
                host,
                expected,
                record,
            }
            | GuardianAction::TakeOver {
                host,
                expected,
                record,
            }) = action;
            let message = Message::WriteHost {
                from: id,
                renewal: None,
                host,
                expected,
                record,
            };
            self.send(Target::Service, message);
        }
        for action in shard_actions {
            match action {
                AssignmentAction::HandOver {
                    shard,
                    to,
                    frozen_at,
                } => {
                    let state = self.nodes[id]
                        .state
                        .get(&shard)
                        .copied()
                        .unwrap_or_default();
                    let request = HandoverRequest {
                        host: host(id),
                        incarnation,
                        to_incarnation: to.incarnation,
                        assignment: frozen_at,
                        shard,
                        state: state.to_be_bytes().to_vec(),
                    };
                    self.send(
                        Target::Host(index(&to.host)),
                        Message::Handover { from: id, request },
                    );
                }
                AssignmentAction::WriteAssignment {
                    expected,
                    assignment,
                    ..
                } => {
                    let message = Message::WriteAssignment {
                        from: id,
                        incarnation,
                        expected,
                        assignment,
                    };
                    self.send(Target::Service, message);
                }
                AssignmentAction::ReadAssignment => {
                    self.send(Target::Service, Message::ReadAssignment { from: id });
                }
            }
        }
        if own.leaving && self.nodes[id].planner.is_drained() {
            self.nodes[id].authority.stop();
        }
    }

    /// Starts the acquired shards, then makes one change to every shard that the host may act for.
    fn use_shards(&mut self, id: usize) {
        let now = self.now(id);
        for acquired in self.nodes[id].planner.take_acquired() {
            let staged = self.nodes[id].staged.take(&acquired);
            let correct_state = self
                .correct_state
                .get(&acquired.shard)
                .copied()
                .unwrap_or_default();
            if let Some(staged) = staged {
                let state = u64::from_be_bytes(staged.state.try_into().expect("eight bytes"));
                assert_eq!(
                    state, correct_state,
                    "resumes only from the final state: shard {}",
                    acquired.shard
                );
                self.resumed_shards += 1;
            }
            self.nodes[id].state.insert(acquired.shard, correct_state);
        }
        for shard in 0..SHARD_COUNT {
            if self.nodes[id].may_act(shard, now).is_some() {
                let correct_state = self.correct_state.entry(shard).or_default();
                let state = self.nodes[id].state.entry(shard).or_default();
                assert_eq!(
                    state, correct_state,
                    "an owner acts on the final state: shard {shard}"
                );
                *state += 1;
                *correct_state += 1;
            }
        }
    }

    fn follow_records(&mut self, id: usize) {
        if !self.service_up || self.nodes[id].is_cut_off_from_service {
            return;
        }
        let now = self.now(id);
        let node = &mut self.nodes[id];
        if !node.members.is_loaded() {
            let list: Vec<_> = self
                .hosts
                .iter()
                .map(|(h, e)| (h.clone(), e.clone()))
                .collect();
            node.members.load(self.revision, list).expect("few hosts");
            node.applied_changes = self.record_changes.len();
        }
        for (changed, entry) in &self.record_changes[node.applied_changes..] {
            let record = Some(entry.record.clone());
            node.members
                .observe(changed.clone(), entry.revision, record)
                .expect("few hosts");
            if *changed == host(id) {
                node.authority
                    .record_observed(entry.revision, Some(entry.record.clone()), now);
            }
        }
        node.applied_changes = self.record_changes.len();
        node.members.advance(self.revision);
        if self.random().is_multiple_of(4) {
            let (revision, assignment) = self.assignment.clone();
            self.nodes[id]
                .planner
                .assignment_observed(revision, assignment);
        }
    }
}
