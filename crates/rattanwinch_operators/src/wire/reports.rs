use std::time::Duration;

use rattanwinch_decisions::BurnAlert;
use rattanwinch_decisions::BurnReport;
use rattanwinch_decisions::BurnWindow;
use rattanwinch_decisions::OrganisationBurn;
use rattanwinch_platform::records::WireException;

use crate::GuaranteeReport;
use crate::TargetReport;
use crate::ZoneReport;

rattanwinch_types::value! { wire
    /// The JSON form of a [`TargetReport`].
    pub struct WireTargetReport {
        /// The target.
        pub target: String,
        /// Its availability zone.
        pub zone: String,
        /// Its rack.
        pub rack: String,
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
        /// The exception that excludes the target; absent if there is none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub excluded_by: Option<WireException>,
        /// The time since its last heartbeat, in milliseconds.
        pub last_heard_ms: u64,
    }
}

impl From<TargetReport> for WireTargetReport {
    fn from(report: TargetReport) -> Self {
        Self {
            target: report.target.into(),
            zone: report.zone.into(),
            rack: report.rack.into(),
            in_flight: report.in_flight,
            slots: report.slots,
            accelerators_used: report.accelerators_used,
            accelerators: report.accelerators,
            leaving: report.leaving,
            excluded_by: report.excluded_by.map(Into::into),
            last_heard_ms: to_millis(report.last_heard),
        }
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of a [`ZoneReport`].
    pub struct WireZoneReport {
        /// The availability zone.
        pub zone: String,
        /// Whether work may start in the zone.
        pub open: bool,
        /// The exception that closes the zone, with its reason; absent if the zone is open.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub closed_by: Option<WireException>,
        /// Whether the zone is closed and nothing runs in it any longer.
        pub drained: bool,
        /// The entry that decides the zone; absent if unknown.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub decider: Option<String>,
        /// The decider's epoch; absent if unknown.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub epoch: Option<i64>,
        /// The number of targets that send heartbeats.
        pub targets: u32,
        /// The number of running gang tasks.
        pub running_tasks: u32,
        /// The number of plain requests that run or wait at targets.
        pub in_flight: u32,
        /// The number of jobs that wait for a start.
        pub waiting_jobs: u32,
    }
}

impl From<ZoneReport> for WireZoneReport {
    fn from(report: ZoneReport) -> Self {
        Self {
            open: report.closed_by.is_none(),
            drained: report.is_drained(),
            zone: report.zone.into(),
            closed_by: report.closed_by.map(Into::into),
            decider: report.decider.map(Into::into),
            epoch: report.epoch.map(|epoch| epoch.0),
            targets: report.targets,
            running_tasks: report.running_tasks,
            in_flight: report.in_flight,
            waiting_jobs: report.waiting_jobs,
        }
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of a [`GuaranteeReport`], in accelerators.
    pub struct WireGuaranteeReport {
        /// The owner of the guarantee.
        pub organisation: String,
        /// The availability zone.
        pub zone: String,
        /// The guaranteed accelerators.
        pub guaranteed: u32,
        /// Accelerators that the owner's work uses within the guarantee.
        pub used: u32,
        /// Accelerators that the owner's work borrows.
        pub borrowed: u32,
        /// Accelerators in blocks that cannot be reclaimed now.
        pub unmet: u32,
        /// Why they cannot be reclaimed; absent if all can.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cause: Option<String>,
    }
}

impl From<GuaranteeReport> for WireGuaranteeReport {
    fn from(report: GuaranteeReport) -> Self {
        let status = report.status;
        Self {
            organisation: status.organisation.into(),
            zone: report.zone.into(),
            guaranteed: status.guaranteed,
            used: status.used,
            borrowed: status.borrowed,
            unmet: status.unmet,
            cause: status.cause.map(|cause| cause.to_string()),
        }
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of a [`BurnReport`].
    pub struct WireBurnReport {
        /// When the report was created, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// The share of requests that must be answered in time, in parts per million.
        pub service_level_ppm: u32,
        /// The organisations, sorted by name.
        pub organisations: Vec<WireOrganisationBurn>,
    }
}

rattanwinch_types::value! { wire
    /// The error budget burn of one organisation.
    pub struct WireOrganisationBurn {
        /// The organisation.
        pub organisation: String,
        /// The windows, shortest first.
        pub windows: Vec<WireBurnWindow>,
        /// The firing alerts: `fast`, `slow`, `ticket`.
        pub alerts: Vec<String>,
    }
}

rattanwinch_types::value! { wire
    /// The error budget burn over one window.
    pub struct WireBurnWindow {
        /// `5m`, `30m`, `1h`, `6h` or `3d`.
        pub window: String,
        /// The number of requests that met the service level.
        pub good: u64,
        /// The number of requests that did not meet the service level.
        pub bad: u64,
        /// The burn rate in thousandths; 1000 uses up exactly the error budget.
        pub burn_permille: u64,
    }
}

impl From<BurnReport> for WireBurnReport {
    fn from(report: BurnReport) -> Self {
        Self {
            at_unix_ms: report.at.as_millis(),
            service_level_ppm: report.service_level_ppm,
            organisations: report.organisations.iter().map(Into::into).collect(),
        }
    }
}

impl From<&OrganisationBurn> for WireOrganisationBurn {
    fn from(burn: &OrganisationBurn) -> Self {
        let windows = BurnWindow::ALL.map(|window| {
            let count = burn.count(window);
            WireBurnWindow {
                window: window.as_str().to_owned(),
                good: count.good,
                bad: count.bad,
                burn_permille: burn.rate_permille(window),
            }
        });
        Self {
            organisation: burn.organisation.to_string(),
            windows: windows.into(),
            alerts: burn
                .alerts()
                .map(BurnAlert::as_str)
                .map(ToOwned::to_owned)
                .collect(),
        }
    }
}

fn to_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
