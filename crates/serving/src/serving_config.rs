use std::collections::HashMap;
use std::sync::Arc;

use zinniahinge_types::Name;

use crate::AccountTable;
use crate::CallerLimits;
use crate::RouteTable;
use crate::ServiceSpec;

/// Everything that operators decided, as of one version.
#[derive(Clone, Debug, Default)]
pub struct ServingConfig {
    /// Version; grows with each change, not always by one.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<Name, Arc<ServiceSpec>>,
    /// Client accounts and keys.
    pub accounts: AccountTable,
    /// Bounds on callers.
    pub limits: CallerLimits,
}
