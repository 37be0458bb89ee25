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

use super::KvError;
use super::KvResult;
use super::KvState;
use super::kv_state::is_below;

/// The maximum number of operations in one transaction; etcd's default.
const MAX_TXN_OPS: usize = 128;

impl KvState {
    /// Applies a transaction. As in etcd, all comparisons, including nested ones, are evaluated
    /// before anything is applied, and all changes get the same revision.
    ///
    /// # Errors
    ///
    /// A [`KvError`] if the transaction is rejected; the state is then unchanged.
    pub fn txn(&mut self, txn: &WireTxn) -> KvResult<WireTxnResponse> {
        check_ops(txn)?;
        check_keys(&txn.success)?;
        check_keys(&txn.failure)?;
        let mut branch_results = VecDeque::new();
        self.evaluate(txn, &mut branch_results);
        self.check_puts(txn, &mut branch_results.clone())?;
        let revision = self.revision + 1;
        let mut changes = 0;
        let mut response = self.apply(txn, &mut branch_results, revision, &mut changes);
        if changes > 0 {
            self.revision = revision;
        }
        response.header = self.header();
        Ok(response)
    }

    /// Evaluates the comparisons of the transaction and of the nested ones on the selected
    /// branches, and appends the results in order.
    fn evaluate(&self, txn: &WireTxn, branch_results: &mut VecDeque<bool>) {
        let holds = txn.compare.iter().all(|compare| self.compare(compare));
        branch_results.push_back(holds);
        for op in selected_branch(txn, holds) {
            if let WireRequestOp::Txn(nested) = op {
                self.evaluate(nested, branch_results);
            }
        }
    }

    fn check_puts(&self, txn: &WireTxn, branch_results: &mut VecDeque<bool>) -> KvResult<()> {
        let holds = branch_results.pop_front().unwrap_or(false);
        for op in selected_branch(txn, holds) {
            match op {
                WireRequestOp::Put(put) => self.check_put(put)?,
                WireRequestOp::Txn(nested) => self.check_puts(nested, branch_results)?,
                WireRequestOp::Range(_) | WireRequestOp::DeleteRange(_) => {}
            }
        }
        Ok(())
    }

    fn apply(
        &mut self,
        txn: &WireTxn,
        branch_results: &mut VecDeque<bool>,
        revision: i64,
        changes: &mut usize,
    ) -> WireTxnResponse {
        let succeeded = branch_results.pop_front().unwrap_or(false);
        let mut responses = Vec::new();
        for op in selected_branch(txn, succeeded) {
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
                    WireResponseOp::Txn(self.apply(nested, branch_results, revision, changes))
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
                // A missing key has no value to compare.
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

fn selected_branch(txn: &WireTxn, succeeded: bool) -> &[WireRequestOp] {
    if succeeded {
        &txn.success
    } else {
        &txn.failure
    }
}

/// Whether a transaction contains only reads, on all branches.
pub(super) fn is_read_only(txn: &WireTxn) -> bool {
    txn.success.iter().chain(&txn.failure).all(|op| match op {
        WireRequestOp::Range(_) => true,
        WireRequestOp::Put(_) | WireRequestOp::DeleteRange(_) => false,
        WireRequestOp::Txn(nested) => is_read_only(nested),
    })
}

fn check_ops(txn: &WireTxn) -> KvResult<()> {
    let max_ops = txn
        .compare
        .len()
        .max(txn.success.len())
        .max(txn.failure.len());
    if max_ops > MAX_TXN_OPS {
        return Err(KvError::TooManyOps);
    }
    for op in txn.success.iter().chain(&txn.failure) {
        if let WireRequestOp::Txn(nested) = op {
            check_ops(nested)?;
        }
    }
    Ok(())
}

/// The keys that a list of operations may write.
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
        // Only one of the two branches is applied, so both may write the same keys.
        let puts: BTreeSet<_> = success.puts.union(&failure.puts).copied().collect();
        for key in puts {
            add_written_key(&mut written, key)?;
        }
        written.deletes.extend(success.deletes);
        written.deletes.extend(failure.deletes);
    }
    for op in ops {
        if let WireRequestOp::Put(put) = op {
            add_written_key(&mut written, &put.key)?;
        }
    }
    Ok(written)
}

fn add_written_key<'a>(written: &mut WrittenKeys<'a>, key: &'a JsonBytes) -> KvResult<()> {
    let deleted = written.deletes.iter().any(|delete| {
        delete.key == *key
            || (!delete.range_end.is_empty()
                && *key >= delete.key
                && is_below(key, &delete.range_end))
    });
    if deleted || !written.puts.insert(key) {
        return Err(KvError::DuplicateKey);
    }
    Ok(())
}
