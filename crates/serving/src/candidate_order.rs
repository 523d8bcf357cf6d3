use std::cmp::Reverse;

use zinniahinge_types::HostId;
use zinniahinge_types::HostPower;

/// Order in which hosts try to get the duty to coordinate, and in which they stand in for a holder that doesn't answer.
///
/// The strongest come first: the duty takes more of a processor and a link than the weakest hosts have. Among equally
/// strong ones the order goes on after the `last` holder, so that one that is cut off does not delay every change.
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
