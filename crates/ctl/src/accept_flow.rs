//! Acceptance of a document: a compare-and-swap on the reviewed revision.

use std::time::Duration;

use zinniahinge_document::DocumentRecord;
use zinniahinge_kv::CasOutcome;
use zinniahinge_kv::KvEntry;
use zinniahinge_kv::KvError;
use zinniahinge_types::Revision;

use crate::CtlError;
use crate::RecordStore;
use crate::Result;
use crate::StoredDocument;

/// Acceptance of one text.
pub struct AcceptFlow<'a> {
    /// Access to the record.
    pub store: &'a RecordStore,
    /// Service of the document.
    pub service: &'a str,
    /// What is written.
    pub record: DocumentRecord,
    /// Revision that was reviewed; 0 if the service has no document yet.
    pub reviewed: Revision,
    /// Tries before the command gives up.
    pub attempts: u32,
    /// Pause between tries.
    pub pause: Duration,
}

/// How an acceptance ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The document is in force.
    Accepted {
        /// Its revision.
        revision: Revision,
    },
    /// The same text was in force already; nothing was written.
    AlreadyInForce {
        /// Its revision.
        revision: Revision,
    },
    /// The document took effect and has been replaced since.
    Replaced {
        /// Revision at which it took effect.
        accepted: Revision,
        /// Revision in force.
        current: Revision,
    },
    /// Another acceptance came first.
    Conflict(AcceptConflict),
}

/// What is needed to show a conflict.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptConflict {
    /// The reviewed document; `None` if none was reviewed or the service keeps it no longer.
    pub base: Option<StoredDocument>,
    /// The document in force; `None` if it was removed.
    pub theirs: Option<StoredDocument>,
    /// True if an unanswered write may have taken effect before theirs.
    pub may_have_been_in_force: bool,
}

impl AcceptFlow<'_> {
    /// Default of [`AcceptFlow::attempts`].
    pub const ATTEMPTS: u32 = 5;

    /// Default of [`AcceptFlow::pause`].
    pub const PAUSE: Duration = Duration::from_millis(300);

    /// Runs the acceptance. A write whose answer is lost is resolved by reading the record back.
    ///
    /// Repeating the write is safe: it is bound to the reviewed revision, so that at most one of
    /// the tries takes effect.
    pub async fn run(&self) -> Result<AcceptOutcome> {
        let value = self
            .record
            .to_json()
            .map_err(|source| CtlError::BadRecord {
                service: self.service.to_owned(),
                revision: 0,
                source,
            })?;
        let mut is_sent = false;
        let mut base = None;
        let mut last_error = None;
        for attempt in 0..self.attempts {
            if attempt > 0 {
                tokio::time::sleep(self.pause).await;
            }
            let result = self.try_once(&value, &mut is_sent, &mut base).await;
            match result {
                Err(CtlError::Store(error)) if is_transient(&error) => last_error = Some(error),
                done => return done,
            }
        }
        Err(self.give_up(is_sent, last_error))
    }

    /// Reads the record, then writes if it still has the reviewed revision.
    async fn try_once(
        &self,
        value: &[u8],
        is_sent: &mut bool,
        base: &mut Option<StoredDocument>,
    ) -> Result<AcceptOutcome> {
        let current = (self.store.get)(self.key()).await?;
        if current.as_ref().map_or(0, |entry| entry.mod_revision) != self.reviewed {
            return self.resolve(current, base.take(), *is_sent).await;
        }
        // A record that is not understood can still be replaced; it just cannot be compared.
        *base = current
            .as_ref()
            .and_then(|entry| StoredDocument::from_entry(entry).ok());
        if let Some(same) = base.as_ref().filter(|base| base.text == self.record.text) {
            let revision = same.revision;
            return Ok(AcceptOutcome::AlreadyInForce { revision });
        }
        let value = value.to_vec().into();
        match (self.store.compare_and_swap)(self.key(), self.reviewed, value).await {
            Ok(CasOutcome::Swapped { revision }) => Ok(AcceptOutcome::Accepted { revision }),
            Ok(CasOutcome::Conflict { current }) => {
                self.resolve(current, base.take(), *is_sent).await
            }
            Err(error) => {
                *is_sent |= !error.had_no_effect();
                Err(error.into())
            }
        }
    }

    /// Decides what a record at another than the reviewed revision means.
    async fn resolve(
        &self,
        current: Option<KvEntry>,
        base: Option<StoredDocument>,
        is_sent: bool,
    ) -> Result<AcceptOutcome> {
        let theirs = current
            .as_ref()
            .map(StoredDocument::from_entry)
            .transpose()?;
        if let Some(found) = &theirs {
            let revision = found.revision;
            if found.acceptance_id == self.record.acceptance_id {
                return Ok(AcceptOutcome::Accepted { revision });
            }
            if found.text == self.record.text {
                return Ok(AcceptOutcome::AlreadyInForce { revision });
            }
        }
        let history = self.read_history(theirs.as_ref(), is_sent).await;
        let is_mine = |past: &&StoredDocument| past.acceptance_id == self.record.acceptance_id;
        if let Some(mine) = history.iter().find(is_mine) {
            return Ok(AcceptOutcome::Replaced {
                accepted: mine.revision,
                current: theirs.map_or(0, |theirs| theirs.revision),
            });
        }
        let is_base = |past: &StoredDocument| past.revision == self.reviewed;
        // The first value after the reviewed one shows whether the write won that race.
        let is_complete = history.iter().any(|past| past.revision > self.reviewed);
        let past_base = history.into_iter().find(is_base);
        Ok(AcceptOutcome::Conflict(AcceptConflict {
            base: base.or(past_base),
            theirs,
            may_have_been_in_force: is_sent && !is_complete,
        }))
    }

    /// Documents from the reviewed revision to the one in force; empty if the service has discarded
    /// them, which the conflict report then says.
    async fn read_history(
        &self,
        theirs: Option<&StoredDocument>,
        is_sent: bool,
    ) -> Vec<StoredDocument> {
        let is_useful = self.reviewed > 0 || is_sent;
        let later = theirs.filter(|theirs| theirs.revision > self.reviewed && is_useful);
        let Some(theirs) = later else {
            return Vec::new();
        };
        let revisions = self.reviewed.max(1)..=theirs.revision;
        let entries = (self.store.history)(self.key(), revisions).await;
        let entries = entries.unwrap_or_default();
        let documents = entries.iter().map(StoredDocument::from_entry);
        documents.filter_map(Result::ok).collect()
    }

    fn give_up(&self, is_sent: bool, last_error: Option<KvError>) -> CtlError {
        let source = last_error.unwrap_or(KvError::NotSent {
            reason: "no attempt is allowed".to_owned(),
        });
        match is_sent {
            false => CtlError::Store(source),
            true => CtlError::Unresolved {
                acceptance_id: self.record.acceptance_id.clone(),
                source,
            },
        }
    }

    fn key(&self) -> String {
        DocumentRecord::key(self.service)
    }
}

/// Whether the same call may succeed a little later.
fn is_transient(error: &KvError) -> bool {
    matches!(
        error,
        KvError::NotSent { .. } | KvError::OutcomeUnknown { .. }
    )
}
