use std::collections::BTreeMap;

rattanwinch_types::value! { wire
    /// Counts of the store's calls.
    #[derive(Default)]
    pub struct StoreCounts {
        /// The number of calls of each kind, such as `txn_write` or `range`, including unanswered
        /// ones.
        pub calls: BTreeMap<String, u64>,
        /// The number of calls rejected by the rate limits.
        pub refused_by_rate: u64,
        /// The maximum number of write calls in any one-second window.
        pub most_writes_per_second: usize,
        /// The maximum number of read calls in any one-second window, without open watches.
        pub most_reads_per_second: usize,
        /// The number of open watches.
        pub waiting_watches: usize,
    }
}

impl StoreCounts {
    /// Returns the number of calls of a kind.
    #[must_use]
    pub fn calls_of(&self, kind: &str) -> u64 {
        self.calls.get(kind).copied().unwrap_or(0)
    }
}
