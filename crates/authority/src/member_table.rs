//! Records of all hosts, as last observed at the key-value service.

use std::collections::BTreeMap;

use zinniahinge_types::HostId;
use zinniahinge_types::HostRecord;
use zinniahinge_types::HostState;
use zinniahinge_types::Incarnation;
use zinniahinge_types::Revision;

use crate::AuthorityError;
use crate::Result;

/// Host record with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// Revision at which the record was written.
    pub revision: Revision,
    /// Content of the record.
    pub record: HostRecord,
}

/// Holds all records under `hosts/`, filled by one list and then by one watch in revision order.
///
/// The order matters: a host that is missing or dead in the table was so at every revision up to
/// [`revision`](Self::revision), and a guardian relies on that when it takes hosts over.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<HostId, MemberEntry>,
    revision: Revision,
    loaded: bool,
}

impl MemberTable {
    /// Limits the number of hosts, and so the memory, at ten times the planned fleet.
    pub const MAX_HOSTS: usize = 4096;

    /// Creates a table that nothing was loaded into.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the content by a complete list that was read at store revision `revision`. A list
    /// that is older than the table changes nothing.
    ///
    /// # Errors
    /// Returns [`AuthorityError::TableFull`] if the list has more than
    /// [`MAX_HOSTS`](Self::MAX_HOSTS) hosts; the table is unchanged then.
    pub fn load(
        &mut self,
        revision: Revision,
        list: impl IntoIterator<Item = (HostId, MemberEntry)>,
    ) -> Result<()> {
        if self.loaded && revision < self.revision {
            return Ok(());
        }
        let entries: BTreeMap<_, _> = list.into_iter().take(Self::MAX_HOSTS + 1).collect();
        if entries.len() > Self::MAX_HOSTS {
            return Err(AuthorityError::TableFull {
                limit: Self::MAX_HOSTS,
            });
        }
        *self = Self {
            entries,
            revision,
            loaded: true,
        };
        Ok(())
    }

    /// Applies one change; `None` is a deletion. A change older than the host's entry changes
    /// nothing.
    ///
    /// # Errors
    /// Returns [`AuthorityError::TableFull`] if a new host does not fit.
    pub fn observe(
        &mut self,
        host: HostId,
        revision: Revision,
        record: Option<HostRecord>,
    ) -> Result<()> {
        if self
            .get(&host)
            .is_some_and(|entry| entry.revision >= revision)
        {
            return Ok(());
        }
        match record {
            Some(_) if self.is_full_for(&host) => {
                return Err(AuthorityError::TableFull {
                    limit: Self::MAX_HOSTS,
                });
            }
            Some(record) => {
                self.entries.insert(host, MemberEntry { revision, record });
            }
            None => {
                self.entries.remove(&host);
            }
        }
        self.revision = self.revision.max(revision);
        Ok(())
    }

    /// Records that the table is complete up to `revision`, after a progress notification of the
    /// watch.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns whether a complete list was loaded.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the store revision up to which the table is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the entry of `host` in any state, tombstones included.
    pub fn get(&self, host: &str) -> Option<&MemberEntry> {
        self.entries.get(host)
    }

    /// Iterates over all entries in the order of host ids.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &MemberEntry)> {
        self.entries.iter()
    }

    /// Iterates over the hosts in state `live`, which are those that may take shards.
    pub fn live(&self) -> impl Iterator<Item = (&HostId, &MemberEntry)> {
        self.iter()
            .filter(|(_, entry)| entry.record.state == HostState::Live)
    }

    /// Returns whether `incarnation` of `host` may take shards.
    pub fn is_live(&self, host: &str, incarnation: Incarnation) -> bool {
        self.get(host).is_some_and(|entry| {
            entry.record.incarnation == incarnation && entry.record.state == HostState::Live
        })
    }

    /// Returns whether `host` is known to be dead or deleted; false before the table is loaded.
    pub fn is_dead(&self, host: &str) -> bool {
        match self.get(host) {
            Some(entry) => entry.record.state == HostState::Dead,
            None => self.loaded,
        }
    }

    /// Returns whether `incarnation` of `host` is known never to act again.
    ///
    /// `named_at` is the revision of the record that names it. A missing host counts as gone only
    /// if the table is as new as that.
    pub fn is_gone(&self, host: &str, incarnation: Incarnation, named_at: Revision) -> bool {
        match self.get(host) {
            Some(MemberEntry { record, .. }) if record.incarnation == incarnation => {
                record.state == HostState::Dead
            }
            Some(MemberEntry { record, .. }) => record.incarnation > incarnation,
            None => self.loaded && self.revision >= named_at,
        }
    }

    fn is_full_for(&self, host: &str) -> bool {
        self.entries.len() >= Self::MAX_HOSTS && !self.entries.contains_key(host)
    }
}
