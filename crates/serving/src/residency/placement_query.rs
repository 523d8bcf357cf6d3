use std::time::Duration;

use zinniahinge_types::Name;

use crate::PlaceScope;

/// Asks where a request for a model, or an adapter of it, can be sent.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Base model.
    pub model: &'a Name,
    /// Adapter; `None` for the base model alone.
    pub adapter: Option<&'a Name>,
    /// Priority of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Server that has just answered that it doesn't have the model or the adapter.
    pub refused_by: Option<&'a Name>,
    /// Data centres in which the request may run.
    pub scope: PlaceScope<'a>,
}
