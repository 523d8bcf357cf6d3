//! Engines and requests for tests of the planner and the meter.

#![allow(dead_code, reason = "each test program uses a part")]

use std::net::SocketAddr;
use std::time::Duration;

use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendPhase;
use zinniahinge_serving::EngineOrder;
use zinniahinge_serving::EngineReport;
use zinniahinge_serving::EngineSpec;
use zinniahinge_serving::HeldModel;
use zinniahinge_serving::MeterSettings;
use zinniahinge_serving::ModelSpec;
use zinniahinge_serving::OrderOutcome;
use zinniahinge_serving::Placement;
use zinniahinge_serving::ResidencyAction;
use zinniahinge_serving::ResidencyPlanner;
use zinniahinge_serving::ResidencySettings;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;

/// Tolerated excess over accounts' rates, from the users' limits.
pub const METER_SETTINGS: MeterSettings = MeterSettings {
    window: Duration::from_secs(8),
    excess_share: 0.1,
    excess_units: 110_000.0,
};

/// Accelerator memory of each model in these tests, megabytes.
pub const MODEL_MB: f64 = 60.0;

pub fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(10_000 + millis)
}

pub fn name(text: &str) -> Name {
    text.into()
}

/// A service with engines that can hold two of `models`.
pub fn engine_spec(models: &[&str]) -> EngineSpec {
    let models = models.iter().map(|model| {
        let spec = ModelSpec {
            name: name(model),
            weight_mb: MODEL_MB,
            store_load: Duration::from_secs(6),
            disk_load: Duration::from_millis(800),
            memory_load: Duration::from_millis(400),
            adapter_mb: 1.0,
            adapters: 20,
        };
        (name(model), spec)
    });
    EngineSpec {
        slots: 8,
        memory_mb: 150.0,
        max_adapters: 8,
        store_loads_per_s: 2.0,
        token_capacity: 200_000,
        models: models.collect(),
    }
}

pub fn entry(id: &str, born_ms: u64, held: &[&str]) -> BackendEntry {
    BackendEntry {
        id: name(id),
        service: name("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        place: name("a"),
        slots: 8,
        phase: BackendPhase::Ready,
        born_ms,
        sequence: 1,
        cold_left: Duration::ZERO,
        held: held_models(held),
        memory_copies: Vec::new(),
        disk_copies: Vec::new(),
    }
}

pub fn held_models(models: &[&str]) -> Vec<HeldModel> {
    let models = models.iter().map(|model| HeldModel {
        model: name(model),
        adapters: Vec::new(),
    });
    models.collect()
}

pub fn report(sequence: u64, held: &[&str], disk: &[&str]) -> EngineReport {
    EngineReport {
        sequence,
        held: held_models(held),
        disk_copies: disk.iter().map(|model| name(model)).collect(),
        ..EngineReport::default()
    }
}

/// A planner that knows one idle engine, `e1`, of run 1.
pub fn planner_with(models: &[&str], held: &[&str], disk: &[&str]) -> ResidencyPlanner {
    let settings = ResidencySettings::default();
    let mut planner = ResidencyPlanner::new(engine_spec(models), settings, 0);
    planner.observe_entry(&entry("e1", 1, held), at(0));
    planner.due_reports(at(0));
    planner.observe_report("e1", Some(&report(5, held, disk)), at(0), at(0));
    planner
}

/// Asks for a model with ten seconds left until the deadline.
pub fn request(planner: &mut ResidencyPlanner, model: &str, now: MonotonicTime) -> Placement {
    planner.place(&name(model), None, 1, Duration::from_secs(10), None, now)
}

/// Plans, and applies every order as accepted.
pub fn accept_all(planner: &mut ResidencyPlanner, now: MonotonicTime) -> Vec<EngineOrder> {
    let orders = planner.plan(now);
    for order in &orders {
        planner.apply_order_outcome(order, OrderOutcome::Accepted, now);
    }
    orders
}

/// Number of orders that load or unload the model itself or one of its adapters.
pub fn count_orders(orders: &[EngineOrder], action: ResidencyAction, model: &str) -> usize {
    let orders = orders.iter();
    orders
        .filter(|order| order.action == action && *order.model == *model)
        .count()
}
