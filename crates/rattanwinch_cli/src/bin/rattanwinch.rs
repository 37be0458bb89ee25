//! The command-line client for operators and callers.

use std::io;
use std::process::ExitCode;

use clap::Parser as _;
use rattanwinch_cli::Arguments;
use rattanwinch_cli::CommandError;
use rattanwinch_cli::execute;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match execute(arguments, &mut io::stdout()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if !matches!(error, CommandError::Output(_)) {
                eprintln!("{error}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}
