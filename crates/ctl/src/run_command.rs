//! Runs one command.

use std::io::Read;
use std::io::Write;

use zinniahinge_kv::KvClient;

use crate::CtlCommand;
use crate::KeyCommand;
use crate::RecordStore;
use crate::Result;
use crate::StoreFlags;
use crate::document_commands::accept_file;
use crate::document_commands::check_files;
use crate::document_commands::diff_file;
use crate::document_commands::list_documents;
use crate::document_commands::show_document;
use crate::key_commands::print_digest;
use crate::key_commands::print_new_key;

/// Runs `command` on the given streams.
pub async fn run_command(
    command: CtlCommand,
    input: &mut dyn Read,
    out: &mut dyn Write,
    errors: &mut dyn Write,
) -> Result<()> {
    match command {
        CtlCommand::Check { files } => check_files(&files, out, errors),
        CtlCommand::Diff {
            store_flags,
            service,
            file,
        } => diff_file(&open_store(&store_flags)?, &service, &file, out).await,
        CtlCommand::Accept {
            store_flags,
            reviewed,
            file,
        } => accept_file(&open_store(&store_flags)?, reviewed, &file, out).await,
        CtlCommand::Show {
            store_flags,
            revision,
            service,
        } => show_document(&open_store(&store_flags)?, &service, revision, out, errors).await,
        CtlCommand::List { store_flags } => list_documents(&open_store(&store_flags)?, out).await,
        CtlCommand::Keys { key_command } => match key_command {
            KeyCommand::New { account } => print_new_key(account.as_deref(), out),
            KeyCommand::Digest => print_digest(input, out),
        },
    }
}

fn open_store(store_flags: &StoreFlags) -> Result<RecordStore> {
    let client = KvClient::new(store_flags.to_settings()?)?;
    Ok(RecordStore::from_client(client))
}
