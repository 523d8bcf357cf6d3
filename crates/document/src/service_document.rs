//! Parsed and validated service document.

use zinniahinge_types::Name;

use crate::AdapterEntry;
use crate::ClientAccount;
use crate::ModelEntry;
use crate::Result;
use crate::ServiceRoute;
use crate::WeightStoreLimits;

/// Maximum size of a document's record in the key-value service, which stores values up to 1 MB.
/// The record holds the text as a JSON string, so line ends and quotation marks take two bytes each.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Configuration of one service; every value has passed validation.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDocument {
    /// Name of the service. It is part of the record's key, `documents/<service>`.
    pub service: Name,
    /// What the service's backend servers run.
    pub kind: ServiceKind,
    /// Name of the service's group of backend servers in the host list.
    pub group: Name,
    /// True if all engines of the group refuse orders with an outdated fencing number. False for
    /// [`ServiceKind::Plain`].
    pub fencing: bool,
    /// Limits of the weight store; `Some` for [`ServiceKind::Models`] and `None` for
    /// [`ServiceKind::Plain`].
    pub weight_store: Option<WeightStoreLimits>,
    /// Base models; empty for [`ServiceKind::Plain`].
    pub models: Vec<ModelEntry>,
    /// Adapters of the base models.
    pub adapters: Vec<AdapterEntry>,
    /// Routes in the order of the document. Their order doesn't affect routing.
    pub routes: Vec<ServiceRoute>,
    /// Client accounts with access to the service.
    pub accounts: Vec<ClientAccount>,
}

impl ServiceDocument {
    /// Parses and validates a document. The error lists every fault and names the text `document`;
    /// [`check`](fn@crate::check) takes another name.
    pub fn parse(text: &str) -> Result<Self> {
        crate::check(text, "document")
    }
}

/// What the backend servers of a service run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServiceKind {
    /// Model engines, which load models and adapters on demand.
    #[default]
    Models,
    /// A plain HTTP service, without models.
    Plain,
}
