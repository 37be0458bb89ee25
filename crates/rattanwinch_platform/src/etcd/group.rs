use std::collections::BTreeSet;

use crate::Condition;
use crate::Transaction;
use crate::Write;
use crate::keys::Key;

/// The maximum number of transactions in a group; the store's default limit is 128 operations per
/// transaction.
const MAX_GROUP_TRANSACTIONS: usize = 64;

/// The maximum size of the keys and values in a group of several transactions. The store's default
/// limit is 1.5 MiB per request, which a single transaction may use.
const MAX_GROUP_BYTES: usize = 1_000_000;

/// Selects the transactions of the next group commit, as indices into `waiting`.
///
/// The store evaluates the conditions of all nested transactions before it applies any write. Two
/// transactions may share a group only if neither writes a key that the other writes or compares,
/// so that their outcomes are serialisable. A transaction that is left out also blocks later ones
/// on its keys, so that transactions on one key stay in order.
pub(crate) fn choose_group<'a>(waiting: impl Iterator<Item = &'a Transaction>) -> Vec<usize> {
    let mut written = BTreeSet::new();
    let mut compared = BTreeSet::new();
    let mut group = Vec::new();
    let mut bytes = 0;
    for (index, transaction) in waiting.enumerate() {
        let conflicts = transaction
            .writes
            .iter()
            .map(write_key)
            .any(|key| written.contains(key) || compared.contains(key))
            || transaction
                .conditions
                .iter()
                .any(|condition| written.contains(condition.key()));
        let size = size_in_bytes(transaction);
        let fits = group.is_empty() || bytes + size <= MAX_GROUP_BYTES;
        if !conflicts && fits {
            group.push(index);
            bytes += size;
        }
        if group.len() == MAX_GROUP_TRANSACTIONS {
            break;
        }
        written.extend(transaction.writes.iter().map(write_key));
        compared.extend(transaction.conditions.iter().map(Condition::key));
    }
    group
}

/// Returns the key of a write.
pub(crate) const fn write_key(write: &Write) -> &Key {
    match write {
        Write::Put { key, .. } | Write::Delete(key) => key,
    }
}

fn size_in_bytes(transaction: &Transaction) -> usize {
    let writes = transaction.writes.iter().map(|write| match write {
        Write::Put { key, value, .. } => key.len() + value.len(),
        Write::Delete(key) => key.len(),
    });
    let conditions = transaction.conditions.iter().map(|c| 2 * c.key().len());
    writes.sum::<usize>() + conditions.sum::<usize>()
}
