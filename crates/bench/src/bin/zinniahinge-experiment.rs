//! Runs an experiment file with real processes and stand-ins.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use zinniahinge_bench::ExperimentFile;
use zinniahinge_bench::ExperimentReport;
use zinniahinge_bench::SeedFigures;
use zinniahinge_bench::plot_first_tokens;

/// Exit code for a bad experiment file.
const EXIT_BAD_FILE: u8 = 2;

/// Runs an experiment: prints a table and writes NAME.json and NAME.svg.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Flags {
    /// Folder for the output files
    #[bpaf(argument("DIR"), fallback(PathBuf::from(".")))]
    output: PathBuf,
    /// Only check the file
    check: bool,
    /// Experiment file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let Flags {
        output,
        check,
        file,
    } = flags().run();
    let text = std::fs::read_to_string(&file).into_diagnostic()?;
    let file = match ExperimentFile::parse(&text) {
        Ok(file) => file,
        Err(report) => {
            for fault in report.faults {
                eprintln!("{}: {}", fault.setting, fault.problem);
            }
            return Ok(ExitCode::from(EXIT_BAD_FILE));
        }
    };
    if !check {
        run(&file, &output).await?;
    }
    Ok(ExitCode::SUCCESS)
}

async fn run(file: &ExperimentFile, output: &Path) -> miette::Result<()> {
    let mut report = ExperimentReport {
        name: file.name.clone(),
        seeds: Vec::new(),
    };
    let mut runs = Vec::new();
    for seed in &file.seeds {
        let run = file.run_seed(*seed).await?;
        let mut alone = BTreeMap::new();
        for (index, account) in file.accounts.iter().enumerate() {
            if account.alone {
                alone.insert(index, file.run_alone(*seed, index).await?);
            }
        }
        report.seeds.push(SeedFigures::new(file, &run, &alone));
        runs.push(run);
    }
    print!("{report}");
    let json = serde_json::to_string_pretty(&report).into_diagnostic()?;
    let path = |kind: &str| output.join(format!("{}.{kind}", file.name));
    std::fs::write(path("json"), json + "\n").into_diagnostic()?;
    plot_first_tokens(&path("svg"), &file.name, &runs)?;
    Ok(())
}
