//! `zinniahingectl`, the operator's command.

use std::io::Write;
use std::process::ExitCode;

use bpaf::Args;
use zinniahinge_ctl::CtlCommand;
use zinniahinge_ctl::ExitStatus;
use zinniahinge_ctl::ctl_command;
use zinniahinge_ctl::run_command;

/// Width of help texts and messages about flags.
const HELP_COLUMNS: usize = 100;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let status = match ctl_command().run_inner(Args::current_args()) {
        Ok(command) => run(command).await,
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            match failure.exit_code() {
                0 => ExitStatus::Done,
                _ => ExitStatus::BadInput,
            }
        }
    };
    ExitCode::from(status as u8)
}

async fn run(command: CtlCommand) -> ExitStatus {
    let (mut input, mut out, mut errors) = (std::io::stdin(), std::io::stdout(), std::io::stderr());
    let result = run_command(command, &mut input, &mut out, &mut errors).await;
    match result.and_then(|()| out.flush().map_err(Into::into)) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            let status = error.status();
            eprintln!("{:?}", miette::Report::new(error));
            status
        }
    }
}
