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

/// The result of a report.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Provides reports about the fleet, as far as the entry knows it.
pub trait FleetReporter: Send + Sync + 'static {
    /// All targets that have sent a heartbeat to the entry.
    fn targets(&self) -> impl Future<Output = Result<Vec<TargetReport>>> + Send;

    /// All availability zones of the configuration.
    fn zones(&self) -> impl Future<Output = Result<Vec<ZoneReport>>> + Send;

    /// All guarantees of the configuration.
    fn guarantees(&self) -> impl Future<Output = Result<Vec<GuaranteeReport>>> + Send;

    /// The error budget burn rates of the requests of this entry.
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
    /// The number of plain requests that run or wait at the target.
    pub in_flight: u32,
    /// The maximum number of plain requests that the target runs concurrently.
    pub slots: u16,
    /// Accelerators that tasks hold or use.
    pub accelerators_used: u8,
    /// The number of accelerators of the worker.
    pub accelerators: u8,
    /// True if the target accepts no new work.
    pub leaving: bool,
    /// The exception that excludes the target, if there is one.
    pub excluded_by: Option<Exception>,
    /// The time since its last heartbeat.
    pub last_heard: Duration,
}

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct ZoneReport {
    /// The availability zone.
    pub zone: ZoneName,
    /// The exception that closes the zone; `None` if it is open.
    pub closed_by: Option<Exception>,
    /// The entry that decides the zone, if known.
    pub decider: Option<EntryName>,
    /// The decider's epoch, if known.
    pub epoch: Option<Epoch>,
    /// The number of targets that send heartbeats.
    pub targets: u32,
    /// The number of running gang tasks.
    pub running_tasks: u32,
    /// The number of plain requests that run or wait at targets.
    pub in_flight: u32,
    /// The number of jobs that wait for a start.
    pub waiting_jobs: u32,
}

impl ZoneReport {
    /// Whether the zone is closed and nothing runs in it any longer.
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
    /// The status of the guarantee; in a zone without a known decider, all of it is unmet.
    pub status: GuaranteeStatus,
}
