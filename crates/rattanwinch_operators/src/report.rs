use std::time::Duration;

use bon::Builder;
use rattanwinch_decisions::BurnReport;
use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::Exception;
use rattanwinch_types::GuaranteeStatus;
use rattanwinch_types::RackName;
use rattanwinch_types::RequestError;
use rattanwinch_types::TargetName;
use rattanwinch_types::ZoneName;

/// What a report returns.
pub type Result<T> = std::result::Result<T, RequestError>;

/// What an entry tells operators about the fleet, as far as it knows.
pub trait FleetReporter: Send + Sync + 'static {
    /// Every target that the entry has heard of.
    fn targets(&self) -> impl Future<Output = Result<Vec<TargetReport>>> + Send;

    /// Every availability zone of the configuration.
    fn zones(&self) -> impl Future<Output = Result<Vec<ZoneReport>>> + Send;

    /// Every guarantee of the configuration.
    fn guarantees(&self) -> impl Future<Output = Result<Vec<GuaranteeReport>>> + Send;

    /// How fast error budgets are spent, by the requests of this entry.
    fn burn(&self) -> impl Future<Output = Result<BurnReport>> + Send;
}

/// One target.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct TargetReport {
    /// The target.
    pub target: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// Plain requests that run or wait there.
    pub in_flight: u32,
    /// Plain requests that it runs at once.
    pub slots: u16,
    /// Accelerators that tasks hold or use.
    pub accelerators_used: u8,
    /// The accelerators of the worker.
    pub accelerators: u8,
    /// True once it takes no new work.
    pub leaving: bool,
    /// The exception that excludes it, if there is one.
    pub excluded_by: Option<Exception>,
    /// The time since its last heartbeat.
    pub last_heard: Duration,
}

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct ZoneReport {
    /// The availability zone.
    pub zone: ZoneName,
    /// The exception that closes it; `None` if it is open.
    pub closed_by: Option<Exception>,
    /// The entry that decides it, if one is known.
    pub decider: Option<EntryName>,
    /// The decider's epoch, if one is known.
    pub epoch: Option<Epoch>,
    /// Targets that send heartbeats.
    pub targets: u32,
    /// Gang tasks that run.
    pub running_tasks: u32,
    /// Plain requests that run or wait at targets.
    pub in_flight: u32,
    /// Jobs that wait for a start.
    pub waiting_jobs: u32,
}

impl ZoneReport {
    /// True if the zone is closed and nothing runs there any longer.
    #[must_use]
    pub const fn is_drained(&self) -> bool {
        self.closed_by.is_some() && self.running_tasks == 0 && self.in_flight == 0
    }
}

/// One organisation's guarantee in one availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GuaranteeReport {
    /// The availability zone.
    pub zone: ZoneName,
    /// How the guarantee stands; for a zone without a known decider, all of it is unmet.
    pub status: GuaranteeStatus,
}
