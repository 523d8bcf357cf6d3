use zinniahinge_types::Incarnation;
use zinniahinge_types::Name;

/// The model that a dispatcher serves, and the process run in which it does so.
#[derive(Clone, Debug)]
pub struct DispatcherIdentity {
    /// Service whose configuration defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Number of the process run; it makes ticket ids unique over takeovers.
    pub incarnation: Incarnation,
}
