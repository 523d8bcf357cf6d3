use std::cmp::Reverse;

use zinniahinge_types::HostId;
use zinniahinge_types::HostPower;

/// Returns the order in which hosts try to become coordinator, and in which they stand in for a coordinator that
/// doesn't answer.
///
/// The most powerful hosts come first, because coordination needs more CPU time and bandwidth than the weakest hosts
/// have. Among the most powerful ones the order starts after `last`, the latest coordinator, so that an unreachable
/// host does not delay every election.
pub fn candidate_order(
    hosts: impl IntoIterator<Item = (HostId, HostPower)>,
    last: Option<&str>,
) -> Vec<HostId> {
    let mut hosts: Vec<(Reverse<HostPower>, HostId)> = hosts
        .into_iter()
        .map(|(host, power)| (Reverse(power), host))
        .collect();
    hosts.sort();
    let best = hosts.first().map(|(power, _)| *power);
    let strongest = hosts.partition_point(|(power, _)| Some(*power) == best);
    let last = last.and_then(|last| {
        hosts[..strongest]
            .iter()
            .position(|(_, host)| **host == *last)
    });
    if let Some(last) = last {
        hosts[..strongest].rotate_left(last + 1);
    }
    hosts.into_iter().map(|(_, host)| host).collect()
}
