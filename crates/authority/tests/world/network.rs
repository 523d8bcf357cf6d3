//! Simulated network, which loses, repeats and delays messages, and the simulated key-value
//! service.

use super::*;

impl World {
    pub(super) fn random(&mut self) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.random_state >> 33
    }

    pub(super) fn send(&mut self, target: Target, message: Message) {
        let message = Arc::new(message);
        let copies = match self.random() % 1000 {
            roll if roll < self.loss_per_mille => 0,
            roll if roll < 2 * self.loss_per_mille => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let is_slow = self.random() % 1000 < self.loss_per_mille;
            let delay = self.random() % if is_slow { 4000 } else { 60 };
            self.messages
                .push((self.now_ms + delay, target, message.clone()));
        }
    }

    pub(super) fn deliver_due(&mut self) {
        let mut due = Vec::new();
        let mut later = Vec::new();
        for entry in std::mem::take(&mut self.messages) {
            let is_receiver_paused = matches!(entry.1, Target::Host(to) if self.nodes[to].paused);
            if entry.0 > self.now_ms || is_receiver_paused {
                later.push(entry)
            } else {
                due.push(entry)
            }
        }
        self.messages = later;
        for (_, target, message) in due {
            if self.is_undeliverable(target, &message) {
                continue;
            }
            match target {
                Target::Host(to) if self.nodes[to].running => self.deliver_to_host(to, &message),
                Target::Service if self.service_up => self.deliver_to_service(&message),
                _ => {}
            }
        }
    }

    pub(super) fn is_undeliverable(&self, target: Target, message: &Message) -> bool {
        match message {
            Message::Heartbeat { from, .. } | Message::Handover { from, .. } => {
                let to = matches!(target, Target::Host(to) if self.nodes[to].is_cut_off_from_peers);
                to || self.nodes[*from].is_cut_off_from_peers
            }
            Message::Reply { .. } | Message::HandoverDone { .. } => {
                matches!(target, Target::Host(to) if self.nodes[to].is_cut_off_from_peers)
            }
            Message::WriteHost { from, .. }
            | Message::ReadHost { from }
            | Message::WriteAssignment { from, .. }
            | Message::ReadAssignment { from } => self.nodes[*from].is_cut_off_from_service,
            _ => matches!(target, Target::Host(to) if self.nodes[to].is_cut_off_from_service),
        }
    }

    pub(super) fn deliver_to_host(&mut self, to: usize, message: &Message) {
        let now = self.now(to);
        let node = &mut self.nodes[to];
        let own_incarnation = node.incarnation;
        match message {
            Message::Heartbeat {
                from,
                sequence,
                heartbeat,
            } => {
                let own = node.authority.local_status(now);
                let verdict = node
                    .guardian
                    .heartbeat_received(heartbeat, &own, &node.members, now);
                let acknowledged = verdict == HeartbeatVerdict::Acknowledge;
                let (incarnation, sequence) = (heartbeat.incarnation, *sequence);
                let reply = Message::Reply {
                    incarnation,
                    sequence,
                    acknowledged,
                };
                self.send(Target::Host(*from), reply);
            }
            Message::Reply {
                incarnation,
                sequence,
                acknowledged,
            } if *incarnation == own_incarnation => {
                node.authority
                    .heartbeat_answered(*sequence, *acknowledged, now);
            }
            Message::WriteHostDone {
                incarnation,
                renewal,
                outcome,
            } if *incarnation == own_incarnation => {
                node.authority.write_finished(*renewal, *outcome, now);
            }
            Message::ReadHostDone { revision, record } => {
                node.authority
                    .record_observed(*revision, record.clone(), now);
            }
            Message::WriteAssignmentDone {
                incarnation,
                expected,
                assignment,
                outcome,
            } if *incarnation == own_incarnation => {
                node.planner
                    .write_finished(*expected, assignment.clone(), *outcome, now);
            }
            Message::ReadAssignmentDone {
                incarnation,
                revision,
                assignment,
            } if *incarnation == own_incarnation => {
                node.planner
                    .assignment_observed(*revision, assignment.clone());
            }
            Message::Handover { from, request } => {
                let ack = node.staged.stage(request.clone());
                let HandoverRequest {
                    incarnation,
                    shard,
                    assignment: frozen_at,
                    ..
                } = *request;
                let done = Message::HandoverDone {
                    incarnation,
                    shard,
                    frozen_at,
                    ack,
                };
                self.send(Target::Host(*from), done);
            }
            Message::HandoverDone {
                incarnation,
                shard,
                frozen_at,
                ack,
            } if *incarnation == own_incarnation => {
                if *ack == PeerAck::Accepted {
                    node.planner.state_staged(*shard, *frozen_at);
                } else {
                    node.planner.staging_failed(*shard, *frozen_at);
                }
            }
            _ => {}
        }
    }

    pub(super) fn deliver_to_service(&mut self, message: &Message) {
        match message {
            Message::WriteHost {
                from,
                renewal,
                host,
                expected,
                record,
            } => {
                let revision = self.hosts.get(host).map_or(0, |entry| entry.revision);
                let outcome = if revision == *expected {
                    self.write_host(host, record.clone())
                } else {
                    WriteOutcome::Conflict
                };
                if let Some(renewal) = *renewal {
                    let incarnation = record.incarnation;
                    let done = Message::WriteHostDone {
                        incarnation,
                        renewal,
                        outcome,
                    };
                    self.send(Target::Host(*from), done);
                }
            }
            Message::ReadHost { from } => {
                let entry = self.hosts.get(&host(*from));
                let revision = entry.map_or(self.revision, |entry| entry.revision);
                let record = entry.map(|entry| entry.record.clone());
                self.send(
                    Target::Host(*from),
                    Message::ReadHostDone { revision, record },
                );
            }
            Message::WriteAssignment {
                from,
                incarnation,
                expected,
                assignment,
            } => {
                let mut outcome = WriteOutcome::Conflict;
                if self.assignment.0 == *expected {
                    self.revision += 1;
                    self.assignment = (self.revision, assignment.clone());
                    outcome = WriteOutcome::Written {
                        revision: self.revision,
                    };
                }
                let incarnation = *incarnation;
                let (expected, assignment) = (*expected, assignment.clone());
                let done = Message::WriteAssignmentDone {
                    incarnation,
                    expected,
                    assignment,
                    outcome,
                };
                self.send(Target::Host(*from), done);
            }
            Message::ReadAssignment { from } => {
                let (revision, assignment) = self.assignment.clone();
                let incarnation = self.nodes[*from].incarnation;
                let done = Message::ReadAssignmentDone {
                    incarnation,
                    revision,
                    assignment,
                };
                self.send(Target::Host(*from), done);
            }
            _ => {}
        }
    }

    pub(super) fn write_host(&mut self, host: &HostId, record: HostRecord) -> WriteOutcome {
        self.revision += 1;
        self.tombstones_written += u64::from(record.state == HostState::Dead);
        let entry = MemberEntry {
            revision: self.revision,
            record,
        };
        self.hosts.insert(host.clone(), entry.clone());
        self.record_changes.push((host.clone(), entry));
        WriteOutcome::Written {
            revision: self.revision,
        }
    }
}
