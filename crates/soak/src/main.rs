//! Plays one seed of faults against real host processes. Exits with 1 if a promise was broken.

use std::process::ExitCode;

use zinniahinge_soak::run;
use zinniahinge_soak::soak_arguments;

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let settings = soak_arguments().run();
    let report = run(&settings).await?;
    for fault in &report.faults {
        println!(
            "{:7.3} s {:?} for {:?}",
            fault.at.as_secs_f64(),
            fault.kind,
            fault.lasts
        );
    }
    println!(
        "seed {}: {} faults, {} requests, {} served, {} promises broken",
        settings.seed,
        report.faults.len(),
        report.requests,
        report.served,
        report.broken.len()
    );
    for line in &report.broken {
        println!("broken: {line}");
    }
    Ok(if report.broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}
