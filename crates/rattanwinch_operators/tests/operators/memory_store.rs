//! An in-memory store whose calls can fail in the same ways as those of the platform's store.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;

use rattanwinch_platform::Condition;
use rattanwinch_platform::KeyValue;
use rattanwinch_platform::Page;
use rattanwinch_platform::Result;
use rattanwinch_platform::Snapshot;
use rattanwinch_platform::SnapshotPart;
use rattanwinch_platform::SnapshotRange;
use rattanwinch_platform::Store;
use rattanwinch_platform::StoreError;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_platform::Write;
use rattanwinch_platform::keys;
use rattanwinch_platform::keys::Key;
use rattanwinch_types::Revision;

/// A fault injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The request is not applied, and the client gets a definite error.
    Refused,
    /// The request is not applied, and the client gets an ambiguous error.
    LostRequest,
    /// The request is applied, and the client gets an ambiguous error.
    LostAnswer,
    /// The request is applied after this number of further calls, and the client gets an ambiguous
    /// error.
    Delayed(u8),
}

#[derive(Debug, Default)]
struct Contents {
    values: BTreeMap<Key, KeyValue>,
    revision: i64,
    faults: VecDeque<Fault>,
    delayed: Vec<(u8, Transaction)>,
    /// Every revision of the document, in the order of the writes.
    document_revisions: Vec<Revision>,
}

/// The in-memory store.
#[derive(Debug, Default)]
pub struct MemoryStore(Mutex<Contents>);

impl MemoryStore {
    /// Injects these faults into the next calls, one each; later calls have none.
    pub fn with_faults(self, faults: impl IntoIterator<Item = Fault>) -> Self {
        self.contents().faults.extend(faults);
        self
    }

    /// Applies the delayed transactions and removes all remaining faults.
    pub fn apply_all_delayed(&self) {
        let mut contents = self.contents();
        contents.faults.clear();
        for (_, transaction) in std::mem::take(&mut contents.delayed) {
            contents.apply(transaction);
        }
    }

    /// Every revision that the document has had, in the order of the writes.
    pub fn document_revisions(&self) -> Vec<Revision> {
        self.contents().document_revisions.clone()
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl Contents {
    fn next_fault(&mut self) -> Fault {
        self.apply_delayed();
        self.faults.pop_front().unwrap_or(Fault::None)
    }

    /// Applies the transactions whose delay has expired; called once for each call.
    fn apply_delayed(&mut self) {
        for (calls, transaction) in std::mem::take(&mut self.delayed) {
            if calls == 0 {
                self.apply(transaction);
            } else {
                self.delayed.push((calls - 1, transaction));
            }
        }
    }

    fn apply(&mut self, transaction: Transaction) -> TransactionOutcome {
        let holds = transaction.conditions.iter().all(|condition| {
            let found = self.values.get(condition.key());
            match condition {
                Condition::Absent(_) => found.is_none(),
                Condition::ModifiedAt(_, revision) => {
                    found.is_some_and(|found| found.revision == *revision)
                }
            }
        });
        if !holds {
            let keys = transaction.conditions.iter().map(Condition::key);
            let found = keys.filter_map(|key| self.values.get(key).cloned());
            return TransactionOutcome::Conflict(found.collect());
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        for write in transaction.writes {
            match write {
                Write::Put { key, value, .. } => {
                    if key == keys::config() {
                        self.document_revisions.push(revision);
                    }
                    let entry = KeyValue {
                        key: Key::clone(&key),
                        value,
                        revision,
                    };
                    self.values.insert(key, entry);
                }
                Write::Delete(key) => {
                    self.values.remove(&key);
                }
            }
        }
        TransactionOutcome::Applied(revision)
    }
}

fn read_fault(fault: Fault) -> Result<()> {
    if fault == Fault::None {
        return Ok(());
    }
    Err(StoreError::not_applied("the read was not answered"))
}

impl Store for MemoryStore {
    async fn transact(&self, transaction: Transaction) -> Result<TransactionOutcome> {
        tokio::task::yield_now().await;
        let mut contents = self.contents();
        let lost = || StoreError::may_be_applied("the answer was lost");
        match contents.next_fault() {
            Fault::None => Ok(contents.apply(transaction)),
            Fault::Refused => Err(StoreError::not_applied("the store cannot be reached")),
            Fault::LostRequest => Err(lost()),
            Fault::LostAnswer => {
                contents.apply(transaction);
                Err(lost())
            }
            Fault::Delayed(calls) => {
                contents.delayed.push((calls, transaction));
                Err(lost())
            }
        }
    }

    async fn read(&self, key: &Key) -> Result<Option<KeyValue>> {
        tokio::task::yield_now().await;
        let mut contents = self.contents();
        read_fault(contents.next_fault())?;
        Ok(contents.values.get(key).cloned())
    }

    async fn read_page(&self, prefix: &Key, after: Option<&Key>, limit: u32) -> Result<Page> {
        tokio::task::yield_now().await;
        let mut contents = self.contents();
        read_fault(contents.next_fault())?;
        let matching = contents.values.values().filter(|item| {
            item.key.starts_with(&**prefix) && after.is_none_or(|after| item.key > *after)
        });
        let limit = usize::try_from(limit).expect("a page limit fits");
        let mut items: Vec<_> = matching.take(limit + 1).cloned().collect();
        let more = items.len() > limit;
        items.truncate(limit);
        Ok(Page {
            items,
            more,
            revision: Revision(contents.revision),
        })
    }

    async fn read_snapshot(&self, ranges: &[SnapshotRange]) -> Result<Snapshot> {
        let mut contents = self.contents();
        read_fault(contents.next_fault())?;
        let parts = ranges.iter().map(|range| {
            let in_range = |item: &&KeyValue| match range {
                SnapshotRange::KeyIfModifiedAfter { key, .. } => item.key == *key,
                SnapshotRange::Prefix(prefix) => item.key.starts_with(&**prefix),
            };
            let found: Vec<_> = contents.values.values().filter(in_range).cloned().collect();
            let count = u64::try_from(found.len()).expect("a count of keys fits");
            let is_newer = |item: &KeyValue| match range {
                SnapshotRange::KeyIfModifiedAfter { known, .. } => item.revision > *known,
                SnapshotRange::Prefix(_) => true,
            };
            SnapshotPart {
                items: found.into_iter().filter(is_newer).collect(),
                count,
            }
        });
        Ok(Snapshot {
            parts: parts.collect(),
            revision: Revision(contents.revision),
            cluster: 1,
        })
    }
}
