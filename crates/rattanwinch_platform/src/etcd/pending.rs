use std::time::Instant;

use tokio::sync::oneshot;

use crate::Result;
use crate::Transaction;
use crate::TransactionOutcome;

/// A transaction that waits for its call.
#[derive(Debug)]
pub(crate) struct Pending {
    /// The transaction.
    pub transaction: Transaction,
    /// When it began to wait.
    pub since: Instant,
    /// Where its outcome goes.
    pub reply: oneshot::Sender<Result<TransactionOutcome>>,
}

impl Pending {
    /// Tells the outcome; a caller that no longer waits doesn't need it.
    pub fn finish(self, outcome: Result<TransactionOutcome>) {
        let _ = self.reply.send(outcome);
    }
}
