use bon::Builder;

/// The limits that the store enforces.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct StoreLimits {
    /// The maximum number of write calls in any one-second window.
    #[builder(default = 300)]
    pub writes_per_second: usize,
    /// The maximum number of read calls in any one-second window; each open watch counts as one.
    #[builder(default = 2000)]
    pub reads_per_second: usize,
    /// The maximum size of a value.
    #[builder(default = 1_000_000)]
    pub max_value_bytes: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self::builder().build()
    }
}
