//! Runs a whole site on stand-ins in this process and prints what happened.

use std::process::ExitCode;

use clap::Parser;
use rattanwinch_demo::Tour;

/// Starts a site on stand-ins over loopback, walks through the main jobs and prints a page.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {}

#[tokio::main]
async fn main() -> ExitCode {
    let Arguments {} = Arguments::parse();
    let page = async { Tour::start().await?.walk().await }.await;
    match page {
        Ok(page) => {
            println!("{page}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
