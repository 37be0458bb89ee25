use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::LEADER_KEY;
use rattanwinch_fleet::LeaderRecord;
use rattanwinch_site_store::Committed;
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

/// What a commit returns.
pub(crate) type Result<T> = std::result::Result<T, LeadershipLost>;

/// Entries of a transaction that the leader's own key takes: its condition and its new value.
const LEADER_ENTRIES: usize = 2;

/// A further copy of a transaction is sent if there is no answer by then: an answer that was
/// lost never comes. The store's slowest answers on the users' sheets take 240 ms.
const COPY_DELAY: Duration = Duration::from_millis(300);

/// Copies of a transaction that are on their way at once.
const MAX_COPIES: usize = 4;

/// The pause after a copy that was refused or cut off.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The largest sum of values in one transaction, in bytes; a value alone may have 1 MB, but
/// shorter messages are carried faster by a slow store.
const MAX_TRANSACTION_BYTES: usize = 256 * 1024;

/// Another front has taken over, or the lease has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadershipLost;

/// Keys to write and to remove.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writes {
    pub puts: Vec<(String, Vec<u8>)>,
    pub deletes: Vec<String>,
}

/// Makes changes durable, one transaction after the other.
///
/// Each one is conditional on the leader's key as the one before left it. So a transaction whose
/// answer was lost can be sent again: it is carried out once, and never after a later one.
#[derive(Debug)]
pub(crate) struct Committer {
    pub store: StoreClient,
    pub lease: Lease,
    pub record: LeaderRecord,
    pub revision: Revision,
    pub log: Logger,
}

impl Committer {
    /// Writes everything, in as few transactions as the store's limits allow.
    pub(crate) async fn commit(&mut self, writes: Writes) -> Result<()> {
        let mut deletes = writes.deletes;
        let mut puts = writes.puts.into_iter().peekable();
        while puts.peek().is_some() || !deletes.is_empty() {
            let mut part = Writes::default();
            let mut bytes = 0;
            let room = MAX_TRANSACTION_ENTRIES - LEADER_ENTRIES;
            while part.puts.len() < room && bytes < MAX_TRANSACTION_BYTES {
                let Some(put) = puts.next() else { break };
                bytes += put.1.len();
                part.puts.push(put);
            }
            let rest = room - part.puts.len();
            part.deletes = deletes.split_off(deletes.len().saturating_sub(rest));
            self.commit_part(part).await?;
        }
        Ok(())
    }

    async fn commit_part(&mut self, part: Writes) -> Result<()> {
        let mut record = self.record.clone();
        record.change += 1;
        let leader = (LEADER_KEY.to_owned(), record.encode(), Some(self.lease));
        let puts = part.puts.into_iter().map(|(key, value)| (key, value, None));
        let transaction = Transaction {
            conditions: vec![(LEADER_KEY.to_owned(), self.revision)],
            puts: std::iter::once(leader).chain(puts).collect(),
            deletes: part.deletes,
        };
        let (revision, copies) = self.send(&record, Arc::new(transaction)).await?;
        if copies > 1 {
            info!(self.log, "commit done"; "change" => record.change, "copies" => copies);
        }
        self.revision = revision;
        self.record = record;
        Ok(())
    }

    /// Sends a transaction until one copy of it is known to be done; gives the revision and the
    /// number of copies.
    async fn send(
        &self,
        record: &LeaderRecord,
        transaction: Arc<Transaction>,
    ) -> Result<(Revision, u32)> {
        let mut copies = JoinSet::new();
        let mut sent: u32 = 0;
        loop {
            if copies.len() < MAX_COPIES {
                let (store, transaction) = (self.store.clone(), Arc::clone(&transaction));
                copies.spawn(async move { store.commit(&transaction).await });
                sent += 1;
            }
            let answered = tokio::time::timeout(COPY_DELAY, copies.join_next()).await;
            match answered {
                Ok(Some(Ok(Ok(Committed::Done(revision))))) => return Ok((revision, sent)),
                Ok(Some(Ok(Ok(Committed::Conflict(items))))) => {
                    return Ok((written_by(record, &items)?, sent));
                }
                Ok(Some(Ok(Ok(Committed::LeaseEnded)))) => return Err(LeadershipLost),
                Ok(Some(Ok(Err(error)))) => {
                    if sent == 1 {
                        warn!(self.log, "commit unanswered, sent again"; "error" => %error,
                            "change" => record.change, "may_be_done" => error.may_be_done());
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                // No answer yet, or a copy that was given up: the next one is sent.
                Ok(Some(Err(_)) | None) | Err(_) => {}
            }
        }
    }
}

/// The revision of our own write, if the conflict is with an earlier copy of it.
fn written_by(record: &LeaderRecord, items: &[Item]) -> Result<Revision> {
    let item = items.iter().find(|item| item.key == LEADER_KEY);
    let item = item.ok_or(LeadershipLost)?;
    let ours = LeaderRecord::decode(&item.value).is_some_and(|stored| stored == *record);
    ours.then_some(item.changed).ok_or(LeadershipLost)
}
