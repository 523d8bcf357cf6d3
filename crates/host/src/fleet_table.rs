use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::LazyLock;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_serving::AccountTable;
use zinniahinge_serving::BackendEntry;
use zinniahinge_serving::BackendLoad;
use zinniahinge_serving::BackendPhase;
use zinniahinge_serving::ServingConfig;
use zinniahinge_types::HostId;
use zinniahinge_types::Name;

/// Host that coordinates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DutyHolder {
    /// Host.
    pub(crate) host: HostId,
    /// Where it takes messages of other hosts.
    pub(crate) address: SocketAddr,
    /// Fencing number: the revision at which it got the duty.
    pub(crate) fence: u64,
}

/// Record of the last term; it stays when the duty ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TermRecord {
    /// Host that coordinated last.
    pub(crate) host: HostId,
    /// True once it may have given orders: those of the holder before it are old then.
    pub(crate) is_settled: bool,
}

impl TermRecord {
    /// True if a new holder must wait until the orders of another host are old.
    pub(crate) fn makes_wait(&self, host: &str) -> bool {
        *self.host != *host || !self.is_settled
    }
}

/// Record of the host that coordinates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DutyRecord {
    /// Host.
    pub(crate) host: HostId,
    /// Where it takes messages of other hosts.
    pub(crate) address: SocketAddr,
    /// Drawn for each try to get the duty, so that a lost answer can be told from another host's success.
    pub(crate) nonce: u64,
}

/// A backend server as requests see it.
#[derive(Clone, Debug)]
pub(crate) struct BackendSlot {
    pub(crate) entry: Arc<BackendEntry>,
    pub(crate) load: Arc<BackendLoad>,
    /// False if the store doesn't list it at the moment.
    pub(crate) is_listed: bool,
    /// Models and their adapters that requests can use.
    pub(crate) models: Arc<HashMap<Name, Vec<Name>>>,
}

impl BackendSlot {
    pub(crate) fn is_accepting(&self) -> bool {
        self.entry.phase == BackendPhase::Ready
    }

    /// True if it has the model and the adapter.
    pub(crate) fn has(&self, model: &str, adapter: Option<&str>) -> bool {
        let adapters = self.models.get(model);
        adapters.is_some_and(|adapters| {
            adapter.is_none_or(|adapter| adapters.iter().any(|name| &**name == adapter))
        })
    }
}

/// Everything that requests look at, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetTable {
    /// Configuration in force; `None` until one is known.
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// Backend servers by service.
    pub(crate) services: HashMap<Name, Vec<BackendSlot>>,
    /// Host that coordinates.
    pub(crate) holder: Option<DutyHolder>,
}

/// Accounts of a fleet without a configuration.
static NO_ACCOUNTS: LazyLock<AccountTable> = LazyLock::new(AccountTable::default);

impl FleetTable {
    /// Client accounts of the configuration in force.
    pub(crate) fn accounts(&self) -> &AccountTable {
        let config = self.config.as_ref();
        config.map_or(&NO_ACCOUNTS, |config| &config.accounts)
    }

    /// Backend servers of a service.
    pub(crate) fn backends(&self, service: &str) -> &[BackendSlot] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// A backend server by id.
    pub(crate) fn backend(&self, service: &str, id: &str) -> Option<&BackendSlot> {
        self.backends(service)
            .iter()
            .find(|slot| *slot.entry.id == *id)
    }
}
