//! A stand-in for an executor, for demonstrations and tests of whole processes.

use std::net::SocketAddr;

use clap::Parser;
use eyre::Result;
use rattanwinch_runtime::Shutdown;
use rattanwinch_standins::StandinExecutor;

/// An executor with slots that runs what its payloads say.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Where to listen; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Requests that run at once.
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
