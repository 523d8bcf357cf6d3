use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use zinniahinge_platform::event_id;
use zinniahinge_serving::LoadGuard;
use zinniahinge_transport::ConnectionLease;
use zinniahinge_types::Name;

use crate::backend_response::BackendResponse;
use crate::backend_send::send;
use crate::caller_response::ResponseBody;
use crate::caller_response::StreamAborted;
use crate::event_splitter::EventSplitter;
use crate::forward::may_send_again;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::send_history::SendHistory;
use crate::target_choice::choose_target;

/// Chunks that are buffered for a slow caller before the relay stops reading from the backend server.
const CALLER_BUFFER_CHUNKS: usize = 16;

/// Time without an event after which a resumable stream is resumed at another server. Requests that a server preempts
/// are silent for a second or two.
const RESUME_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Shortest time before the deadline at which a stream is still resumed at another server.
const MIN_RESUME_TIME: Duration = Duration::from_millis(300);

/// An event stream from a backend server whose first events have arrived.
pub(crate) struct OpenStream {
    pub(crate) backend: Name,
    first_events: Bytes,
    body: Incoming,
    lease: Option<ConnectionLease>,
    guard: LoadGuard,
    splitter: EventSplitter,
}

/// Result of reading on from a stream.
enum StreamStep {
    /// One or more complete events.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The stream can't be read further, with the reason.
    Broken(String),
}

impl OpenStream {
    /// Waits until `deadline` for the first complete event, so that a server that fails before it can still be
    /// replaced.
    ///
    /// The error is the reason why no event came.
    pub(crate) async fn start(
        response: BackendResponse,
        backend: Name,
        deadline: Instant,
    ) -> Result<Self, String> {
        let BackendResponse {
            body, lease, guard, ..
        } = response;
        let mut stream = Self {
            backend,
            first_events: Bytes::new(),
            body,
            lease: Some(lease),
            guard,
            splitter: EventSplitter::default(),
        };
        match tokio::time::timeout_at(deadline, stream.next()).await {
            Ok(StreamStep::Events(events)) => {
                stream.guard.finish_prefill();
                stream.first_events = events;
                Ok(stream)
            }
            Ok(StreamStep::End) => Err("the stream ended before its first event".to_owned()),
            Ok(StreamStep::Broken(reason)) => Err(reason),
            Err(_) => Err("no event before the deadline".to_owned()),
        }
    }

    /// Reads until at least one event is complete.
    async fn next(&mut self) -> StreamStep {
        loop {
            match self.body.frame().await {
                None if self.splitter.is_between_events() => return StreamStep::End,
                None => {
                    return StreamStep::Broken(
                        "the stream ended in the middle of an event".to_owned(),
                    );
                }
                Some(Err(error)) => return StreamStep::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let events = self.splitter.push(&data);
                    if !events.is_empty() {
                        return StreamStep::Events(events);
                    }
                    if self.splitter.is_too_long() {
                        return StreamStep::Broken("an event exceeds the size limit".to_owned());
                    }
                }
            }
        }
    }
}

/// Relays an event stream to the caller, and resumes it at another backend server where the route allows it.
pub(crate) struct EventRelay {
    pub(crate) state: Arc<HostState>,
    pub(crate) context: RequestContext,
    pub(crate) history: SendHistory,
    pub(crate) log: RequestLog,
}

impl EventRelay {
    /// Starts the relay task and returns the body; dropping the body, as when the caller disconnects, cancels the task.
    pub(crate) fn start(self, stream: OpenStream) -> ResponseBody {
        let (sender, chunks) = mpsc::channel(CALLER_BUFFER_CHUNKS);
        let token = CancellationToken::new();
        let guard = token.clone().drop_guard();
        tokio::spawn(async move {
            let relay = self.run(stream, sender);
            token.run_until_cancelled(relay).await;
        });
        ResponseBody::Events {
            chunks,
            _relay: guard,
        }
    }

    /// Relays until the stream ends, can't be resumed, or the caller stops reading.
    async fn run(
        mut self,
        mut stream: OpenStream,
        sender: mpsc::Sender<Result<Bytes, StreamAborted>>,
    ) {
        let opened_at = Instant::now();
        let mut is_resumed = false;
        let mut last_event: Option<String> = None;
        let mut events = std::mem::take(&mut stream.first_events);
        loop {
            if !events.is_empty() {
                self.log.events += count_events(&events);
                if let Some(id) = last_event_id(&events) {
                    last_event = Some(id);
                }
                if sender.send(Ok(std::mem::take(&mut events))).await.is_err() {
                    return;
                }
            }
            let waiting_since = Instant::now();
            let reason = match self.next_step(&mut stream).await {
                StreamStep::Events(next) => {
                    self.log.record_event_gap(waiting_since.elapsed());
                    events = next;
                    continue;
                }
                StreamStep::End => {
                    if let Some(lease) = stream.lease.take() {
                        lease.return_to_pool();
                    }
                    stream.guard.load().count_success();
                    if !is_resumed {
                        let (tokens, time) =
                            (self.context.facts.output_tokens, opened_at.elapsed());
                        let service = &self.context.service;
                        self.state.timings().record_output(service, tokens, time);
                    }
                    self.log.finish("served", 200);
                    return;
                }
                StreamStep::Broken(reason) => reason,
            };
            let load = stream.guard.load().clone();
            load.count_failure();
            load.avoid(self.state.now());
            info!(self.state.logger, "event stream interrupted"; "id" => &*self.context.facts.attempt_id,
                "backend" => &*stream.backend, "events" => self.log.events,
                "parts" => self.context.facts.shared_parts_text(), "reason" => &reason);
            self.history.record_possible_run(&stream.backend);
            // Ends the run at this server before another server continues it.
            drop(stream);
            match self.resume(last_event.as_deref()).await {
                Some(next) => {
                    stream = next;
                    is_resumed = true;
                }
                None => {
                    let _ = sender.send(Err(StreamAborted)).await;
                    self.log.finish("cut", 200);
                    return;
                }
            }
            events = std::mem::take(&mut stream.first_events);
        }
    }

    /// Reads the next events, within the deadline and, for a resumable stream, within [`RESUME_IDLE_TIMEOUT`].
    async fn next_step(&self, stream: &mut OpenStream) -> StreamStep {
        // The time-out below never fires on a stream that always has an event ready.
        if Instant::now() >= self.context.deadline {
            return StreamStep::Broken("the request's deadline has passed".to_owned());
        }
        let next_event_deadline = if self.context.rule.kind.is_repeatable() {
            self.context
                .deadline
                .min(Instant::now() + RESUME_IDLE_TIMEOUT)
        } else {
            self.context.deadline
        };
        match tokio::time::timeout_at(next_event_deadline, stream.next()).await {
            Ok(next_step) => next_step,
            Err(_) => StreamStep::Broken("no event within the time limit".to_owned()),
        }
    }

    /// Resumes the stream after its last event at another backend server; `None` if that is not possible or not
    /// allowed.
    async fn resume(&mut self, last_event: Option<&str>) -> Option<OpenStream> {
        let last_event = last_event?;
        loop {
            let is_allowed = may_send_again(&self.state, &self.context, &self.history);
            if !is_allowed || self.context.time_left() < MIN_RESUME_TIME {
                return None;
            }
            let (state, context) = (&self.state, &self.context);
            let target = choose_target(state, context, &mut self.history)
                .await
                .ok()?;
            if !state.retries.for_service(&context.service).try_retry() {
                return None;
            }
            let backend = target.entry.id.clone();
            self.log.delivered_sends += 1;
            self.log.backend = Some(backend.clone());
            let (history, deadline) = (&mut self.history, context.deadline);
            let sent = send(state, context, history, &target, Some(last_event), deadline).await;
            let opened = match sent {
                Ok(response)
                    if response.metadata.status.is_success()
                        && response.metadata.has_original_body() =>
                {
                    OpenStream::start(response, backend.clone(), context.deadline).await
                }
                Ok(response) => Err(response.metadata.status.to_string()),
                Err(end) => Err(end.to_string()),
            };
            match opened {
                Ok(stream) => {
                    info!(state.logger, "event stream resumed at another backend server";
                        "id" => &*context.facts.attempt_id, "backend" => &*backend, "after" => last_event);
                    return Some(stream);
                }
                Err(reason) => {
                    info!(state.logger, "event stream not resumed at backend server";
                        "id" => &*context.facts.attempt_id, "backend" => &*backend, "reason" => reason);
                    self.history.record_possible_run(&backend);
                }
            }
        }
    }
}

/// Counts the events that end with `\n\n` in a chunk.
fn count_events(events: &[u8]) -> u64 {
    let ends = events.windows(2).filter(|window| *window == b"\n\n");
    ends.count() as u64
}

/// Returns the id of a chunk's last event, if it has one.
fn last_event_id(events: &[u8]) -> Option<String> {
    let trimmed = events.trim_ascii_end();
    let start = trimmed.windows(2).rposition(|window| window == b"\n\n");
    let last = &trimmed[start.map_or(0, |start| start + 2)..];
    event_id(last).map(str::to_owned)
}
