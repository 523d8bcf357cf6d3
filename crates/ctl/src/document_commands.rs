//! Commands about documents.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use zinniahinge_document::DocumentRecord;
use zinniahinge_document::ServiceDocument;
use zinniahinge_document::ServiceKind;
use zinniahinge_document::check;
use zinniahinge_types::Revision;

use crate::AcceptFlow;
use crate::CtlError;
use crate::RecordStore;
use crate::Result;
use crate::StoredDocument;
use crate::accept_report::print_changes;
use crate::accept_report::report_outcome;

/// Text of a file and what it says.
struct DocumentFile {
    text: String,
    document: ServiceDocument,
}

/// Checks every file; faults go to `errors`, the rest to `out`.
pub(crate) fn check_files(
    files: &[PathBuf],
    out: &mut dyn Write,
    errors: &mut dyn Write,
) -> Result<()> {
    let mut count = 0;
    for path in files {
        match read_file(path) {
            Ok(file) => writeln!(out, "{}: {}", path.display(), summary(&file.document))?,
            Err(error) => {
                count += 1;
                writeln!(errors, "{:?}", miette::Report::new(error))?;
            }
        }
    }
    match count {
        0 => Ok(()),
        _ => Err(CtlError::Documents { count }),
    }
}

/// Prints how a file differs from the document in force.
pub(crate) async fn diff_file(
    store: &RecordStore,
    service: &str,
    path: &Path,
    out: &mut dyn Write,
) -> Result<()> {
    let DocumentFile { document, .. } = read_file(path)?;
    if *document.service != *service {
        let found = document.service;
        let service = service.to_owned();
        return Err(CtlError::OtherService { service, found });
    }
    let stored = read_stored(store, service).await?;
    let name = path.display();
    writeln!(out, "in force (revision {}) -> {name}:", stored.revision)?;
    print_changes(&stored, &document, out)
}

/// Puts a file in force.
pub(crate) async fn accept_file(
    store: &RecordStore,
    reviewed: Option<Revision>,
    path: &Path,
    out: &mut dyn Write,
) -> Result<()> {
    let DocumentFile { text, document } = read_file(path)?;
    let flow = AcceptFlow {
        store,
        service: &document.service,
        record: DocumentRecord::new(&text),
        reviewed: reviewed.unwrap_or_default(),
        attempts: AcceptFlow::ATTEMPTS,
        pause: AcceptFlow::PAUSE,
    };
    let outcome = flow.run().await?;
    report_outcome(outcome, &document, out)
}

/// Prints the document in force, or its revision.
pub(crate) async fn show_document(
    store: &RecordStore,
    service: &str,
    is_revision_only: bool,
    out: &mut dyn Write,
    errors: &mut dyn Write,
) -> Result<()> {
    let stored = read_stored(store, service).await?;
    if is_revision_only {
        writeln!(out, "{}", stored.revision)?;
        return Ok(());
    }
    let StoredDocument {
        revision,
        acceptance_id,
        text,
        ..
    } = stored;
    writeln!(
        errors,
        "{service}: revision {revision}, acceptance id {acceptance_id}"
    )?;
    out.write_all(text.as_bytes())?;
    Ok(())
}

/// Lists the documents in force.
pub(crate) async fn list_documents(store: &RecordStore, out: &mut dyn Write) -> Result<()> {
    for entry in (store.list)(DocumentRecord::PREFIX.to_owned()).await? {
        let service = DocumentRecord::service_of(&entry.key).unwrap_or(&entry.key);
        let content = match StoredDocument::from_entry(&entry) {
            Err(_) => "record is not understood".to_owned(),
            Ok(stored) => match stored.parse() {
                Ok(document) => summary(&document),
                Err(error) => format!("{} faults by this version's check", error.faults.len()),
            },
        };
        writeln!(out, "{service}: revision {}, {content}", entry.mod_revision)?;
    }
    Ok(())
}

// ----

fn read_file(path: &Path) -> Result<DocumentFile> {
    let file_error = |source| CtlError::File {
        path: path.to_owned(),
        source,
    };
    let text = fs::read_to_string(path).map_err(file_error)?;
    let document = check(&text, &path.display().to_string())?;
    Ok(DocumentFile { text, document })
}

async fn read_stored(store: &RecordStore, service: &str) -> Result<StoredDocument> {
    let stored = StoredDocument::read(store, service).await?;
    stored.ok_or_else(|| CtlError::NoDocument {
        service: service.to_owned(),
    })
}

fn summary(document: &ServiceDocument) -> String {
    let ServiceDocument {
        service,
        kind,
        models,
        adapters,
        routes,
        accounts,
        ..
    } = document;
    let shared = format!("{} routes, {} accounts", routes.len(), accounts.len());
    match kind {
        ServiceKind::Plain => format!("plain service {service}, {shared}"),
        ServiceKind::Models => {
            let (models, adapters) = (models.len(), adapters.len());
            format!("model service {service}, {models} models, {adapters} adapters, {shared}")
        }
    }
}
