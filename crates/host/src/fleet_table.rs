use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::LazyLock;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_serving::AccountTable;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::BackendPhase;
use zinniahinge_serving::EvacuatedPlaces;
use zinniahinge_serving::PacedServer;
use zinniahinge_serving::PriorTerm;
use zinniahinge_serving::SendBar;
use zinniahinge_serving::ServingConfig;
use zinniahinge_serving::is_paced;
use zinniahinge_types::BackendRun;
use zinniahinge_types::BlockedParts;
use zinniahinge_types::ColdNotice;
use zinniahinge_types::HostId;
use zinniahinge_types::LimitNotice;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PaceNotice;
use zinniahinge_types::Revision;
use zinniahinge_types::StoreEra;
use zinniahinge_types::StorePosition;

/// The coordinator: the host that holds the coordinator lease, from its record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseHolder {
    /// Name of the host.
    pub(crate) host: HostId,
    /// Address on which it accepts messages of other hosts.
    pub(crate) address: SocketAddr,
    /// Fencing number of its term, from the era and the revision at which it acquired the lease.
    pub(crate) fence: u64,
    /// Revision of its record, on which a new claim is conditional.
    pub(crate) revision: Revision,
}

/// Stored record of the last term; unlike the lease record, it stays when the lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TermRecord {
    /// Host that acquired the lease last.
    pub(crate) host: HostId,
    /// True once the host may have sent orders in this term; all orders of earlier coordinators are old by then.
    pub(crate) is_settled: bool,
    /// Era of the store in which the lease was acquired.
    #[serde(default, skip_serializing_if = "StoreEra::is_first")]
    pub(crate) era: StoreEra,
    /// True until the term is settled if its predecessor's lease may have been lost with a copy of the store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) is_after_loss: bool,
}

impl TermRecord {
    /// The term as the next claim by `host` sees it.
    pub(crate) fn to_prior(&self, host: &str) -> PriorTerm {
        PriorTerm {
            era: self.era,
            is_own: *self.host == *host,
            is_settled: self.is_settled,
            is_after_loss: self.is_after_loss,
        }
    }
}

/// Stored record of the coordinator lease; the store removes it when the lease expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRecord {
    /// Host that holds the lease.
    pub(crate) host: HostId,
    /// Address on which it accepts messages of other hosts.
    pub(crate) address: SocketAddr,
    /// Random number of this claim. If the answer to the claim is lost, it tells whose claim succeeded.
    pub(crate) nonce: u64,
    /// Era of the store for which the lease was granted.
    #[serde(default, skip_serializing_if = "StoreEra::is_first")]
    pub(crate) era: StoreEra,
}

impl LeaseRecord {
    /// The holder that the record names, written at `revision`.
    pub(crate) fn into_holder(self, revision: Revision) -> LeaseHolder {
        let position = StorePosition {
            era: self.era,
            revision,
        };
        LeaseHolder {
            host: self.host,
            address: self.address,
            fence: position.fence(),
            revision,
        }
    }
}

/// A backend server with the state that requests use to choose it.
#[derive(Clone, Debug)]
pub(crate) struct BackendSlot {
    pub(crate) entry: Arc<BackendEntry>,
    pub(crate) load: Arc<BackendLoad>,
    /// False while the store doesn't list it, for example after an outage of the store.
    pub(crate) is_listed: bool,
    /// Models that requests can use there, each with its loaded adapters.
    pub(crate) models: Arc<HashMap<Name, Vec<Name>>>,
    /// Evacuated places, the same for all servers of a table.
    pub(crate) evacuated: Arc<EvacuatedPlaces>,
}

impl BackendSlot {
    /// Why no request may be sent to it now; `None` if one may.
    pub(crate) fn bar(&self, now: MonotonicTime) -> Option<SendBar> {
        SendBar::find(&self.entry, &self.load, &self.evacuated, now)
    }

    /// Names its run.
    pub(crate) fn run(&self) -> BackendRun {
        self.entry.run()
    }

    /// True if it says that it leaves while the store lists it as ready.
    pub(crate) fn leaves_unlisted(&self) -> bool {
        self.load.is_leaving() && self.entry.phase == BackendPhase::Ready
    }

    /// True if it holds the model and, if one is given, the adapter.
    pub(crate) fn has(&self, model: &str, adapter: Option<&str>) -> bool {
        let adapters = self.models.get(model);
        adapters.is_some_and(|adapters| {
            adapter.is_none_or(|adapter| adapters.iter().any(|name| &**name == adapter))
        })
    }
}

/// Immutable snapshot that requests read without a lock; each change replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetTable {
    /// Configuration in force; `None` until one was read.
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// Backend servers by service.
    pub(crate) services: HashMap<Name, Vec<BackendSlot>>,
    /// Current coordinator; `None` while no host holds the lease.
    pub(crate) holder: Option<LeaseHolder>,
    /// Prompt parts whose requests are refused.
    pub(crate) blocked: Arc<BlockedParts>,
    /// When this host learned of them.
    pub(crate) blocked_at: MonotonicTime,
    /// Places whose servers get no requests.
    pub(crate) evacuated: Arc<EvacuatedPlaces>,
}

/// Empty table for the time before the first configuration.
static NO_ACCOUNTS: LazyLock<AccountTable> = LazyLock::new(AccountTable::default);

impl FleetTable {
    /// Returns the client accounts of the configuration in force; empty before the first one.
    pub(crate) fn accounts(&self) -> &AccountTable {
        let config = self.config.as_ref();
        config.map_or(&NO_ACCOUNTS, |config| &config.accounts)
    }

    /// Returns the backend servers of a service; empty for an unknown service.
    pub(crate) fn backends(&self, service: &str) -> &[BackendSlot] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Runs of backend servers that say that they leave while the store lists them as ready.
    pub(crate) fn leaving_unlisted(&self) -> Vec<BackendRun> {
        let slots = self.services.values().flatten();
        let leaving = slots.filter(|slot| slot.leaves_unlisted());
        leaving.map(BackendSlot::run).collect()
    }

    /// What backend servers that have ever named a limit last said about it, at most `max_age` ago.
    pub(crate) fn limit_notices(&self, max_age: Duration, now: MonotonicTime) -> Vec<LimitNotice> {
        let slots = self.services.values().flatten();
        let notices = slots.filter_map(|slot| {
            let statement = slot.load.limit_statement()?;
            let age = now.since(statement.at);
            (age <= max_age).then(|| LimitNotice {
                run: slot.run(),
                limit_per_s: statement.limit_per_s,
                age,
            })
        });
        notices.collect()
    }

    /// Learned time factors of runs.
    pub(crate) fn learned_factors(&self) -> Vec<(BackendRun, f64)> {
        let slots = self.services.values().flatten();
        let learned = slots.filter_map(|slot| Some((slot.run(), slot.load.work_time().learned()?)));
        learned.collect()
    }

    /// Learned time factors of a service's backend servers.
    pub(crate) fn time_factors(&self, service: &str) -> HashMap<Name, f64> {
        let slots = self.backends(service).iter();
        let learned = slots.filter_map(|slot| {
            let factor = slot.load.work_time().learned()?;
            Some((slot.entry.id.clone(), factor))
        });
        learned.collect()
    }

    /// Backend servers that are cold, each with the time that `cold_left` returns for its load.
    pub(crate) fn cold_notices(
        &self,
        cold_left: impl Fn(&BackendLoad) -> Option<Duration>,
    ) -> Vec<ColdNotice> {
        let slots = self.services.values().flatten();
        let notices = slots.filter_map(|slot| {
            Some(ColdNotice {
                left: cold_left(&slot.load)?,
                run: slot.run(),
            })
        });
        notices.collect()
    }

    /// Backend servers that have a pace, as the coordinator last said.
    pub(crate) fn pace_notices(&self) -> Vec<PaceNotice> {
        let slots = self.services.values().flatten();
        let notices = slots.filter_map(|slot| {
            Some(PaceNotice {
                per_s: slot.load.pace()?,
                run: slot.run(),
            })
        });
        notices.collect()
    }

    /// Sets the paces of all backend servers; those that `paces` doesn't name have none.
    pub(crate) fn set_paces(&self, paces: &[PaceNotice]) {
        let paces = paces.iter().map(|notice| (&notice.run, notice.per_s));
        let paces: HashMap<&BackendRun, f64> = paces.collect();
        for slot in self.services.values().flatten() {
            slot.load.set_pace(paces.get(&slot.run()).copied());
        }
    }

    /// Backend servers of services that have paces.
    pub(crate) fn paced_servers(&self, now: MonotonicTime) -> Vec<PacedServer> {
        let services = self
            .config
            .iter()
            .flat_map(|config| config.services.values());
        let services = services.filter(|service| {
            let mut slots = self.backends(&service.name).iter();
            let states_work_time = slots.any(|slot| slot.load.states_work_time());
            is_paced(service, states_work_time)
        });
        let slots = services.flat_map(|service| self.backends(&service.name));
        slots
            .map(|slot| {
                let bound = slot.load.bound_rate(now);
                let is_out = matches!(
                    slot.bar(now),
                    Some(SendBar::Draining | SendBar::Leaving | SendBar::Evacuated)
                );
                PacedServer {
                    run: slot.run(),
                    service: slot.entry.service.clone(),
                    slots: slot.entry.slots,
                    bound: bound.map(|rate| rate.per_s),
                    is_suspect: slot.load.is_suspect(),
                    takes_requests: !is_out,
                }
            })
            .collect()
    }

    /// Number of backend servers for whose load `is_counted` returns true.
    pub(crate) fn count_loads(&self, is_counted: impl Fn(&BackendLoad) -> bool) -> usize {
        let slots = self.services.values().flatten();
        let counted = slots.filter(|slot| is_counted(&slot.load));
        counted.count()
    }

    /// Finds a backend server of a service by its id.
    pub(crate) fn backend(&self, service: &str, id: &str) -> Option<&BackendSlot> {
        self.backends(service)
            .iter()
            .find(|slot| *slot.entry.id == *id)
    }
}
