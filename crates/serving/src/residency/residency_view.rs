use zinniahinge_types::Name;

/// A model that requests can use on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyModel {
    /// Name of the model.
    pub model: Name,
    /// Adapters of the model that requests can use.
    pub adapters: Vec<Name>,
}

/// Models that requests can use on one backend server, as hosts are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResidencyView {
    /// Id of the server.
    pub backend: Name,
    /// Start of the server's run, milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Grows with each change of the models; never repeats over all servers of a planner.
    pub version: u64,
    /// Models that requests can use.
    pub models: Vec<ReadyModel>,
}
