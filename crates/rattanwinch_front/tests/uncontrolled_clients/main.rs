//! Processes of a site under clients that exceed the limits or hold connections open.
//!
//! Every test starts a process on loopback, opens a crowd of connections to one of its ports, and
//! checks that the process stays alive, that its peak memory and its open descriptors stay under a
//! bound, and that it answers an ordinary request afterwards. The tests run one at a time, so that
//! none measures the load of another.

mod crowd;
mod entry;
mod front;
mod process;
mod side;

use tokio::sync::Mutex;
use tokio::sync::MutexGuard;

/// Connections that a crowd opens.
const CROWD: usize = 400;

/// Peak memory of a process under a crowd, in KiB. At rest, an unoptimised front has 20 MB.
const MEMORY_BOUND_KB: u64 = 64 * 1024;

/// Memory for incomplete requests in the processes' settings, below the default.
const REQUEST_MEMORY_KB: usize = 16 * 1024;

/// Open descriptors of a process whose settings limit a port to 100 connections.
const DESCRIPTOR_BOUND: usize = 200;

/// Holds up the other tests of this binary until it is dropped.
async fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}
