//! What an entry tells operators about the fleet.

use std::sync::Arc;

use rattanwinch_decisions::BurnReport;
use rattanwinch_operators::FleetReporter;
use rattanwinch_operators::GuaranteeReport;
use rattanwinch_operators::Result;
use rattanwinch_operators::TargetReport;
use rattanwinch_operators::ZoneReport;
use rattanwinch_platform::Store;
use rattanwinch_types::Guarantee;
use rattanwinch_types::GuaranteeStatus;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;

use crate::entry_state::EntryState;
use crate::target::Target;

/// The reports of an entry.
#[derive(Debug)]
pub(crate) struct EntryReport<S>(pub Arc<EntryState<S>>);

impl<S: Store> FleetReporter for EntryReport<S> {
    async fn targets(&self) -> Result<Vec<TargetReport>> {
        let targets = self.0.fleet.targets();
        let mut reports: Vec<_> = targets.iter().map(|target| self.target(target)).collect();
        reports.sort_by(|a, b| (&a.zone, &a.target).cmp(&(&b.zone, &b.target)));
        Ok(reports)
    }

    async fn zones(&self) -> Result<Vec<ZoneReport>> {
        let control = self.0.control.load_full();
        let summaries = self.0.zone_summaries();
        let zones = control.config.zones.iter();
        Ok(zones.map(|zone| self.zone(zone, &summaries)).collect())
    }

    async fn guarantees(&self) -> Result<Vec<GuaranteeReport>> {
        let config = Arc::clone(&self.0.control.load().config);
        let summaries = self.0.zone_summaries();
        let mut reports: Vec<GuaranteeReport> = Vec::new();
        for guarantee in &config.guarantees {
            let known = summaries
                .iter()
                .find(|summary| summary.zone == guarantee.zone);
            let status = known.and_then(|summary| status_in(summary, guarantee));
            let status = status.unwrap_or_else(|| undecided(guarantee));
            let report = GuaranteeReport {
                zone: guarantee.zone.clone(),
                status,
            };
            // Several guarantees of one organisation in one zone have one status.
            if !reports.contains(&report) {
                reports.push(report);
            }
        }
        Ok(reports)
    }

    async fn burn(&self) -> Result<BurnReport> {
        Ok(BurnReport::clone(&self.0.burn_report.load()))
    }
}

impl<S: Store> EntryReport<S> {
    fn target(&self, target: &Arc<Target>) -> TargetReport {
        let now = self.0.clock.now();
        let load = target.load(now);
        TargetReport {
            target: target.name.clone(),
            zone: target.zone.clone(),
            rack: target.rack.clone(),
            in_flight: load.in_flight,
            slots: load.slots,
            accelerators_used: target.accelerators_used(),
            accelerators: target.accelerators,
            leaving: target.is_leaving(),
            excluded_by: self
                .0
                .control
                .load()
                .config
                .target_exclusion(&target.name)
                .cloned(),
            last_heard: now.since(target.heard_at()),
        }
    }

    fn zone(&self, zone: &ZoneName, summaries: &[ZoneSummary]) -> ZoneReport {
        let now = self.0.clock.now();
        let control = self.0.control.load();
        let decider = control.decider(zone);
        let targets = self.0.fleet.targets_of(zone);
        let targets = targets.as_deref().unwrap_or_default();
        let heard = targets.iter().filter(|target| target.is_heard(now));
        let summary = summaries.iter().find(|summary| summary.zone == *zone);
        ZoneReport {
            zone: zone.clone(),
            closed_by: control.config.zone_closure(zone).cloned(),
            epoch: decider.as_ref().map(|decider| decider.epoch),
            decider: decider.map(|decider| decider.entry),
            targets: u32::try_from(heard.count()).unwrap_or(u32::MAX),
            running_tasks: targets.iter().map(|target| target.running_tasks()).sum(),
            in_flight: targets
                .iter()
                .map(|target| target.load(now).in_flight)
                .sum(),
            waiting_jobs: summary.map_or(0, |summary| summary.waiting),
        }
    }
}

fn status_in(summary: &ZoneSummary, guarantee: &Guarantee) -> Option<GuaranteeStatus> {
    let mut known = summary.guarantees.iter();
    known
        .find(|status| status.organisation == guarantee.organisation)
        .cloned()
}

/// Without a decider nothing is placed, so nothing can be reclaimed.
fn undecided(guarantee: &Guarantee) -> GuaranteeStatus {
    let guaranteed = guarantee.blocks * guarantee.accelerators;
    GuaranteeStatus {
        organisation: guarantee.organisation.clone(),
        guaranteed,
        used: 0,
        borrowed: 0,
        unmet: guaranteed,
        cause: Some(Arc::from(
            "this entry knows no decider of the availability zone",
        )),
    }
}
