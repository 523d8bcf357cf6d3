use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Length of the prompt's first block, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Events that are kept for readers.
const EVENT_LIMIT: usize = 4_096;

/// Prompt prefixes whose KV cache an engine holds, and the events about them.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    /// The least recently used first.
    entries: VecDeque<PrefixEntry>,
    events: VecDeque<QueuedEvent>,
    next_sequence: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct PrefixEntry {
    model: String,
    prefix_hash: u64,
}

#[derive(Debug)]
struct QueuedEvent {
    event: CacheEvent,
    visible_at: Instant,
}

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// It entered the cache.
    Stored,
    /// It left the cache.
    Removed,
}

/// One entry of `GET /v1/cache_events`. Numbers that are missing show lost events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event in this run of the engine, from 1.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Model, with its adapter.
    pub model: String,
    /// Hash of the first block of the prompt.
    pub prefix_hash: u64,
}

/// How an event is published; `None` loses it.
pub type EventDelay = Option<Duration>;

impl PrefixCache {
    /// Empty cache for `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
            events: VecDeque::new(),
            next_sequence: 1,
        }
    }

    /// Uses a prefix; true if it was cached. `delay` decides for each event how it is published.
    pub fn touch(&mut self, model: &str, prompt: &str, delay: impl Fn() -> EventDelay) -> bool {
        let entry = PrefixEntry {
            model: model.to_owned(),
            prefix_hash: prefix_hash(prompt),
        };
        let position = self.entries.iter().position(|cached| *cached == entry);
        if let Some(position) = position {
            self.entries.remove(position);
            self.entries.push_back(entry);
            return true;
        }
        self.publish(CacheEventKind::Stored, &entry, delay());
        self.entries.push_back(entry);
        if self.entries.len() > self.capacity
            && let Some(oldest) = self.entries.pop_front()
        {
            self.publish(CacheEventKind::Removed, &oldest, delay());
        }
        false
    }

    /// Forgets all prefixes and events.
    pub fn restart(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Visible events with a number above `after`.
    pub fn events(&self, after: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|queued| queued.event.sequence > after && queued.visible_at <= now)
            .map(|queued| queued.event.clone())
            .collect()
    }

    fn publish(&mut self, kind: CacheEventKind, entry: &PrefixEntry, delay: EventDelay) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let Some(delay) = delay else {
            return;
        };
        let event = CacheEvent {
            sequence,
            kind,
            model: entry.model.clone(),
            prefix_hash: entry.prefix_hash,
        };
        let visible_at = Instant::now() + delay;
        self.events.push_back(QueuedEvent { event, visible_at });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}

/// First 8 bytes of the SHA-256 of the prompt's first block.
pub fn prefix_hash(prompt: &str) -> u64 {
    let block = prompt.as_bytes();
    let digest = Sha256::digest(&block[..block.len().min(PREFIX_BLOCK_BYTES)]);
    let mut first = [0_u8; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
