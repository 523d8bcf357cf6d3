use std::collections::HashMap;

/// Largest number of parts remembered per server. An engine caches about 230,000 tokens, which is some dozens of shared
/// parts.
const MAX_PARTS: usize = 256;

/// Shared prompt parts that were sent to a backend server and are probably in its prefix cache. The least recently used
/// ones are dropped first.
#[derive(Debug, Default)]
pub struct SentParts {
    /// Value of `clock` at the last use, by part.
    uses: HashMap<u64, u64>,
    clock: u64,
}

impl SentParts {
    /// True if the part was sent to the server and not dropped since.
    pub fn contains(&self, part: u64) -> bool {
        self.uses.contains_key(&part)
    }

    /// Records that the part was sent, or sent again.
    pub fn insert(&mut self, part: u64) {
        self.clock += 1;
        self.uses.insert(part, self.clock);
        if self.uses.len() > MAX_PARTS {
            // Drops half of the parts at once, so that the sort is rare.
            let mut clocks: Vec<u64> = self.uses.values().copied().collect();
            clocks.sort_unstable();
            let limit = clocks[clocks.len() / 2];
            self.uses.retain(|_, clock| *clock > limit);
        }
    }
}
