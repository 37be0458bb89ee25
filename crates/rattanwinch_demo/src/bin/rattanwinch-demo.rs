//! Runs the demonstration on a site in this process and prints its report.

use std::process::ExitCode;

use clap::Parser;
use rattanwinch_demo::Demo;

/// Start a site on stand-ins over loopback, run the main use cases and print a report
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {}

#[tokio::main]
async fn main() -> ExitCode {
    let Arguments {} = Arguments::parse();
    let page = async { Demo::start().await?.run().await }.await;
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
