use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Thousandths of a retry that each success earns: retries stay below 10% of successes, so that
/// a failing fleet isn't hit harder.
const EARNED_BY_SUCCESS: i64 = 100;

/// The price of a retry in the same unit.
const PRICE_OF_RETRY: i64 = 1000;

/// The most that can be saved up: 32 retries in a row, enough for the targets of a lost worker.
const MOST_SAVED: i64 = 32 * PRICE_OF_RETRY;

/// Limits retries to a share of the successes.
#[derive(Debug)]
pub(crate) struct RetryBudget(AtomicI64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(AtomicI64::new(MOST_SAVED))
    }
}

impl RetryBudget {
    /// Counts a success.
    pub fn earn(&self) {
        let earn = |saved: i64| Some((saved + EARNED_BY_SUCCESS).min(MOST_SAVED));
        let _ = self
            .0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, earn);
    }

    /// Takes the price of one retry; false if there isn't enough.
    pub fn spend(&self) -> bool {
        let spend = |saved: i64| (saved >= PRICE_OF_RETRY).then_some(saved - PRICE_OF_RETRY);
        self.0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, spend)
            .is_ok()
    }
}
