use smallvec::SmallVec;
use zinniahinge_types::Name;

/// What became of the sends of one request so far.
#[derive(Debug, Default)]
pub(crate) struct TryLog {
    /// Backend servers that may have run it.
    may_have_run: SmallVec<[Name; 2]>,
    /// Backend servers that it was sent to.
    sent_to: SmallVec<[Name; 2]>,
    /// Backend servers that can't take it now.
    avoided: SmallVec<[Name; 2]>,
    last_unreached: Option<Name>,
    /// Backend server that has just said that it doesn't have the model.
    pub(crate) absent_at: Option<Name>,
    /// Backend server that could not be reached, until the coordinating host is told.
    pub(crate) unreached: Option<Name>,
    /// Sends that reached a backend server.
    pub(crate) arrivals: u32,
}

impl TryLog {
    /// Notes a send; true if the request was sent to the same server before.
    pub(crate) fn note_sent(&mut self, backend: &Name) -> bool {
        if self.sent_to.contains(backend) {
            return true;
        }
        self.sent_to.push(backend.clone());
        false
    }

    pub(crate) fn note_ran(&mut self, backend: &Name) {
        if !self.may_have_run.contains(backend) {
            self.may_have_run.push(backend.clone());
        }
        self.avoid(backend);
    }

    pub(crate) fn avoid(&mut self, backend: &Name) {
        if !self.avoided.contains(backend) {
            self.avoided.push(backend.clone());
        }
    }

    /// Forgets which servers were avoided; all of them have been tried.
    pub(crate) fn forget_avoided(&mut self) {
        self.avoided.clear();
    }

    pub(crate) fn is_avoided(&self, backend: &Name) -> bool {
        self.avoided.contains(backend)
    }

    /// Notes a server that could not be reached.
    pub(crate) fn note_unreached(&mut self, backend: &Name) {
        self.unreached = Some(backend.clone());
        self.last_unreached = Some(backend.clone());
        self.avoid(backend);
    }

    pub(crate) fn is_unreached(&self, backend: &Name) -> bool {
        self.last_unreached.as_ref() == Some(backend)
    }

    pub(crate) fn ran_count(&self) -> u32 {
        self.may_have_run.len() as u32
    }

    pub(crate) fn has_maybe_run(&self) -> bool {
        !self.may_have_run.is_empty()
    }
}
