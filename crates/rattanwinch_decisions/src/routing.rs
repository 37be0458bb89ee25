rattanwinch_types::value! { copy
    /// Load of one target, as known to an entry.
    pub struct TargetLoad {
        /// Whether requests may be sent to the target.
        pub usable: bool,
        /// Number of requests that run or wait there.
        pub in_flight: u32,
        /// Number of requests that it runs at once.
        pub slots: u16,
    }
}

impl TargetLoad {
    /// Whether `self` has fewer requests per slot than `other`.
    fn is_less_loaded_than(self, other: Self) -> bool {
        let left = u64::from(self.in_flight) * u64::from(other.slots.max(1));
        let right = u64::from(other.in_flight) * u64::from(self.slots.max(1));
        left < right
    }
}

/// Picks one of `len` targets: the less loaded of two that `draw` selects (power of two choices),
/// or the least loaded usable one if neither is usable.
///
/// Two choices keep the longest queue short without reading the load of every target, which matters
/// with thousands of them. Returns the index, or `None` if no target is usable.
pub fn pick_target(len: usize, draw: u64, load: impl Fn(usize) -> TargetLoad) -> Option<usize> {
    if len == 0 {
        return None;
    }
    let first = index_below(draw >> 32, len);
    let second = index_below(draw & u64::from(u32::MAX), len);
    let (first_load, second_load) = (load(first), load(second));
    match (first_load.usable, second_load.usable) {
        (true, true) if second_load.is_less_loaded_than(first_load) => Some(second),
        (true, _) => Some(first),
        (false, true) => Some(second),
        (false, false) => least_loaded(len, load),
    }
}

/// Maps 32 random bits to an index below `len` by multiplication, without modulo bias.
fn index_below(bits: u64, len: usize) -> usize {
    let scaled = (u128::from(bits) * len as u128) >> 32;
    usize::try_from(scaled).unwrap_or(len - 1).min(len - 1)
}

fn least_loaded(len: usize, load: impl Fn(usize) -> TargetLoad) -> Option<usize> {
    let mut best: Option<(usize, TargetLoad)> = None;
    for index in 0..len {
        let candidate = load(index);
        let better = best.is_none_or(|(_, least)| candidate.is_less_loaded_than(least));
        if candidate.usable && better {
            best = Some((index, candidate));
        }
    }
    best.map(|(index, _)| index)
}
