//! Preferred owner of each shard among the live hosts.

use std::time::Duration;

use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SHARD_COUNT;
use zinniahinge_types::ShardId;

use crate::MemberTable;
use crate::preferred_host;

/// Caches the preferred owner of every shard until the set of live hosts changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreferredOwners {
    live: Vec<HostId>,
    owners: Vec<HostId>,
    changed_at: MonotonicTime,
}

impl PreferredOwners {
    /// Recomputes the owners if the live hosts of `members` differ from the last call.
    pub(crate) fn update(&mut self, members: &MemberTable, now: MonotonicTime) {
        if self.live.iter().eq(members.live().map(|(host, _)| host)) {
            return;
        }
        self.live = members.live().map(|(host, _)| host.clone()).collect();
        self.owners = (0..SHARD_COUNT)
            .filter_map(|shard| preferred_host(&format!("shard/{shard}"), &self.live).cloned())
            .collect();
        self.changed_at = now;
    }

    /// Returns the preferred owner of `shard`; `None` if no host is live.
    pub(crate) fn owner(&self, shard: ShardId) -> Option<&HostId> {
        self.owners.get(usize::from(shard))
    }

    /// Returns the time since the set of live hosts last changed.
    pub(crate) fn unchanged_for(&self, now: MonotonicTime) -> Duration {
        now.since(self.changed_at)
    }
}
