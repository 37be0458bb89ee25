//! How much of the free capacity the largest waiting shape can't use.

use rattanwinch_types::GangShape;

use crate::block_map::BlockMap;

/// The free accelerators that a gang of the shape can't use.
///
/// Usable are those in aligned blocks of the size of its tasks, within a group of workers (one
/// worker, one rack, a run of racks, or the zone) that could hold the gang. If none could, those
/// in the group with the most are.
pub(crate) fn unusable(map: &BlockMap, shape: GangShape) -> u32 {
    let free = map.free();
    let mut counted = 0;
    let mut most = 0;
    let mut end = 0;
    for group in map.groups(shape) {
        let usable = map.usable_in(group.clone(), shape);
        most = most.max(usable);
        if usable >= shape.accelerators() {
            // Runs of racks overlap; each worker counts once.
            let rest = group.start.max(end)..group.end;
            end = group.end;
            counted += map.usable_in(rest, shape);
        }
    }
    free - counted.max(most).min(free)
}
