use zinniahinge_types::Incarnation;
use zinniahinge_types::Name;

/// What a dispatcher decides for, and in which process.
#[derive(Clone, Debug)]
pub struct DispatcherIdentity {
    /// Service whose document defines the model.
    pub service: Name,
    /// Base model.
    pub model: Name,
    /// Run of the process; it makes ticket ids unique over takeovers.
    pub incarnation: Incarnation,
}
