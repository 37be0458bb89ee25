//! The stand-in store as a process, for demonstrations and multi-process tests.

use std::net::SocketAddr;

use clap::Parser;
use eyre::Result;
use rattanwinch_runtime::Shutdown;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreLimits;

/// In-memory store behind the etcd v3 JSON gateway
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The address to listen on; port 0 selects a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// The maximum number of write calls in any one-second window.
    #[arg(long, default_value_t = 300)]
    writes_per_second: usize,
    /// The maximum number of read calls in any one-second window.
    #[arg(long, default_value_t = 2000)]
    reads_per_second: usize,
    /// The maximum size of a value in bytes.
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
