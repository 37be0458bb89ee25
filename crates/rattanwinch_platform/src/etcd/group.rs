use std::collections::BTreeSet;

use crate::Condition;
use crate::Transaction;
use crate::Write;
use crate::keys::Key;

/// The most transactions in one call; the store's default limit is 128 operations a transaction.
const MAX_TRANSACTIONS: usize = 64;

/// The most bytes of keys and values in one call of several transactions. The store's default
/// limit is 1.5 MiB a request, which a single transaction may use.
const MAX_BYTES: usize = 1_000_000;

/// Chooses the transactions that share the next call, as indices in `waiting`'s order.
///
/// The store compares for all nested transactions before it writes for any. Two transactions
/// share a call only if neither writes a key that the other writes or compares, so that their
/// outcomes are those of some order one after the other. A transaction that has to stay also
/// keeps later ones on its keys, so that transactions on one key keep their order.
pub(crate) fn choose_group<'a>(waiting: impl Iterator<Item = &'a Transaction>) -> Vec<usize> {
    let mut written = BTreeSet::new();
    let mut compared = BTreeSet::new();
    let mut group = Vec::new();
    let mut bytes = 0;
    for (index, transaction) in waiting.enumerate() {
        let collides = transaction
            .writes
            .iter()
            .map(key_of)
            .any(|key| written.contains(key) || compared.contains(key))
            || transaction
                .conditions
                .iter()
                .any(|condition| written.contains(condition.key()));
        let size = size_of(transaction);
        let fits = group.is_empty() || bytes + size <= MAX_BYTES;
        if !collides && fits {
            group.push(index);
            bytes += size;
        }
        if group.len() == MAX_TRANSACTIONS {
            break;
        }
        written.extend(transaction.writes.iter().map(key_of));
        compared.extend(transaction.conditions.iter().map(Condition::key));
    }
    group
}

/// The key of a write.
pub(crate) const fn key_of(write: &Write) -> &Key {
    match write {
        Write::Put { key, .. } | Write::Delete(key) => key,
    }
}

fn size_of(transaction: &Transaction) -> usize {
    let writes = transaction.writes.iter().map(|write| match write {
        Write::Put { key, value, .. } => key.len() + value.len(),
        Write::Delete(key) => key.len(),
    });
    let conditions = transaction.conditions.iter().map(|c| 2 * c.key().len());
    writes.sum::<usize>() + conditions.sum::<usize>()
}
