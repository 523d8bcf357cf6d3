//! Answers of the model engine. They follow from the request, so that a caller can check that the
//! whole answer to its own request arrived.

use serde::Deserialize;

/// Tokens of an answer whose request states no limit.
pub const DEFAULT_ANSWER_TOKENS: u64 = 16;

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Model, or `model:adapter`.
    pub model: String,
    /// Conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Options of a stream.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Limit of the answer, in tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
    /// The last message is the beginning of the answer, which is to be continued.
    #[serde(default)]
    pub continue_final_message: bool,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Who wrote it.
    pub role: String,
    /// Text.
    pub content: ChatContent,
}

/// Text of a message, whole or in parts.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum ChatContent {
    /// Whole text.
    Text(String),
    /// Parts.
    Parts(Vec<ChatPart>),
}

/// Part of a message.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatPart {
    /// Text of the part; parts of other types have none.
    #[serde(default)]
    pub text: String,
}

/// Options of a stream.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether the stream ends with the usage.
    #[serde(default)]
    pub include_usage: bool,
}

impl ChatContent {
    /// The whole text.
    pub fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Parts(parts) => parts.iter().map(|part| part.text.as_str()).collect(),
        }
    }
}

impl ChatRequest {
    /// Model without the adapter.
    pub fn base_model(&self) -> &str {
        self.model.split_once(':').map_or(&self.model, |(m, _)| m)
    }

    /// Adapter, if one is named.
    pub fn adapter(&self) -> Option<&str> {
        self.model.split_once(':').map(|(_, adapter)| adapter)
    }

    /// Text of the last message of the user.
    pub fn last_user_text(&self) -> String {
        let last = self.messages.iter().rfind(|m| m.role == "user");
        last.map(|message| message.content.text())
            .unwrap_or_default()
    }

    /// Number of the first token: 0, or the length of the answer that is to be continued.
    pub fn first_token(&self) -> u64 {
        match self.messages.last() {
            Some(last) if self.continue_final_message && last.role == "assistant" => {
                last.content.text().split_whitespace().count() as u64
            }
            _ => 0,
        }
    }

    /// The whole prompt.
    pub fn prompt(&self) -> String {
        let texts: Vec<String> = self.messages.iter().map(|m| m.content.text()).collect();
        texts.join("\n")
    }

    /// Length of the prompt in tokens: its words.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt().split_whitespace().count() as u64
    }
}

/// Tokens `first..first + count` of the answer to `user_text`: its words in turn, numbered.
pub fn answer_tokens(user_text: &str, first: u64, count: u64) -> Vec<String> {
    let mut words: Vec<&str> = user_text.split_whitespace().collect();
    if words.is_empty() {
        words.push("-");
    }
    (first..first + count)
        .map(|index| format!("{index}:{} ", words[index as usize % words.len()]))
        .collect()
}

/// Whole answer of `count` tokens to `user_text`.
pub fn expected_answer(user_text: &str, count: u64) -> String {
    answer_tokens(user_text, 0, count).concat()
}
