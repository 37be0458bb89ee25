use std::fmt;

use crate::WORKER_ACCELERATORS;

crate::value! { copy
    /// A set of accelerators of one worker; bit `n` stands for accelerator `n`.
    #[derive(Default)]
    pub struct AcceleratorSet(u8);
}

impl AcceleratorSet {
    /// No accelerator.
    pub const EMPTY: Self = Self(0);

    /// All accelerators of a worker.
    pub const ALL: Self = Self(u8::MAX);

    /// Makes a set from its bits.
    #[must_use]
    pub const fn from_bits(bits: u8) -> Self {
        Self(bits)
    }

    /// The bits.
    #[must_use]
    pub const fn bits(self) -> u8 {
        self.0
    }

    /// The block of `size` accelerators that starts at `first`.
    ///
    /// # Panics
    ///
    /// If the block isn't an aligned power of two within a worker.
    #[must_use]
    pub fn block(first: u8, size: u8) -> Self {
        let fits = size.is_power_of_two() && first + size <= WORKER_ACCELERATORS;
        assert!(
            fits && first.is_multiple_of(size),
            "block {first}+{size} isn't an aligned power of two"
        );
        let ones = u16::from(u8::MAX) >> (WORKER_ACCELERATORS - size);
        Self(u8::try_from(ones << first).expect("an aligned block fits 8 bits"))
    }

    /// The number of accelerators.
    #[must_use]
    pub const fn count(self) -> u32 {
        self.0.count_ones()
    }

    /// True if there is none.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// True if both sets share an accelerator.
    #[must_use]
    pub const fn overlaps(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// Those in either set.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Those in this set and not in `other`.
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
