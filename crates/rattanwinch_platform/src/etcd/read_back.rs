//! Reads transactions whose response was lost back by content.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Revision;

use super::CallError;
use super::CallKind;
use super::CallResult;
use super::Gateway;
use super::decode_range_op;
use super::range_of;
use crate::Condition;
use crate::KeyValue;
use crate::StoreView;
use crate::Transaction;
use crate::Write;
use crate::keys::Key;
use crate::wire::WireRequestOp;
use crate::wire::WireTxn;
use crate::wire::WireTxnResponse;

/// The reads of one read-back: a call that the store is slow with can take effect after the
/// first of them.
const MAX_READS: usize = 3;

/// The time between two reads, about one group commit.
const READ_INTERVAL: Duration = Duration::from_millis(150);

/// The most keys in one read; the store's default limit is 128 operations a transaction.
const MAX_KEYS: usize = 128;

/// The revision at which each of `lost` was applied, or `None` if it wasn't seen applied.
///
/// `before` is the view from before the transactions were sent.
pub(crate) async fn read_back(
    gateway: &Gateway,
    lost: &[&Transaction],
    before: StoreView,
) -> Vec<Option<Revision>> {
    let mut applied = vec![None; lost.len()];
    // The caller still waits, so a read-back ends with the time of one read.
    let limit = gateway.settings.read_timeout;
    let reading = read_repeatedly(gateway, lost, before, &mut applied);
    // What was found by the limit counts; the rest stays unknown.
    let _ = tokio::time::timeout(limit, reading).await;
    let found = applied.iter().flatten().count();
    let results = [("found", found), ("unknown", lost.len() - found)];
    for (result, count) in results {
        metrics::counter!("rattanwinch_store_lost_writes_total", "result" => result)
            .increment(u64::try_from(count).unwrap_or(u64::MAX));
    }
    applied
}

async fn read_repeatedly(
    gateway: &Gateway,
    lost: &[&Transaction],
    before: StoreView,
    applied: &mut [Option<Revision>],
) {
    for attempt in 0..MAX_READS {
        if attempt > 0 {
            tokio::time::sleep(READ_INTERVAL).await;
        }
        let Ok((cluster, found)) = read_puts(gateway, lost).await else {
            continue;
        };
        // Revisions of another cluster can't be compared with the ones from before.
        if cluster != before.cluster {
            break;
        }
        for (transaction, applied) in lost.iter().zip(&mut *applied) {
            *applied = applied.or_else(|| applied_at(transaction, before.revision, &found));
        }
        if applied.iter().all(Option::is_some) {
            break;
        }
    }
}

/// The revision at which a transaction was applied, judged by its puts among `found`.
///
/// One put with our bytes is enough: the transaction is applied as a whole, and another process
/// may have overwritten the other keys since.
fn applied_at(transaction: &Transaction, before: Revision, found: &[KeyValue]) -> Option<Revision> {
    let compared = transaction
        .conditions
        .iter()
        .map(|condition| match condition {
            Condition::Absent(_) => Revision(0),
            Condition::ModifiedAt(_, revision) => *revision,
        });
    let before = compared.fold(before, Revision::max);
    puts(transaction)
        .filter_map(|(key, value)| {
            found
                .iter()
                .find(|item| item.key == *key && item.value == *value && item.revision > before)
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

/// Reads the keys that were put, and the cluster that they were read from.
async fn read_puts(gateway: &Gateway, lost: &[&Transaction]) -> CallResult<(u64, Vec<KeyValue>)> {
    let keys: Vec<_> = lost
        .iter()
        .flat_map(|transaction| puts(transaction))
        .map(|(key, _)| key)
        .collect();
    let mut cluster = 0;
    let mut found = Vec::new();
    for keys in keys.chunks(MAX_KEYS) {
        let ranges = keys.iter().map(|key| WireRequestOp::Range(range_of(key)));
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
