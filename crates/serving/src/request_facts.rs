use std::time::Duration;

use smallvec::SmallVec;
use zinniahinge_types::Name;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a request says about itself, beside its path and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Caller's id of this attempt.
    pub attempt_id: Name,
    /// Time that the caller will wait, counted from the arrival of the request.
    pub caller_timeout: Option<Duration>,
    /// Model, for model requests.
    pub model: Option<Name>,
    /// Adapter of the model.
    pub adapter: Option<Name>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// True if the request states its tokens.
    pub states_tokens: bool,
    /// Parts of the prompt in order; the last belongs to the request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
}

impl RequestFacts {
    /// Tokens that count against a client account's rate, if the request states them.
    pub fn charged_tokens(&self) -> Option<u64> {
        self.states_tokens
            .then(|| self.prompt_tokens.saturating_add(self.output_tokens))
    }

    /// Shared part that differs most between requests: the last one but one. Requests that share it share all before it.
    pub fn shared_part(&self) -> Option<PromptPart> {
        match self.parts.len() {
            0 => None,
            1 => self.parts.first().copied(),
            count => self.parts.get(count - 2).copied(),
        }
    }
}
