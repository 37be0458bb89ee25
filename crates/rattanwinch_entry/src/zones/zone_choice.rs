use rattanwinch_types::FleetConfig;
use rattanwinch_types::GangShape;
use rattanwinch_types::Organisation;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;

/// Chooses the zone for a job among those that have a decider: an open one, if possible large
/// enough; one with a guarantee of the organisation comes first, then the one with the most free
/// accelerators for each job that waits.
pub(super) fn choose_zone(
    config: &FleetConfig,
    summaries: &[ZoneSummary],
    organisation: &Organisation,
    shape: GangShape,
) -> Option<ZoneName> {
    let open = summaries.iter().filter(|summary| {
        config.zones.contains(&summary.zone) && config.zone_closure(&summary.zone).is_none()
    });
    let rank = |summary: &&ZoneSummary| {
        let large_enough = summary.accelerators >= shape.accelerators();
        let guaranteed = config.guarantees.iter().any(|guarantee| {
            guarantee.zone == summary.zone && guarantee.organisation == *organisation
        });
        let free = free_accelerators(summary) / (summary.waiting + 1);
        (large_enough, guaranteed, free, summary.accelerators)
    };
    open.max_by_key(rank).map(|summary| summary.zone.clone())
}

fn free_accelerators(summary: &ZoneSummary) -> u32 {
    let sizes = [1, 2, 4, 8];
    let blocks = summary.free_blocks.iter().zip(sizes);
    blocks.map(|(count, size)| count * size).sum()
}
