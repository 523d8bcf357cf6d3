use std::collections::HashMap;
use std::sync::Arc;

use zinniahinge_types::Name;

use crate::AccountTable;
use crate::CallerLimits;
use crate::RouteTable;
use crate::ServiceSpec;

/// One version of the configuration that operators write.
#[derive(Clone, Debug, Default)]
pub struct ServingConfig {
    /// Version; grows with each change, not always by one.
    pub version: u64,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Services by name.
    pub services: HashMap<Name, Arc<ServiceSpec>>,
    /// Client accounts and their keys.
    pub accounts: AccountTable,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}
