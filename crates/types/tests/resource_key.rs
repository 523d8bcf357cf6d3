//! Checks the mapping from resource keys to shards. Processes of different builds must agree on it; otherwise two of
//! them would own the same state.

use googletest::prelude::*;
use zinniahinge_types::ResourceKey;
use zinniahinge_types::SHARD_COUNT;

struct ShardCase {
    key: ResourceKey,
    text: &'static str,
}

fn cases() -> Vec<ShardCase> {
    vec![
        ShardCase {
            key: ResourceKey::Account {
                service: "s".into(),
                account: "a".into(),
            },
            text: "account/s/a",
        },
        ShardCase {
            key: ResourceKey::Model {
                service: "s".into(),
                model: "m".into(),
            },
            text: "model/s/m",
        },
        ShardCase {
            key: ResourceKey::Pool {
                service: "s".into(),
            },
            text: "pool/s",
        },
        ShardCase {
            key: ResourceKey::Idempotency {
                account: "a".into(),
                key: "k".into(),
            },
            text: "idempotency/a/k",
        },
    ]
}

#[gtest]
fn text_form_is_stable_and_shard_is_in_range() {
    for case in cases() {
        expect_that!(case.key.to_string(), eq(case.text));
        expect_that!(case.key.shard(), lt(SHARD_COUNT));
    }
}

#[gtest]
fn shards_are_spread_over_many_accounts() {
    let mut counts = vec![0_u32; usize::from(SHARD_COUNT)];
    for index in 0..6400 {
        let key = ResourceKey::Account {
            service: "s".into(),
            account: index.to_string().into(),
        };
        counts[usize::from(key.shard())] += 1;
    }
    expect_that!(counts, each(all![gt(&50), lt(&160)]));
}
