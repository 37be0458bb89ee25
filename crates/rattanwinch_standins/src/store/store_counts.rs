use std::collections::BTreeMap;

rattanwinch_types::value! { wire
    /// What the store has counted.
    #[derive(Default)]
    pub struct StoreCounts {
        /// The calls of each kind, such as `txn_write` or `range`, also those without an answer.
        pub calls: BTreeMap<String, u64>,
        /// The calls that were refused because of the rate.
        pub refused_by_rate: u64,
        /// The most calls that wrote in any one-second window.
        pub most_writes_per_second: usize,
        /// The most calls that read in any one-second window, without waiting watches.
        pub most_reads_per_second: usize,
        /// The watches that wait now.
        pub waiting_watches: usize,
    }
}

impl StoreCounts {
    /// The calls of a kind.
    #[must_use]
    pub fn of(&self, kind: &str) -> u64 {
        self.calls.get(kind).copied().unwrap_or(0)
    }
}
