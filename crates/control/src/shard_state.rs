//! Everything that one shard owns.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use zinniahinge_limits::IdempotencySettings;
use zinniahinge_limits::IdempotencyState;
use zinniahinge_limits::IdempotencyTable;
use zinniahinge_types::Incarnation;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::Revision;
use zinniahinge_types::ShardId;

use crate::account_table::AccountState;
use crate::account_table::AccountTable;
use crate::dispatch_table::DispatchTable;
use crate::dispatch_table::ModelState;
use crate::pool_cell::PoolCell;
use crate::pool_cell::PoolExport;

/// State of one shard in its owner.
pub struct ShardState {
    /// Shard.
    pub shard: ShardId,
    /// Assignment revision at which this process got the shard.
    pub acquired_at: Revision,
    /// Token buckets.
    pub accounts: AccountTable,
    /// Model dispatchers.
    pub models: DispatchTable,
    /// Pools by service.
    pub pools: BTreeMap<Name, PoolCell>,
    /// Idempotency records; `None` until the records of the former owner were read.
    pub idempotency: Option<IdempotencyTable>,
    /// Former owner, if it did not hand the shard over.
    pub recovered_from: Option<Name>,
}

/// State of one shard on its way to the next owner, MessagePack.
#[derive(Serialize, Deserialize)]
struct ShardExport {
    accounts: Vec<AccountState>,
    starts_empty: bool,
    models: Vec<ModelState>,
    pools: Vec<PoolExport>,
    idempotency: Option<IdempotencyState>,
}

impl ShardState {
    /// State of a shard that nobody handed over. `former` is the owner that lost it; without one the shard is new.
    pub fn recover(
        shard: ShardId,
        acquired_at: Revision,
        incarnation: Incarnation,
        former: Option<Name>,
    ) -> Self {
        let idempotency = former
            .is_none()
            .then(|| IdempotencyTable::new(IdempotencySettings::default()));
        Self {
            shard,
            acquired_at,
            accounts: AccountTable::new(former.is_some()),
            models: DispatchTable::new(incarnation),
            pools: BTreeMap::new(),
            idempotency,
            recovered_from: former,
        }
    }

    /// Resumes from what the previous owner sent; `None` if it is not understood.
    pub fn import(
        shard: ShardId,
        acquired_at: Revision,
        incarnation: Incarnation,
        state: &[u8],
        now: MonotonicTime,
    ) -> Option<Self> {
        let ShardExport {
            accounts,
            starts_empty,
            models,
            pools,
            idempotency,
        } = rmp_serde::from_slice(state).ok()?;
        let pools = pools.into_iter().map(|pool| {
            (
                pool.service.clone(),
                PoolCell::import(pool, acquired_at, now),
            )
        });
        Some(Self {
            shard,
            acquired_at,
            accounts: AccountTable::import(accounts, starts_empty, now),
            models: DispatchTable::import(models, incarnation, now),
            pools: pools.collect(),
            idempotency: idempotency
                .map(|state| IdempotencyTable::import(IdempotencySettings::default(), state, now)),
            recovered_from: None,
        })
    }

    /// State for the next owner. Waiting messages are answered "not owner" and asked again there.
    pub fn export(self, now: MonotonicTime) -> Option<Vec<u8>> {
        let Self {
            shard: _,
            acquired_at: _,
            accounts,
            models,
            pools,
            idempotency,
            recovered_from: _,
        } = self;
        // Records that are still being read back cannot be handed over; the shard stays until they are.
        let idempotency = idempotency?;
        let mut idempotency = idempotency;
        let export = ShardExport {
            starts_empty: accounts.starts_empty(),
            accounts: accounts.export(now),
            models: models.export(now),
            pools: pools.into_values().map(|pool| pool.export(now)).collect(),
            idempotency: Some(idempotency.export(now)),
        };
        rmp_serde::to_vec_named(&export).ok()
    }
}
