//! Result of a compare-and-swap, as the caller reports it.

use zinniahinge_types::Revision;

/// Result of a compare-and-swap at the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect at this revision.
    Written {
        /// Revision of the record after the write.
        revision: Revision,
    },
    /// The record was not at the expected revision; nothing was written.
    Conflict,
    /// No usable answer came. The write may have taken effect or may still take effect.
    Unknown,
}
