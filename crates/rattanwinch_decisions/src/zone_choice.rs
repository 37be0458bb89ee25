use rattanwinch_types::FleetConfig;
use rattanwinch_types::GangShape;
use rattanwinch_types::Organisation;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;

rattanwinch_types::value! {
    /// An availability zone with a decider, as the entry that takes a job knows it.
    pub struct ZoneCandidate {
        /// What the decider last said.
        pub summary: ZoneSummary,
        /// Accelerators of jobs that this entry has pending_accelerators there since; the summary doesn't show
        /// them yet.
        pub pending_accelerators: u32,
    }
}

impl ZoneCandidate {
    /// Free accelerators less those that earlier jobs are likely to take; the jobs that wait
    /// count as if they were as large as this one.
    fn headroom(&self, wanted: u32) -> i64 {
        let sizes = [1, 2, 4, 8];
        let blocks = self.summary.free_blocks.iter().zip(sizes);
        let free: i64 = blocks.map(|(count, size)| i64::from(*count) * size).sum();
        free - i64::from(self.pending_accelerators)
            - i64::from(self.summary.waiting) * i64::from(wanted)
    }
}

/// Chooses the availability zone for a job among those that have a decider; `None` if none of
/// them is open.
///
/// Zones that are large enough come first, then zones with a guarantee of the organisation, then
/// those with the most headroom. If no zone is large enough, the largest one is chosen, and its
/// policy refuses the job once it is sure of its workers.
#[must_use]
pub fn choose_zone(
    config: &FleetConfig,
    offers: &[ZoneCandidate],
    organisation: &Organisation,
    shape: GangShape,
) -> Option<ZoneName> {
    let wanted = shape.accelerators();
    let open = offers.iter().filter(|offer| {
        let zone = &offer.summary.zone;
        config.zones.contains(zone) && config.zone_closure(zone).is_none()
    });
    let rank = |offer: &&ZoneCandidate| {
        let summary = &offer.summary;
        let large_enough = summary.accelerators >= wanted;
        let guaranteed = config.guarantees.iter().any(|guarantee| {
            guarantee.zone == summary.zone && guarantee.organisation == *organisation
        });
        let headroom = offer.headroom(wanted);
        (large_enough, guaranteed, headroom, summary.accelerators)
    };
    open.max_by_key(rank)
        .map(|offer| offer.summary.zone.clone())
}
