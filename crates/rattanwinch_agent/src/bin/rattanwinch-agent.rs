//! The agent daemon on a target VM: reads its settings and serves until SIGTERM.

use std::process::ExitCode;

use clap::Parser;
use eyre::Result;
use rattanwinch_agent::AgentDaemon;
use rattanwinch_agent::AgentSettings;
use rattanwinch_runtime::DaemonArguments;
use rattanwinch_runtime::Shutdown;
use rattanwinch_runtime::json_logger;
use rattanwinch_targets::HttpExecutor;

/// The agent on a target VM: admits requests to its executor and reports to the entries.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(flatten)]
    daemon: DaemonArguments,
}

fn main() -> ExitCode {
    Arguments::parse().daemon.run(AgentSettings::read, run)
}

/// Two threads: an agent may use 1.7% of a core, so more threads would only use memory.
#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn run(settings: AgentSettings) -> Result<()> {
    let signals = Shutdown::new();
    signals.watch_signals()?;
    let executor = HttpExecutor::new(settings.executor);
    let agent = AgentDaemon::new(settings, executor, json_logger("rattanwinch-agent"));
    let agent = agent.serve().await?;
    signals.requested().await;
    agent.drain().finish().await;
    Ok(())
}
