//! What a control process starts a shard with.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use zinniahinge_authority::AcquiredShard;
use zinniahinge_authority::AuthoritySettings;
use zinniahinge_control::member_core::HostIdentity;
use zinniahinge_control::member_core::MemberCell;
use zinniahinge_control::shard_table::ShardTable;
use zinniahinge_telemetry::BootClock;
use zinniahinge_types::HostAddress;
use zinniahinge_types::HostRecord;
use zinniahinge_types::HostState;
use zinniahinge_types::Revision;
use zinniahinge_types::ShardOwner;

const HOST: &str = "host-1";
const INCARNATION: u64 = 7;

fn owner(host: &str, incarnation: u64) -> ShardOwner {
    ShardOwner {
        host: host.into(),
        incarnation,
    }
}

/// A member that has authority and owns all shards by the assignment at `revision`.
fn member(revision: Revision) -> Arc<MemberCell> {
    let address = HostAddress {
        control: "127.0.0.1:1".into(),
        place: "place-1".into(),
        region: "region-1".into(),
    };
    let identity = HostIdentity {
        host: HOST.into(),
        address: address.clone(),
        settings: AuthoritySettings::default().with_term(Duration::from_secs(60)),
    };
    let member = MemberCell::new(identity, INCARNATION, BootClock::default());
    member.update(|core, now| {
        core.members.load(1, []).expect("an empty list fits");
        core.authority.record_observed(1, None, now);
        core.authority.tick(now, &core.members);
        let record = HostRecord {
            incarnation: INCARNATION,
            address,
            guardian: None,
            state: HostState::Live,
            renewal: 1,
        };
        core.authority.record_observed(2, Some(record), now);
        let owners = vec![Some(owner(HOST, INCARNATION)); 64];
        let assignment = zinniahinge_types::Assignment { owners };
        core.planner.assignment_observed(revision, assignment);
        core.planner.take_acquired();
    });
    Arc::new(member)
}

struct GainCase {
    name: &'static str,
    previous: Option<ShardOwner>,
    claimed: bool,
    starts_empty: bool,
}

/// Guards against a bucket that is full again, and idempotency keys that are forgotten, after a handover whose former
/// owner this process never saw in an assignment.
#[gtest]
fn only_a_claimed_shard_without_owner_is_new() {
    let cases = [
        GainCase {
            name: "nobody owned it",
            previous: None,
            claimed: true,
            starts_empty: false,
        },
        GainCase {
            name: "former owner is dead",
            previous: Some(owner("host-2", 3)),
            claimed: true,
            starts_empty: true,
        },
        GainCase {
            name: "handed over, state lost",
            previous: Some(owner("host-2", 3)),
            claimed: false,
            starts_empty: true,
        },
        GainCase {
            name: "handed over by an owner that was never seen",
            previous: None,
            claimed: false,
            starts_empty: true,
        },
    ];
    for GainCase {
        name,
        previous,
        claimed,
        starts_empty,
    } in cases
    {
        let table = ShardTable::new(member(10));
        let gain = AcquiredShard {
            shard: 5,
            revision: 10,
            previous,
            claimed,
        };
        table.acquire(&gain, None, BootClock::default().now());
        let seen = table.with_shard(5, |state, _owner| {
            (state.accounts.starts_empty(), state.idempotency.is_none())
        });
        expect_that!(seen, some(eq((starts_empty, starts_empty))), "{name}");
    }
}
