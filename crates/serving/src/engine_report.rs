use zinniahinge_types::Name;

use crate::HeldModel;

/// State of an engine as of some hundred milliseconds ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Start of the run that reports, milliseconds since the Unix epoch; 0 if it isn't stated.
    pub born_ms: u64,
    /// Orders accepted since the start.
    pub sequence: u64,
    /// True while an order for a model is carried out.
    pub is_busy: bool,
    /// Models and their adapters.
    pub held: Vec<HeldModel>,
    /// Adapters on their way, as model and adapter.
    pub pending: Vec<(Name, Name)>,
    /// Models with a copy in main memory.
    pub memory_copies: Vec<Name>,
    /// Models with a copy on disk.
    pub disk_copies: Vec<Name>,
}
