//! The agent daemon beside a target of a site.

use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use rattanwinch_runtime::DaemonArguments;
use rattanwinch_runtime::run_site_daemon;
use rattanwinch_side::SideDaemon;
use rattanwinch_side::SideSettings;

/// Agent daemon beside a target of a site: carries out orders and reports runs.
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
