//! Reservations of the backfill baseline, from declared run times.

use std::collections::BTreeMap;

use rattanwinch_decisions::Placement;
use rattanwinch_types::GangShape;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

use crate::block_map::BlockMap;
use crate::block_map::Fit;
use crate::first_come_scheduler::StartedJob;

/// Returns when the shape fits if all started jobs end as declared, with the block map then.
pub(crate) fn reserve(
    map: &BlockMap,
    started: &BTreeMap<RequestKey, StartedJob>,
    shape: GangShape,
    now: Timestamp,
) -> Option<(Timestamp, BlockMap)> {
    let mut expected_ends: Vec<(Timestamp, &Placement)> = started
        .values()
        .map(|job| {
            (
                (job.since + job.spec.declared_run_time).max(now),
                &job.placement,
            )
        })
        .collect();
    expected_ends.sort_by_key(|(end, _)| *end);
    let mut future_map = map.clone();
    for (end, placement) in expected_ends {
        future_map.release(placement);
        if future_map.find(shape, Fit::First).is_some() {
            return Some((end, future_map));
        }
    }
    None
}

/// Returns true if the shape fits at the reserved time beside the placement.
pub(crate) fn fits_beside(future_map: &BlockMap, placement: &Placement, shape: GangShape) -> bool {
    let mut map = future_map.clone();
    map.take(placement);
    map.find(shape, Fit::First).is_some()
}
