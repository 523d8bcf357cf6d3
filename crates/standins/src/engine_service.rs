use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use http::Method;
use http::StatusCode;
use serde_json::json;
use volo_http::client::Client;
use volo_http::response::Response;

use crate::CacheEvent;
use crate::EngineSettings;
use crate::FaultKind;
use crate::FaultSet;
use crate::ServedRequest;
use crate::StateReport;
use crate::engine_chat::LastChat;
use crate::engine_memory::EngineMemory;
use crate::prefix_cache::PrefixCache;
use crate::reply::Refusal;
use crate::reply::ok_reply;

/// Model engine.
pub struct EngineService {
    settings: EngineSettings,
    faults: Arc<FaultSet>,
    memory: Mutex<EngineMemory>,
    prefixes: Mutex<PrefixCache>,
    pub(crate) last_chat: Mutex<Option<LastChat>>,
    store_client: Client,
}

impl EngineService {
    /// Kinds of faults that apply.
    pub const FAULTS: &[FaultKind] = &[
        FaultKind::Down,
        FaultKind::Slow,
        FaultKind::LostAnswer,
        FaultKind::Pause,
        FaultKind::DieInLoad,
        FaultKind::LateEvents,
        FaultKind::Garbage,
        FaultKind::CloseEarly,
        FaultKind::Crossed,
    ];

    /// Engine without models.
    pub fn new(settings: EngineSettings, faults: Arc<FaultSet>) -> Arc<Self> {
        Arc::new(Self {
            memory: Mutex::new(EngineMemory::new(settings.clone())),
            prefixes: Mutex::new(PrefixCache::new(settings.prefix_entries)),
            settings,
            faults,
            last_chat: Mutex::new(None),
            store_client: Client::default(),
        })
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, request: ServedRequest) -> Response {
        let outcome = match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(&request).await,
            (&Method::POST, "/v1/load_model") => self.load_model(&request).await,
            (&Method::POST, "/v1/unload_model") => self.unload_model(&request).await,
            (&Method::POST, "/v1/load_lora_adapter") => self.load_adapter(&request).await,
            (&Method::POST, "/v1/unload_lora_adapter") => self.unload_adapter(&request),
            (&Method::GET, "/v1/state") => self.state(&request),
            (&Method::GET, "/v1/models") => Ok(self.models()),
            (&Method::GET, "/v1/cache_events") => Ok(self.cache_events(&request)),
            _ => Err(Refusal::not_found("no such path")),
        };
        outcome.unwrap_or_else(Response::from)
    }

    /// State report, without a fencing number.
    pub fn report(&self) -> StateReport {
        self.lock().report()
    }

    /// `GET /v1/state`. A `fence` in the query counts like the fencing number of an order.
    fn state(&self, request: &ServedRequest) -> Result<Response, Refusal> {
        let mut memory = self.lock();
        if let Some(fence) = request.query_number("fence") {
            memory.check_fence(fence)?;
        }
        Ok(ok_reply(&memory.report()))
    }

    fn models(&self) -> Response {
        let mut ids = Vec::new();
        for replica in self.report().models {
            ids.extend(
                replica
                    .adapters
                    .keys()
                    .map(|a| format!("{}:{a}", replica.model)),
            );
            ids.push(replica.model);
        }
        let models: Vec<_> = ids
            .into_iter()
            .map(|id| json!({ "id": id, "object": "model" }))
            .collect();
        ok_reply(&json!({ "object": "list", "data": models }))
    }

    fn cache_events(&self, request: &ServedRequest) -> Response {
        let after = request.query_number("after").unwrap_or(0);
        let events: Vec<CacheEvent> = self.prefix_cache().events(after);
        let boot_id = self.lock().boot_id().to_owned();
        ok_reply(&json!({ "boot_id": boot_id, "events": events }))
    }

    // ------------------------------------------------------------------------------------------

    pub(crate) fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    pub(crate) fn faults(&self) -> &FaultSet {
        &self.faults
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineMemory> {
        self.memory.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub(crate) fn restart(&self) {
        self.lock().restart();
        self.prefix_cache().restart();
    }

    /// Whether the prefix of `prompt` is cached; it is afterwards.
    pub(crate) fn use_prefix(&self, model: &str, prompt: &str) -> bool {
        let delay = || match self.faults.draw(FaultKind::LateEvents, "/v1/cache_events") {
            Some(hit) => (!hit.delay.is_zero()).then_some(hit.delay),
            None => Some(std::time::Duration::ZERO),
        };
        self.prefix_cache().touch(model, prompt, delay)
    }

    /// Fetches weights from the weight store and discards them.
    pub(crate) async fn fetch(&self, path: &str) -> Result<(), String> {
        let Some(store) = self.settings.store else {
            return Err("no weight store is configured".to_owned());
        };
        let response = self.get_from_store(store, path).await?;
        match response.status() {
            StatusCode::OK => Ok(()),
            status => Err(format!("weight store answered {status}")),
        }
    }

    async fn get_from_store(&self, store: SocketAddr, path: &str) -> Result<Response, String> {
        let request = self.store_client.get(format!("http://{store}{path}"));
        request.send().await.map_err(|e| e.to_string())
    }

    fn prefix_cache(&self) -> MutexGuard<'_, PrefixCache> {
        self.prefixes.lock().unwrap_or_else(|e| e.into_inner())
    }
}
