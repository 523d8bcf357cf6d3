//! Load generator.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use miette::IntoDiagnostic;
use serde::Serialize;
use zinniahinge_bench::LoadArguments;
use zinniahinge_bench::LoadCommand;
use zinniahinge_bench::load_arguments;
use zinniahinge_telemetry::parse_arguments;

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let command = parse_arguments(&load_arguments(), LoadArguments::check);
    match command {
        LoadCommand::Load { plan, json } => {
            let report = plan.run().await?;
            show(&report, json.as_deref())?;
            // A wrong answer is a failure of the system, whatever the load.
            if report.result("wrong") > 0 {
                return Ok(ExitCode::FAILURE);
            }
        }
        LoadCommand::Overhead { plan, json } => show(&plan.run().await?, json.as_deref())?,
        LoadCommand::Slopes { plan, json } => show(&plan.run().await?, json.as_deref())?,
    }
    Ok(ExitCode::SUCCESS)
}

fn show<T: Display + Serialize>(report: &T, json: Option<&Path>) -> miette::Result<()> {
    print!("{report}");
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(report).into_diagnostic()?;
        std::fs::write(path, text + "\n").into_diagnostic()?;
    }
    Ok(())
}
