use zinniahinge_types::Name;

use crate::HeldModel;

/// State of an engine, some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Start of the reporting run, milliseconds since the Unix epoch; 0 if it is not stated.
    pub born_ms: u64,
    /// Number of orders accepted since the start.
    pub sequence: u64,
    /// True while an order for a model is being carried out.
    pub is_busy: bool,
    /// Loaded models with their adapters.
    pub held: Vec<HeldModel>,
    /// Adapters that are being loaded, as model and adapter.
    pub pending: Vec<(Name, Name)>,
    /// Models with weights cached in main memory.
    pub memory_copies: Vec<Name>,
    /// Models with weights cached on disk.
    pub disk_copies: Vec<Name>,
}
