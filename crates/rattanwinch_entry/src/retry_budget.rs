use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// The credit for each success, in thousandths of a retry. Retries stay below 10% of successes, so
/// that they do not add much load to a failing fleet.
const SUCCESS_CREDIT_MILLI: i64 = 100;

/// The cost of a retry, in thousandths of a retry.
const RETRY_COST_MILLI: i64 = 1000;

/// The maximum balance, in thousandths of a retry: 32 retries in a row, enough for the targets of a
/// lost worker.
const MAX_BALANCE_MILLI: i64 = 32 * RETRY_COST_MILLI;

/// Limits retries to a share of the successes.
#[derive(Debug)]
pub(crate) struct RetryBudget(AtomicI64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(AtomicI64::new(MAX_BALANCE_MILLI))
    }
}

impl RetryBudget {
    /// Adds the credit for a success.
    pub fn deposit(&self) {
        let credit = |balance: i64| Some((balance + SUCCESS_CREDIT_MILLI).min(MAX_BALANCE_MILLI));
        let _ = self
            .0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, credit);
    }

    /// Withdraws the cost of one retry; returns false if the balance is too low.
    pub fn try_withdraw(&self) -> bool {
        let withdraw =
            |balance: i64| (balance >= RETRY_COST_MILLI).then_some(balance - RETRY_COST_MILLI);
        self.0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, withdraw)
            .is_ok()
    }
}
