use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use zinniahinge_event_stream::EventBatch;
use zinniahinge_event_stream::EventReader;
use zinniahinge_serving::BackendCandidate;
use zinniahinge_serving::LoadGuard;
use zinniahinge_transport::ConnectionLease;

use crate::backend_response::BackendResponse;
use crate::backend_send::BackendSendError;
use crate::backend_send::send;
use crate::caller_response::ResponseBody;
use crate::caller_response::StreamAborted;
use crate::event_gaps::EventGaps;
use crate::forward::may_send_again;
use crate::host_state::HostState;
use crate::next_target::next_target;
use crate::part_filter::check_parts_before_send;
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::request_log::SERVED;
use crate::run_check::SILENCE_CHECK_INTERVAL;
use crate::run_check::is_run_over;
use crate::send_history::SendHistory;
use crate::send_permit::PermitError;
use crate::send_permit::acquire_permit;
use crate::stream_head::StreamHead;

/// Chunks that are buffered for a slow caller before the relay stops reading from the backend server.
const CALLER_BUFFER_CHUNKS: usize = 16;

/// Most bytes before the first event of a stream, as of comments.
const MAX_LEADING_BYTES: usize = 64 * 1024;

/// Time without an event after which the server of a resumable stream is asked whether it still works on it. Requests that
/// a server preempts are silent for a second or two, at times for longer.
const RUN_CHECK_SILENCE: Duration = Duration::from_secs(4);

/// Number of events after which an answer is under way. A request that crashes its server does so when the answer
/// begins; the first event may still arrive.
const UNDER_WAY_EVENTS: u64 = 2;

/// Shortest time before the deadline at which a stream is still resumed at another server.
const MIN_RESUME_TIME: Duration = Duration::from_millis(300);

/// An event stream from a backend server whose first events have arrived.
pub(crate) struct OpenStream {
    target: BackendCandidate,
    first_events: EventBatch,
    body: Incoming,
    lease: Option<ConnectionLease>,
    guard: LoadGuard,
    reader: EventReader,
}

/// Result of reading on from a stream.
enum StreamStep {
    /// Bytes up to a place between two events.
    Events(EventBatch),
    /// The stream ended after a complete event.
    End,
    /// The stream can't be read further.
    Broken(StreamFailure),
}

/// Why a stream can't be read further.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum StreamFailure {
    /// The connection ended, as when the server crashes.
    #[error("{0}")]
    ConnectionLost(String),
    /// This host gives the stream up: it took too long, or its events are too large.
    #[error("{0}")]
    Unusable(String),
    /// The connection is silent, and the server no longer works on the request.
    #[error("the server no longer works on the request")]
    RunOver,
}

impl OpenStream {
    /// Waits until `deadline` for the first complete event, so that a server that fails before it can still be
    /// replaced. `reader` is that of a new stream or of one that is resumed.
    ///
    /// The error is the reason why no event came.
    pub(crate) async fn start(
        response: BackendResponse,
        target: &BackendCandidate,
        reader: EventReader,
        deadline: Instant,
    ) -> Result<Self, StreamFailure> {
        let BackendResponse {
            body, lease, guard, ..
        } = response;
        let mut stream = Self {
            target: target.clone(),
            first_events: EventBatch::default(),
            body,
            lease: Some(lease),
            guard,
            reader,
        };
        match tokio::time::timeout_at(deadline, stream.read_first_events()).await {
            Ok(Ok(events)) => {
                stream.guard.finish_prefill();
                stream.first_events = events;
                Ok(stream)
            }
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(StreamFailure::Unusable(
                "no event before the deadline".to_owned(),
            )),
        }
    }

    /// Reads until the first event is complete; returns it with the comments before it.
    async fn read_first_events(&mut self) -> Result<EventBatch, StreamFailure> {
        let mut start = BytesMut::new();
        loop {
            match self.next().await {
                StreamStep::Events(batch) => {
                    start.extend_from_slice(&batch.bytes);
                    if batch.events > 0 {
                        return Ok(EventBatch {
                            bytes: start.freeze(),
                            ..batch
                        });
                    }
                    if start.len() > MAX_LEADING_BYTES {
                        return Err(StreamFailure::Unusable(format!(
                            "no event in the first {} bytes",
                            start.len()
                        )));
                    }
                }
                StreamStep::End => {
                    return Err(StreamFailure::ConnectionLost(
                        "the stream ended before its first event".to_owned(),
                    ));
                }
                StreamStep::Broken(failure) => return Err(failure),
            }
        }
    }

    /// Reads until the stream is between two events again.
    async fn next(&mut self) -> StreamStep {
        loop {
            match self.body.frame().await {
                None if self.reader.is_between_events() => return StreamStep::End,
                None => {
                    return StreamStep::Broken(StreamFailure::ConnectionLost(
                        "the stream ended in the middle of an event".to_owned(),
                    ));
                }
                Some(Err(error)) => {
                    return StreamStep::Broken(StreamFailure::ConnectionLost(error.to_string()));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.reader.push(&data) {
                        Ok(batch) if batch.bytes.is_empty() => {}
                        Ok(batch) => return StreamStep::Events(batch),
                        Err(error) => {
                            return StreamStep::Broken(StreamFailure::Unusable(error.to_string()));
                        }
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
    /// Head of the stream as the caller gets it.
    pub(crate) head: StreamHead,
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
        let mut gaps = stream.target.load.states_work_time().then(EventGaps::start);
        let mut is_resumed = false;
        let mut is_under_way = false;
        let mut events = std::mem::take(&mut stream.first_events);
        loop {
            if !events.bytes.is_empty() {
                self.log.events += events.events;
                if !is_under_way && self.log.events >= UNDER_WAY_EVENTS {
                    is_under_way = true;
                    self.record_progress();
                }
                if sender.send(Ok(events.bytes)).await.is_err() {
                    return;
                }
            }
            let waiting_since = Instant::now();
            let failure = match self.next_step(&mut stream).await {
                StreamStep::Events(next) => {
                    self.log.record_event_gap(waiting_since.elapsed());
                    if let Some(gaps) = &mut gaps {
                        gaps.record(next.events);
                    }
                    events = next;
                    continue;
                }
                StreamStep::End => {
                    if let Some(lease) = stream.lease.take() {
                        lease.return_to_pool();
                    }
                    stream.guard.load().count_success();
                    if !is_under_way {
                        self.record_progress();
                    }
                    if !is_resumed {
                        let (tokens, time) =
                            (self.context.facts.output_tokens, opened_at.elapsed());
                        let service = &self.context.service;
                        let mut timings = self.state.timings();
                        timings.record_output(service, tokens, time);
                        if let Some((count, median)) = gaps.and_then(EventGaps::median) {
                            let model = self.context.facts.model.as_ref();
                            let work = (model, count, median * count as u32);
                            timings.record_work(&stream.target, work);
                        }
                    }
                    self.log.finish(SERVED, 200);
                    return;
                }
                StreamStep::Broken(failure) => failure,
            };
            if !is_under_way && matches!(failure, StreamFailure::ConnectionLost(_)) {
                let (facts, now) = (&self.context.facts, self.state.now());
                self.state.parts().record_cut(facts, &stream.target, now);
            }
            let load = stream.guard.load().clone();
            load.count_failure();
            load.avoid(self.state.now());
            if matches!(failure, StreamFailure::ConnectionLost(_)) {
                load.record_connection_loss(self.state.now());
            }
            info!(self.state.logger, "event stream interrupted"; "id" => &*self.context.facts.attempt_id,
                "backend" => &*stream.target.entry.id, "events" => self.log.events,
                "resume_point" => stream.reader.resume_point(), "parts" => self.context.facts.shared_parts_text(),
                "reason" => %failure);
            self.history.record_possible_run(&stream.target.entry.id);
            self.history.broken_at = Some(Instant::now());
            let reader = stream.reader.resumed();
            if failure == StreamFailure::RunOver {
                self.history.open_run = None;
            } else {
                let is_lost = matches!(failure, StreamFailure::ConnectionLost(_));
                self.history.record_open_run(&stream.target, is_lost);
            }
            // Ends the run at this server before the stream goes on.
            drop(stream);
            match self.resume(reader).await {
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

    /// Records that the answer is under way, so that no part of the prompt crashes the server at its start.
    fn record_progress(&self) {
        let (facts, now) = (&self.context.facts, self.state.now());
        self.state.parts().record_progress(facts, now);
    }

    /// Reads the next events, within the deadline. Silence alone doesn't end a stream; if it can go on at another server,
    /// it ends when the present one no longer works on it.
    async fn next_step(&self, stream: &mut OpenStream) -> StreamStep {
        let deadline = self.context.deadline;
        let mut check_at = Instant::now() + RUN_CHECK_SILENCE;
        loop {
            // The time-out below never fires on a stream that always has an event ready.
            if Instant::now() >= deadline {
                return StreamStep::Broken(StreamFailure::Unusable(
                    "the request's deadline has passed".to_owned(),
                ));
            }
            if let Ok(next_step) =
                tokio::time::timeout_at(check_at.min(deadline), stream.next()).await
            {
                return next_step;
            }
            if may_send_again(&self.state, &self.context, &self.history) {
                let (target, arrived_by) = (stream.target.clone(), self.history.arrived_by);
                let check = is_run_over(&self.state, &self.context, &target, arrived_by);
                tokio::select! {
                    next_step = stream.next() => return next_step,
                    is_over = check => {
                        if is_over {
                            return StreamStep::Broken(StreamFailure::RunOver);
                        }
                    }
                }
            }
            check_at = Instant::now() + SILENCE_CHECK_INTERVAL;
        }
    }

    /// Resumes the stream at the resume point of `reader`; `None` if that is not possible or not allowed.
    async fn resume(&mut self, reader: Option<EventReader>) -> Option<OpenStream> {
        let reader = reader?;
        let last_event = reader.resume_point()?;
        loop {
            let is_allowed = may_send_again(&self.state, &self.context, &self.history);
            if !is_allowed || self.context.time_left() < MIN_RESUME_TIME {
                return None;
            }
            let (state, context) = (&self.state, &self.context);
            let target = next_target(state, context, &mut self.history).await.ok()?;
            let permit = match acquire_permit(state, context, &self.history, &target).await {
                Ok(permit) => permit,
                Err(PermitError::Barred(bar)) => {
                    info!(state.logger, "event stream not resumed, send barred";
                        "id" => &*context.facts.attempt_id, "backend" => &*target.entry.id, "bar" => bar.name());
                    self.history.record_bar(&target.entry.id, bar);
                    continue;
                }
                Err(PermitError::Ended(_)) => return None,
            };
            if !state.retries.for_service(&context.service).try_retry() {
                return None;
            }
            check_parts_before_send(state, &context.facts).ok()?;
            let backend = target.entry.id.clone();
            self.log.delivered_sends += 1;
            self.log.backend = Some(backend.clone());
            let (history, deadline) = (&mut self.history, context.deadline);
            let sent = send(state, context, history, permit, Some(last_event), deadline).await;
            let is_not_run = matches!(&sent, Err(end) if end.is_not_run());
            let opened = match sent {
                Ok(response)
                    if response.metadata.has_original_body()
                        && StreamHead::new(response.metadata.status, &response.headers)
                            == self.head =>
                {
                    OpenStream::start(response, &target, reader.clone(), context.deadline).await
                }
                Ok(response) => Err(StreamFailure::Unusable(format!(
                    "status {} or type {:?} is not that of the stream",
                    response.metadata.status,
                    response.headers.get(CONTENT_TYPE)
                ))),
                Err(BackendSendError::ConnectionLost(reason)) => {
                    Err(StreamFailure::ConnectionLost(reason))
                }
                Err(end) => Err(StreamFailure::Unusable(end.to_string())),
            };
            match opened {
                Ok(stream) => {
                    info!(state.logger, "event stream resumed";
                        "id" => &*context.facts.attempt_id, "backend" => &*backend, "after" => last_event);
                    return Some(stream);
                }
                Err(failure) => {
                    if matches!(failure, StreamFailure::ConnectionLost(_)) {
                        let now = state.now();
                        state.parts().record_cut(&context.facts, &target, now);
                        target.load.record_connection_loss(now);
                    }
                    info!(state.logger, "event stream not resumed at backend server";
                        "id" => &*context.facts.attempt_id, "backend" => &*backend, "reason" => %failure);
                    if is_not_run {
                        self.history.exclude(&backend);
                    } else {
                        self.history.record_possible_run(&backend);
                        let is_lost = matches!(failure, StreamFailure::ConnectionLost(_));
                        self.history.record_open_run(&target, is_lost);
                    }
                }
            }
        }
    }
}
