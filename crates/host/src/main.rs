//! `zinniahinge-host`: forwards callers' requests to backend servers; one host at a time coordinates the fleet.

use std::io;

use miette::IntoDiagnostic;
use zinniahinge_host::host_process;
use zinniahinge_host::host_settings::HostArguments;
use zinniahinge_host::host_settings::host_arguments;
use zinniahinge_telemetry::parse_arguments;

fn main() -> miette::Result<()> {
    let settings = parse_arguments(&host_arguments(), HostArguments::check);
    let (logger, _guard) = settings.log.logger_to("host", io::stdout());
    let startup = host_process::read_startup_settings(&settings, &logger)?;
    // One thread for each core: a host usually has a fraction of a core, where more threads only cost memory.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(startup.cores)
        .enable_all()
        .build();
    let runtime = runtime.into_diagnostic()?;
    runtime.block_on(host_process::run(settings, startup, logger))?;
    Ok(())
}
