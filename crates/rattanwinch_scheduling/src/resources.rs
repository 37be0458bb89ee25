use rattanwinch_types::value;

value! { copy
    /// What a task needs or a target has.
    pub struct Resources {
        /// Processor time in thousandths of a core.
        pub cpu_millis: u64,
        /// Memory in megabytes.
        pub memory_mb: u64,
        /// Whole accelerators.
        pub accelerators: u64,
    }
}

/// Cores that one accelerator counts for when lost work is compared; the platform prices
/// wasted work in this ratio.
const CORES_PER_ACCELERATOR: u64 = 8;

impl Resources {
    /// Nothing at all.
    pub const NONE: Self = Self {
        cpu_millis: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// How many times `need` fits.
    #[must_use]
    pub fn copies(self, required: Self) -> u64 {
        let times = |room: u64, required: u64| room.checked_div(required).unwrap_or(u64::MAX);
        times(self.cpu_millis, required.cpu_millis)
            .min(times(self.memory_mb, required.memory_mb))
            .min(times(self.accelerators, required.accelerators))
    }

    /// True if `self` has room for `need`.
    #[must_use]
    pub const fn fits(self, required: Self) -> bool {
        self.cpu_millis >= required.cpu_millis
            && self.memory_mb >= required.memory_mb
            && self.accelerators >= required.accelerators
    }

    /// The sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left after `other` is taken, at least nothing.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// How many tasks that need `need` fit beside each other, at most `most`.
    #[must_use]
    pub fn slots(self, required: Self, max: usize) -> usize {
        let mut left = self;
        let mut slots = 0;
        while slots < max && left.fits(required) {
            left = left.minus(required);
            slots += 1;
        }
        slots
    }

    /// Thousandths of a core, with accelerators counted as cores.
    #[must_use]
    pub const fn weighted_cpu_millis(self) -> u64 {
        self.cpu_millis + self.accelerators * CORES_PER_ACCELERATOR * 1000
    }
}
