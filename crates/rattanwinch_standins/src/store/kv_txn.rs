use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use rattanwinch_platform::wire::JsonBytes;
use rattanwinch_platform::wire::JsonInt;
use rattanwinch_platform::wire::WireCompare;
use rattanwinch_platform::wire::WireCompareResult;
use rattanwinch_platform::wire::WireCompareTarget;
use rattanwinch_platform::wire::WireDeleteRange;
use rattanwinch_platform::wire::WireDeleteRangeResponse;
use rattanwinch_platform::wire::WireHeader;
use rattanwinch_platform::wire::WirePutResponse;
use rattanwinch_platform::wire::WireRangeResponse;
use rattanwinch_platform::wire::WireRequestOp;
use rattanwinch_platform::wire::WireResponseOp;
use rattanwinch_platform::wire::WireTxn;
use rattanwinch_platform::wire::WireTxnResponse;

use super::KvRefusal;
use super::KvResult;
use super::KvState;
use super::kv_state::is_below;

/// The most operations of one transaction, etcd's default.
const MAX_OPS: usize = 128;

impl KvState {
    /// Applies a transaction. As etcd does, it evaluates all comparisons, nested ones included,
    /// before it applies anything, and all changes get the same revision.
    ///
    /// # Errors
    ///
    /// A [`KvRefusal`] if the transaction is refused as a whole; nothing is changed then.
    pub fn txn(&mut self, txn: &WireTxn) -> KvResult<WireTxnResponse> {
        check_ops(txn)?;
        check_keys(&txn.success)?;
        check_keys(&txn.failure)?;
        let mut path = VecDeque::new();
        self.choose(txn, &mut path);
        self.check_puts(txn, &mut path.clone())?;
        let revision = self.revision + 1;
        let mut changes = 0;
        let mut response = self.apply(txn, &mut path, revision, &mut changes);
        if changes > 0 {
            self.revision = revision;
        }
        response.header = self.header();
        Ok(response)
    }

    /// Records for the transaction and the nested ones on the chosen branches, in order, whether
    /// their comparisons hold.
    fn choose(&self, txn: &WireTxn, path: &mut VecDeque<bool>) {
        let holds = txn.compare.iter().all(|compare| self.compare(compare));
        path.push_back(holds);
        for op in branch(txn, holds) {
            if let WireRequestOp::Txn(nested) = op {
                self.choose(nested, path);
            }
        }
    }

    fn check_puts(&self, txn: &WireTxn, path: &mut VecDeque<bool>) -> KvResult<()> {
        let holds = path.pop_front().unwrap_or(false);
        for op in branch(txn, holds) {
            match op {
                WireRequestOp::Put(put) => self.check_put(put)?,
                WireRequestOp::Txn(nested) => self.check_puts(nested, path)?,
                WireRequestOp::Range(_) | WireRequestOp::DeleteRange(_) => {}
            }
        }
        Ok(())
    }

    fn apply(
        &mut self,
        txn: &WireTxn,
        path: &mut VecDeque<bool>,
        revision: i64,
        changes: &mut usize,
    ) -> WireTxnResponse {
        let succeeded = path.pop_front().unwrap_or(false);
        let mut responses = Vec::new();
        for op in branch(txn, succeeded) {
            responses.push(match op {
                WireRequestOp::Range(range) => WireResponseOp::Range(WireRangeResponse {
                    header: WireHeader::default(),
                    ..self.range(range)
                }),
                WireRequestOp::Put(put) => {
                    self.put_at(put, revision);
                    *changes += 1;
                    WireResponseOp::Put(WirePutResponse::default())
                }
                WireRequestOp::DeleteRange(delete) => {
                    let deleted = self.delete(delete, revision);
                    *changes += deleted;
                    WireResponseOp::DeleteRange(WireDeleteRangeResponse {
                        deleted: JsonInt(i64::try_from(deleted).unwrap_or(i64::MAX)),
                        ..WireDeleteRangeResponse::default()
                    })
                }
                WireRequestOp::Txn(nested) => {
                    WireResponseOp::Txn(self.apply(nested, path, revision, changes))
                }
            });
        }
        WireTxnResponse {
            header: WireHeader::default(),
            succeeded,
            responses,
        }
    }

    fn delete(&mut self, delete: &WireDeleteRange, revision: i64) -> usize {
        let keys = self.keys_in(&delete.key, &delete.range_end);
        self.delete_at(keys, revision)
    }

    fn compare(&self, compare: &WireCompare) -> bool {
        let kv = self.keys.get(&compare.key);
        let number = |found: Option<JsonInt<i64>>, expected: Option<JsonInt<i64>>| {
            found.unwrap_or_default().cmp(&expected.unwrap_or_default())
        };
        let order = match compare.target {
            WireCompareTarget::Version => number(kv.map(|kv| kv.version), compare.version),
            WireCompareTarget::Create => {
                number(kv.map(|kv| kv.create_revision), compare.create_revision)
            }
            WireCompareTarget::Mod => number(kv.map(|kv| kv.mod_revision), compare.mod_revision),
            WireCompareTarget::Value => match kv {
                Some(kv) => kv
                    .value
                    .cmp(compare.value.as_ref().unwrap_or(&JsonBytes::default())),
                // A key that doesn't exist has no value that could compare.
                None => return false,
            },
        };
        match compare.result {
            WireCompareResult::Equal => order == Ordering::Equal,
            WireCompareResult::Greater => order == Ordering::Greater,
            WireCompareResult::Less => order == Ordering::Less,
            WireCompareResult::NotEqual => order != Ordering::Equal,
        }
    }
}

fn branch(txn: &WireTxn, succeeded: bool) -> &[WireRequestOp] {
    if succeeded {
        &txn.success
    } else {
        &txn.failure
    }
}

/// Whether a transaction changes nothing, whichever branches it takes.
pub(super) fn is_read_only(txn: &WireTxn) -> bool {
    txn.success.iter().chain(&txn.failure).all(|op| match op {
        WireRequestOp::Range(_) => true,
        WireRequestOp::Put(_) | WireRequestOp::DeleteRange(_) => false,
        WireRequestOp::Txn(nested) => is_read_only(nested),
    })
}

fn check_ops(txn: &WireTxn) -> KvResult<()> {
    let most = txn
        .compare
        .len()
        .max(txn.success.len())
        .max(txn.failure.len());
    if most > MAX_OPS {
        return Err(KvRefusal::TooManyOps);
    }
    for op in txn.success.iter().chain(&txn.failure) {
        if let WireRequestOp::Txn(nested) = op {
            check_ops(nested)?;
        }
    }
    Ok(())
}

/// The keys that some operations may write.
#[derive(Debug, Default)]
struct WrittenKeys<'a> {
    puts: BTreeSet<&'a JsonBytes>,
    deletes: Vec<&'a WireDeleteRange>,
}

/// Checks that no two operations that can both be applied write the same key.
fn check_keys(ops: &[WireRequestOp]) -> KvResult<WrittenKeys<'_>> {
    let mut written = WrittenKeys::default();
    for op in ops {
        if let WireRequestOp::DeleteRange(delete) = op {
            written.deletes.push(delete);
        }
    }
    for op in ops {
        let WireRequestOp::Txn(nested) = op else {
            continue;
        };
        let success = check_keys(&nested.success)?;
        let failure = check_keys(&nested.failure)?;
        // Only one of the two branches is applied, so they may write the same keys.
        let puts: BTreeSet<_> = success.puts.union(&failure.puts).copied().collect();
        for key in puts {
            insert_put(&mut written, key)?;
        }
        written.deletes.extend(success.deletes);
        written.deletes.extend(failure.deletes);
    }
    for op in ops {
        if let WireRequestOp::Put(put) = op {
            insert_put(&mut written, &put.key)?;
        }
    }
    Ok(written)
}

fn insert_put<'a>(written: &mut WrittenKeys<'a>, key: &'a JsonBytes) -> KvResult<()> {
    let deleted = written.deletes.iter().any(|delete| {
        delete.key == *key
            || (!delete.range_end.is_empty()
                && *key >= delete.key
                && is_below(key, &delete.range_end))
    });
    if deleted || !written.puts.insert(key) {
        return Err(KvRefusal::DuplicateKey);
    }
    Ok(())
}
