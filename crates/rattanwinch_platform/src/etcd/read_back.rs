//! Read-back: finds out by their values whether transactions with a lost response were applied.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Revision;

use super::CallError;
use super::CallKind;
use super::CallResult;
use super::Gateway;
use super::decode_range_op;
use super::key_range;
use crate::Condition;
use crate::KeyValue;
use crate::StoreRevision;
use crate::Transaction;
use crate::Write;
use crate::keys::Key;
use crate::wire::WireRequestOp;
use crate::wire::WireTxn;
use crate::wire::WireTxnResponse;

/// The maximum number of reads in one read-back. A slow call can be applied after the first read.
const MAX_READ_ATTEMPTS: usize = 3;

/// The interval between reads, about the time of one group commit.
const READ_INTERVAL: Duration = Duration::from_millis(150);

/// The maximum number of keys in one read; the store's default limit is 128 operations per
/// transaction.
const MAX_KEYS_PER_READ: usize = 128;

/// Returns the revision at which each transaction of `lost` was applied, or `None` if that is
/// unknown.
///
/// `revision_before` is the last revision seen before the transactions were sent.
pub(crate) async fn read_back(
    gateway: &Gateway,
    lost: &[&Transaction],
    revision_before: StoreRevision,
) -> Vec<Option<Revision>> {
    let mut applied = vec![None; lost.len()];
    // The caller is waiting, so the whole read-back is limited to the time-out of one read.
    let limit = gateway.settings.read_timeout;
    let reading = read_with_retries(gateway, lost, revision_before, &mut applied);
    // After the time-out, transactions that were not found stay unknown.
    let _ = tokio::time::timeout(limit, reading).await;
    let found = applied.iter().flatten().count();
    let results = [("found", found), ("unknown", lost.len() - found)];
    for (result, count) in results {
        metrics::counter!("rattanwinch_store_lost_writes_total", "result" => result)
            .increment(u64::try_from(count).unwrap_or(u64::MAX));
    }
    applied
}

async fn read_with_retries(
    gateway: &Gateway,
    lost: &[&Transaction],
    revision_before: StoreRevision,
    applied: &mut [Option<Revision>],
) {
    for attempt in 0..MAX_READ_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(READ_INTERVAL).await;
        }
        let Ok((cluster, found)) = read_puts(gateway, lost).await else {
            continue;
        };
        // Revisions of different clusters are not comparable.
        if cluster != revision_before.cluster {
            break;
        }
        for (transaction, applied) in lost.iter().zip(&mut *applied) {
            *applied =
                applied.or_else(|| applied_revision(transaction, revision_before.revision, &found));
        }
        if applied.iter().all(Option::is_some) {
            break;
        }
    }
}

/// Returns the revision at which a transaction was applied, if one of its puts is in `found`.
///
/// One matching put is enough: a transaction is applied atomically, and other processes may have
/// overwritten its other keys since.
fn applied_revision(
    transaction: &Transaction,
    revision_before: Revision,
    found: &[KeyValue],
) -> Option<Revision> {
    let compared = transaction
        .conditions
        .iter()
        .map(|condition| match condition {
            Condition::Absent(_) => Revision(0),
            Condition::ModifiedAt(_, revision) => *revision,
        });
    let revision_before = compared.fold(revision_before, Revision::max);
    puts(transaction)
        .filter_map(|(key, value)| {
            found.iter().find(|item| {
                item.key == *key && item.value == *value && item.revision > revision_before
            })
        })
        .map(|item| item.revision)
        .min()
}

fn puts(transaction: &Transaction) -> impl Iterator<Item = (&Key, &Arc<[u8]>)> {
    transaction.writes.iter().filter_map(|write| match write {
        Write::Put { key, value, .. } => Some((key, value)),
        Write::Delete(_) => None,
    })
}

/// Reads the keys of the transactions' puts; returns the cluster id and the key-value pairs.
async fn read_puts(gateway: &Gateway, lost: &[&Transaction]) -> CallResult<(u64, Vec<KeyValue>)> {
    let keys: Vec<_> = lost
        .iter()
        .flat_map(|transaction| puts(transaction))
        .map(|(key, _)| key)
        .collect();
    let mut cluster = 0;
    let mut found = Vec::new();
    for keys in keys.chunks(MAX_KEYS_PER_READ) {
        let ranges = keys.iter().map(|key| WireRequestOp::Range(key_range(key)));
        let body = WireTxn {
            success: ranges.collect(),
            ..WireTxn::default()
        };
        let response: WireTxnResponse = gateway.call(CallKind::ReadBack, &body).await?;
        cluster = response.header.cluster_id.0;
        for op in response.responses {
            found.extend(decode_range_op(op).map_err(CallError::Lost)?);
        }
    }
    Ok((cluster, found))
}
