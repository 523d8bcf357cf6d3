use zinniahinge_types::DispatchTicket;
use zinniahinge_types::HostId;
use zinniahinge_types::MonotonicTime;
use zinniahinge_types::Name;
use zinniahinge_types::PriorityClass;
use zinniahinge_types::RequestId;

/// A granted ticket that has been neither released nor expired.
#[derive(Clone, Debug)]
pub(crate) struct TicketRecord {
    pub(crate) ticket: DispatchTicket,
    pub(crate) request_id: RequestId,
    pub(crate) host: HostId,
    pub(crate) account: Name,
    pub(crate) class: PriorityClass,
    pub(crate) tokens: u64,
    pub(crate) granted: MonotonicTime,
    pub(crate) deadline: MonotonicTime,
}
