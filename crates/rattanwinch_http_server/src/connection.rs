use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

use crate::Refusal;

/// Bytes that have to arrive for a client to count as making progress. A client on a link of
/// 10 Mbit/s sends them in 4 ms.
const PROGRESS_BYTES: usize = 4096;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Phase {
    /// Waits for the first byte of a request.
    Idle,
    /// Receives a head.
    Head,
    /// Waits until there is memory for the body.
    Waiting,
    /// Receives a body.
    Body,
    /// The request is complete, and waits or is being handled.
    Complete,
    /// The request was refused; the connection closes once that is written.
    Refused,
    /// Carries another protocol.
    Upgraded,
}

impl Phase {
    const ALL: [Self; 7] = [
        Self::Idle,
        Self::Head,
        Self::Waiting,
        Self::Body,
        Self::Complete,
        Self::Refused,
        Self::Upgraded,
    ];
}

/// What the tasks of a port know of a connection. All times are in milliseconds since the start of
/// the port.
#[derive(Debug)]
pub(crate) struct Connection {
    phase: AtomicU8,
    /// When the current phase began.
    phase_since: AtomicU64,
    /// When bytes were last received or sent.
    active_at: AtomicU64,
    /// When the client last made progress, and the bytes of the body received by then.
    progress_at: AtomicU64,
    progress_mark: AtomicUsize,
    /// Bytes received in the current phase.
    received: AtomicUsize,
    /// Bytes reserved for the body.
    reserved: AtomicUsize,
    /// Code of the refusal that the sweeper has decided, or 0.
    refusal: AtomicU8,
    /// Ends the wait for a body.
    pub(crate) refused: CancellationToken,
    /// Closes the connection.
    pub(crate) closed: CancellationToken,
}

impl Connection {
    pub(crate) fn new(now: u64) -> Self {
        Self {
            phase: AtomicU8::new(Phase::Idle as u8),
            phase_since: AtomicU64::new(now),
            active_at: AtomicU64::new(now),
            progress_at: AtomicU64::new(now),
            progress_mark: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            reserved: AtomicUsize::new(0),
            refusal: AtomicU8::new(0),
            refused: CancellationToken::new(),
            closed: CancellationToken::new(),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        Phase::ALL[usize::from(self.phase.load(Ordering::Acquire))]
    }

    /// Begins a phase; the client counts as active and as making progress.
    pub(crate) fn begin(&self, phase: Phase, now: u64) {
        self.phase_since.store(now, Ordering::Release);
        self.progress_at.store(now, Ordering::Release);
        self.progress_mark.store(0, Ordering::Release);
        self.received.store(0, Ordering::Release);
        self.active_at.store(now, Ordering::Release);
        self.phase.store(phase as u8, Ordering::Release);
    }

    /// Counts bytes that were received.
    pub(crate) fn add_received(&self, count: usize, now: u64) {
        self.active_at.store(now, Ordering::Release);
        if self.phase() == Phase::Idle {
            self.begin(Phase::Head, now);
        }
        let received = self.received.fetch_add(count, Ordering::AcqRel) + count;
        if received >= self.progress_mark.load(Ordering::Acquire) + PROGRESS_BYTES {
            self.progress_mark.store(received, Ordering::Release);
            self.progress_at.store(now, Ordering::Release);
        }
    }

    /// Notes that bytes were sent.
    pub(crate) fn set_active(&self, now: u64) {
        self.active_at.store(now, Ordering::Release);
    }

    pub(crate) fn set_reserved(&self, bytes: usize) {
        self.reserved.store(bytes, Ordering::Release);
    }

    pub(crate) fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Acquire)
    }

    /// Time since the current phase began.
    pub(crate) fn phase_age(&self, now: u64) -> u64 {
        now.saturating_sub(self.phase_since.load(Ordering::Acquire))
    }

    /// Time since bytes were last received or sent.
    pub(crate) fn inactive_for(&self, now: u64) -> u64 {
        now.saturating_sub(self.active_at.load(Ordering::Acquire))
    }

    /// Time since the client last made progress.
    pub(crate) fn stalled_for(&self, now: u64) -> u64 {
        now.saturating_sub(self.progress_at.load(Ordering::Acquire))
    }

    /// Orders connections to shed: the longest stalled ones, and those that have sent least for the
    /// memory they hold, have the highest rank.
    pub(crate) fn shed_rank(&self, now: u64) -> u64 {
        let received = self.received.load(Ordering::Acquire).max(1);
        let held = self.reserved().max(1);
        self.stalled_for(now)
            .saturating_mul((held / received) as u64 + 1)
    }

    /// Ends the wait for the current request with a refusal.
    pub(crate) fn refuse(&self, kind: Refusal) {
        self.refusal.store(kind as u8, Ordering::Release);
        self.refused.cancel();
    }

    /// The refusal that the sweeper has decided.
    pub(crate) fn refusal(&self) -> Option<Refusal> {
        Refusal::from_code(self.refusal.load(Ordering::Acquire))
    }
}
