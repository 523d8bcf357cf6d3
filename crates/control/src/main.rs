//! `zinniahinge-control`: decides for the shards that it owns.

use miette::IntoDiagnostic;
use zinniahinge_control::control_process;
use zinniahinge_control::control_settings::ControlArguments;
use zinniahinge_control::control_settings::control_arguments;
use zinniahinge_telemetry::parse_arguments;

fn main() -> miette::Result<()> {
    let settings = parse_arguments(&control_arguments(), ControlArguments::check);
    let (logger, _guard) = settings.common.log.logger("control");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.into_diagnostic()?;
    runtime.block_on(control_process::run(settings, logger))?;
    Ok(())
}
