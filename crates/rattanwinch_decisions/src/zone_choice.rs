use rattanwinch_types::FleetConfig;
use rattanwinch_types::GangShape;
use rattanwinch_types::Organisation;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;

rattanwinch_types::value! {
    /// An availability zone with a decider, as known to the entry that receives a job.
    pub struct ZoneCandidate {
        /// Last summary from the decider.
        pub summary: ZoneSummary,
        /// Accelerators of jobs that this entry has sent to the zone and that the summary doesn't
        /// include yet.
        pub pending_accelerators: u32,
    }
}

impl ZoneCandidate {
    /// Free accelerators minus those that earlier jobs are likely to take; each waiting job counts
    /// as large as this one.
    fn headroom(&self, requested: u32) -> i64 {
        let sizes = [1, 2, 4, 8];
        let blocks = self.summary.free_blocks.iter().zip(sizes);
        let free: i64 = blocks.map(|(count, size)| i64::from(*count) * size).sum();
        free - i64::from(self.pending_accelerators)
            - i64::from(self.summary.waiting) * i64::from(requested)
    }
}

/// Chooses the availability zone for a job among the candidates; `None` if none of them is open.
///
/// Zones that are large enough are preferred, then zones with a guarantee of the organisation, then
/// zones with the most headroom. If no zone is large enough, the largest one is chosen, and its
/// policy refuses the job once it has discovered its workers.
#[must_use]
pub fn choose_zone(
    config: &FleetConfig,
    candidates: &[ZoneCandidate],
    organisation: &Organisation,
    shape: GangShape,
) -> Option<ZoneName> {
    let requested = shape.accelerators();
    let open = candidates.iter().filter(|candidate| {
        let zone = &candidate.summary.zone;
        config.zones.contains(zone) && config.zone_closure(zone).is_none()
    });
    let rank = |candidate: &&ZoneCandidate| {
        let summary = &candidate.summary;
        let large_enough = summary.accelerators >= requested;
        let guaranteed = config.guarantees.iter().any(|guarantee| {
            guarantee.zone == summary.zone && guarantee.organisation == *organisation
        });
        let headroom = candidate.headroom(requested);
        (large_enough, guaranteed, headroom, summary.accelerators)
    };
    open.max_by_key(rank)
        .map(|candidate| candidate.summary.zone.clone())
}
