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
    /// A [`TargetReport`] in JSON.
    pub struct WireTargetReport {
        /// The target.
        pub target: String,
        /// Its availability zone.
        pub zone: String,
        /// Its rack.
        pub rack: String,
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
        /// The exception that excludes it; absent if none does.
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
    /// A [`ZoneReport`] in JSON.
    pub struct WireZoneReport {
        /// The availability zone.
        pub zone: String,
        /// Whether work may start there.
        pub open: bool,
        /// The exception that closes it, with its reason; absent if it is open.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub closed_by: Option<WireException>,
        /// True if it is closed and nothing runs there any longer.
        pub drained: bool,
        /// The entry that decides it; absent if none is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub decider: Option<String>,
        /// The decider's epoch; absent if none is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub epoch: Option<i64>,
        /// Targets that send heartbeats.
        pub targets: u32,
        /// Gang tasks that run.
        pub running_tasks: u32,
        /// Plain requests that run or wait at targets.
        pub in_flight: u32,
        /// Jobs that wait for a start.
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
    /// A [`GuaranteeReport`] in JSON, in accelerators.
    pub struct WireGuaranteeReport {
        /// The owner.
        pub organisation: String,
        /// The availability zone.
        pub zone: String,
        /// Guaranteed to it.
        pub guaranteed: u32,
        /// Used by its work within the guarantee.
        pub used: u32,
        /// Borrowed by its work.
        pub borrowed: u32,
        /// In blocks that can't be reclaimed now.
        pub unmet: u32,
        /// Why they can't.
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
    /// A [`BurnReport`] in JSON.
    pub struct WireBurnReport {
        /// When it was made, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// The share of requests that has to be answered in time, in parts per million.
        pub service_level_ppm: u32,
        /// The organisations, by name.
        pub organisations: Vec<WireBurn>,
    }
}

rattanwinch_types::value! { wire
    /// The burn of one organisation.
    pub struct WireBurn {
        /// The organisation.
        pub organisation: String,
        /// The windows, the shortest first.
        pub windows: Vec<WireBurnWindow>,
        /// The alerts that fire: `fast`, `slow`, `ticket`.
        pub alerts: Vec<String>,
    }
}

rattanwinch_types::value! { wire
    /// The burn over one window.
    pub struct WireBurnWindow {
        /// `5m`, `30m`, `1h`, `6h` or `3d`.
        pub window: String,
        /// Requests that met the service level.
        pub good: u64,
        /// Requests that didn't.
        pub bad: u64,
        /// The burn rate in thousandths; 1000 spends the error budget exactly.
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

impl From<&OrganisationBurn> for WireBurn {
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
