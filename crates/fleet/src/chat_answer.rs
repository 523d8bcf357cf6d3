use serde_json::Value;
use serde_json::json;

use crate::TestAnswer;

/// Body of a chat completion request.
pub fn chat_body(model: &str, text: &str, max_tokens: u64, stream: bool) -> String {
    let message = json!({ "role": "user", "content": text });
    let body = json!({
        "model": model,
        "messages": [message],
        "max_tokens": max_tokens,
        "stream": stream,
    });
    body.to_string()
}

/// Content of a chat completion, streamed or whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChatAnswer {
    /// Generated text.
    pub text: String,
    /// True if the caller must take it for whole: complete on the wire, with status 200, without an
    /// error event, and for a stream with its end mark.
    pub looks_whole: bool,
    /// True if a stream carries an error event.
    pub has_error: bool,
}

impl ChatAnswer {
    /// Reads an answer.
    pub fn read(answer: &TestAnswer) -> Self {
        let content_type = answer.header("content-type");
        if content_type.starts_with("text/event-stream") {
            return Self::read_stream(answer);
        }
        let content = answer.json()["choices"][0]["message"]["content"].clone();
        Self {
            looks_whole: answer.is_success(),
            text: content.as_str().unwrap_or_default().to_owned(),
            has_error: false,
        }
    }

    fn read_stream(answer: &TestAnswer) -> Self {
        let mut read = Self::default();
        let mut is_done = false;
        for line in answer.text().lines() {
            if line.starts_with("event: error") {
                read.has_error = true;
            }
            match line.strip_prefix("data: ") {
                Some("[DONE]") => is_done = true,
                Some(data) => {
                    let event: Value = serde_json::from_str(data).unwrap_or_default();
                    let delta = event["choices"][0]["delta"]["content"].as_str();
                    read.text.push_str(delta.unwrap_or_default());
                }
                None => {}
            }
        }
        read.looks_whole = answer.is_success() && is_done && !read.has_error;
        read
    }
}
