//! The front daemon of a site.

use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use rattanwinch_front::FrontDaemon;
use rattanwinch_front::FrontSettings;
use rattanwinch_runtime::DaemonArguments;
use rattanwinch_runtime::run_site_daemon;

/// Front daemon of a site: forwards callers' calls and, on one VM, schedules.
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
    run_site_daemon::<FrontDaemon>(settings).await
}
