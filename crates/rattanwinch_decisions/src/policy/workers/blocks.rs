//! Aligned power-of-two blocks within the accelerators of one worker.

/// Bit set of the first accelerators of all aligned blocks of `size` within `bits`.
pub(crate) const fn block_starts(bits: u8, size: u8) -> u8 {
    let pairs = bits & (bits >> 1) & 0x55;
    match size {
        1 => bits,
        2 => pairs,
        4 => pairs & (pairs >> 2) & 0x11,
        _ => (bits == u8::MAX) as u8,
    }
}

/// Bits of the block of `size` that starts at `first`.
pub(crate) const fn block_bits(first: u32, size: u8) -> u8 {
    (u8::MAX >> (8 - size)) << first
}

/// Iterates over all aligned blocks of `size` within `bits`.
pub(crate) fn each_block(bits: u8, size: u8) -> impl Iterator<Item = u8> {
    let mut starts = block_starts(bits, size);
    std::iter::from_fn(move || {
        if starts == 0 {
            return None;
        }
        let first = starts.trailing_zeros();
        starts &= starts - 1;
        Some(block_bits(first, size))
    })
}

/// Counts the free blocks of 1, 2, 4 and 8 accelerators, each at its largest size.
pub(crate) const fn largest_blocks(bits: u8) -> [u32; 4] {
    let eights = block_starts(bits, 8).count_ones();
    let fours = block_starts(bits, 4).count_ones();
    let twos = block_starts(bits, 2).count_ones();
    [
        bits.count_ones() - 2 * twos,
        twos - 2 * fours,
        fours - 2 * eights,
        eights,
    ]
}

/// Number of larger aligned free blocks that taking `block` splits: 0 if it splits none, 3 if
/// taking one accelerator splits a whole worker.
pub(crate) fn split_levels(free: u8, block: u8) -> u64 {
    let first = block.trailing_zeros();
    let mut levels = 0;
    let mut size = block.count_ones() * 2;
    while size <= 8 {
        let enclosing = (u8::MAX >> (8 - size)) << (first / size * size);
        if free & enclosing != enclosing {
            break;
        }
        levels += 1;
        size *= 2;
    }
    levels
}
