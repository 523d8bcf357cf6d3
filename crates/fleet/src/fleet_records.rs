use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use zinniahinge_kv::KvClient;
use zinniahinge_kv::KvSettings;
use zinniahinge_types::Assignment;
use zinniahinge_types::HostRecord;
use zinniahinge_types::ResourceKey;
use zinniahinge_types::Revision;

use crate::Fleet;
use crate::FleetError;
use crate::fleet_error::Result;

const ASSIGNMENT_KEY: &str = "/zinniahinge/assignment";
const HOSTS_PREFIX: &str = "/zinniahinge/hosts/";
const DOCUMENTS_PREFIX: &str = "/zinniahinge/documents/";

/// Reads the records of a fleet at its key-value service.
#[derive(Clone)]
pub struct FleetRecords {
    client: KvClient,
}

impl FleetRecords {
    /// Reads at the key-value service of `fleet`.
    pub fn new(fleet: &Fleet) -> Result<Self> {
        let address = fleet.spec("kv")?.address;
        let client = KvClient::new(KvSettings::new(vec![address])).map_err(failed("client"))?;
        Ok(Self { client })
    }

    /// The assignment; empty if there is none.
    pub async fn assignment(&self) -> Result<Assignment> {
        let record = self.read(ASSIGNMENT_KEY).await?;
        Ok(record.unwrap_or_default())
    }

    /// Host that owns a resource.
    pub async fn owner(&self, key: &ResourceKey) -> Result<String> {
        let assignment = self.assignment().await?;
        let owner = assignment.owner(key.shard());
        Ok(owner
            .map(|owner| owner.host.to_string())
            .unwrap_or_default())
    }

    /// Number of shards by owner.
    pub async fn shard_counts(&self) -> Result<BTreeMap<String, usize>> {
        let mut counts = BTreeMap::new();
        for owner in self.assignment().await?.owners.iter().flatten() {
            *counts.entry(owner.host.to_string()).or_default() += 1;
        }
        Ok(counts)
    }

    /// Record of a host.
    pub async fn host(&self, host: &str) -> Result<Option<HostRecord>> {
        self.read(&format!("{HOSTS_PREFIX}{host}")).await
    }

    /// Revision of the accepted document of a service, 0 if there is none.
    pub async fn document_revision(&self, service: &str) -> Result<Revision> {
        let key = format!("{DOCUMENTS_PREFIX}{service}");
        let entry = self.client.get(&key).await.map_err(failed(&key))?;
        Ok(entry.map_or(0, |entry| entry.mod_revision))
    }

    async fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>> {
        let entry = self.client.get(key).await.map_err(failed(key))?;
        let Some(entry) = entry else { return Ok(None) };
        let record = serde_json::from_slice(&entry.value).map_err(failed(key))?;
        Ok(Some(record))
    }
}

fn failed<E: ToString>(what: &str) -> impl FnOnce(E) -> FleetError {
    move |error| FleetError::Command {
        what: format!("reading {what}"),
        output: error.to_string(),
    }
}
