use std::fmt;

use crate::WORKER_ACCELERATORS;

crate::value! { copy
    /// A set of accelerators of one worker, as a bit mask: bit `n` is accelerator `n`.
    #[derive(Default)]
    pub struct AcceleratorSet(u8);
}

impl AcceleratorSet {
    /// The empty set.
    pub const EMPTY: Self = Self(0);

    /// All accelerators of a worker.
    pub const ALL: Self = Self(u8::MAX);

    /// Creates a set from a bit mask.
    #[must_use]
    pub const fn from_bits(bits: u8) -> Self {
        Self(bits)
    }

    /// The set as a bit mask.
    #[must_use]
    pub const fn bits(self) -> u8 {
        self.0
    }

    /// The block of `size` accelerators that starts at `first`.
    ///
    /// # Panics
    ///
    /// If `size` is not a power of two, or the block is not aligned to it or exceeds the worker.
    #[must_use]
    pub fn block(first: u8, size: u8) -> Self {
        let fits = size.is_power_of_two() && first + size <= WORKER_ACCELERATORS;
        assert!(
            fits && first.is_multiple_of(size),
            "invalid block of {size} accelerators at {first}: expected an aligned power of two"
        );
        let ones = u16::from(u8::MAX) >> (WORKER_ACCELERATORS - size);
        Self(u8::try_from(ones << first).expect("an aligned block fits 8 bits"))
    }

    /// The number of accelerators.
    #[must_use]
    pub const fn count(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns true if the set is empty.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns true if the sets have an accelerator in common.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// The accelerators in either set.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// The accelerators in this set that are not in `other`.
    #[must_use]
    pub const fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }
}

impl fmt::Display for AcceleratorSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08b}", self.0)
    }
}
