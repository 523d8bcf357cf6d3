use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use volo_http::response::Response;

use crate::FaultKind;
use crate::FaultSet;
use crate::ServedRequest;
use crate::reply::Refusal;
use crate::reply::ok_reply;

/// How often the speed of a running load is looked at again. Adapter loads last 5 ms at least.
const SPEED_INTERVAL: Duration = Duration::from_millis(2);

/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Loads that finish per second at most.
    pub loads_per_second: f64,
    /// Loads that run at full speed at once; beyond, all slow down in proportion.
    pub at_once: u64,
    /// Size of a load for which the rate holds; `None` for any size.
    pub nominal_bytes: Option<u64>,
    /// Shortest time of an adapter load at full speed.
    pub adapter_min_time: Duration,
    /// Longest time of an adapter load at full speed.
    pub adapter_max_time: Duration,
    /// Adapter loads that run at full speed at once.
    pub adapters_at_once: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            loads_per_second: 1.5,
            at_once: 4,
            nominal_bytes: None,
            adapter_min_time: Duration::from_millis(5),
            adapter_max_time: Duration::from_millis(10),
            adapters_at_once: 30,
        }
    }
}

/// Rate-limited weight store. It sends no weights, it only takes the time.
pub struct WeightStore {
    settings: StoreSettings,
    faults: Arc<FaultSet>,
    models: LoadGauge,
    adapters: LoadGauge,
}

/// Loads of one kind.
#[derive(Debug, Default)]
struct LoadGauge {
    in_flight: AtomicU64,
    peak: AtomicU64,
    finished: AtomicU64,
}

/// Answer of `GET /state`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Model loads running now.
    pub in_flight: u64,
    /// Most model loads that ran at once.
    pub peak_in_flight: u64,
    /// Model loads finished.
    pub finished: u64,
    /// Adapter loads running now.
    pub adapters_in_flight: u64,
    /// Most adapter loads that ran at once.
    pub adapters_peak_in_flight: u64,
    /// Adapter loads finished.
    pub adapters_finished: u64,
}

impl WeightStore {
    /// Kinds of faults that apply.
    pub const FAULTS: &[FaultKind] = &[
        FaultKind::Down,
        FaultKind::Slow,
        FaultKind::Pause,
        FaultKind::Garbage,
        FaultKind::CloseEarly,
    ];

    /// Idle store.
    pub fn new(settings: StoreSettings, faults: Arc<FaultSet>) -> Arc<Self> {
        Arc::new(Self {
            settings,
            faults,
            models: LoadGauge::default(),
            adapters: LoadGauge::default(),
        })
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, request: ServedRequest) -> Response {
        if request.method != Method::GET {
            return Refusal::not_found("no such path").into();
        }
        let path = request.path.as_str();
        let bytes = request.query_number("bytes").unwrap_or_default();
        if let Some(name) = path.strip_prefix("/weights/") {
            self.load_model(name, bytes).await
        } else if let Some(name) = path.strip_prefix("/adapters/") {
            self.load_adapter(name, bytes).await
        } else if path == "/state" {
            ok_reply(&self.report())
        } else {
            Refusal::not_found("no such path").into()
        }
    }

    /// Loads so far.
    pub fn report(&self) -> StoreReport {
        let Self {
            models, adapters, ..
        } = self;
        StoreReport {
            in_flight: models.in_flight.load(Ordering::Relaxed),
            peak_in_flight: models.peak.load(Ordering::Relaxed),
            finished: models.finished.load(Ordering::Relaxed),
            adapters_in_flight: adapters.in_flight.load(Ordering::Relaxed),
            adapters_peak_in_flight: adapters.peak.load(Ordering::Relaxed),
            adapters_finished: adapters.finished.load(Ordering::Relaxed),
        }
    }

    async fn load_model(&self, name: &str, bytes: u64) -> Response {
        let settings = &self.settings;
        let share = match settings.nominal_bytes {
            Some(nominal) if bytes > 0 => bytes as f64 / nominal as f64,
            _ => 1.0,
        };
        let full_seconds = settings.at_once as f64 / settings.loads_per_second;
        let work = Duration::from_secs_f64(full_seconds * share);
        self.run_load(name, &self.models, work, settings.at_once)
            .await
    }

    async fn load_adapter(&self, name: &str, _bytes: u64) -> Response {
        let settings = &self.settings;
        let span = settings
            .adapter_max_time
            .saturating_sub(settings.adapter_min_time);
        let work = settings.adapter_min_time + span.mul_f64(rand::random());
        self.run_load(name, &self.adapters, work, settings.adapters_at_once)
            .await
    }

    /// Takes the time that `work` at full speed takes at the present speed.
    async fn run_load(
        &self,
        name: &str,
        gauge: &LoadGauge,
        work: Duration,
        at_once: u64,
    ) -> Response {
        let _running = gauge.enter();
        let started = Instant::now();
        let mut remaining = work;
        while !remaining.is_zero() {
            let speed = self.speed(gauge, at_once);
            let rest = remaining.div_f64(speed);
            let step_start = Instant::now();
            tokio::time::sleep(SPEED_INTERVAL.min(rest)).await;
            let done = step_start.elapsed().mul_f64(speed);
            remaining = remaining.saturating_sub(done);
            self.faults.wait_resume().await;
        }
        gauge.finished.fetch_add(1, Ordering::Relaxed);
        let took = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        ok_reply(&json!({ "name": name, "took_ms": took }))
    }

    /// Share of the full speed that each load has now.
    fn speed(&self, gauge: &LoadGauge, at_once: u64) -> f64 {
        let in_flight = gauge.in_flight.load(Ordering::Relaxed).max(1);
        let slowdown = self.faults.peek(FaultKind::Slow);
        let factor = slowdown.map_or(1.0, |hit| hit.factor);
        (at_once as f64 / in_flight as f64).min(1.0) / factor
    }
}

/// A running load; it ends when dropped.
struct RunningLoad<'a> {
    gauge: &'a LoadGauge,
}

impl LoadGauge {
    fn enter(&self) -> RunningLoad<'_> {
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.peak.fetch_max(before + 1, Ordering::Relaxed);
        RunningLoad { gauge: self }
    }
}

impl Drop for RunningLoad<'_> {
    fn drop(&mut self) {
        self.gauge.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
