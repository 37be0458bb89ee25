use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Counts something that runs, until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight<'a>(&'a AtomicU32);

impl<'a> InFlight<'a> {
    /// Begins to count.
    pub fn enter(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self(counter)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
