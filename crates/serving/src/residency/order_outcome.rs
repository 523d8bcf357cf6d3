/// Outcome of an order to an engine. The variant names are values of a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine is carrying it out.
    Accepted,
    /// The ordered state was already in place.
    AlreadyHolds,
    /// Another order is under way, or the engine has accepted orders that this host doesn't know of.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another server, or another run of this one, listens at the address.
    OtherServer,
    /// The engine doesn't support the order, or doesn't know the model or the adapter.
    Invalid,
    /// No byte of it was written, so it can't be carried out.
    NotSent,
    /// It was sent but not answered, so it may be carried out now, later or never.
    Unknown,
}
