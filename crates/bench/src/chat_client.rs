use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::header;
use http_body_util::BodyExt;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;
use volo_http::error::client::ErrorKind;
use volo_http::response::Response;
use zinniahinge_standins::expected_answer;

use crate::CallResult;
use crate::bench_error::Result;

/// Time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// One chat request. Its answer follows from `text`, so `text` must be unique.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Entry process or engine.
    pub address: SocketAddr,
    /// Key of the client account; empty sends none.
    pub key: String,
    /// Model, or `model:adapter`.
    pub model: String,
    /// Text of the request.
    pub text: String,
    /// Length of the answer.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Longest wait for the whole answer.
    pub timeout: Duration,
    /// Trace id to send, so that the request is found in the events.
    pub trace_id: Option<u128>,
}

/// What came of a [`ChatCall`].
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Result.
    pub result: CallResult,
    /// When the request was sent.
    pub sent: Instant,
    /// When the first part of a whole answer came.
    pub first_token: Option<Instant>,
    /// When the answer ended.
    pub finished: Instant,
}

/// Sends chat requests and checks the answers.
#[derive(Clone)]
pub struct ChatClient {
    client: Client,
}

#[derive(Deserialize)]
struct ProblemBody {
    r#type: String,
    #[serde(default)]
    ran: String,
}

impl ChatClient {
    /// A client that keeps up to `connections` idle connections to each address.
    pub fn new(connections: usize) -> Result<Self> {
        let mut builder = ClientBuilder::new();
        builder.disable_tls(true);
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        builder.set_max_idle_per_host(connections);
        let client = builder.build()?;
        Ok(Self { client })
    }

    /// Sends one request, without retries, and reads the answer to its end.
    pub async fn call(&self, call: &ChatCall) -> CallRecord {
        let sent = Instant::now();
        let mut first_token = None;
        let exchange = self.exchange(call, &mut first_token);
        let result = match tokio::time::timeout(call.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => CallResult::TimedOut,
        };
        CallRecord {
            result,
            sent,
            first_token,
            finished: Instant::now(),
        }
    }

    async fn exchange(&self, call: &ChatCall, first_token: &mut Option<Instant>) -> CallResult {
        let response = match self.send(call).await {
            Ok(response) => response,
            Err(result) => return result,
        };
        let status = response.status();
        if !status.is_success() {
            return read_refusal(status.as_u16(), response).await;
        }
        if call.stream {
            read_stream(call, response, first_token).await
        } else {
            let result = read_whole(call, response).await;
            *first_token = Some(Instant::now());
            result
        }
    }

    /// Sends the request and returns the answer with its body unread.
    pub async fn send(&self, call: &ChatCall) -> std::result::Result<Response, CallResult> {
        let url = format!("http://{}/v1/chat/completions", call.address);
        let body = json!({
            "model": call.model,
            "messages": [{ "role": "user", "content": call.text }],
            "max_tokens": call.max_tokens,
            "stream": call.stream,
        });
        let mut request = self
            .client
            .post(url)
            .header(header::CONTENT_TYPE, "application/json");
        if !call.key.is_empty() {
            request = request.header(header::AUTHORIZATION, format!("Bearer {}", call.key));
        }
        if let Some(trace_id) = call.trace_id {
            // The span id must not be zero; its value means nothing here.
            request = request.header("traceparent", format!("00-{trace_id:032x}-{:016x}-01", 1));
        }
        let body = Body::from(Bytes::from(body.to_string()));
        let answer = request.body(body).send().await;
        answer.map_err(|error| match error.kind() {
            ErrorKind::Connect | ErrorKind::Builder => CallResult::NotSent,
            _ => CallResult::NoAnswer,
        })
    }
}

async fn read_refusal(status: u16, response: Response) -> CallResult {
    let (_, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        return CallResult::Cut;
    };
    let problem = serde_json::from_slice::<ProblemBody>(&collected.to_bytes());
    let (kind, ran) = match problem {
        Ok(problem) => (short_type(&problem.r#type), problem.ran),
        Err(_) => (format!("status-{status}"), String::new()),
    };
    CallResult::Refused { kind, ran }
}

/// Last part of a problem type, which is a URN.
fn short_type(urn: &str) -> String {
    urn.rsplit(':').next().unwrap_or(urn).to_owned()
}

async fn read_whole(call: &ChatCall, response: Response) -> CallResult {
    let (_, body) = response.into_parts();
    let Ok(collected) = body.collect().await else {
        return CallResult::Cut;
    };
    let Ok(answer) = serde_json::from_slice::<Value>(&collected.to_bytes()) else {
        return CallResult::Wrong;
    };
    let text = answer["choices"][0]["message"]["content"].as_str();
    compare(call, text.unwrap_or_default())
}

async fn read_stream(
    call: &ChatCall,
    response: Response,
    first_token: &mut Option<Instant>,
) -> CallResult {
    let (_, mut body) = response.into_parts();
    let mut reader = StreamReader::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return CallResult::Cut;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        reader.push(&data);
        if first_token.is_none() && !reader.text.is_empty() {
            *first_token = Some(Instant::now());
        }
    }
    match reader {
        StreamReader {
            is_done: true,
            is_failed: false,
            ref text,
            ..
        } => compare(call, text),
        _ => CallResult::Cut,
    }
}

fn compare(call: &ChatCall, text: &str) -> CallResult {
    if text == expected_answer(&call.text, call.max_tokens) {
        CallResult::Whole
    } else {
        CallResult::Wrong
    }
}

/// Collects the text of a stream of events.
#[derive(Default)]
struct StreamReader {
    rest: Vec<u8>,
    text: String,
    is_done: bool,
    is_failed: bool,
}

impl StreamReader {
    fn push(&mut self, data: &[u8]) {
        self.rest.extend_from_slice(data);
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            self.read_line(line.trim_end());
        }
    }

    fn read_line(&mut self, line: &str) {
        if line == "event: error" {
            self.is_failed = true;
        }
        match line.strip_prefix("data: ") {
            Some("[DONE]") => self.is_done = true,
            Some(event) => self.read_event(event),
            None => {}
        }
    }

    fn read_event(&mut self, event: &str) {
        let Ok(event) = serde_json::from_str::<Value>(event) else {
            self.is_failed = true;
            return;
        };
        if let Some(part) = event["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(part);
        }
    }
}
