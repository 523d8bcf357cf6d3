use zinniahinge_types::Name;

use crate::ColdStart;
use crate::EngineSpec;

/// Definition of a service that requests are sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Name,
    /// Number of connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// How backend servers start; `None` if they are fast at once.
    pub cold_start: Option<ColdStart>,
    /// Model engines of the service; `None` for a service without models.
    pub engine: Option<EngineSpec>,
}
