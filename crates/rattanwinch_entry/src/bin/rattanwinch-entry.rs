//! The entry daemon: reads its settings and serves until SIGTERM.

use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use rattanwinch_entry::EntryDaemon;
use rattanwinch_entry::EntrySettings;
use rattanwinch_platform::EtcdStore;
use rattanwinch_runtime::DaemonArguments;
use rattanwinch_runtime::Shutdown;
use rattanwinch_runtime::install_metrics;
use rattanwinch_runtime::json_logger;

/// The entry process: accepts callers' requests and schedules jobs in availability zones.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(flatten)]
    daemon: DaemonArguments,
}

fn main() -> ExitCode {
    Arguments::parse().daemon.run(EntrySettings::read, run)
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
