use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use http::header::HeaderName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use volo_http::response::Response;

use crate::FaultKind;
use crate::ServedRequest;
use crate::hex_digest;
use crate::reply::Refusal;
use crate::reply::ok_reply;

/// Header that names a request; the answer repeats it.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Settings of the plain service.
#[derive(Clone, Copy, Debug)]
pub struct PlainSettings {
    /// Requests that run at once.
    pub slots: u32,
    /// Time of a lookup.
    pub lookup_time: Duration,
    /// Time of a booking.
    pub booking_time: Duration,
    /// Whether each booking is printed as `ran BODY`, so that the count outlives a kill.
    pub print_runs: bool,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self {
            slots: 64,
            lookup_time: Duration::from_millis(1),
            booking_time: Duration::from_millis(5),
            print_runs: false,
        }
    }
}

/// Plain service with lookups and bookings. It does not notice repeated bookings, it counts them.
pub struct PlainService {
    settings: PlainSettings,
    boot_id: String,
    slots: Semaphore,
    running: AtomicU32,
    waiting: AtomicU32,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// Answer of `GET /runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// All bookings.
    pub total: u64,
    /// How often the booking with this body ran.
    pub runs: BTreeMap<String, u64>,
}

impl PlainService {
    /// Kinds of faults that apply.
    pub const FAULTS: &[FaultKind] = &[
        FaultKind::Down,
        FaultKind::Slow,
        FaultKind::LostAnswer,
        FaultKind::Pause,
        FaultKind::Garbage,
        FaultKind::CloseEarly,
        FaultKind::Crossed,
    ];

    /// Service without bookings.
    pub fn new(settings: PlainSettings) -> Arc<Self> {
        Arc::new(Self {
            boot_id: format!("{:016x}", rand::random::<u64>()),
            slots: Semaphore::new(settings.slots as usize),
            settings,
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            runs: Mutex::new(BTreeMap::new()),
        })
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, request: ServedRequest) -> Response {
        let request_id = request.headers.get(REQUEST_ID).cloned();
        let mut reply = match (&request.method, request.path.as_str()) {
            (&Method::GET, "/about") => ok_reply(&json!({ "service": "plain" })),
            (&Method::GET, "/runs") => ok_reply(&self.runs()),
            (&Method::GET, "/v1/state") => ok_reply(&self.state()),
            (&Method::GET, path) if path == "/status" || path.starts_with("/status/") => {
                self.look_up(path).await
            }
            (&Method::POST, "/bookings") => self.book(request.body.to_vec()).await,
            _ => Refusal::not_found("no such path").into(),
        };
        if let Some(request_id) = request_id {
            reply.headers_mut().insert(REQUEST_ID, request_id);
        }
        reply
    }

    /// Bookings so far.
    pub fn runs(&self) -> RunReport {
        let runs = self.runs.lock().unwrap_or_else(|e| e.into_inner()).clone();
        RunReport {
            total: runs.values().sum(),
            runs,
        }
    }

    fn state(&self) -> Value {
        json!({
            "boot_id": self.boot_id,
            "slots": self.settings.slots,
            "running": self.running.load(Ordering::Relaxed),
            "waiting": self.waiting.load(Ordering::Relaxed),
        })
    }

    /// The answer follows from the path, so that a caller can check that it is its own.
    async fn look_up(&self, path: &str) -> Response {
        self.work(self.settings.lookup_time).await;
        let status = &hex_digest(path.as_bytes())[..16];
        ok_reply(&json!({ "path": path, "status": status }))
    }

    /// A booking that has arrived runs, even if its caller leaves.
    async fn book(self: Arc<Self>, body: Vec<u8>) -> Response {
        let work = async move {
            self.work(self.settings.booking_time).await;
            let text = String::from_utf8_lossy(&body).into_owned();
            if self.settings.print_runs {
                println!("ran {text}");
            }
            let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
            let run = runs.entry(text).or_default();
            *run += 1;
            json!({ "booking": &hex_digest(&body)[..16], "run": *run })
        };
        match tokio::spawn(work).await {
            Ok(booking) => ok_reply(&booking),
            Err(_) => crate::cut_connection(),
        }
    }

    async fn work(&self, time: Duration) {
        let waiting = CountedPart::enter(&self.waiting);
        let _slot = self.slots.acquire().await;
        drop(waiting);
        let _running = CountedPart::enter(&self.running);
        tokio::time::sleep(time).await;
    }
}

/// Counts a part of a request's life; dropped at its end or when the caller leaves.
struct CountedPart<'a> {
    count: &'a AtomicU32,
}

impl<'a> CountedPart<'a> {
    fn enter(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self { count }
    }
}

impl Drop for CountedPart<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
