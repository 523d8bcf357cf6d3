//! Orders to the model engine. An order that was accepted goes on when its connection breaks.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use volo_http::response::Response;

use crate::AdapterOrder;
use crate::CacheLevel;
use crate::EnginePhase;
use crate::EngineService;
use crate::FaultKind;
use crate::FaultRequest;
use crate::LoadOrder;
use crate::OrderReply;
use crate::ServedRequest;
use crate::UnloadOrder;
use crate::cut_connection;
use crate::engine_memory::AdapterReplica;
use crate::engine_memory::checkpoint_name;
use crate::reply::Refusal;
use crate::reply::ok_reply;

/// How an order ended.
enum OrderEnd {
    Done(OrderReply),
    /// The engine restarted meanwhile.
    Died,
    Refused(Refusal),
}

impl OrderEnd {
    fn into_reply(self) -> Result<Response, Refusal> {
        match self {
            Self::Done(reply) => Ok(ok_reply(&reply)),
            Self::Died => cut_connection(),
            Self::Refused(refusal) => Err(refusal),
        }
    }
}

/// Runs an accepted order in its own task and waits for its end.
async fn complete<F>(work: F) -> Result<Response, Refusal>
where
    F: Future<Output = OrderEnd> + Send + 'static,
{
    match tokio::spawn(work).await {
        Ok(end) => end.into_reply(),
        Err(_) => cut_connection(),
    }
}

impl EngineService {
    /// `POST /v1/load_model`.
    pub(crate) async fn load_model(
        self: Arc<Self>,
        request: &ServedRequest,
    ) -> Result<Response, Refusal> {
        let order: LoadOrder = request.json().map_err(Refusal::bad_request)?;
        let started = Instant::now();
        let boot_id = {
            let mut memory = self.lock();
            memory.check_boot(order.boot_id.as_deref())?;
            memory.check_fence(order.fence)?;
            if let Some(reply) = memory.applied(&order.order_id) {
                return Ok(ok_reply(&reply));
            }
            if let Some(replica) = memory.replica(&order.model) {
                if replica.phase != EnginePhase::Ready || replica.version != order.version {
                    return Err(Refusal::conflict(
                        "model is loading, unloading or of another version",
                    ));
                }
                memory.counts(&order.model).duplicate_loads += 1;
                let reply = memory.finish_order(&order.order_id, false, None, started);
                return Ok(ok_reply(&reply));
            }
            memory.take_bytes(order.bytes)?;
            memory.insert_replica(&order.model, &order.version, order.bytes, &order.order_id);
            memory.boot_id().to_owned()
        };
        complete(self.run_load(order, boot_id, started)).await
    }

    async fn run_load(
        self: Arc<Self>,
        order: LoadOrder,
        boot_id: String,
        started: Instant,
    ) -> OrderEnd {
        let checkpoint = checkpoint_name(&order.model, &order.version);
        let source = self.lock().cache_level(&checkpoint);
        let settings = self.settings();
        let full_time = match source {
            CacheLevel::Memory => settings.memory_load_time,
            CacheLevel::Disk => settings.disk_load_time,
            CacheLevel::Remote => settings.remote_load_time,
        };
        let path = format!("/weights/{checkpoint}?bytes={}", order.bytes);
        let dies = self.faults().draw(FaultKind::DieInLoad, "/v1/load_model");
        if let Some(hit) = dies {
            tokio::time::sleep(full_time / 2).await;
            self.die(hit.delay);
            return OrderEnd::Died;
        }
        let fetched = match settings.store {
            Some(_) if source == CacheLevel::Remote => self.fetch(&path).await,
            _ => {
                tokio::time::sleep(full_time).await;
                Ok(())
            }
        };
        self.faults().wait_resume().await;
        let mut memory = self.lock();
        if memory.boot_id() != boot_id {
            return OrderEnd::Died;
        }
        if let Err(message) = fetched {
            memory.remove_replica(&order.model);
            return OrderEnd::Refused(Refusal::new(StatusCode::BAD_GATEWAY, message));
        }
        if let Some(replica) = memory.replica(&order.model) {
            replica.phase = EnginePhase::Ready;
        }
        memory.store_checkpoint(checkpoint);
        OrderEnd::Done(memory.finish_order(&order.order_id, true, Some(source), started))
    }

    /// Restarts and stays down for `downtime`.
    fn die(&self, downtime: Duration) {
        self.restart();
        if downtime.is_zero() {
            return;
        }
        let mut fault = FaultRequest::new(FaultKind::Down);
        fault.duration_ms = Some(u64::try_from(downtime.as_millis()).unwrap_or(u64::MAX));
        fault.refuse = true;
        // The kind is known and the duration is set, so the fault is valid.
        let _ = self.faults().add(fault);
    }

    /// `POST /v1/unload_model`.
    pub(crate) async fn unload_model(
        self: Arc<Self>,
        request: &ServedRequest,
    ) -> Result<Response, Refusal> {
        let order: UnloadOrder = request.json().map_err(Refusal::bad_request)?;
        let started = Instant::now();
        let boot_id = {
            let mut memory = self.lock();
            memory.check_boot(order.boot_id.as_deref())?;
            memory.check_fence(order.fence)?;
            if let Some(reply) = memory.applied(&order.order_id) {
                return Ok(ok_reply(&reply));
            }
            let Some(replica) = memory.replica(&order.model) else {
                let reply = memory.finish_order(&order.order_id, false, None, started);
                return Ok(ok_reply(&reply));
            };
            if replica.phase != EnginePhase::Ready {
                return Err(Refusal::conflict("model is loading or unloading"));
            }
            if replica.running + replica.waiting > 0 {
                return Err(Refusal::conflict("model has requests"));
            }
            if replica.adapters.values().any(|adapter| !adapter.is_ready) {
                return Err(Refusal::conflict("an adapter is loading"));
            }
            replica.phase = EnginePhase::Unloading;
            memory.boot_id().to_owned()
        };
        complete(self.run_unload(order, boot_id, started)).await
    }

    async fn run_unload(
        self: Arc<Self>,
        order: UnloadOrder,
        boot_id: String,
        started: Instant,
    ) -> OrderEnd {
        tokio::time::sleep(self.settings().unload_time).await;
        self.faults().wait_resume().await;
        let mut memory = self.lock();
        if memory.boot_id() != boot_id {
            return OrderEnd::Died;
        }
        memory.remove_replica(&order.model);
        memory.counts(&order.model).unloads += 1;
        OrderEnd::Done(memory.finish_order(&order.order_id, true, None, started))
    }

    // ------------------------------------------------------------------------------------------

    /// `POST /v1/load_lora_adapter`.
    pub(crate) async fn load_adapter(
        self: Arc<Self>,
        request: &ServedRequest,
    ) -> Result<Response, Refusal> {
        let order: AdapterOrder = request.json().map_err(Refusal::bad_request)?;
        let started = Instant::now();
        let boot_id = {
            let mut memory = self.lock();
            memory.check_boot(order.boot_id.as_deref())?;
            memory.check_fence(order.fence)?;
            if let Some(reply) = memory.applied(&order.order_id) {
                return Ok(ok_reply(&reply));
            }
            let replica = memory.ready_replica(&order.model)?;
            match replica.adapters.get(&order.adapter) {
                Some(adapter) if !adapter.is_ready => {
                    return Err(Refusal::conflict("adapter is loading"));
                }
                Some(_) => {
                    let reply = memory.finish_order(&order.order_id, false, None, started);
                    return Ok(ok_reply(&reply));
                }
                None => {}
            }
            memory.take_bytes(order.bytes)?;
            let adapter = AdapterReplica {
                bytes: order.bytes,
                is_ready: false,
                requests: 0,
            };
            let replica = memory.ready_replica(&order.model)?;
            replica.adapters.insert(order.adapter.clone(), adapter);
            memory.boot_id().to_owned()
        };
        complete(self.run_adapter_load(order, boot_id, started)).await
    }

    async fn run_adapter_load(
        self: Arc<Self>,
        order: AdapterOrder,
        boot_id: String,
        started: Instant,
    ) -> OrderEnd {
        let path = format!("/adapters/{}?bytes={}", order.adapter, order.bytes);
        let fetched = match self.settings().store {
            Some(_) => self.fetch(&path).await,
            None => {
                tokio::time::sleep(self.settings().adapter_load_time).await;
                Ok(())
            }
        };
        self.faults().wait_resume().await;
        let mut memory = self.lock();
        if memory.boot_id() != boot_id {
            return OrderEnd::Died;
        }
        let Ok(replica) = memory.ready_replica(&order.model) else {
            return OrderEnd::Refused(Refusal::conflict("model was unloaded"));
        };
        if let Err(message) = fetched {
            replica.adapters.remove(&order.adapter);
            memory.return_bytes(order.bytes);
            return OrderEnd::Refused(Refusal::new(StatusCode::BAD_GATEWAY, message));
        }
        if let Some(adapter) = replica.adapters.get_mut(&order.adapter) {
            adapter.is_ready = true;
        }
        let source = Some(CacheLevel::Remote);
        OrderEnd::Done(memory.finish_order(&order.order_id, true, source, started))
    }

    /// `POST /v1/unload_lora_adapter`.
    pub(crate) fn unload_adapter(&self, request: &ServedRequest) -> Result<Response, Refusal> {
        let order: AdapterOrder = request.json().map_err(Refusal::bad_request)?;
        let started = Instant::now();
        let mut memory = self.lock();
        memory.check_boot(order.boot_id.as_deref())?;
        memory.check_fence(order.fence)?;
        if let Some(reply) = memory.applied(&order.order_id) {
            return Ok(ok_reply(&reply));
        }
        let adapters = memory
            .replica(&order.model)
            .map(|replica| &mut replica.adapters);
        let adapter = adapters
            .as_ref()
            .and_then(|adapters| adapters.get(&order.adapter));
        let freed = match adapter {
            Some(adapter) if !adapter.is_ready => {
                return Err(Refusal::conflict("adapter is loading"));
            }
            Some(adapter) if adapter.requests > 0 => {
                return Err(Refusal::conflict("adapter has requests"));
            }
            Some(adapter) => Some(adapter.bytes),
            None => None,
        };
        if let Some(adapters) = adapters {
            adapters.remove(&order.adapter);
        }
        memory.return_bytes(freed.unwrap_or_default());
        let reply = memory.finish_order(&order.order_id, freed.is_some(), None, started);
        Ok(ok_reply(&reply))
    }
}
