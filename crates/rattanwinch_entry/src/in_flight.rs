use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Counts an operation as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard<'a>(&'a AtomicU32);

impl<'a> InFlightGuard<'a> {
    /// Increments `counter`; dropping the guard decrements it.
    pub fn enter(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self(counter)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
