use std::time::Duration;

use zinniahinge_types::MonotonicTime;
use zinniahinge_types::StoreEra;

/// Decides what a host may conclude from its first listing of a store that returned from a copy.
///
/// Load pattern: all hosts list the store within a second while operators and backend servers still write again what the copy
/// lacks. Nothing that is only absent from the copy may stop service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraChange {
    /// Era of the last listing.
    pub from: StoreEra,
    /// Era of the new listing.
    pub to: StoreEra,
    /// When the new listing was applied.
    pub at: MonotonicTime,
}

impl EraChange {
    /// The change between the known state's era, `None` before the first listing, and a listing applied at `at`. `None` if
    /// the listing is of the same era, or nothing was known that could be missing from it.
    pub fn find(known: Option<StoreEra>, listed: StoreEra, at: MonotonicTime) -> Option<Self> {
        let from = known.filter(|known| *known < listed)?;
        Some(Self {
            from,
            to: listed,
            at,
        })
    }

    /// Earliest sending time of a reading that proves that no key was revoked since. Earlier ones may lack a revocation
    /// that the operators have yet to write again, which they do within `return_time`.
    pub fn proof_from(&self, return_time: Duration) -> MonotonicTime {
        self.at + return_time
    }
}
