//! Parsed document.

use zinniahinge_types::Name;

use crate::AdapterEntry;
use crate::ClientAccount;
use crate::ModelEntry;
use crate::Result;
use crate::ServiceRoute;
use crate::WeightStoreLimits;

/// Largest record of a document, bytes. The key-value service holds values up to 1 MB, and the record
/// is the text as a JSON string, in which line ends and quotation marks take two bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Document of one service, free of faults.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceDocument {
    /// Name of the service; the record is `documents/<service>`.
    pub service: Name,
    /// Kind of the backend servers.
    pub kind: ServiceKind,
    /// Group of backend servers in the host list.
    pub group: Name,
    /// Whether the group's engines refuse orders that carry an old fencing number.
    pub fencing: bool,
    /// Limits of the weight store; `Some` exactly for [`ServiceKind::Models`].
    pub weight_store: Option<WeightStoreLimits>,
    /// Base models.
    pub models: Vec<ModelEntry>,
    /// Adapters.
    pub adapters: Vec<AdapterEntry>,
    /// Routes.
    pub routes: Vec<ServiceRoute>,
    /// Client accounts.
    pub accounts: Vec<ClientAccount>,
}

impl ServiceDocument {
    /// Reads and checks a document. Every fault is reported.
    pub fn parse(text: &str) -> Result<Self> {
        crate::check(text, "document")
    }
}

/// Kind of the backend servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServiceKind {
    /// Model engines.
    #[default]
    Models,
    /// Plain HTTP service.
    Plain,
}
