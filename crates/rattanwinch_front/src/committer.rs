use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::LEADER_KEY;
use rattanwinch_fleet::LeaderRecord;
use rattanwinch_site_store::CommitOutcome;
use rattanwinch_site_store::Item;
use rattanwinch_site_store::Lease;
use rattanwinch_site_store::MAX_TRANSACTION_ENTRIES;
use rattanwinch_site_store::Revision;
use rattanwinch_site_store::StoreClient;
use rattanwinch_site_store::Transaction;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::task::JoinSet;

/// Result of a commit.
pub(crate) type Result<T> = std::result::Result<T, LeadershipLost>;

/// Transaction entries taken by the leader key: its condition and its new value.
const LEADER_KEY_ENTRIES: usize = 2;

/// Delay after which a further copy of an unanswered transaction is sent, since a lost answer never
/// arrives. The store's slowest answers by the users' requirements take 240 ms.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of copies of one transaction in flight.
const MAX_IN_FLIGHT_COPIES: usize = 4;

/// Backoff after a copy that was refused or whose connection failed.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Value bytes after which a transaction is closed. The store accepts 1 MB for a single value, but
/// a slow store handles shorter messages faster.
const MAX_TRANSACTION_BYTES: usize = 256 * 1024;

/// Another front has taken over, or the lease has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadershipLost;

/// Keys to write and keys to delete.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writes {
    pub puts: Vec<(String, Vec<u8>)>,
    pub deletes: Vec<String>,
}

/// Commits changes to the store, one transaction after the other.
///
/// Each transaction is conditional on the revision of the leader key that the previous one wrote.
/// So a transaction whose answer was lost can be resent: it is applied at most once, and never
/// after a later one.
#[derive(Debug)]
pub(crate) struct Committer {
    pub store: StoreClient,
    pub lease: Lease,
    pub record: LeaderRecord,
    pub revision: Revision,
    pub log: Logger,
}

impl Committer {
    /// Commits all writes, in as few transactions as the store's limits allow: puts in their order,
    /// then deletes in theirs.
    pub(crate) async fn commit(&mut self, writes: Writes) -> Result<()> {
        let mut deletes = writes.deletes.into_iter().peekable();
        let mut puts = writes.puts.into_iter().peekable();
        while puts.peek().is_some() || deletes.peek().is_some() {
            let mut part = Writes::default();
            let mut bytes = 0;
            let max_entries = MAX_TRANSACTION_ENTRIES - LEADER_KEY_ENTRIES;
            while part.puts.len() < max_entries && bytes < MAX_TRANSACTION_BYTES {
                let Some(put) = puts.next() else { break };
                bytes += put.1.len();
                part.puts.push(put);
            }
            let max_deletes = max_entries - part.puts.len();
            if puts.peek().is_none() {
                part.deletes = deletes.by_ref().take(max_deletes).collect();
            }
            self.commit_batch(part).await?;
        }
        Ok(())
    }

    async fn commit_batch(&mut self, part: Writes) -> Result<()> {
        let mut record = self.record.clone();
        record.transaction_count += 1;
        let leader = (LEADER_KEY.to_owned(), record.encode(), Some(self.lease));
        let puts = part.puts.into_iter().map(|(key, value)| (key, value, None));
        let transaction = Transaction {
            conditions: vec![(LEADER_KEY.to_owned(), self.revision)],
            puts: std::iter::once(leader).chain(puts).collect(),
            deletes: part.deletes,
        };
        let (revision, copies) = self.send(&record, Arc::new(transaction)).await?;
        if copies > 1 {
            info!(self.log, "commit done";
                "change" => record.transaction_count, "copies" => copies);
        }
        self.revision = revision;
        self.record = record;
        Ok(())
    }

    /// Sends copies of a transaction until one is known to be applied; returns the revision and the
    /// number of copies.
    async fn send(
        &self,
        record: &LeaderRecord,
        transaction: Arc<Transaction>,
    ) -> Result<(Revision, u32)> {
        let mut copies = JoinSet::new();
        let mut sent: u32 = 0;
        loop {
            if copies.len() < MAX_IN_FLIGHT_COPIES {
                let (store, transaction) = (self.store.clone(), Arc::clone(&transaction));
                copies.spawn(async move { store.commit(&transaction).await });
                sent += 1;
            }
            let answered = tokio::time::timeout(RESEND_DELAY, copies.join_next()).await;
            match answered {
                Ok(Some(Ok(Ok(CommitOutcome::Done(revision))))) => return Ok((revision, sent)),
                Ok(Some(Ok(Ok(CommitOutcome::Conflict(items))))) => {
                    return Ok((own_write_revision(record, &items)?, sent));
                }
                Ok(Some(Ok(Ok(CommitOutcome::LeaseEnded)))) => return Err(LeadershipLost),
                Ok(Some(Ok(Err(error)))) => {
                    if sent == 1 {
                        warn!(self.log, "commit unanswered, sent again"; "error" => %error,
                            "change" => record.transaction_count,
                            "may_be_done" => error.may_have_run());
                    }
                    tokio::time::sleep(RETRY_BACKOFF).await;
                }
                // No answer yet, or a copy that failed: the next one is sent.
                Ok(Some(Err(_)) | None) | Err(_) => {}
            }
        }
    }
}

/// Revision of this process's own write, if the conflict is with an earlier copy of the same
/// transaction.
fn own_write_revision(record: &LeaderRecord, items: &[Item]) -> Result<Revision> {
    let item = items.iter().find(|item| item.key == LEADER_KEY);
    let item = item.ok_or(LeadershipLost)?;
    let ours = LeaderRecord::decode(&item.value).is_some_and(|stored| stored == *record);
    ours.then_some(item.mod_revision).ok_or(LeadershipLost)
}
