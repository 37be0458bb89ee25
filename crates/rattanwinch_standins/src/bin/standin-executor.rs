//! The stand-in executor as a process, for demonstrations and multi-process tests.

use std::net::SocketAddr;

use clap::Parser;
use eyre::Result;
use rattanwinch_runtime::Shutdown;
use rattanwinch_standins::StandinExecutor;

/// Simulated executor that runs the work described in payloads
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The maximum number of concurrent plain requests.
    #[arg(long, default_value_t = 8)]
    slots: usize,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let signals = Shutdown::new();
    signals.watch_signals()?;
    let executor = StandinExecutor::start(arguments.listen, arguments.slots).await?;
    println!("listening on {}", executor.address());
    signals.requested().await;
    executor.stop();
    Ok(())
}
