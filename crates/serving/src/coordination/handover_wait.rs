use zinniahinge_types::StoreEra;

/// How long a new coordinator waits until orders of earlier ones are old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverWait {
    /// Not at all: no other host can have sent orders.
    None,
    /// The predecessor's lease had run out before the term began.
    LeaseExpired,
    /// The predecessor's lease may have been lost with a copy of the store just after a renewal.
    LeaseLost,
}

/// What the store's record tells about the last term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorTerm {
    /// Era in which the term was claimed.
    pub era: StoreEra,
    /// True if the claiming host held it.
    pub is_own: bool,
    /// True once its host may have sent orders.
    pub is_settled: bool,
    /// True if it began as [`HandoverWait::LeaseLost`] requires, or followed such a term that never settled.
    pub is_after_loss: bool,
}

impl HandoverWait {
    /// Decides for a claim in `era`. `prior` is the last term, `None` if no record of one is known; `has_era_risen` is true
    /// if there may have been an earlier era, in which other hosts claimed terms that left no record.
    ///
    /// Load pattern: the store returns from a copy without the coordinator's lease while its last renewal was just answered.
    pub fn find(prior: Option<PriorTerm>, era: StoreEra, has_era_risen: bool) -> Self {
        match prior {
            Some(prior) if prior.era != era => Self::LeaseLost,
            Some(prior) if prior.is_after_loss && !prior.is_settled => Self::LeaseLost,
            Some(prior) if prior.is_own && prior.is_settled => Self::None,
            Some(_) => Self::LeaseExpired,
            None if has_era_risen => Self::LeaseLost,
            None => Self::None,
        }
    }
}
