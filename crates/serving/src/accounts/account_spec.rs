use smallvec::SmallVec;
use zinniahinge_types::Name;

/// Unit in which a client account's rate is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one unit.
    Requests,
    /// Each request counts its prompt tokens plus its largest possible number of output tokens.
    Tokens {
        /// Tokens charged for a request that states none.
        unstated: u64,
    },
}

/// Definition of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountSpec {
    /// Name of the account, which is passed to backend servers.
    pub name: Name,
    /// Priority that replaces the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Unit of `rate_per_s` and `burst`.
    pub unit: QuotaUnit,
    /// Units a second over all hosts together; 0 for no limit.
    pub rate_per_s: u64,
    /// Units that may be used at once after a period without use.
    pub burst: u64,
    /// Regions in which the account's requests may run; empty for all.
    pub homes: SmallVec<[Name; 2]>,
}

impl AccountSpec {
    /// Returns the units that a request is charged. `tokens` is the count that the request states, if any.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { unstated } => tokens.unwrap_or(unstated),
        }
    }
}
