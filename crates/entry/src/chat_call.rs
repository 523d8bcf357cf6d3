//! The parts of a chat completion request that routing and accounting need.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use serde::Deserialize;
use zinniahinge_types::Name;

use crate::problem::ProblemKind;
use crate::problem::RequestProblem;
use crate::problem::Result;

/// Characters per token in the estimate of the prompt's size. English and German text has about four
/// characters per token; three keeps the estimate above the real count for most prompts.
const CHARACTERS_PER_TOKEN: u64 = 3;

/// Bytes of the prompt that decide prefix affinity: about one cache block of 128 tokens.
const PREFIX_BYTES: usize = 512;

/// A parsed chat completion request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Base model.
    pub model: Name,
    /// Adapter, from `model:adapter`.
    pub adapter: Option<Name>,
    /// True if the answer is streamed as server-sent events.
    pub stream: bool,
    /// Upper estimate of the prompt's tokens.
    pub prompt_tokens: u64,
    /// Largest output that the caller asked for.
    pub max_tokens: Option<u64>,
    /// Hash of the prompt's first block.
    pub prefix_hash: u64,
}

#[derive(Deserialize)]
struct ChatBody {
    model: Name,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct ChatMessage {
    #[serde(rename = "role")]
    _role: String,
    #[serde(default)]
    content: serde_json::Value,
}

impl ChatCall {
    /// Parses a request body.
    pub fn parse(body: &[u8]) -> Result<Self> {
        let parsed: ChatBody = serde_json::from_slice(body).map_err(|error| {
            RequestProblem::not_run(ProblemKind::InvalidBody, describe_json_error(&error))
        })?;
        let ChatBody {
            model,
            messages,
            stream,
            max_tokens,
            max_completion_tokens,
        } = parsed;
        let (base, adapter) = match model.split_once(':') {
            Some((base, adapter)) => (base.into(), Some(adapter.into())),
            None => (model, None),
        };
        let text: String = messages
            .iter()
            .map(|message| message.content.to_string())
            .collect();
        Ok(Self {
            model: base,
            adapter,
            stream,
            prompt_tokens: (text.len() as u64).div_ceil(CHARACTERS_PER_TOKEN),
            max_tokens: max_completion_tokens.or(max_tokens),
            prefix_hash: hash_prefix(text.as_bytes()),
        })
    }
}

/// Position and kind of a JSON error, without quoting the body.
fn describe_json_error(error: &serde_json::Error) -> String {
    let (line, column) = (error.line(), error.column());
    let kind = match error.classify() {
        serde_json::error::Category::Data => "a member is missing or has the wrong type",
        serde_json::error::Category::Eof => "the body ends early",
        _ => "the body is not valid JSON",
    };
    format!("{kind}, line {line} column {column}; expected a chat completion request")
}

fn hash_prefix(text: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    text[..text.len().min(PREFIX_BYTES)].hash(&mut hasher);
    hasher.finish()
}
