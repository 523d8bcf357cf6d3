//! Preferred owner of each shard.

use std::time::Duration;

use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::SHARD_COUNT;
use zinniahinge_types::ShardId;

use crate::MemberTable;
use crate::preferred_host;

/// Preferred owners of all shards, recomputed when the set of live hosts changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreferredOwners {
    live: Vec<HostId>,
    owners: Vec<HostId>,
    since: MonotonicTime,
}

impl PreferredOwners {
    /// Follows the live hosts of `members`.
    pub(crate) fn update(&mut self, members: &MemberTable, now: MonotonicTime) {
        if self.live.iter().eq(members.live().map(|(host, _)| host)) {
            return;
        }
        self.live = members.live().map(|(host, _)| host.clone()).collect();
        self.owners = (0..SHARD_COUNT)
            .filter_map(|shard| preferred_host(&format!("shard/{shard}"), &self.live).cloned())
            .collect();
        self.since = now;
    }

    /// Preferred owner of `shard`; `None` if no host is live.
    pub(crate) fn owner(&self, shard: ShardId) -> Option<&HostId> {
        self.owners.get(usize::from(shard))
    }

    /// Time since the live hosts last changed.
    pub(crate) fn settled_for(&self, now: MonotonicTime) -> Duration {
        now.since(self.since)
    }
}
