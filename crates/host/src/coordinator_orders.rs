use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio_util::sync::CancellationToken;
use zinniahinge_platform::EngineClient;
use zinniahinge_serving::EngineOrder;
use zinniahinge_serving::OrderOutcome;
use zinniahinge_types::Name;

use crate::coordinator::CoordinatorCell;
use crate::host_state::HostState;

/// Longest pause between two planning rounds while this host coordinates.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest pause between two planning rounds, so that rounds that are due again at once don't saturate the processor.
const MIN_PLAN_PAUSE: Duration = Duration::from_millis(4);

/// Addition to the shortest pause for each engine in the plan. Keeps planning for 240 engines within a tenth of a small
/// host's processor.
const MIN_PLAN_PAUSE_PER_ENGINE: Duration = Duration::from_micros(80);

/// Runs the planners while this host coordinates: sends their load and unload orders to the engines and reads the engines'
/// reports.
#[derive(Clone)]
pub(crate) struct CoordinatorOrders {
    pub(crate) state: Arc<HostState>,
    pub(crate) cell: Arc<CoordinatorCell>,
    pub(crate) engines: EngineClient,
    /// Number of loads from the weight store that may run at once.
    pub(crate) store_loads: usize,
}

/// Result of one planning round over all services.
#[derive(Default)]
struct PlannedWork {
    orders: Vec<(Name, EngineOrder)>,
    reports: Vec<(Name, Name, SocketAddr)>,
    pause: Duration,
    engines: u32,
}

impl CoordinatorOrders {
    /// Plans at intervals and on changes until `token` is cancelled.
    pub(crate) async fn run(self, token: CancellationToken) {
        let mut tables = self.state.table_version.subscribe();
        let mut is_new_table = true;
        loop {
            let work = self.plan(is_new_table);
            let pause = work.as_ref().map_or(PLAN_INTERVAL * 4, |work| work.pause);
            let engines = work.as_ref().map_or(0, |work| work.engines);
            let shortest = MIN_PLAN_PAUSE + MIN_PLAN_PAUSE_PER_ENGINE * engines;
            if let Some(work) = work {
                self.spawn_work(work);
            }
            is_new_table = false;
            let rest = token.run_until_cancelled(tokio::time::sleep(shortest));
            if rest.await.is_none() {
                return;
            }
            tokio::select! {
                () = token.cancelled() => return,
                () = self.cell.work.notified() => {}
                changed = tables.changed() => is_new_table = changed.is_ok(),
                () = tokio::time::sleep(pause.saturating_sub(shortest)) => {}
            }
        }
    }

    /// Plans all services; `None` while another host coordinates. Returns no orders while they may not be sent yet.
    fn plan(&self, is_new_table: bool) -> Option<PlannedWork> {
        let now = self.state.now();
        let may_order = self.cell.order_fence(now).is_some();
        self.cell.fence(now)?;
        self.cell.with(|coordinator| {
            if is_new_table || coordinator.planners.is_empty() {
                coordinator.sync_with_table(self.store_loads, now);
            }
            let mut work = PlannedWork {
                pause: PLAN_INTERVAL,
                ..PlannedWork::default()
            };
            for (service, planner) in &mut coordinator.planners {
                work.engines += planner.engine_count();
                let due = planner.due_reports(now).into_iter();
                work.reports
                    .extend(due.map(|(backend, address)| (service.clone(), backend, address)));
                if may_order {
                    let orders = planner.plan(now).into_iter();
                    work.orders
                        .extend(orders.map(|order| (service.clone(), order)));
                }
                if let Some(wakeup) = planner.next_wakeup(now) {
                    work.pause = work.pause.min(wakeup.since(now));
                }
            }
            work
        })
    }

    /// Starts a task for each order and each report, so that a slow engine delays no other.
    fn spawn_work(&self, work: PlannedWork) {
        for (service, order) in work.orders {
            let this = self.clone();
            tokio::spawn(async move { this.send_order(service, order).await });
        }
        for (service, backend, address) in work.reports {
            let this = self.clone();
            tokio::spawn(async move { this.read_report(service, backend, address).await });
        }
    }

    /// Sends one order under the fencing number and tells its planner the outcome.
    async fn send_order(&self, service: Name, order: EngineOrder) {
        let logger = &self.state.logger;
        // Checked again right before sending: the term may have ended since the plan.
        let outcome = match self.cell.order_fence(self.state.now()) {
            None => OrderOutcome::NotSent,
            Some(fence) => {
                let holder = &self.state.startup.host;
                let outcome = self.engines.order(&order, holder, fence).await;
                info!(logger, "order"; "action" => ?order.action, "backend" => &*order.backend,
                    "model" => &*order.model, "adapter" => order.adapter.as_deref(),
                    "expected" => order.expected, "fence" => fence, "outcome" => ?outcome);
                outcome
            }
        };
        let label = format!("{outcome:?}");
        self.state
            .counters
            .orders
            .with_label_values(&[&label])
            .inc();
        if outcome == OrderOutcome::Fenced {
            warn!(logger, "engine rejected the order, it has seen a newer coordinator's fencing number";
                "backend" => &*order.backend);
        }
        let now = self.state.now();
        self.cell.with(|coordinator| {
            if let Some(planner) = coordinator.planners.get_mut(&service) {
                planner.apply_order_outcome(&order, outcome, now);
            }
        });
        self.cell.progress(&order.model).notify_waiters();
        self.cell.work.notify_one();
    }

    /// Reads one engine's report and passes it, or the failure, to its planner.
    async fn read_report(&self, service: Name, backend: Name, address: SocketAddr) {
        let asked_at = self.state.now();
        let report = self.engines.report(address, &backend).await;
        let logger = &self.state.logger;
        match &report {
            Ok(report) => info!(logger, "engine report read"; "backend" => &*backend,
                "accepted" => report.sequence, "busy" => report.is_busy,
                "models" => report.held.len(), "pending" => report.pending.len()),
            Err(error) => {
                info!(logger, "engine report not read"; "backend" => &*backend, "error" => error)
            }
        }
        let now = self.state.now();
        self.cell.with(|coordinator| {
            if let Some(planner) = coordinator.planners.get_mut(&service) {
                planner.observe_report(&backend, report.as_ref().ok(), asked_at, now);
            }
        });
        self.cell.work.notify_one();
    }
}
