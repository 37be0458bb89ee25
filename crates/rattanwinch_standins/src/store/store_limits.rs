use bon::Builder;

/// The limits of the store.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct StoreLimits {
    /// The calls that write, in any one-second window; more are refused.
    #[builder(default = 300)]
    pub writes_per_second: usize,
    /// The calls that read, in any one-second window, of which each waiting watch takes one.
    #[builder(default = 2000)]
    pub reads_per_second: usize,
    /// The largest value.
    #[builder(default = 1_000_000)]
    pub max_value_bytes: usize,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self::builder().build()
    }
}
