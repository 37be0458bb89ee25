//! The reservation of the baseline with backfill, from declared run times.

use std::collections::BTreeMap;

use rattanwinch_decisions::Placement;
use rattanwinch_types::GangShape;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

use crate::block_map::BlockMap;
use crate::block_map::Fit;
use crate::first_come::StartedJob;

/// When the shape fits if all started jobs end as declared, and the free accelerators then.
pub(crate) fn reserve(
    map: &BlockMap,
    started: &BTreeMap<RequestKey, StartedJob>,
    shape: GangShape,
    now: Timestamp,
) -> Option<(Timestamp, BlockMap)> {
    let mut ends: Vec<(Timestamp, &Placement)> = started
        .values()
        .map(|job| {
            (
                (job.since + job.spec.declared_run_time).max(now),
                &job.placement,
            )
        })
        .collect();
    ends.sort_by_key(|(end, _)| *end);
    let mut then = map.clone();
    for (end, placement) in ends {
        then.give_back(placement);
        if then.find(shape, Fit::First).is_some() {
            return Some((end, then));
        }
    }
    None
}

/// Whether the shape still fits at the reserved time if the placement is in use then.
pub(crate) fn still_fits(then: &BlockMap, placement: &Placement, shape: GangShape) -> bool {
    let mut map = then.clone();
    map.take(placement);
    map.find(shape, Fit::First).is_some()
}
