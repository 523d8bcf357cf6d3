use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;
use smallvec::SmallVec;
use zinniahinge_types::Name;

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Properties that a request states in addition to its path and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Id that the caller gave to this attempt.
    pub attempt_id: Name,
    /// Time after the arrival of the request until which the caller waits for the answer; `None` if not stated.
    pub caller_timeout: Option<Duration>,
    /// Model, for requests to models.
    pub model: Option<Name>,
    /// Adapter of the model.
    pub adapter: Option<Name>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Largest number of tokens in the answer.
    pub output_tokens: u64,
    /// True if the request states its numbers of tokens.
    pub states_tokens: bool,
    /// Parts of the prompt in order. The last one belongs to the request or its session only.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl RequestFacts {
    /// Tokens that count against a client account's rate; `None` if the request states none.
    pub fn charged_tokens(&self) -> Option<u64> {
        self.states_tokens
            .then(|| self.prompt_tokens.saturating_add(self.output_tokens))
    }

    /// The parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Ids of the shared parts combined with the model and the adapter, in order; the same on all hosts. Empty without a
    /// model.
    pub fn model_parts(&self) -> SmallVec<[u64; 4]> {
        let Some(model) = &self.model else {
            return SmallVec::new();
        };
        let adapter = self.adapter.as_deref().unwrap_or_default();
        let parts = self.shared_parts().iter();
        parts
            .map(|part| {
                let mut hash = Sha256::new();
                for name in [&**model, adapter] {
                    hash.update((name.len() as u64).to_be_bytes());
                    hash.update(name);
                }
                hash.update(part.id.to_be_bytes());
                let digest = hash.finalize();
                let (bytes, _) = digest.split_first_chunk().unwrap_or((&[0; 8], &[]));
                u64::from_be_bytes(*bytes)
            })
            .collect()
    }

    /// The ids of the shared parts for log lines: hexadecimal, in order, separated by commas; `None` without any.
    pub fn shared_parts_text(&self) -> Option<String> {
        let ids = self.shared_parts().iter();
        let ids: SmallVec<[String; 4]> = ids.map(|part| format!("{:x}", part.id)).collect();
        (!ids.is_empty()).then(|| ids.join(","))
    }

    /// The last shared part: the last one but one, or the only one. It differs most between requests, and requests that
    /// share it share all parts before it.
    pub fn shared_part(&self) -> Option<PromptPart> {
        match self.parts.len() {
            0 => None,
            1 => self.parts.first().copied(),
            count => self.parts.get(count - 2).copied(),
        }
    }
}
