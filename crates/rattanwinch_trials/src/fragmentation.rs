//! Measures the free capacity that the largest waiting shape cannot use.

use rattanwinch_types::GangShape;

use crate::block_map::BlockMap;

/// Returns the number of free accelerators that a gang of the shape cannot use.
///
/// Usable accelerators are in aligned blocks of the task size, within a group of workers (one
/// worker, one rack, adjacent racks, or the zone) that fits the gang. If no group fits it, those
/// of the group with the most count as usable.
pub(crate) fn unusable(map: &BlockMap, shape: GangShape) -> u32 {
    let free = map.free();
    let mut counted = 0;
    let mut max_usable = 0;
    let mut end = 0;
    for group in map.groups(shape) {
        let usable = map.usable_in(group.clone(), shape);
        max_usable = max_usable.max(usable);
        if usable >= shape.accelerators() {
            // Groups of racks overlap; each worker counts once.
            let rest = group.start.max(end)..group.end;
            end = group.end;
            counted += map.usable_in(rest, shape);
        }
    }
    free - counted.max(max_usable).min(free)
}
