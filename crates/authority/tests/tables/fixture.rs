//! Builders of host records and member tables for the table tests.

use zinniahinge_authority::*;
use zinniahinge_types::*;

pub fn ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

pub fn address(host: &str) -> HostAddress {
    HostAddress {
        control: format!("{host}:1").into(),
        place: format!("place-of-{host}").into(),
        region: "region".into(),
    }
}

pub fn record(host: &str, guardian: Option<&str>, state: HostState) -> HostRecord {
    let guardian = guardian.map(HostId::from);
    HostRecord {
        incarnation: 5,
        address: address(host),
        guardian,
        state,
        renewal: 1,
    }
}

pub fn entry(
    host: &str,
    revision: Revision,
    guardian: &str,
    state: HostState,
) -> (HostId, MemberEntry) {
    (
        host.into(),
        MemberEntry {
            revision,
            record: record(host, Some(guardian), state),
        },
    )
}

/// Builds a table that was loaded at store revision `revision`.
pub fn members(revision: Revision, list: Vec<(HostId, MemberEntry)>) -> MemberTable {
    let mut members = MemberTable::new();
    members.load(revision, list).expect("few hosts");
    members
}

pub fn local_status(host: &str) -> LocalHostStatus {
    LocalHostStatus {
        host: host.into(),
        incarnation: 5,
        has_authority: true,
        joined_at: Some(10),
        leaving: false,
    }
}
