use zinniahinge_types::Name;

use crate::EngineSpec;

/// A service that requests go to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: Name,
    /// Connections that one backend server takes from all callers together.
    pub max_connections: u32,
    /// Model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
