//! Choice of the host that watches another host as its guardian.

use std::collections::BTreeMap;

use zinniahinge_types::HostAddress;
use zinniahinge_types::HostId;

use crate::MemberTable;
use crate::rendezvous_order::score;

/// Cycles of up to this many hosts are avoided. If all hosts of a cycle fail at once, no host is
/// left that may declare them dead; four hosts on different places do not share one data centre or
/// rack.
const SHORT_CYCLE_HOSTS: usize = 4;

/// Returns the best guardian for `host`; `None` if no other host is live.
///
/// In this order, it prefers a host in the same region, on another place, that closes no short
/// guardian cycle and that watches few hosts.
pub fn choose_guardian(
    host: &HostId,
    address: &HostAddress,
    excluded: Option<&HostId>,
    members: &MemberTable,
) -> Option<HostId> {
    let mut watched_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, entry) in members.live().filter(|(member, _)| *member != host) {
        if let Some(guardian) = &entry.record.guardian {
            *watched_counts.entry(guardian).or_default() += 1;
        }
    }
    members
        .live()
        .filter(|(candidate, _)| *candidate != host && Some(*candidate) != excluded)
        .min_by_key(|(candidate, entry)| {
            let place = &entry.record.address;
            (
                place.region != address.region,
                place.place == address.place,
                closes_short_cycle(host, candidate, members),
                watched_counts.get(&***candidate).copied().unwrap_or(0),
                u64::MAX - score(host, candidate),
            )
        })
        .map(|(candidate, _)| candidate.clone())
}

fn closes_short_cycle(host: &HostId, candidate: &HostId, members: &MemberTable) -> bool {
    let mut current = candidate.clone();
    for _ in 1..SHORT_CYCLE_HOSTS {
        let Some(next) = members
            .get(&current)
            .and_then(|entry| entry.record.guardian.clone())
        else {
            return false;
        };
        if next == *host {
            return true;
        }
        current = next;
    }
    false
}
