//! Model dispatchers of one shard.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;
use zinniahinge_scheduling::DispatchDecision;
use zinniahinge_scheduling::DispatcherIdentity;
use zinniahinge_scheduling::DispatcherSettings;
use zinniahinge_scheduling::DispatcherState;
use zinniahinge_scheduling::EnqueueOutcome;
use zinniahinge_scheduling::ModelDispatcher;
use zinniahinge_types::DemandReply;
use zinniahinge_types::DemandRequest;
use zinniahinge_types::DispatchReply;
use zinniahinge_types::DispatchRequest;
use zinniahinge_types::Incarnation;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::ReleaseOutcome;
use zinniahinge_types::ReleaseRequest;
use zinniahinge_types::ReplicaEntry;
use zinniahinge_types::RequestId;

use crate::in_force::InForceState;

/// Interval of demand reports while a request waits for a load.
const COLD_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of demand reports of a model with replicas. It bounds how long a drained replica waits for its unload.
const WARM_INTERVAL: Duration = Duration::from_secs(1);

/// Base model of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelKey {
    /// Service.
    pub service: Name,
    /// Base model.
    pub model: Name,
}

/// Dispatcher on its way to the next owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ModelState {
    /// Model.
    pub key: ModelKey,
    /// Version of the replica list at the pool.
    pub pool_version: u64,
    /// Replica list as the pool sent it.
    pub listed: Vec<ReplicaEntry>,
    /// Dispatcher.
    pub dispatcher: DispatcherState,
}

/// Answer to a dispatch request, now or later.
pub enum DispatchAnswer {
    /// The request is decided.
    Decided(DispatchReply),
    /// The receiver gets the answer; it is dropped if the shard leaves this process.
    Waiting(oneshot::Receiver<DispatchReply>),
}

struct DispatcherCell {
    dispatcher: ModelDispatcher,
    waiters: HashMap<RequestId, oneshot::Sender<DispatchReply>>,
    pool_version: u64,
    listed: Vec<ReplicaEntry>,
    /// List after the host list was applied to it.
    applied: Vec<ReplicaEntry>,
    next_report: MonotonicTime,
    report_in_flight: bool,
}

/// Dispatchers by model.
pub struct DispatchTable {
    models: BTreeMap<ModelKey, DispatcherCell>,
    incarnation: Incarnation,
}

impl DispatchTable {
    /// No dispatchers yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            models: BTreeMap::new(),
            incarnation,
        }
    }

    /// Prepares a dispatcher for each model, so that replicas loaded under a former owner are found and, if
    /// nobody uses them, unloaded.
    pub fn add_models(&mut self, models: impl IntoIterator<Item = ModelKey>) {
        for key in models {
            self.cell(key);
        }
    }

    /// Takes a request in.
    pub fn submit(&mut self, request: DispatchRequest, now: MonotonicTime) -> DispatchAnswer {
        let key = ModelKey {
            service: request.service.clone(),
            model: request.model.clone(),
        };
        let cell = self.cell(key);
        let request_id = request.request_id;
        match cell.dispatcher.enqueue(request, now) {
            EnqueueOutcome::Granted(ticket) => {
                DispatchAnswer::Decided(DispatchReply::Granted(ticket))
            }
            EnqueueOutcome::Refused {
                reason,
                retry_after,
            } => DispatchAnswer::Decided(DispatchReply::Refused {
                reason,
                retry_after,
            }),
            EnqueueOutcome::Queued | EnqueueOutcome::AlreadyQueued => {
                let (sender, receiver) = oneshot::channel();
                cell.waiters.insert(request_id, sender);
                cell.poll(now);
                if cell.dispatcher.waits_for_load() {
                    cell.next_report = cell.next_report.min(now);
                }
                DispatchAnswer::Waiting(receiver)
            }
        }
    }

    /// Takes a ticket back. Returns false if it is not out.
    pub fn release(&mut self, release: &ReleaseRequest, now: MonotonicTime) -> bool {
        let key = ModelKey {
            service: release.service.clone(),
            model: release.model.clone(),
        };
        let Some(cell) = self.models.get_mut(&key) else {
            return false;
        };
        let released = cell.dispatcher.release(release, now);
        cell.poll(now);
        released
    }

    /// Forgets a waiting request whose caller left.
    pub fn cancel(&mut self, key: &ModelKey, request_id: RequestId) {
        if let Some(cell) = self.models.get_mut(key) {
            cell.dispatcher.cancel(request_id);
            cell.waiters.remove(&request_id);
        }
    }

    /// Answers requests whose time has come. Returns true if any still waits.
    pub fn poll(&mut self, now: MonotonicTime) -> bool {
        let mut waits = false;
        for cell in self.models.values_mut() {
            if cell.dispatcher.next_wakeup(now).is_some_and(|at| at <= now) {
                cell.poll(now);
            }
            waits |= cell.dispatcher.queue_len() > 0;
        }
        waits
    }

    /// True if a request waits for a load, so that reports are due at short intervals.
    pub fn waits_for_load(&self) -> bool {
        let mut models = self.models.values();
        models.any(|cell| cell.dispatcher.waits_for_load())
    }

    // ------------------------------------------------------------------------

    /// Demand reports that are due, at most one in flight per model.
    pub fn due_reports(&mut self, now: MonotonicTime) -> Vec<DemandRequest> {
        let due = self
            .models
            .values_mut()
            .filter(|cell| cell.is_report_due(now));
        due.map(|cell| cell.start_report(now)).collect()
    }

    /// Takes the pool's answer to a report in; `None`: there was none.
    pub fn finish_report(
        &mut self,
        key: &ModelKey,
        reply: Option<DemandReply>,
        in_force: &InForceState,
        now: MonotonicTime,
    ) {
        let Some(cell) = self.models.get_mut(key) else {
            return;
        };
        cell.report_in_flight = false;
        if let Some(DemandReply::Replicas { version, replicas }) = reply
            && version > cell.pool_version
        {
            cell.pool_version = version;
            cell.listed = replicas;
            cell.apply_list(in_force);
        }
        cell.poll(now);
    }

    /// Applies a new document and host list.
    pub fn apply_in_force(&mut self, in_force: &InForceState, now: MonotonicTime) {
        for (key, cell) in &mut self.models {
            cell.apply_list(in_force);
            cell.apply_document(key, in_force);
            cell.poll(now);
        }
    }

    // ------------------------------------------------------------------------

    /// State for the next owner.
    pub fn export(self, now: MonotonicTime) -> Vec<ModelState> {
        let models = self.models.into_iter().map(|(key, cell)| ModelState {
            key,
            pool_version: cell.pool_version,
            dispatcher: cell.dispatcher.export_state(now),
            listed: cell.listed,
        });
        models.collect()
    }

    /// Resumes from the state of the previous owner. The requests in it wait until their hosts ask again.
    pub fn import(states: Vec<ModelState>, incarnation: Incarnation, now: MonotonicTime) -> Self {
        let mut table = Self::new(incarnation);
        for ModelState {
            key,
            pool_version,
            listed,
            dispatcher,
        } in states
        {
            let applied = dispatcher.replicas.clone();
            let identity = table.identity(&key);
            let dispatcher = ModelDispatcher::from_state(
                identity,
                DispatcherSettings::default(),
                rand::random(),
                dispatcher,
                now,
            );
            let mut cell = DispatcherCell::new(dispatcher);
            cell.pool_version = pool_version;
            cell.listed = listed;
            cell.applied = applied;
            table.models.insert(key, cell);
        }
        table
    }

    fn cell(&mut self, key: ModelKey) -> &mut DispatcherCell {
        let identity = self.identity(&key);
        self.models.entry(key).or_insert_with(|| {
            let settings = DispatcherSettings::default();
            DispatcherCell::new(ModelDispatcher::new(identity, settings, rand::random()))
        })
    }

    fn identity(&self, key: &ModelKey) -> DispatcherIdentity {
        DispatcherIdentity {
            service: key.service.clone(),
            model: key.model.clone(),
            incarnation: self.incarnation,
        }
    }
}

impl DispatcherCell {
    fn new(dispatcher: ModelDispatcher) -> Self {
        Self {
            dispatcher,
            waiters: HashMap::new(),
            pool_version: 0,
            listed: Vec::new(),
            applied: Vec::new(),
            next_report: MonotonicTime::ZERO,
            report_in_flight: false,
        }
    }

    fn is_report_due(&self, now: MonotonicTime) -> bool {
        // The first report finds replicas that a former owner had loaded.
        let concerned = self.pool_version == 0
            || !self.listed.is_empty()
            || self.dispatcher.queue_len() > 0
            || self.dispatcher.in_flight() > 0;
        concerned && !self.report_in_flight && self.next_report <= now
    }

    fn start_report(&mut self, now: MonotonicTime) -> DemandRequest {
        let is_cold = self.dispatcher.waits_for_load();
        self.next_report = now
            + if is_cold {
                COLD_INTERVAL
            } else {
                WARM_INTERVAL
            };
        self.report_in_flight = true;
        DemandRequest {
            applied_version: self.pool_version,
            ..self.dispatcher.demand(now)
        }
    }

    /// Leaves out backend servers that the host list does not show as live. The host list is asked twice a second,
    /// so this holds also while the pool's owner is away.
    fn apply_list(&mut self, in_force: &InForceState) {
        let listed = self.listed.iter();
        let usable: Vec<ReplicaEntry> = listed
            .filter(|replica| in_force.is_live(&replica.server))
            .cloned()
            .collect();
        if usable != self.applied {
            let version = self.dispatcher.replica_version() + 1;
            self.dispatcher.apply_replicas(version, usable.clone());
            self.applied = usable;
        }
    }

    fn apply_document(&mut self, key: &ModelKey, in_force: &InForceState) {
        let Some(document) = in_force.document(&key.service) else {
            return;
        };
        if document.model(&key.model).is_none() {
            self.dispatcher.withdraw_model();
            return;
        }
        let accounts = document.document().accounts.iter();
        let weights = accounts.map(|account| (account.name.clone(), account.weight));
        self.dispatcher.set_weights(weights.collect());
        let adapters = document.document().adapters.iter();
        let adapters = adapters.filter(|adapter| adapter.base == key.model);
        let names: Vec<Name> = adapters
            .map(|adapter| adapter_id(&adapter.base, &adapter.name))
            .collect();
        self.dispatcher.retain_adapters(&names);
    }

    fn poll(&mut self, now: MonotonicTime) {
        let decisions = self.dispatcher.poll(now);
        for decision in decisions {
            let request_id = decision.request_id();
            let waiter = self.waiters.remove(&request_id);
            let ticket = match &decision {
                DispatchDecision::Granted { ticket, .. } => Some(ticket.ticket_id),
                DispatchDecision::Refused { .. } => None,
            };
            let delivered = waiter.is_some_and(|waiter| waiter.send(decision.into_reply()).is_ok());
            // Nobody got the ticket, so its slot is free.
            if let (false, Some(ticket_id)) = (delivered, ticket) {
                let release = ReleaseRequest {
                    service: Name::default(),
                    model: Name::default(),
                    ticket_id,
                    outcome: ReleaseOutcome::Cancelled,
                    tokens: 0,
                    first_token: None,
                };
                self.dispatcher.release(&release, now);
            }
        }
    }
}

/// Name of an adapter in messages and orders. Adapter names are unique only within their base model.
pub fn adapter_id(base: &str, adapter: &str) -> Name {
    format!("{base}:{adapter}").into()
}
