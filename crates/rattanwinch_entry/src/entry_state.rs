use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;

use arc_swap::ArcSwap;
use rattanwinch_decisions::BurnReport;
use rattanwinch_decisions::BurnWindows;
use rattanwinch_operators::BurnCounters;
use rattanwinch_platform::Store;
use rattanwinch_runtime::Clock;
use rattanwinch_types::Incarnation;
use rattanwinch_types::Timestamp;
use slog::Logger;
use tokio::sync::Notify;

use crate::EntrySettings;
use crate::control_view::ControlView;
use crate::control_view::KnownRevision;
use crate::fleet::Fleet;
use crate::in_flight::InFlightGuard;
use crate::retry_budget::RetryBudget;
use crate::zones::ZoneTable;

/// State shared by all parts of an entry. Requests read only immutable values and atomics.
#[derive(Debug)]
pub(crate) struct EntryState<S> {
    /// The settings.
    pub settings: EntrySettings,
    /// The platform's store.
    pub store: Arc<S>,
    /// The incarnation of this entry process.
    pub incarnation: Incarnation,
    /// The address that agents connect to, once the entry listens.
    pub rpc_address: OnceLock<SocketAddr>,
    /// The view from the last control read.
    pub control: ArcSwap<ControlView>,
    /// The highest configuration revision reported by another process.
    pub highest_known_revision: ArcSwap<KnownRevision>,
    /// Whether a fetch of the configuration from another entry is in progress.
    pub fetching_config: AtomicBool,
    /// The targets.
    pub fleet: Fleet,
    /// The availability zones that this entry decides, and the other entries.
    pub zones: ZoneTable,
    /// Limits retries to a share of the successful requests.
    pub retry_budget: RetryBudget,
    /// Requests since the last drain, by whether they met the service level.
    pub burn_counters: BurnCounters,
    /// The latest report of error budget burn rates.
    pub burn_report: ArcSwap<BurnReport>,
    /// Requests an immediate control read.
    pub control_read_requested: Notify,
    /// The number of callers' requests that run or wait.
    pub in_flight: AtomicU32,
    /// Whether the load balancer may send requests: not before the first control read, and not
    /// while the entry drains.
    pub ready: AtomicBool,
    /// Whether a planned shutdown has begun.
    pub draining: AtomicBool,
    /// The clock.
    pub clock: Clock,
    /// The logger.
    pub logger: Logger,
}

impl<S: Store> EntryState<S> {
    /// Creates the initial state.
    pub fn new(settings: EntrySettings, store: S, logger: Logger) -> Arc<Self> {
        Arc::new(Self {
            settings,
            store: Arc::new(store),
            incarnation: Incarnation(rand::random()),
            rpc_address: OnceLock::new(),
            control: ArcSwap::from_pointee(ControlView::default()),
            highest_known_revision: ArcSwap::from_pointee(KnownRevision::NONE),
            fetching_config: AtomicBool::new(false),
            fleet: Fleet::default(),
            zones: ZoneTable::default(),
            retry_budget: RetryBudget::default(),
            burn_counters: BurnCounters::new(),
            burn_report: ArcSwap::from_pointee(BurnWindows::new().report(0, Timestamp::ZERO)),
            control_read_requested: Notify::new(),
            in_flight: AtomicU32::new(0),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            clock: Clock::start(),
            logger,
        })
    }
}

impl<S> EntryState<S> {
    /// Counts an operation that a planned shutdown waits for, until the returned guard is dropped.
    pub fn count_in_flight(&self) -> InFlightGuard<'_> {
        InFlightGuard::enter(&self.in_flight)
    }
}
