use bytes::Bytes;
use http::HeaderMap;
use serde_json::Value;

/// Answer as a caller sees it.
#[derive(Clone, Debug)]
pub struct TestAnswer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as far as it arrived.
    pub body: Bytes,
    /// False if the connection broke before the end that the protocol states.
    pub is_complete: bool,
}

impl TestAnswer {
    /// True for a complete answer with a status from 200 to 299.
    pub fn is_success(&self) -> bool {
        self.is_complete && (200..300).contains(&self.status)
    }

    /// Body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Body as JSON; `null` if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// A header as text; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Title of the problem if the answer is a complete problem document, otherwise empty.
    pub fn problem(&self) -> String {
        let is_problem = self.header("content-type") == "application/problem+json";
        let body = self.json();
        let title = body["title"].as_str().filter(|_| is_problem);
        title.unwrap_or_default().to_owned()
    }

    /// What a problem says about whether the request ran: `no`, `yes`, `unknown`, or empty.
    pub fn ran(&self) -> String {
        let body = self.json();
        body["ran"].as_str().unwrap_or_default().to_owned()
    }
}
