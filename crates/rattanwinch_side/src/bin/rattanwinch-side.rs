//! The daemon beside a target of a site: reads its settings and serves until SIGTERM.

use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use rattanwinch_runtime::DaemonArguments;
use rattanwinch_runtime::run_site_daemon;
use rattanwinch_side::SideDaemon;
use rattanwinch_side::SideSettings;

/// The daemon beside a target of a site: carries out orders and reports what runs.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(flatten)]
    daemon: DaemonArguments,
}

fn main() -> ExitCode {
    Arguments::parse().daemon.run(SideSettings::read, run)
}

/// Two threads: a side VM has a fraction of one core, so more would only cost memory.
#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn run(settings: SideSettings) -> Result<()> {
    run_site_daemon::<SideDaemon>(settings).await
}
