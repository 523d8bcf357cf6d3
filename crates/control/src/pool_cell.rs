//! Pool of one service in its owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_document::CompiledDocument;
use zinniahinge_scheduling::AdapterSpec;
use zinniahinge_scheduling::LoadTimes;
use zinniahinge_scheduling::MemoryReservation;
use zinniahinge_scheduling::ModelSpec;
use zinniahinge_scheduling::PoolCatalog;
use zinniahinge_scheduling::PoolPlanner;
use zinniahinge_scheduling::PoolSettings;
use zinniahinge_scheduling::PoolState;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;

use crate::dispatch_table::adapter_id;

/// Longest time that replica lists are held back after a takeover, while backend servers are asked for their state.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// Most replicas of one model; the pool's memory is the real bound.
const MAX_REPLICAS: u32 = 16;

/// Pool on its way to the next owner.
#[derive(Serialize, Deserialize)]
pub struct PoolExport {
    /// Service.
    pub service: Name,
    /// Planner.
    pub planner: PoolState,
}

/// Pool of one service.
pub struct PoolCell {
    /// Decides loads and unloads.
    pub planner: PoolPlanner,
    /// Assignment revision under which the planner decides; orders carry it as fencing number.
    pub fence: Revision,
    /// Document that the planner's catalog comes from.
    document: Option<Arc<CompiledDocument>>,
    service: Name,
    /// False until the reservations of the former owner were read.
    pub is_ready: bool,
    /// True while the reservations are being read.
    pub is_reading: bool,
    /// Backend servers whose state was seen since this process got the pool.
    pub observed: BTreeSet<Name>,
    /// Backend servers whose state is being asked for.
    pub asking: BTreeSet<Name>,
    /// When each backend server is asked next.
    pub next_ask: BTreeMap<Name, MonotonicTime>,
    recovering: bool,
}

impl PoolCell {
    /// Pool after a takeover without state, or a new one.
    pub fn recover(
        service: Name,
        document: Arc<CompiledDocument>,
        fence: Revision,
        now: MonotonicTime,
    ) -> Self {
        let mut planner =
            PoolPlanner::new(service.clone(), settings(&document), fence, rand::random());
        planner.begin_recovery(now + RECOVERY_LIMIT);
        planner.set_catalog(catalog(&document));
        Self::new(service, planner, fence, Some(document), false)
    }

    /// Resumes from what the previous owner sent. Settings and catalog follow with the next document check.
    pub fn import(export: PoolExport, fence: Revision, now: MonotonicTime) -> Self {
        let PoolExport { service, planner } = export;
        let settings = PoolSettings::default();
        let planner = PoolPlanner::from_state(
            service.clone(),
            settings,
            fence,
            rand::random(),
            planner,
            now,
        );
        Self::new(service, planner, fence, None, true)
    }

    /// State for the next owner.
    pub fn export(self, now: MonotonicTime) -> PoolExport {
        PoolExport {
            planner: self.planner.export_state(now),
            service: self.service,
        }
    }

    fn new(
        service: Name,
        planner: PoolPlanner,
        fence: Revision,
        document: Option<Arc<CompiledDocument>>,
        is_ready: bool,
    ) -> Self {
        Self {
            planner,
            fence,
            document,
            service,
            is_ready,
            is_reading: false,
            observed: BTreeSet::new(),
            asking: BTreeSet::new(),
            next_ask: BTreeMap::new(),
            recovering: !is_ready,
        }
    }

    /// Applies a new document.
    pub fn apply_document(&mut self, document: &Arc<CompiledDocument>) {
        let is_known = self
            .document
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, document));
        if !is_known {
            self.planner.set_settings(settings(document));
            self.planner.set_catalog(catalog(document));
            self.document = Some(document.clone());
        }
    }

    /// Document that the catalog comes from.
    pub fn document(&self) -> Option<&Arc<CompiledDocument>> {
        self.document.as_ref()
    }

    /// Counts the former owner's unconfirmed orders as memory used.
    pub fn finish_reading(&mut self, reservations: Vec<MemoryReservation>, now: MonotonicTime) {
        self.planner.recover(reservations, now);
        self.is_ready = true;
        self.is_reading = false;
    }

    /// Ends the recovery once every listed backend server was seen.
    pub fn end_recovery_if_complete(&mut self, mut listed: impl Iterator<Item = Name>) {
        if self.recovering && self.is_ready && listed.all(|server| self.observed.contains(&server))
        {
            self.recovering = false;
            self.planner.finish_recovery();
        }
    }
}

fn settings(document: &CompiledDocument) -> PoolSettings {
    let mut settings = PoolSettings::default();
    if let Some(limits) = &document.document().weight_store {
        settings.loads_per_second = limits.loads_per_second;
        settings.load_limit = limits.at_once;
        settings.adapter_limit = limits.adapters_at_once;
    }
    settings
}

fn catalog(document: &CompiledDocument) -> PoolCatalog {
    let document = document.document();
    let models = document.models.iter().map(|model| {
        let times = &model.load_times;
        let spec = ModelSpec {
            bytes: model.memory.bytes(),
            slots: model.slots,
            load_times: LoadTimes {
                memory: times.memory,
                disk: times.disk,
                remote: times.remote,
            },
            max_replicas: MAX_REPLICAS,
        };
        (model.name.clone(), spec)
    });
    let adapters = document.adapters.iter().map(|adapter| {
        let spec = AdapterSpec {
            model: adapter.base.clone(),
            bytes: adapter.memory.bytes(),
        };
        (adapter_id(&adapter.base, &adapter.name), spec)
    });
    PoolCatalog {
        models: models.collect(),
        adapters: adapters.collect(),
    }
}
