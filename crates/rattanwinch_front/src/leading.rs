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
    /// Until when the store's word on this leadership holds, in milliseconds.
    confirmed_until_ms: AtomicU64,
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
            confirmed_until_ms: AtomicU64::new(0),
            lost: Notify::new(),
        }
    }

    pub(crate) fn confirm_until(&self, until: Timestamp) {
        self.confirmed_until_ms
            .fetch_max(until.as_millis(), Ordering::AcqRel);
    }

    /// True if no other front can have taken over by `now`.
    pub(crate) fn is_confirmed(&self, now: Timestamp) -> bool {
        now.as_millis() < self.confirmed_until_ms.load(Ordering::Acquire)
    }

    /// The operators' orders, if the read that showed them was sent at most `limit` ago.
    pub(crate) fn fresh_orders(&self, limit: Duration, now: Timestamp) -> Option<Arc<ReadOrders>> {
        let read = self.orders.load_full()?;
        (now.since(read.sent_at) <= limit).then_some(read)
    }
}
