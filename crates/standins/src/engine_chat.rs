//! Chat completions of the model engine.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::header::HeaderName;
use http::header::HeaderValue;
use serde_json::Value;
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;
use volo_http::response::Response;

use crate::ChatRequest;
use crate::EngineService;
use crate::FaultKind;
use crate::ServedRequest;
use crate::cut_connection;
use crate::engine_answer::DEFAULT_ANSWER_TOKENS;
use crate::engine_answer::answer_tokens;
use crate::hex_digest;
use crate::reply::BodyError;
use crate::reply::Refusal;
use crate::reply::chunk_channel;
use crate::reply::ok_reply;
use crate::reply::stream_reply;

/// Header that names a request; the answer repeats it.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Last chat request, kept to be answered in place of another one.
#[derive(Clone)]
pub(crate) struct LastChat {
    chat: ChatRequest,
    label: AnswerLabel,
}

/// What identifies an answer.
#[derive(Clone)]
struct AnswerLabel {
    id: String,
    request_id: Option<HeaderValue>,
}

impl EngineService {
    /// `POST /v1/chat/completions`.
    pub(crate) async fn chat(
        self: Arc<Self>,
        request: &ServedRequest,
    ) -> Result<Response, Refusal> {
        let chat: ChatRequest = request.json().map_err(Refusal::bad_request)?;
        let label = AnswerLabel {
            id: format!("chatcmpl-{}", &hex_digest(&request.body)[..16]),
            request_id: request.headers.get(REQUEST_ID).cloned(),
        };
        let place = RunningPlace::enter(&self, &chat)?;
        let slot = place.wait_for_slot().await?;
        let prompt = chat.prompt();
        let is_cached = self.use_prefix(&chat.model, &prompt);
        let answered = self.choose_answered(&chat, &label);
        let generation = Generation::new(answered, &self, place, slot, is_cached);
        let request_id = generation.label.request_id.clone();
        let mut reply = if chat.stream {
            let (sender, chunks) = chunk_channel();
            tokio::spawn(generation.run_stream(sender));
            stream_reply("text/event-stream", chunks)
        } else {
            generation.run_whole().await
        };
        if let Some(request_id) = request_id {
            reply.headers_mut().insert(REQUEST_ID, request_id);
        }
        Ok(reply)
    }

    /// The request at hand, or the one before it if a fault crosses them.
    fn choose_answered(&self, chat: &ChatRequest, label: &AnswerLabel) -> LastChat {
        let own = LastChat {
            chat: chat.clone(),
            label: label.clone(),
        };
        let mut last_chat = self.last_chat.lock().unwrap_or_else(|e| e.into_inner());
        let other = last_chat.replace(own.clone());
        drop(last_chat);
        let path = "/v1/chat/completions";
        match other {
            Some(other) if self.faults().draw(FaultKind::Crossed, path).is_some() => other,
            _ => own,
        }
    }
}

// ----------------------------------------------------------------------------------------------

/// A request's place on a replica; it leaves when dropped.
struct RunningPlace {
    engine: Arc<EngineService>,
    boot_id: String,
    model: String,
    adapter: Option<String>,
    is_running: AtomicBool,
    is_finished: AtomicBool,
}

impl RunningPlace {
    fn enter(engine: &Arc<EngineService>, chat: &ChatRequest) -> Result<Self, Refusal> {
        let mut memory = engine.lock();
        let boot_id = memory.boot_id().to_owned();
        let replica = memory.ready_replica(chat.base_model())?;
        if let Some(name) = chat.adapter() {
            let adapter = replica.adapters.get_mut(name);
            let adapter = adapter.filter(|adapter| adapter.is_ready);
            let adapter = adapter
                .ok_or_else(|| Refusal::not_found(format!("adapter {name} is not loaded")))?;
            adapter.requests += 1;
        }
        replica.waiting += 1;
        Ok(Self {
            engine: engine.clone(),
            boot_id,
            model: chat.base_model().to_owned(),
            adapter: chat.adapter().map(str::to_owned),
            is_running: false.into(),
            is_finished: false.into(),
        })
    }

    async fn wait_for_slot(&self) -> Result<OwnedSemaphorePermit, Refusal> {
        let slots = {
            let mut memory = self.engine.lock();
            memory.ready_replica(&self.model)?.slots.clone()
        };
        let slot = slots.acquire_owned().await;
        let slot = slot.map_err(|_| Refusal::not_found("model was unloaded"))?;
        let mut memory = self.engine.lock();
        if memory.boot_id() == self.boot_id
            && let Some(replica) = memory.replica(&self.model)
        {
            replica.waiting -= 1;
            replica.running += 1;
            self.is_running.store(true, Ordering::Relaxed);
        }
        Ok(slot)
    }

    /// Whether the engine has restarted since the request came.
    fn is_lost(&self) -> bool {
        self.engine.lock().boot_id() != self.boot_id
    }

    fn mark_finished(&self) {
        self.is_finished.store(true, Ordering::Relaxed);
    }
}

impl Drop for RunningPlace {
    fn drop(&mut self) {
        let mut memory = self.engine.lock();
        let counts = memory.counts(&self.model);
        if *self.is_finished.get_mut() {
            counts.finished += 1;
        } else {
            counts.cancelled += 1;
        }
        if memory.boot_id() != self.boot_id {
            return;
        }
        let Some(replica) = memory.replica(&self.model) else {
            return;
        };
        if *self.is_running.get_mut() {
            replica.running -= 1;
        } else {
            replica.waiting -= 1;
        }
        if let Some(name) = &self.adapter
            && let Some(adapter) = replica.adapters.get_mut(name)
        {
            adapter.requests -= 1;
        }
    }
}

// ----------------------------------------------------------------------------------------------

/// An answer in the making.
struct Generation {
    place: RunningPlace,
    _slot: OwnedSemaphorePermit,
    label: AnswerLabel,
    model: String,
    tokens: Vec<String>,
    prompt_tokens: u64,
    finish_reason: &'static str,
    include_usage: bool,
    first_token_time: Duration,
    token_time: Duration,
    created: u64,
}

impl Generation {
    fn new(
        answered: LastChat,
        engine: &EngineService,
        place: RunningPlace,
        slot: OwnedSemaphorePermit,
        is_cached: bool,
    ) -> Self {
        let LastChat { chat, label } = answered;
        let settings = engine.settings();
        let stated_limit = chat.token_limit();
        let limit = stated_limit.unwrap_or(DEFAULT_ANSWER_TOKENS);
        let count = (limit as f64 * settings.answer_share).ceil() as u64;
        let is_limited = stated_limit.is_some() && count == limit;
        let first_token_time = if is_cached {
            settings.cached_first_token_time
        } else {
            settings.first_token_time
        };
        let created = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            place,
            _slot: slot,
            label,
            tokens: answer_tokens(&chat.last_user_text(), chat.first_token(), count),
            prompt_tokens: chat.prompt_tokens(),
            finish_reason: if is_limited { "length" } else { "stop" },
            include_usage: chat.stream_options.unwrap_or_default().include_usage,
            model: chat.model,
            first_token_time,
            token_time: settings.token_time,
            created: created.map(|time| time.as_secs()).unwrap_or_default(),
        }
    }

    /// Waits until the token at `index` is made. False if the engine restarted or went down.
    async fn make_token(&self, index: usize) -> bool {
        let time = match index {
            0 => self.first_token_time,
            _ => self.token_time,
        };
        let faults = self.place.engine.faults();
        let slowdown = faults.peek(FaultKind::Slow);
        let factor = slowdown.map_or(1.0, |hit| hit.factor);
        // A sleep of zero still waits for the next tick of the timer, up to 1 ms, which would hide
        // added latencies below it from measurements.
        if !time.is_zero() {
            tokio::time::sleep(time.mul_f64(factor)).await;
        }
        faults.wait_resume().await;
        !self.place.is_lost() && !faults.is_down()
    }

    async fn run_whole(self) -> Response {
        for index in 0..self.tokens.len() {
            if !self.make_token(index).await {
                cut_connection();
            }
        }
        self.place.mark_finished();
        let message = json!({ "role": "assistant", "content": self.tokens.concat() });
        let choice = json!({
            "index": 0,
            "message": message,
            "finish_reason": self.finish_reason,
        });
        let mut body = self.envelope("chat.completion", json!([choice]));
        body["usage"] = self.usage();
        ok_reply(&body)
    }

    async fn run_stream(self, sender: mpsc::Sender<Result<Bytes, BodyError>>) {
        tokio::select! {
            () = sender.closed() => {}
            () = self.send_events(&sender) => {}
        }
    }

    async fn send_events(&self, sender: &mpsc::Sender<Result<Bytes, BodyError>>) {
        for (index, token) in self.tokens.iter().enumerate() {
            if !self.make_token(index).await {
                let _ = sender.send(Err(BodyError::from("engine is gone"))).await;
                return;
            }
            let delta = match index {
                0 => json!({ "role": "assistant", "content": token }),
                _ => json!({ "content": token }),
            };
            let choice = json!({ "index": 0, "delta": delta, "finish_reason": null });
            self.send_event(sender, json!([choice])).await;
        }
        let choice = json!({ "index": 0, "delta": {}, "finish_reason": self.finish_reason });
        self.send_event(sender, json!([choice])).await;
        if self.include_usage {
            let mut event = self.envelope("chat.completion.chunk", json!([]));
            event["usage"] = self.usage();
            let _ = sender.send(Ok(encode_event(&event.to_string()))).await;
        }
        self.place.mark_finished();
        let _ = sender.send(Ok(encode_event("[DONE]"))).await;
    }

    async fn send_event(&self, sender: &mpsc::Sender<Result<Bytes, BodyError>>, choices: Value) {
        let event = self.envelope("chat.completion.chunk", choices);
        let _ = sender.send(Ok(encode_event(&event.to_string()))).await;
    }

    fn envelope(&self, object: &str, choices: Value) -> Value {
        json!({
            "id": self.label.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }

    fn usage(&self) -> Value {
        let completion_tokens = self.tokens.len() as u64;
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens,
        })
    }
}

fn encode_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
