//! Text of an acceptance's outcome.

use std::io::Write;

use zinniahinge_document::ServiceDocument;
use zinniahinge_document::diff;

use crate::AcceptConflict;
use crate::AcceptOutcome;
use crate::CtlError;
use crate::Result;
use crate::StoredDocument;

/// Prints the outcome; a conflict is printed with its differences and returned as a failure.
pub(crate) fn report_outcome(
    outcome: AcceptOutcome,
    mine: &ServiceDocument,
    out: &mut dyn Write,
) -> Result<()> {
    let service = &mine.service;
    match outcome {
        AcceptOutcome::Accepted { revision } => {
            writeln!(out, "{service}: accepted at revision {revision}")?;
        }
        AcceptOutcome::AlreadyInForce { revision } => {
            writeln!(out, "{service}: already in force at revision {revision}")?;
        }
        AcceptOutcome::Replaced { accepted, current } => {
            return Err(CtlError::Replaced { accepted, current });
        }
        AcceptOutcome::Conflict(conflict) => return report_conflict(&conflict, mine, out),
    }
    Ok(())
}

/// Prints how another document differs from `old`.
pub(crate) fn print_changes(
    old: &StoredDocument,
    new: &ServiceDocument,
    out: &mut dyn Write,
) -> Result<()> {
    match old.parse() {
        Ok(old) => write_changes(&old, new, out),
        Err(error) => write_uncomparable(old, error.faults.len(), out),
    }
}

// ----

fn report_conflict(
    conflict: &AcceptConflict,
    mine: &ServiceDocument,
    out: &mut dyn Write,
) -> Result<()> {
    let AcceptConflict {
        base,
        theirs,
        may_have_been_in_force,
    } = conflict;
    if let Some(theirs) = theirs {
        match base {
            Some(base) => print_both(base, theirs, mine, out)?,
            None => {
                writeln!(out, "the reviewed document is not known to the service")?;
                writeln!(out, "in force (revision {}) -> mine:", theirs.revision)?;
                print_changes(theirs, mine, out)?;
            }
        }
    }
    if *may_have_been_in_force {
        writeln!(
            out,
            "an unanswered write may have put mine in force for a while"
        )?;
    }
    Err(conflict_error(theirs.as_ref()))
}

fn print_both(
    base: &StoredDocument,
    theirs: &StoredDocument,
    mine: &ServiceDocument,
    out: &mut dyn Write,
) -> Result<()> {
    let (reviewed, current) = (base.revision, theirs.revision);
    writeln!(
        out,
        "reviewed (revision {reviewed}) -> theirs (revision {current}):"
    )?;
    match theirs.parse() {
        Ok(theirs) => print_changes(base, &theirs, out)?,
        Err(error) => write_uncomparable(theirs, error.faults.len(), out)?,
    }
    writeln!(out, "reviewed (revision {reviewed}) -> mine:")?;
    print_changes(base, mine, out)
}

fn conflict_error(theirs: Option<&StoredDocument>) -> CtlError {
    let (reason, advice) = match theirs {
        Some(StoredDocument { revision, .. }) => (
            format!("revision {revision} is in force, which was not reviewed"),
            format!("review it, then accept with --reviewed {revision}"),
        ),
        None => (
            "the service has no document any more".to_owned(),
            "accept without --reviewed to make it the first one".to_owned(),
        ),
    };
    CtlError::Conflict { reason, advice }
}

fn write_changes(old: &ServiceDocument, new: &ServiceDocument, out: &mut dyn Write) -> Result<()> {
    let changes = diff(old, new);
    if changes.is_empty() {
        writeln!(out, "  no field differs")?;
    }
    for change in changes {
        writeln!(out, "  {change}")?;
    }
    Ok(())
}

fn write_uncomparable(document: &StoredDocument, faults: usize, out: &mut dyn Write) -> Result<()> {
    let revision = document.revision;
    writeln!(
        out,
        "  revision {revision} has {faults} faults by this version's check"
    )?;
    Ok(())
}
