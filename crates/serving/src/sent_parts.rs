use std::collections::HashMap;

/// Parts remembered per server. An engine keeps about 230,000 tokens, which is some dozens of shared parts.
const MAX_PARTS: usize = 256;

/// Shared prompt parts that a backend server has read, the longest unused forgotten first.
#[derive(Debug, Default)]
pub struct SentParts {
    uses: HashMap<u64, u64>,
    clock: u64,
}

impl SentParts {
    /// True if the part was sent to the server.
    pub fn contains(&self, part: u64) -> bool {
        self.uses.contains_key(&part)
    }

    /// Notes that a part was sent.
    pub fn insert(&mut self, part: u64) {
        self.clock += 1;
        self.uses.insert(part, self.clock);
        if self.uses.len() > MAX_PARTS {
            // Half at once, so that the sort is rare.
            let mut clocks: Vec<u64> = self.uses.values().copied().collect();
            clocks.sort_unstable();
            let limit = clocks[clocks.len() / 2];
            self.uses.retain(|_, clock| *clock > limit);
        }
    }
}
