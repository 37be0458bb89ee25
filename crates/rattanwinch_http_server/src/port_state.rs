use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use slog::Logger;
use tokio::sync::Semaphore;

use crate::PortLimits;
use crate::connection_table::ConnectionTable;
use crate::refusal::RefusalLog;

/// Unit of reservations, so that a permit count fits into 32 bits.
const UNIT: usize = 1024;

/// What all connections of a port share.
#[derive(Debug)]
pub(crate) struct PortState {
    pub(crate) limits: PortLimits,
    /// One permit for each connection that may be open.
    pub(crate) connections: Arc<Semaphore>,
    /// Memory for incomplete bodies, in units.
    pub(crate) bodies: Arc<Semaphore>,
    /// Memory for the handling of bodies, in units.
    pub(crate) handling: Arc<Semaphore>,
    pub(crate) table: Arc<ConnectionTable>,
    pub(crate) refusals: RefusalLog,
    /// Bytes that clients wait for.
    wanted: AtomicUsize,
    started_at: Instant,
}

impl PortState {
    pub(crate) fn new(limits: PortLimits, name: &'static str, log: Logger) -> Self {
        let units = |bytes: usize| Arc::new(Semaphore::new(to_units(bytes) as usize));
        Self {
            connections: Arc::new(Semaphore::new(limits.max_connections)),
            bodies: units(limits.body_memory),
            handling: units(limits.handling_memory),
            table: Arc::default(),
            refusals: RefusalLog::new(name, log),
            wanted: AtomicUsize::new(0),
            started_at: Instant::now(),
            limits,
        }
    }

    /// Milliseconds since the start of the port.
    pub(crate) fn now(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Bytes that clients wait for.
    pub(crate) fn wanted(&self) -> usize {
        self.wanted.load(Ordering::Acquire)
    }

    /// States that a client waits for memory, until the result is dropped.
    pub(crate) fn want(self: &Arc<Self>, bytes: usize) -> WantedMemory {
        self.wanted.fetch_add(bytes, Ordering::AcqRel);
        WantedMemory {
            port: Arc::clone(self),
            bytes,
        }
    }
}

/// Memory that a client waits for.
#[derive(Debug)]
pub(crate) struct WantedMemory {
    port: Arc<PortState>,
    bytes: usize,
}

impl Drop for WantedMemory {
    fn drop(&mut self) {
        self.port.wanted.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// The permits for a number of bytes.
pub(crate) fn to_units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT)).unwrap_or(u32::MAX)
}
