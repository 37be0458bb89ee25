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
use crate::published_jobs::PublishedJobs;

/// TTL of the leader's lease.
///
/// Another front can take over when it has expired, so it bounds the time without a leader. The
/// store's slowest answers by the users' requirements take 240 ms, which leaves time for several
/// renewals.
pub(crate) const LEADER_LEASE_TTL: Duration = Duration::from_millis(1500);

/// Leadership counts as unconfirmed this long before the lease can expire, to cover calls that are
/// being answered at that time.
const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// Age beyond which operators' orders are too old to start tasks by. A zone that is closed has to
/// get nothing after 5 s, and orders to agents are valid for 1 s.
const MAX_OPERATOR_ORDERS_AGE_FOR_STARTS: Duration = Duration::from_millis(3500);

/// The operators' orders, and when the read that returned them was sent.
#[derive(Debug)]
pub(crate) struct OperatorOrdersSnapshot {
    pub orders: OperatorOrders,
    pub sent_at: Timestamp,
    /// When the last read that returned a readable configuration was sent.
    pub config_sent_at: Option<Timestamp>,
}

impl OperatorOrdersSnapshot {
    /// True if the configuration was current at most `max_age` ago. Operators may since have
    /// revoked keys and added queues in a configuration that can't be read.
    pub(crate) fn is_config_fresh(&self, max_age: Duration, now: Timestamp) -> bool {
        self.config_sent_at
            .is_some_and(|sent_at| now.since(sent_at) <= max_age)
    }
}

/// The leader in this process, as other tasks see it.
pub(crate) struct LocalLeader {
    pub info: LeaderInfo,
    pub commands: mpsc::Sender<Command>,
    pub published_jobs: PublishedJobs,
    /// The operators' orders; replaced as a whole by each read.
    pub orders: ArcSwapOption<OperatorOrdersSnapshot>,
    pub operator_orders_updated: Notify,
    /// When the last confirmed lease renewal was sent, in milliseconds.
    last_confirmed_renewal_ms: AtomicU64,
    /// Notified when leadership is lost.
    pub leadership_lost: Notify,
}

impl LocalLeader {
    pub(crate) fn new(
        epoch: u64,
        address: SocketAddr,
        commands: mpsc::Sender<Command>,
        published_jobs: PublishedJobs,
    ) -> Self {
        Self {
            info: LeaderInfo { epoch, address },
            commands,
            published_jobs,
            orders: ArcSwapOption::empty(),
            operator_orders_updated: Notify::new(),
            last_confirmed_renewal_ms: AtomicU64::new(0),
            leadership_lost: Notify::new(),
        }
    }

    /// Records that the store has confirmed the lease renewal sent at `sent_at`.
    pub(crate) fn confirm(&self, sent_at: Timestamp) {
        self.last_confirmed_renewal_ms
            .fetch_max(sent_at.as_millis(), Ordering::AcqRel);
    }

    /// Time since the last confirmed lease renewal was sent.
    pub(crate) fn confirmation_age(&self, now: Timestamp) -> Duration {
        now.since(Timestamp::from_millis(
            self.last_confirmed_renewal_ms.load(Ordering::Acquire),
        ))
    }

    /// True if the leader's lease can't have expired by `now`. The store counts the TTL from the
    /// arrival of the renewal, which is after it was sent.
    pub(crate) fn is_lease_confirmed(&self, now: Timestamp) -> bool {
        self.confirmation_age(now) < LEADER_LEASE_TTL - LEASE_MARGIN
    }

    /// True if tasks may be placed and started at `now`: no other front can have taken over, and
    /// the operators' orders are recent.
    pub(crate) fn may_start_tasks(&self, now: Timestamp) -> bool {
        let orders = self.fresh_operator_orders(MAX_OPERATOR_ORDERS_AGE_FOR_STARTS, now);
        self.is_lease_confirmed(now) && orders.is_some()
    }

    /// The operators' orders, if the read that returned them was sent at most `max_age` ago.
    pub(crate) fn fresh_operator_orders(
        &self,
        max_age: Duration,
        now: Timestamp,
    ) -> Option<Arc<OperatorOrdersSnapshot>> {
        let snapshot = self.orders.load_full()?;
        (now.since(snapshot.sent_at) <= max_age).then_some(snapshot)
    }
}
