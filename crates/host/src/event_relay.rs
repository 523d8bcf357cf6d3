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

use crate::answer::AnswerBody;
use crate::answer::CutAnswer;
use crate::attempt::send;
use crate::backend_answer::BackendAnswer;
use crate::event_splitter::EventSplitter;
use crate::forward::may_repeat;
use crate::host_state::HostState;
use crate::request_context::RequestContext;
use crate::request_log::RequestLog;
use crate::target_choice::choose_target;
use crate::try_log::TryLog;

/// Chunks that wait for a slow caller. Then the backend server is read no further.
const CHUNKS_IN_FLIGHT: usize = 16;

/// Silence after which a stream that may go on elsewhere is given up. Preempted requests are silent for a second or two.
const RESUME_SILENCE: Duration = Duration::from_secs(4);

/// Time that must be left to go on elsewhere.
const MIN_RESUME_TIME: Duration = Duration::from_millis(300);

/// A stream whose first events have arrived.
pub(crate) struct OpenStream {
    pub(crate) backend: Name,
    first: Bytes,
    body: Incoming,
    lease: Option<ConnectionLease>,
    guard: LoadGuard,
    splitter: EventSplitter,
}

/// What came next on a stream.
enum StreamStep {
    Events(Bytes),
    End,
    Broken(String),
}

impl OpenStream {
    /// Waits for the first whole event, so that a server that fails before it can be replaced.
    pub(crate) async fn start(
        answer: BackendAnswer,
        backend: Name,
        deadline: Instant,
    ) -> Result<Self, String> {
        let BackendAnswer {
            body, lease, guard, ..
        } = answer;
        let mut stream = Self {
            backend,
            first: Bytes::new(),
            body,
            lease: Some(lease),
            guard,
            splitter: EventSplitter::default(),
        };
        match tokio::time::timeout_at(deadline, stream.next()).await {
            Ok(StreamStep::Events(events)) => {
                stream.guard.finish_prefill();
                stream.first = events;
                Ok(stream)
            }
            Ok(StreamStep::End) => Err("the stream ended without an event".to_owned()),
            Ok(StreamStep::Broken(reason)) => Err(reason),
            Err(_) => Err("no event in time".to_owned()),
        }
    }

    async fn next(&mut self) -> StreamStep {
        loop {
            match self.body.frame().await {
                None if self.splitter.is_between_events() => return StreamStep::End,
                None => return StreamStep::Broken("the stream ended within an event".to_owned()),
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
                        return StreamStep::Broken("an event is too long".to_owned());
                    }
                }
            }
        }
    }
}

/// Passes a stream on to the caller; goes on at another backend server where the route allows it.
pub(crate) struct EventRelay {
    pub(crate) state: Arc<HostState>,
    pub(crate) context: RequestContext,
    pub(crate) tries: TryLog,
    pub(crate) log: RequestLog,
}

impl EventRelay {
    /// Starts to relay; the caller's leaving, which drops the body, ends it.
    pub(crate) fn start(self, stream: OpenStream) -> AnswerBody {
        let (sender, chunks) = mpsc::channel(CHUNKS_IN_FLIGHT);
        let token = CancellationToken::new();
        let guard = token.clone().drop_guard();
        tokio::spawn(async move {
            let relay = self.run(stream, sender);
            token.run_until_cancelled(relay).await;
        });
        AnswerBody::Events {
            chunks,
            _relay: guard,
        }
    }

    async fn run(mut self, mut stream: OpenStream, sender: mpsc::Sender<Result<Bytes, CutAnswer>>) {
        let mut last_event: Option<String> = None;
        let mut events = std::mem::take(&mut stream.first);
        loop {
            if !events.is_empty() {
                self.log.events += count_events(&events);
                if let Some(id) = last_id(&events) {
                    last_event = Some(id);
                }
                if sender.send(Ok(std::mem::take(&mut events))).await.is_err() {
                    return;
                }
            }
            let waits_since = Instant::now();
            let reason = match self.step(&mut stream).await {
                StreamStep::Events(next) => {
                    self.log.note_pause(waits_since.elapsed());
                    events = next;
                    continue;
                }
                StreamStep::End => {
                    if let Some(lease) = stream.lease.take() {
                        lease.return_to_pool();
                    }
                    stream.guard.load().count_success();
                    self.log.finish("served", 200);
                    return;
                }
                StreamStep::Broken(reason) => reason,
            };
            let load = stream.guard.load().clone();
            load.count_failure();
            load.avoid(self.state.now());
            info!(self.state.logger, "stream broke"; "id" => &*self.context.facts.attempt_id,
                "backend" => &*stream.backend, "events" => self.log.events, "reason" => &reason);
            self.tries.note_ran(&stream.backend);
            // The former run must end before another one goes on.
            drop(stream);
            match self.resume(last_event.as_deref()).await {
                Some(next) => stream = next,
                None => {
                    let _ = sender.send(Err(CutAnswer)).await;
                    self.log.finish("cut", 200);
                    return;
                }
            }
            events = std::mem::take(&mut stream.first);
        }
    }

    async fn step(&self, stream: &mut OpenStream) -> StreamStep {
        // A stream that always has another event never lets a time-out come up.
        if Instant::now() >= self.context.deadline {
            return StreamStep::Broken("the request's time is over".to_owned());
        }
        let silence = if self.context.rule.kind.is_repeatable() {
            self.context.deadline.min(Instant::now() + RESUME_SILENCE)
        } else {
            self.context.deadline
        };
        match tokio::time::timeout_at(silence, stream.next()).await {
            Ok(step) => step,
            Err(_) => StreamStep::Broken("no event in time".to_owned()),
        }
    }

    /// Goes on after the last event at another backend server.
    async fn resume(&mut self, last_event: Option<&str>) -> Option<OpenStream> {
        let last_event = last_event?;
        loop {
            let is_allowed = may_repeat(&self.state, &self.context, &self.tries);
            if !is_allowed || self.context.time_left() < MIN_RESUME_TIME {
                return None;
            }
            let (state, context) = (&self.state, &self.context);
            let target = choose_target(state, context, &mut self.tries).await.ok()?;
            if !state.retries.of(&context.service).try_retry() {
                return None;
            }
            let backend = target.entry.id.clone();
            self.log.arrivals += 1;
            self.log.backend = Some(backend.clone());
            let (tries, deadline) = (&mut self.tries, context.deadline);
            let sent = send(state, context, tries, &target, Some(last_event), deadline).await;
            let opened = match sent {
                Ok(answer)
                    if answer.facts.status.is_success() && answer.facts.has_original_body() =>
                {
                    OpenStream::start(answer, backend.clone(), context.deadline).await
                }
                Ok(answer) => Err(answer.facts.status.to_string()),
                Err(end) => Err(end.to_string()),
            };
            match opened {
                Ok(stream) => {
                    info!(state.logger, "stream resumed"; "id" => &*context.facts.attempt_id,
                        "backend" => &*backend, "after" => last_event);
                    return Some(stream);
                }
                Err(reason) => {
                    info!(state.logger, "stream not resumed"; "id" => &*context.facts.attempt_id,
                        "backend" => &*backend, "reason" => reason);
                    self.tries.note_ran(&backend);
                }
            }
        }
    }
}

fn count_events(events: &[u8]) -> u64 {
    let ends = events.windows(2).filter(|window| *window == b"\n\n");
    ends.count() as u64
}

/// Id of the last event of a chunk.
fn last_id(events: &[u8]) -> Option<String> {
    let trimmed = events.trim_ascii_end();
    let start = trimmed.windows(2).rposition(|window| window == b"\n\n");
    let last = &trimmed[start.map_or(0, |start| start + 2)..];
    event_id(last).map(str::to_owned)
}
