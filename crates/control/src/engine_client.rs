//! Orders to model engines, and their state.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde::Deserialize;
use serde::Serialize;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::client::ClientBuilder;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;
use zinniahinge_scheduling::CacheLevel;
use zinniahinge_scheduling::OrderAction;
use zinniahinge_scheduling::OrderResult;
use zinniahinge_scheduling::PoolOrder;
use zinniahinge_types::Name;

/// Time for a state report.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for an order. The longest load of a large checkpoint from the weight store takes minutes; after that
/// the order's result is learned from the state report.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);

/// Largest answer of an engine.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Life cycle of a model on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EnginePhase {
    /// Weights are on their way.
    Loading,
    /// Serves requests.
    Ready,
    /// Gives up its memory.
    Unloading,
}

/// Model in an engine's state.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineModel {
    /// Model.
    pub model: Name,
    /// Memory in bytes, adapters left out.
    pub bytes: u64,
    /// Life cycle.
    pub phase: EnginePhase,
    /// Order that loaded it.
    pub order_id: String,
    /// Adapters and their bytes.
    #[serde(default)]
    pub adapters: BTreeMap<Name, u64>,
    /// Requests that run.
    #[serde(default)]
    pub running: u32,
}

/// State of an engine.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineState {
    /// Changes with each start.
    pub boot_id: String,
    /// Memory for models and adapters, in bytes.
    pub memory_capacity_bytes: u64,
    /// Models.
    #[serde(default)]
    pub models: Vec<EngineModel>,
    /// Cache level by checkpoint, `model@version`.
    #[serde(default)]
    pub cache: BTreeMap<String, CacheLevel>,
    /// Newest fencing number that the engine has seen since its start.
    #[serde(default)]
    pub highest_fence: u64,
}

impl EngineState {
    /// Boot id as a number.
    pub fn boot_number(&self) -> u64 {
        hash_boot_id(&self.boot_id)
    }
}

fn hash_boot_id(boot_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    boot_id.hash(&mut hasher);
    hasher.finish()
}

#[derive(Serialize)]
struct OrderBody<'a> {
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<&'a str>,
    bytes: u64,
    order_id: String,
    fence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    boot_id: Option<&'a str>,
}

/// Known or unknown end of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The end is known.
    Known(OrderResult),
    /// The order may have been carried out, or may still be.
    Unknown,
    /// The engine has seen a newer fencing number: another process owns the pool.
    Fenced,
}

/// Connections to engines.
#[derive(Clone)]
pub struct EngineClient {
    client: Client,
    /// Boot id in the newest state, by address.
    boots: Arc<Mutex<HashMap<Name, String>>>,
}

impl EngineClient {
    /// Creates the client. Orders use a connection of their own, because a kept connection that the engine just
    /// closed would make the result unknown.
    pub fn new() -> Result<Self, ClientError> {
        let mut builder = ClientBuilder::new();
        builder.disable_tls(true);
        builder.set_connect_timeout(Duration::from_secs(1));
        builder.set_max_idle_per_host(0);
        Ok(Self {
            client: builder.build()?,
            boots: Arc::default(),
        })
    }

    /// State of the engine, `None` if it gives none.
    pub async fn state(&self, address: &str) -> Option<EngineState> {
        let ask = async {
            let response = self
                .client
                .get(format!("http://{address}/v1/state"))
                .send()
                .await;
            let response = response
                .ok()
                .filter(|response| response.status().is_success())?;
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .ok()?;
            serde_json::from_slice(&body.to_bytes()).ok()
        };
        let state: Option<EngineState> = tokio::time::timeout(STATE_TIMEOUT, ask)
            .await
            .ok()
            .flatten();
        if let Some(state) = &state {
            let mut boots = self.boots.lock().unwrap_or_else(PoisonError::into_inner);
            boots.insert(address.into(), state.boot_id.clone());
        }
        state
    }

    /// Boot id that `boot_number` stands for, if the engine at `address` last reported that run.
    fn boot_id(&self, address: &str, boot_number: u64) -> Option<String> {
        let boots = self.boots.lock().unwrap_or_else(PoisonError::into_inner);
        let boot_id = boots.get(address)?;
        (hash_boot_id(boot_id) == boot_number).then(|| boot_id.clone())
    }

    /// Makes an engine that honours fencing numbers refuse every order of a former owner: unloads a model that does
    /// not exist, which changes nothing but the number.
    pub async fn raise_fence(&self, address: &str, fence: u64) {
        let body = OrderBody {
            model: "",
            adapter: None,
            version: None,
            bytes: 0,
            order_id: format!("fence-{fence}"),
            fence,
            boot_id: None,
        };
        let _ = tokio::time::timeout(STATE_TIMEOUT, self.post(address, "/v1/unload_model", &body))
            .await;
    }

    /// Sends an order and waits for its end. The order names the run of the engine that it was decided for, so that
    /// an engine that restarted meanwhile refuses it.
    pub async fn order(&self, order: &PoolOrder, version: Option<&str>) -> OrderEnd {
        let path = match order.action {
            OrderAction::LoadModel => "/v1/load_model",
            OrderAction::UnloadModel => "/v1/unload_model",
            OrderAction::LoadAdapter => "/v1/load_lora_adapter",
            OrderAction::UnloadAdapter => "/v1/unload_lora_adapter",
        };
        let Some(boot_id) = self.boot_id(&order.address, order.boot_id) else {
            return OrderEnd::Known(OrderResult::NotSent);
        };
        let adapter = order.adapter.as_deref();
        let body = OrderBody {
            model: &order.model,
            adapter: adapter
                .map(|adapter| adapter.split_once(':').map_or(adapter, |(_, name)| name)),
            version,
            bytes: order.bytes,
            order_id: order.order_id.0.to_string(),
            fence: order.fence,
            boot_id: Some(&boot_id),
        };
        let post = self.post(&order.address, path, &body);
        match tokio::time::timeout(ORDER_TIMEOUT, post).await {
            Ok(Ok(status)) => order_end(status),
            Ok(Err(end)) => end,
            Err(_) => OrderEnd::Unknown,
        }
    }

    async fn post(
        &self,
        address: &str,
        path: &str,
        body: &OrderBody<'_>,
    ) -> Result<EngineAnswer, OrderEnd> {
        let body = serde_json::to_vec(body).map_err(|_| OrderEnd::Known(OrderResult::NotSent))?;
        let request = self
            .client
            .post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Body::from(bytes::Bytes::from(body)));
        let response = request.send().await.map_err(|error| send_failure(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await;
        let body = body.map_err(|_| OrderEnd::Unknown)?.to_bytes();
        let text = String::from_utf8_lossy(&body);
        Ok(EngineAnswer {
            status,
            is_fenced: text.contains("fenc"),
        })
    }
}

struct EngineAnswer {
    status: StatusCode,
    is_fenced: bool,
}

fn order_end(answer: EngineAnswer) -> OrderEnd {
    let EngineAnswer { status, is_fenced } = answer;
    match status {
        status if status.is_success() => OrderEnd::Known(OrderResult::Done),
        StatusCode::CONFLICT if is_fenced => OrderEnd::Fenced,
        status if status.is_client_error() => OrderEnd::Known(OrderResult::Failed),
        _ => OrderEnd::Unknown,
    }
}

fn send_failure(error: &ClientError) -> OrderEnd {
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder => OrderEnd::Known(OrderResult::NotSent),
        _ => OrderEnd::Unknown,
    }
}
