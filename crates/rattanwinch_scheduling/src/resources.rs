use rattanwinch_types::value;

value! { copy
    /// The resources that a task requires or a target has.
    pub struct Resources {
        /// Processor time in thousandths of a core.
        pub cpu_millis: u64,
        /// Memory in megabytes.
        pub memory_mb: u64,
        /// Whole accelerators.
        pub accelerators: u64,
    }
}

/// The weight of an accelerator in cores when lost work is compared; the ratio of the platform's
/// prices for wasted work.
const CORES_PER_ACCELERATOR: u64 = 8;

impl Resources {
    /// No resources.
    pub const NONE: Self = Self {
        cpu_millis: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Returns how many times `required` fits; `u64::MAX` if it contains no resources.
    #[must_use]
    pub fn max_count(self, required: Self) -> u64 {
        let times =
            |available: u64, required: u64| available.checked_div(required).unwrap_or(u64::MAX);
        times(self.cpu_millis, required.cpu_millis)
            .min(times(self.memory_mb, required.memory_mb))
            .min(times(self.accelerators, required.accelerators))
    }

    /// Returns true if `required` fits into `self`.
    #[must_use]
    pub const fn fits(self, required: Self) -> bool {
        self.cpu_millis >= required.cpu_millis
            && self.memory_mb >= required.memory_mb
            && self.accelerators >= required.accelerators
    }

    /// Returns the sum.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns the difference, saturating at zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns how many tasks that require `required` fit side by side, at most `max`.
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

    /// Returns the weight in thousandths of a core, with accelerators counted as cores.
    #[must_use]
    pub const fn weighted_cpu_millis(self) -> u64 {
        self.cpu_millis + self.accelerators * CORES_PER_ACCELERATOR * 1000
    }
}
