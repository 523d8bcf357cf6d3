use zinniahinge_types::Name;

/// What a client account's rate counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and the largest answer.
    Tokens {
        /// Tokens of a request that states none.
        unstated: u64,
    },
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountSpec {
    /// Name, which backend servers are told.
    pub name: Name,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What the rate counts.
    pub unit: QuotaUnit,
    /// Units a second over all hosts together; 0 for no limit.
    pub rate_per_s: u64,
    /// Units that may be used at once.
    pub burst: u64,
}

impl AccountSpec {
    /// Units that a request with `tokens` counts.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { unstated } => tokens.unwrap_or(unstated),
        }
    }
}
