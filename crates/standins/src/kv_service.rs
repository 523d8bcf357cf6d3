use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use volo_http::response::Response;

use crate::FaultKind;
use crate::FaultSet;
use crate::ServedRequest;
use crate::kv_message::CompactionRequest;
use crate::kv_message::Compare;
use crate::kv_message::CompareResult;
use crate::kv_message::CompareTarget;
use crate::kv_message::LeaseRequest;
use crate::kv_message::RangeRequest;
use crate::kv_message::RequestOp;
use crate::kv_message::TxnRequest;
use crate::kv_message::WatchRequest;
use crate::kv_message::write_event;
use crate::kv_message::write_header;
use crate::kv_message::write_range;
use crate::kv_store::KeyRange;
use crate::kv_store::KvStore;
use crate::reply::BodyError;
use crate::reply::Refusal;
use crate::reply::chunk_channel;
use crate::reply::ok_reply;
use crate::reply::stream_reply;

/// Default limit of the service for operations in one transaction.
const MAX_OPERATIONS: usize = 128;

/// Default limit of the service for one request.
const MAX_REQUEST_BYTES: usize = 1536 * 1024;

/// How often leases are checked for expiry.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Status codes of gRPC.
const CODE_INVALID_ARGUMENT: u32 = 3;
const CODE_NOT_FOUND: u32 = 5;
const CODE_OUT_OF_RANGE: u32 = 11;
const CODE_UNIMPLEMENTED: u32 = 12;

/// Settings of the key-value service.
#[derive(Clone, Debug)]
pub struct KvServiceSettings {
    /// Changes that are kept for watches.
    pub history_limit: usize,
    /// How often a watch that asks for it is told the revision while nothing changes.
    pub progress_interval: Duration,
}

impl Default for KvServiceSettings {
    fn default() -> Self {
        Self {
            history_limit: 10_000,
            // Default of the service.
            progress_interval: Duration::from_secs(600),
        }
    }
}

/// In-memory key-value service with the JSON gateway of etcd v3.
pub struct KvService {
    settings: KvServiceSettings,
    store: Mutex<KvStore>,
    revisions: watch::Sender<u64>,
    faults: Arc<FaultSet>,
    counter: KvCounter,
}

#[derive(Debug, Default)]
struct KvCounter {
    reads: AtomicU64,
    writes: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
    open_watches: AtomicU64,
}

/// Answer of `GET /counters`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct KvCounts {
    /// Range requests.
    pub reads: u64,
    /// Transactions and compactions.
    pub writes: u64,
    /// Lease requests.
    pub leases: u64,
    /// Watches started.
    pub watches: u64,
    /// Watches open now.
    pub open_watches: u64,
    /// Revision of the store.
    pub revision: u64,
}

type Outcome = Result<Response, Refusal>;

impl KvService {
    /// Kinds of faults that apply.
    pub const FAULTS: &[FaultKind] = &[
        FaultKind::Down,
        FaultKind::Slow,
        FaultKind::LostAnswer,
        FaultKind::WatchGap,
        FaultKind::LeaseLapse,
        FaultKind::Pause,
        FaultKind::Garbage,
        FaultKind::CloseEarly,
    ];

    /// Empty service.
    pub fn new(settings: KvServiceSettings, faults: Arc<FaultSet>) -> Arc<Self> {
        let service = Arc::new(Self {
            store: Mutex::new(KvStore::new(settings.history_limit)),
            settings,
            revisions: watch::Sender::new(1),
            faults,
            counter: KvCounter::default(),
        });
        tokio::spawn(expire_leases(Arc::downgrade(&service)));
        service
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, request: ServedRequest) -> Response {
        if request.body.len() > MAX_REQUEST_BYTES {
            let message = "etcdserver: request is too large";
            return refuse(CODE_INVALID_ARGUMENT, message).into();
        }
        let outcome = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/counters") => Ok(ok_reply(&self.counts())),
            (&Method::POST, "/v3/kv/range") => self.range(&request),
            (&Method::POST, "/v3/kv/txn") => self.transact(&request),
            (&Method::POST, "/v3/kv/compaction") => self.compact(&request),
            (&Method::POST, "/v3/lease/grant") => self.grant(&request),
            (&Method::POST, "/v3/lease/keepalive") => self.keep_alive(&request),
            (&Method::POST, "/v3/lease/revoke") => self.revoke(&request),
            (&Method::POST, "/v3/watch") => self.watch(&request),
            _ => Err(refuse(CODE_NOT_FOUND, "Not Found")),
        };
        outcome.unwrap_or_else(Response::from)
    }

    /// Calls so far.
    pub fn counts(&self) -> KvCounts {
        let KvCounter {
            reads,
            writes,
            leases,
            watches,
            open_watches,
        } = &self.counter;
        KvCounts {
            reads: reads.load(Ordering::Relaxed),
            writes: writes.load(Ordering::Relaxed),
            leases: leases.load(Ordering::Relaxed),
            watches: watches.load(Ordering::Relaxed),
            open_watches: open_watches.load(Ordering::Relaxed),
            revision: self.lock().revision(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, KvStore> {
        self.store.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn publish(&self, store: &KvStore) {
        self.revisions.send_replace(store.revision());
    }

    // ------------------------------------------------------------------------------------------

    fn range(&self, request: &ServedRequest) -> Outcome {
        self.counter.reads.fetch_add(1, Ordering::Relaxed);
        let request: RangeRequest = request.json().map_err(refuse_syntax)?;
        let store = self.lock();
        let records = store.read(&request.into_range());
        let mut response = write_range(&records);
        response["header"] = write_header(store.revision());
        Ok(ok_reply(&response))
    }

    fn transact(&self, request: &ServedRequest) -> Outcome {
        self.counter.writes.fetch_add(1, Ordering::Relaxed);
        let request: TxnRequest = request.json().map_err(refuse_syntax)?;
        check_transaction(&request)?;
        let mut store = self.lock();
        let succeeded = request.compare.iter().all(|c| compare(&store, c));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        let changes: Vec<_> = operations.iter().filter_map(RequestOp::change).collect();
        for operation in &operations {
            if let RequestOp::Put(put) = operation
                && put.lease != 0
                && !store.has_lease(put.lease)
            {
                let message = "etcdserver: requested lease not found";
                return Err(refuse(CODE_NOT_FOUND, message));
            }
        }
        store.apply(changes);
        self.publish(&store);
        let header = write_header(store.revision());
        let responses: Vec<Value> = operations
            .into_iter()
            .map(|operation| match operation {
                RequestOp::Range(request) => {
                    let records = store.read(&request.into_range());
                    json!({ "response_range": write_range(&records) })
                }
                RequestOp::Put(_) => json!({ "response_put": { "header": header } }),
                RequestOp::DeleteRange(_) => {
                    json!({ "response_delete_range": { "header": header } })
                }
            })
            .collect();
        let mut response = json!({ "header": header, "responses": responses });
        if succeeded {
            response["succeeded"] = true.into();
        }
        Ok(ok_reply(&response))
    }

    fn compact(&self, request: &ServedRequest) -> Outcome {
        self.counter.writes.fetch_add(1, Ordering::Relaxed);
        let request: CompactionRequest = request.json().map_err(refuse_syntax)?;
        let mut store = self.lock();
        if request.revision > store.revision() || request.revision <= store.compacted() {
            let message = "etcdserver: mvcc: required revision is out of range";
            return Err(refuse(CODE_OUT_OF_RANGE, message));
        }
        store.compact(request.revision);
        Ok(ok_reply(
            &json!({ "header": write_header(store.revision()) }),
        ))
    }

    // ------------------------------------------------------------------------------------------

    fn grant(&self, request: &ServedRequest) -> Outcome {
        self.counter.leases.fetch_add(1, Ordering::Relaxed);
        let request: LeaseRequest = request.json().map_err(refuse_syntax)?;
        let mut store = self.lock();
        let time_to_live = Duration::from_secs(request.ttl_seconds);
        let id = store.grant(time_to_live, Instant::now());
        Ok(ok_reply(&json!({
            "header": write_header(store.revision()),
            "ID": id.to_string(),
            "TTL": request.ttl_seconds.to_string(),
        })))
    }

    fn keep_alive(&self, request: &ServedRequest) -> Outcome {
        self.counter.leases.fetch_add(1, Ordering::Relaxed);
        let request: LeaseRequest = request.json().map_err(refuse_syntax)?;
        let mut store = self.lock();
        let mut result = json!({
            "header": write_header(store.revision()),
            "ID": request.id.to_string(),
        });
        if let Some(time_to_live) = store.keep_alive(request.id, Instant::now()) {
            result["TTL"] = time_to_live.as_secs().to_string().into();
        }
        Ok(ok_reply(&json!({ "result": result })))
    }

    fn revoke(&self, request: &ServedRequest) -> Outcome {
        self.counter.leases.fetch_add(1, Ordering::Relaxed);
        let request: LeaseRequest = request.json().map_err(refuse_syntax)?;
        let mut store = self.lock();
        if !store.has_lease(request.id) {
            let message = "etcdserver: requested lease not found";
            return Err(refuse(CODE_NOT_FOUND, message));
        }
        store.revoke(request.id);
        self.publish(&store);
        Ok(ok_reply(
            &json!({ "header": write_header(store.revision()) }),
        ))
    }

    // ------------------------------------------------------------------------------------------

    fn watch(self: &Arc<Self>, request: &ServedRequest) -> Outcome {
        self.counter.watches.fetch_add(1, Ordering::Relaxed);
        let request: WatchRequest = request.json().map_err(refuse_syntax)?;
        let request = request.create_request;
        let present = self.lock().revision();
        let next_revision = match request.start_revision {
            0 => present + 1,
            start => start,
        };
        let feed = WatchFeed {
            service: self.clone(),
            progress: request.progress_notify,
            range: KeyRange {
                start: request.key,
                end: request.range_end,
            },
            next_revision,
        };
        let (sender, chunks) = chunk_channel();
        tokio::spawn(feed.run(sender));
        Ok(stream_reply("application/json", chunks))
    }
}

async fn expire_leases(service: std::sync::Weak<KvService>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let Some(service) = service.upgrade() else {
            return;
        };
        let all = service.faults.peek(FaultKind::LeaseLapse).is_some();
        let mut store = service.lock();
        store.expire(Instant::now(), all);
        if store.revision() != *service.revisions.borrow() {
            service.publish(&store);
        }
    }
}

// ----------------------------------------------------------------------------------------------

/// Feeds one watch.
struct WatchFeed {
    service: Arc<KvService>,
    range: KeyRange,
    next_revision: u64,
    progress: bool,
}

type LineSender = tokio::sync::mpsc::Sender<Result<Bytes, BodyError>>;

impl WatchFeed {
    async fn run(mut self, sender: LineSender) {
        let service = self.service.clone();
        let open_watches = &service.counter.open_watches;
        open_watches.fetch_add(1, Ordering::Relaxed);
        tokio::select! {
            () = sender.closed() => {}
            () = self.send_lines(&sender) => {}
        }
        open_watches.fetch_sub(1, Ordering::Relaxed);
    }

    async fn send_lines(&mut self, sender: &LineSender) {
        let mut revisions = self.service.revisions.subscribe();
        let created = json!({ "created": true });
        if !self.send(sender, created).await {
            return;
        }
        let interval = self.service.settings.progress_interval;
        loop {
            self.service.faults.wait_resume().await;
            if self.service.faults.is_down() {
                let _ = sender.send(Err(BodyError::from("service is down"))).await;
                return;
            }
            revisions.borrow_and_update();
            if let Some(message) = self.take_events() {
                let ends = message.get("canceled").is_some();
                let sent = self.send(sender, message).await;
                if ends || !sent {
                    return;
                }
            }
            tokio::select! {
                _ = revisions.changed() => {}
                () = self.service.faults.wait_change() => {}
                () = tokio::time::sleep(interval), if self.progress => {
                    if !self.send(sender, json!({})).await {
                        return;
                    }
                }
            }
        }
    }

    /// Message with the events since the last one, if there are any that no fault swallows.
    fn take_events(&mut self) -> Option<Value> {
        let store = self.service.lock();
        let compacted = store.compacted();
        if self.next_revision <= compacted {
            return Some(json!({
                "canceled": true,
                "compact_revision": (compacted + 1).to_string(),
                "cancel_reason": "etcdserver: mvcc: required revision has been compacted",
            }));
        }
        let changes = store.changes(&self.range, self.next_revision);
        self.next_revision = self.next_revision.max(store.revision() + 1);
        drop(store);
        let faults = &self.service.faults;
        let kept: Vec<Value> = changes
            .iter()
            .filter(|_| faults.draw(FaultKind::WatchGap, "/v3/watch").is_none())
            .map(write_event)
            .collect();
        (!kept.is_empty()).then(|| json!({ "events": kept }))
    }

    async fn send(&self, sender: &LineSender, mut message: Value) -> bool {
        message["header"] = write_header(self.service.lock().revision());
        let mut line = json!({ "result": message }).to_string();
        line.push('\n');
        sender.send(Ok(Bytes::from(line))).await.is_ok()
    }
}

// ----------------------------------------------------------------------------------------------

fn refuse(code: u32, message: &str) -> Refusal {
    let status = match code {
        CODE_NOT_FOUND => StatusCode::NOT_FOUND,
        CODE_UNIMPLEMENTED => StatusCode::NOT_IMPLEMENTED,
        _ => StatusCode::BAD_REQUEST,
    };
    let body = json!({ "error": message, "code": code, "message": message });
    Refusal { status, body }
}

fn refuse_syntax(message: String) -> Refusal {
    refuse(CODE_INVALID_ARGUMENT, &message)
}

fn check_transaction(request: &TxnRequest) -> Result<(), Refusal> {
    let TxnRequest {
        compare,
        success,
        failure,
    } = request;
    let longest = compare.len().max(success.len()).max(failure.len());
    if longest > MAX_OPERATIONS {
        let message = "etcdserver: too many operations in txn request";
        return Err(refuse(CODE_INVALID_ARGUMENT, message));
    }
    for operations in [success, failure] {
        let mut keys = BTreeSet::new();
        let repeated = operations
            .iter()
            .filter_map(RequestOp::put_key)
            .any(|key| !keys.insert(key));
        if repeated {
            let message = "etcdserver: duplicate key given in txn request";
            return Err(refuse(CODE_INVALID_ARGUMENT, message));
        }
    }
    let supported = |compare: &Compare| {
        compare.target == CompareTarget::Mod && compare.result == CompareResult::Equal
    };
    if !compare.iter().all(supported) {
        let message = "this stand-in compares only for equal mod_revision";
        return Err(refuse(CODE_UNIMPLEMENTED, message));
    }
    Ok(())
}

fn compare(store: &KvStore, compare: &Compare) -> bool {
    store.mod_revision(&compare.key) == compare.mod_revision
}
