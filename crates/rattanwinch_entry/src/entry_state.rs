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
use crate::fleet::Fleet;
use crate::in_flight::InFlight;
use crate::retry_budget::RetryBudget;
use crate::zones::ZoneTable;

/// What all parts of an entry share. Requests read immutable values and atomics only.
#[derive(Debug)]
pub(crate) struct EntryState<S> {
    /// The settings.
    pub settings: EntrySettings,
    /// The platform's store.
    pub store: Arc<S>,
    /// This life of the entry.
    pub incarnation: Incarnation,
    /// Where agents connect, once the entry listens.
    pub rpc_address: OnceLock<SocketAddr>,
    /// What was last read of the configuration.
    pub control: ArcSwap<ControlView>,
    /// The targets.
    pub fleet: Fleet,
    /// The availability zones that this entry decides, and the other entries.
    pub zones: ZoneTable,
    /// The share of requests that may be sent a second time.
    pub retries: RetryBudget,
    /// Requests since the last drain, by whether they met the service level.
    pub burn: BurnCounters,
    /// How fast error budgets are spent.
    pub burn_report: ArcSwap<BurnReport>,
    /// Asks for a control read at once.
    pub control_wanted: Notify,
    /// Callers' requests that run or wait.
    pub in_flight: AtomicU32,
    /// Whether the balancer may send requests: not before the first control read, and not once
    /// the entry drains.
    pub ready: AtomicBool,
    /// Whether a planned stop has begun.
    pub draining: AtomicBool,
    /// The time.
    pub clock: Clock,
    /// The log.
    pub logger: Logger,
}

impl<S: Store> EntryState<S> {
    /// The state at start.
    pub fn new(settings: EntrySettings, store: S, logger: Logger) -> Arc<Self> {
        Arc::new(Self {
            settings,
            store: Arc::new(store),
            incarnation: Incarnation(rand::random()),
            rpc_address: OnceLock::new(),
            control: ArcSwap::from_pointee(ControlView::default()),
            fleet: Fleet::default(),
            zones: ZoneTable::default(),
            retries: RetryBudget::default(),
            burn: BurnCounters::new(),
            burn_report: ArcSwap::from_pointee(BurnWindows::new().report(0, Timestamp::ZERO)),
            control_wanted: Notify::new(),
            in_flight: AtomicU32::new(0),
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            clock: Clock::start(),
            logger,
        })
    }
}

impl<S> EntryState<S> {
    /// Counts something that a planned stop has to wait for, until the value is dropped.
    pub fn count_in_flight(&self) -> InFlight<'_> {
        InFlight::enter(&self.in_flight)
    }
}
