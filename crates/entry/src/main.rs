//! `zinniahinge-entry`: takes requests from callers.

use miette::IntoDiagnostic;
use zinniahinge_entry::entry_process;
use zinniahinge_entry::entry_settings::EntryArguments;
use zinniahinge_entry::entry_settings::entry_arguments;
use zinniahinge_telemetry::parse_arguments;

fn main() -> miette::Result<()> {
    let settings = parse_arguments(&entry_arguments(), EntryArguments::check);
    let (logger, _guard) = settings.common.log.logger("entry");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.into_diagnostic()?;
    runtime.block_on(entry_process::run(settings, logger))?;
    Ok(())
}
