//! The daemon of an entry VM: reads its settings and serves until SIGTERM.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use rattanwinch_entry::EntryDaemon;
use rattanwinch_entry::EntrySettings;
use rattanwinch_platform::EtcdStore;
use rattanwinch_runtime::Shutdown;
use rattanwinch_runtime::install_metrics;
use rattanwinch_runtime::json_logger;

/// The entry process: takes callers' requests and decides availability zones.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The settings file (INI).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings, print every error and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match EntrySettings::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(2);
        }
    };
    if arguments.check {
        println!("{}: no errors", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: EntrySettings) -> Result<()> {
    let signals = Shutdown::new();
    signals.watch_signals()?;
    let logger = json_logger("rattanwinch-entry");
    let store = EtcdStore::builder()
        .settings(settings.store.clone())
        .client_name(settings.entry.as_str())
        .logger(logger.clone())
        .start();
    let entry = EntryDaemon::new(settings, store, install_metrics(), logger);
    let entry = entry.serve().await?;
    signals.requested().await;
    entry.drain().finish().await;
    Ok(())
}
