use zinniahinge_types::Name;

/// A model that requests can use on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyModel {
    /// Model.
    pub model: Name,
    /// Adapters that are ready.
    pub adapters: Vec<Name>,
}

/// Models that requests can use on one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResidencyView {
    /// Server.
    pub backend: Name,
    /// Start of its run, milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Changes with each change of the models.
    pub version: u64,
    /// Models.
    pub models: Vec<ReadyModel>,
}
