//! A stand-in for the platform's store, for demonstrations and tests of whole processes.

use std::net::SocketAddr;

use clap::Parser;
use eyre::Result;
use rattanwinch_runtime::Shutdown;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreLimits;

/// A store in memory behind the etcd v3 JSON gateway.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Where to listen; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Calls that write, in any one-second window.
    #[arg(long, default_value_t = 300)]
    writes_per_second: usize,
    /// Calls that read, in any one-second window.
    #[arg(long, default_value_t = 2000)]
    reads_per_second: usize,
    /// The largest value in bytes.
    #[arg(long, default_value_t = 1_000_000)]
    max_value_bytes: usize,
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let signals = Shutdown::new();
    signals.watch_signals()?;
    let limits = StoreLimits::builder()
        .writes_per_second(arguments.writes_per_second)
        .reads_per_second(arguments.reads_per_second)
        .max_value_bytes(arguments.max_value_bytes)
        .build();
    let store = StandinStore::start(arguments.listen, limits).await?;
    println!("listening on {}", store.address());
    signals.requested().await;
    store.stop().await;
    Ok(())
}
