use std::time::Instant;

use tokio::sync::oneshot;

use crate::Result;
use crate::Transaction;
use crate::TransactionOutcome;

/// A transaction that waits to be committed.
#[derive(Debug)]
pub(crate) struct PendingTransaction {
    /// The transaction.
    pub transaction: Transaction,
    /// When the transaction was queued.
    pub queued_at: Instant,
    /// The channel to the caller.
    pub reply: oneshot::Sender<Result<TransactionOutcome>>,
}

impl PendingTransaction {
    /// Sends the outcome to the caller, if it still waits.
    pub fn complete(self, outcome: Result<TransactionOutcome>) {
        let _ = self.reply.send(outcome);
    }
}
