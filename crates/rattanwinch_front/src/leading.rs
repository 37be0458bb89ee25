use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_site_operators::OperatorOrders;
use rattanwinch_types::Timestamp;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::commands::Command;
use crate::job_board::JobBoard;

/// The lease of the front that schedules. Another one can take over once it has run out, so it
/// bounds the pause after a loss; the store's slowest answers on the users' sheets take 240 ms
/// and still leave room for several renewals.
pub(crate) const LEADER_LEASE: Duration = Duration::from_millis(1500);

/// Leadership counts as unconfirmed this much before the lease can run out, for calls that are
/// being answered then.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// What operators have ordered, and when the read that showed it was sent.
#[derive(Debug)]
pub(crate) struct ReadOrders {
    pub orders: OperatorOrders,
    pub sent_at: Timestamp,
}

/// The scheduler in this process, as other tasks see it.
pub(crate) struct Leading {
    pub info: LeaderInfo,
    pub commands: mpsc::Sender<Command>,
    pub board: JobBoard,
    /// The operators' orders; replaced as a whole with each read.
    pub orders: ArcSwapOption<ReadOrders>,
    pub orders_read: Notify,
    /// When the last confirmed renewal of the lease was sent, in milliseconds.
    confirmed_ms: AtomicU64,
    /// Woken when leadership is lost.
    pub lost: Notify,
}

impl Leading {
    pub(crate) fn new(
        epoch: u64,
        address: SocketAddr,
        commands: mpsc::Sender<Command>,
        board: JobBoard,
    ) -> Self {
        Self {
            info: LeaderInfo { epoch, address },
            commands,
            board,
            orders: ArcSwapOption::empty(),
            orders_read: Notify::new(),
            confirmed_ms: AtomicU64::new(0),
            lost: Notify::new(),
        }
    }

    /// Notes that the store has renewed the lease; the renewal was sent at `sent_at`.
    pub(crate) fn confirm(&self, sent_at: Timestamp) {
        self.confirmed_ms
            .fetch_max(sent_at.as_millis(), Ordering::AcqRel);
    }

    /// How long ago the store's last confirmation was asked for.
    pub(crate) fn confirmed_ago(&self, now: Timestamp) -> Duration {
        now.since(Timestamp::from_millis(
            self.confirmed_ms.load(Ordering::Acquire),
        ))
    }

    /// True if the lease can't have run out by `now`. It runs from the arrival of its renewal,
    /// which is after it was sent.
    pub(crate) fn is_confirmed(&self, now: Timestamp) -> bool {
        self.confirmed_ago(now) < LEADER_LEASE - LEASE_MARGIN
    }

    /// The operators' orders, if the read that showed them was sent at most `limit` ago.
    pub(crate) fn fresh_orders(&self, limit: Duration, now: Timestamp) -> Option<Arc<ReadOrders>> {
        let read = self.orders.load_full()?;
        (now.since(read.sent_at) <= limit).then_some(read)
    }
}
