//! The front daemon of a site: reads its settings and serves until SIGTERM.

use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use rattanwinch_front::FrontDaemon;
use rattanwinch_front::FrontSettings;
use rattanwinch_runtime::DaemonArguments;
use rattanwinch_runtime::Shutdown;
use rattanwinch_runtime::stdout_logger;

/// The front of a site: takes callers' calls and, on one VM, schedules.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(flatten)]
    daemon: DaemonArguments,
}

fn main() -> ExitCode {
    Arguments::parse().daemon.run(FrontSettings::read, run)
}

/// Two threads: a front VM has a fraction of one core, so more would only cost memory.
#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn run(settings: FrontSettings) -> Result<()> {
    let signals = Shutdown::new();
    signals.watch_signals()?;
    let mut hangups = signals.watch_hangups()?;
    let log = stdout_logger("rattanwinch-front", settings.vm.log_level);
    let daemon = FrontDaemon::start(settings, log).await?;
    while hangups.next().await {
        daemon.reload();
    }
    daemon.stop().await;
    Ok(())
}
