use std::collections::HashMap;
use std::time::Duration;

use zinniahinge_types::EventKind;
use zinniahinge_types::EventRecord;
use zinniahinge_types::ResourceKey;
use zinniahinge_types::ShardId;

use crate::Fleet;
use crate::ProgramKind;
use crate::TestClient;
use crate::fleet_error::Result;

/// Longest wait for one page of events; a paused process answers none.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// A guardian records a death after the answer to its write; the successor may learn of it earlier by its watch.
const DEATH_NOTE_SLACK_US: u64 = 200_000;

/// Events of all processes of a fleet, over restarts. Collect before a kill, which loses the rest.
#[derive(Debug, Default)]
pub struct EventHistory {
    events: Vec<EventRecord>,
    read: HashMap<(String, u32), u64>,
}

impl EventHistory {
    /// Reads what is new at all processes that answer.
    pub async fn collect(&mut self, fleet: &Fleet) -> Result<()> {
        let client = TestClient::new()?;
        let kinds = [ProgramKind::Control, ProgramKind::Entry];
        for process in kinds.into_iter().flat_map(|kind| fleet.processes(kind)) {
            let name = process.spec().name.clone();
            let last = self.read.entry((name.clone(), process.id())).or_default();
            loop {
                let url = fleet.admin_url(&name, &format!("/events?after={last}"))?;
                let answer = tokio::time::timeout(PAGE_TIMEOUT, client.get(&url)).await;
                let Ok(Ok(answer)) = answer else { break };
                let text = answer.text();
                let page = text
                    .lines()
                    .filter_map(|line| serde_json::from_str(line).ok());
                let page: Vec<EventRecord> = page.collect();
                let Some(end) = page.last() else { break };
                *last = end.sequence;
                self.events.extend(page);
            }
        }
        self.events.sort_by_key(|event| event.at_us);
        Ok(())
    }

    /// Events of a kind in the order of their clock readings; all processes share the machine's clock.
    pub fn of_kind(&self, kind: EventKind) -> impl Iterator<Item = &EventRecord> {
        self.events.iter().filter(move |event| event.kind == kind)
    }

    /// Shards that `process` acquired at or after `from_us`, with the time of the event.
    pub fn acquired(&self, from_us: u64) -> Vec<(ShardId, &EventRecord)> {
        self.of_kind(EventKind::ShardAcquired)
            .filter(|event| event.at_us >= from_us)
            .filter_map(|event| Some((read_shard(&event.subject)?, event)))
            .collect()
    }

    /// Violations of single ownership. A shard may be acquired only after its owner released it or was declared
    /// dead, and only the newest owner may queue requests for `models` of `service` or give orders for its pool.
    pub fn ownership_faults(&self, service: &str, models: &[&str]) -> Vec<String> {
        let mut owners: HashMap<ShardId, &EventRecord> = HashMap::new();
        let mut released: HashMap<(ShardId, &str), u64> = HashMap::new();
        let mut faults = Vec::new();
        for event in &self.events {
            let shard = match event.kind {
                EventKind::ShardAcquired | EventKind::ShardReleased => read_shard(&event.subject),
                EventKind::RequestQueued if models.contains(&&*event.subject) => {
                    Some(model_key(service, &event.subject).shard())
                }
                EventKind::LoadOrdered | EventKind::UnloadOrdered => {
                    let service = service.into();
                    Some(ResourceKey::Pool { service }.shard())
                }
                _ => None,
            };
            let Some(shard) = shard else { continue };
            let owner = owners.get(&shard).copied();
            match event.kind {
                EventKind::ShardReleased => {
                    released.insert((shard, &event.process), event.at_us);
                }
                EventKind::ShardAcquired => {
                    if let Some(owner) = owner.filter(|owner| owner.process != event.process) {
                        let released = released.get(&(shard, &*owner.process));
                        let has_released = released.is_some_and(|at_us| *at_us >= owner.at_us)
                            || has_state_of(event, owner);
                        if !has_released && !self.was_declared_dead(owner, event.at_us) {
                            let earlier = self.shard_history(shard, event.at_us);
                            faults.push(format!(
                                "{event:?} while {} owns it: {earlier}",
                                owner.process
                            ));
                        }
                    }
                    owners.insert(shard, event);
                }
                _ if owner.is_none_or(|owner| owner.process != event.process) => {
                    faults.push(format!("{event:?}, but the owner is {owner:?}"));
                }
                _ => {}
            }
        }
        faults
    }

    /// Acquisitions and releases of a shard up to a time, for the message of a failed assertion.
    fn shard_history(&self, shard: ShardId, until_us: u64) -> String {
        let events = self.events.iter().filter(|event| event.at_us <= until_us);
        let events = events.filter(|event| read_shard(&event.subject) == Some(shard));
        let lines = events.map(|event| {
            format!(
                "{} {} {:?} {}",
                event.at_us, event.process, event.kind, event.detail
            )
        });
        lines.collect::<Vec<_>>().join("; ")
    }

    fn was_declared_dead(&self, owner: &EventRecord, before_us: u64) -> bool {
        let host = owner.process.strip_prefix("control/").unwrap_or_default();
        let range = owner.at_us..=before_us + DEATH_NOTE_SLACK_US;
        self.of_kind(EventKind::HostDeclaredDead)
            .any(|event| &*event.subject == host && range.contains(&event.at_us))
    }
}

/// True if the new owner resumes from the state that `owner` exported when it released the shard. A process that
/// ends takes the event of its last releases along.
fn has_state_of(event: &EventRecord, owner: &EventRecord) -> bool {
    let host = owner.process.strip_prefix("control/").unwrap_or_default();
    event.detail.strip_prefix("state from ") == Some(host)
}

fn model_key(service: &str, model: &str) -> ResourceKey {
    ResourceKey::Model {
        service: service.into(),
        model: model.into(),
    }
}

fn read_shard(subject: &str) -> Option<ShardId> {
    subject.strip_prefix("shard ")?.parse().ok()
}
