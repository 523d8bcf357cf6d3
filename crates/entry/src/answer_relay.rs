//! Passes a streamed answer from a backend server to the caller.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use volo_http::body::Body;
use zinniahinge_types::EventKind;
use zinniahinge_types::ReleaseOutcome;

use crate::backend_client::BackendFailure;
use crate::entry_state::EntryState;
use crate::frame_stream::CutAnswer;
use crate::frame_stream::FrameSender;
use crate::frame_stream::channel_body;
use crate::key_watch::key_withdrawn;
use crate::problem::ProblemKind;
use crate::problem::RanState;
use crate::problem::RequestProblem;
use crate::request_context::RequestContext;
use crate::settlement::ChargeGuard;
use crate::settlement::TicketGuard;
use crate::stream_scanner::StreamScanner;

/// Longest silence of a backend server within a stream. Tokens are 33 ms apart in 95 of 100 cases.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between the error event and the break of the connection. The HTTP library discards what it has not written
/// yet when a body fails, so the event would often be lost.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// A streamed answer.
pub struct AnswerRelay {
    /// Shared state.
    pub state: Arc<EntryState>,
    /// The request.
    pub context: Arc<RequestContext>,
    /// Estimate of the prompt's tokens.
    pub prompt_tokens: u64,
    /// Ticket, returned when the stream ends.
    pub ticket: TicketGuard,
    /// When the request was sent.
    pub started: Instant,
}

/// Why a stream ended.
#[derive(Debug, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    CallerLeft,
    KeyWithdrawn,
    ServerFailed,
}

impl AnswerRelay {
    /// Waits for the first chunk, so that a server that fails before it can be replaced, then relays in a task.
    /// Takes the charge only if the stream starts.
    pub async fn start(
        mut self,
        mut body: Body,
        charge: &mut Option<ChargeGuard>,
    ) -> Result<Body, BackendFailure> {
        let left = self.context.time_left();
        let first = match tokio::time::timeout(left, next_chunk(&mut body)).await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(_) => return Err(self.fail(BackendFailure::BrokenAnswer)),
            Err(_) => return Err(self.fail(BackendFailure::TimedOut)),
        };
        if !looks_like_events(&first) {
            return Err(self.fail(BackendFailure::BrokenAnswer));
        }
        let elapsed = self.started.elapsed();
        self.ticket.set_first_token(elapsed);
        self.state.counters.first_token(elapsed);
        self.record(EventKind::FirstToken, String::new());
        let (sender, caller_body) = channel_body();
        tokio::spawn(self.relay(first, body, sender, charge.take()));
        Ok(caller_body)
    }

    fn fail(&mut self, failure: BackendFailure) -> BackendFailure {
        self.ticket.set_outcome(failure.outcome());
        failure
    }

    async fn relay(
        mut self,
        first: Bytes,
        mut body: Body,
        sender: FrameSender,
        mut charge: Option<ChargeGuard>,
    ) {
        let _open = self.state.counters.open_stream();
        let mut scanner = StreamScanner::default();
        let mut chunk = first;
        let end = loop {
            scanner.push(&chunk);
            self.account(&scanner, charge.as_mut());
            if sender.send(Ok(chunk)).await.is_err() {
                break StreamEnd::CallerLeft;
            }
            match self.next(&mut body, &sender).await {
                Ok(Some(next)) => chunk = next,
                Ok(None) if scanner.is_done() => break StreamEnd::Complete,
                Ok(None) => break StreamEnd::ServerFailed,
                Err(end) => break end,
            }
        };
        self.finish(end, &scanner, &sender).await;
    }

    fn account(&mut self, scanner: &StreamScanner, charge: Option<&mut ChargeGuard>) {
        let used = self.prompt_tokens + scanner.events();
        self.ticket.set_tokens(used);
        if let Some(charge) = charge {
            charge.set_used(used);
        }
    }

    /// Next chunk, `None` at the end of the body.
    async fn next(
        &self,
        body: &mut Body,
        sender: &FrameSender,
    ) -> Result<Option<Bytes>, StreamEnd> {
        tokio::select! {
            chunk = next_chunk(body) => chunk.transpose().map_err(|_| StreamEnd::ServerFailed),
            () = sender.closed() => Err(StreamEnd::CallerLeft),
            () = tokio::time::sleep(IDLE_TIMEOUT) => Err(StreamEnd::ServerFailed),
            _ = key_withdrawn(&self.state, &self.context) => Err(StreamEnd::KeyWithdrawn),
        }
    }

    async fn finish(&mut self, end: StreamEnd, scanner: &StreamScanner, sender: &FrameSender) {
        let detail = format!("{} events", scanner.events());
        match end {
            StreamEnd::Complete => {
                self.ticket.set_outcome(ReleaseOutcome::Finished);
                self.record(EventKind::RequestFinished, detail);
            }
            StreamEnd::CallerLeft => {
                self.ticket.set_outcome(ReleaseOutcome::Cancelled);
                self.record(
                    EventKind::RequestFailed,
                    format!("caller left after {detail}"),
                );
            }
            StreamEnd::KeyWithdrawn => {
                self.ticket.set_outcome(ReleaseOutcome::Cancelled);
                self.record(EventKind::StreamCut, detail);
                cut(sender, ProblemKind::InvalidKey, "the key was withdrawn").await;
            }
            StreamEnd::ServerFailed => {
                self.ticket.set_outcome(ReleaseOutcome::ServerFailed);
                self.record(
                    EventKind::RequestFailed,
                    format!("server failed after {detail}"),
                );
                cut(
                    sender,
                    ProblemKind::BackendFailed,
                    "the backend server stopped",
                )
                .await;
            }
        }
    }

    fn record(&self, kind: EventKind, detail: String) {
        let trace_id = Some(self.context.trace_id);
        self.state
            .events
            .record(kind, trace_id, self.context.subject(), detail);
    }
}

async fn next_chunk(body: &mut Body) -> Option<Result<Bytes, BackendFailure>> {
    loop {
        match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) if data.is_empty() => {}
                Ok(data) => return Some(Ok(data)),
                Err(_trailers) => {}
            },
            Err(_) => return Some(Err(BackendFailure::BrokenAnswer)),
        }
    }
}

/// A stream starts with an event field or a comment; anything else is not a stream of events.
fn looks_like_events(chunk: &[u8]) -> bool {
    [&b"data:"[..], b"event:", b"id:", b"retry:", b":"]
        .iter()
        .any(|start| chunk.starts_with(start))
}

/// Ends the answer so that the caller cannot take it for whole: an error event, then a broken chunked body.
async fn cut(sender: &FrameSender, kind: ProblemKind, detail: &str) {
    let problem = RequestProblem::not_run(kind, detail).with_ran(RanState::Yes);
    let event = format!("event: error\ndata: {}\n\n", problem.to_json());
    if sender.send(Ok(Bytes::from(event))).await.is_ok() {
        tokio::time::sleep(FLUSH_TIME).await;
        let _ = sender.send(Err(CutAnswer)).await;
    }
}
