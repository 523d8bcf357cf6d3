use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

use crate::Revision;

/// Distance between the fencing numbers of one revision in two eras. Fencing numbers rise as long as fewer changes are lost at
/// once, and stay exact as JSON numbers (2^53) for 8 million eras.
const FENCES_PER_ERA: u64 = 1 << 30;

/// Counts how often the platform's store has returned from a copy. Revisions compare only within one era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// A revision of the platform's store, ordered by era first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    /// Era in which the store gave the revision out.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: Revision,
}

impl StoreEra {
    /// True for the era of a store that never returned from a copy, or that doesn't state its era.
    pub fn is_first(&self) -> bool {
        self.0 == 0
    }
}

impl Display for StoreEra {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

impl StorePosition {
    /// Fencing number of a term claimed at this position. In era 0, it is the revision.
    pub fn fence(&self) -> u64 {
        let base = self.era.0.saturating_mul(FENCES_PER_ERA);
        base.saturating_add(self.revision)
    }
}
