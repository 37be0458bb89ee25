use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use bon::bon;
use rattanwinch_types::Revision;
use slog::Logger;
use slog::o;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::CallKind;
use super::Committer;
use super::Gateway;
use super::PendingTransaction;
use super::ProcessLeaseManager;
use super::decode_items;
use super::key_range;
use super::prefix_end;
use super::prefix_range;
use super::write_key;
use crate::KeyValue;
use crate::Page;
use crate::ProcessLease;
use crate::Result;
use crate::Snapshot;
use crate::SnapshotPart;
use crate::SnapshotRange;
use crate::Store;
use crate::StoreError;
use crate::StoreRevision;
use crate::StoreSettings;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::Write;
use crate::keys::Key;
use crate::wire::JsonBytes;
use crate::wire::JsonInt;
use crate::wire::WireRange;
use crate::wire::WireRangeResponse;
use crate::wire::WireRequestOp;
use crate::wire::WireResponseOp;
use crate::wire::WireTxn;
use crate::wire::WireTxnResponse;

/// The largest value that the store accepts.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The capacity of the committer's queue: 100 full groups, which is 10 s of commits.
const MAX_QUEUED_TRANSACTIONS: usize = 6400;

/// Client of a store behind the etcd v3 JSON gateway.
///
/// It implements group commit, rate limiting and the read-back of lost responses that [`Store`]
/// requires. A read-back recognises a write by its bytes, so a value must identify its writer and
/// attempt.
///
/// It must be started within a tokio runtime. Dropping it stops its tasks and lets the process
/// lease expire; [`EtcdStore::close`] revokes the lease at once.
///
/// # Examples
///
/// ```no_run
/// use rattanwinch_platform::Condition;
/// use rattanwinch_platform::EtcdStore;
/// use rattanwinch_platform::Retention;
/// use rattanwinch_platform::Store as _;
/// use rattanwinch_platform::StoreSettings;
/// use rattanwinch_platform::Transaction;
/// use rattanwinch_platform::keys;
///
/// # async fn run() -> Result<(), Box<dyn std::error::Error>> {
/// let settings = StoreSettings::builder()
///     .endpoints(vec!["127.0.0.1:2379".parse()?])
///     .build();
/// let store = EtcdStore::builder()
///     .settings(settings)
///     .client_name("entry-a")
///     .start();
/// let create = Transaction::new()
///     .with_condition(Condition::Absent(keys::config()))
///     .with_put(keys::config(), *b"{}", Retention::Permanent);
/// let outcome = store.transact(create).await?;
/// # drop(outcome);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct EtcdStore {
    gateway: Arc<Gateway>,
    lease_manager: Arc<ProcessLeaseManager>,
    transactions: mpsc::Sender<PendingTransaction>,
    committer_task: JoinHandle<()>,
    renewal_task: JoinHandle<()>,
    _stop: DropGuard,
}

#[bon]
impl EtcdStore {
    /// Starts a client, which connects with the first call.
    ///
    /// `client_name` is sent in the header [`CLIENT_NAME_HEADER`](crate::CLIENT_NAME_HEADER) of
    /// each call, so that the store's operators can distinguish clients.
    ///
    /// # Panics
    ///
    /// If `settings` has no endpoint, if `client_name` is not a valid header value, or outside of
    /// a tokio runtime.
    #[builder(start_fn = builder, finish_fn = start)]
    pub fn new(
        settings: StoreSettings,
        #[builder(into)] client_name: Arc<str>,
        logger: Option<Logger>,
    ) -> Self {
        assert!(
            !settings.endpoints.is_empty(),
            "the settings have at least one endpoint"
        );
        let logger = logger.unwrap_or_else(|| Logger::root(slog::Discard, o!()));
        let gateway = Arc::new(Gateway::new(settings, client_name));
        let lease_manager = Arc::new(ProcessLeaseManager::new(
            Arc::clone(&gateway),
            logger.clone(),
        ));
        let (transactions, incoming) = mpsc::channel(MAX_QUEUED_TRANSACTIONS);
        let committer = Committer::new(
            Arc::clone(&gateway),
            Arc::clone(&lease_manager),
            incoming,
            logger,
        );
        let committer_task = tokio::spawn(committer.run());
        let stop = CancellationToken::new();
        let (stopped, manager) = (stop.clone(), Arc::clone(&lease_manager));
        let renewal_task = tokio::spawn(async move {
            stopped.run_until_cancelled(manager.run()).await;
        });
        Self {
            gateway,
            lease_manager,
            transactions,
            committer_task,
            renewal_task,
            _stop: stop.drop_guard(),
        }
    }

    /// Subscribes to the state of the process lease. A writer of keys with
    /// [`crate::Retention::ProcessLease`] has to write them again after each new lease.
    #[must_use]
    pub fn process_lease(&self) -> watch::Receiver<ProcessLease> {
        self.lease_manager.subscribe()
    }

    /// Returns the cluster id and highest revision seen so far, or `None` before the first
    /// response.
    #[must_use]
    pub fn last_seen_revision(&self) -> Option<StoreRevision> {
        self.gateway.last_seen_revision()
    }

    /// Commits the pending transactions, then revokes the process lease, which deletes the keys
    /// attached to it.
    pub async fn close(self) {
        drop(self.transactions);
        // Waits and calls are bounded, so the committer ends. If it panicked, its pending
        // transactions have already received an error.
        let _ = self.committer_task.await;
        self.renewal_task.abort();
        self.lease_manager.revoke().await;
    }
}

impl Store for EtcdStore {
    async fn transact(&self, transaction: Transaction) -> Result<TransactionOutcome> {
        validate(&transaction)?;
        let (reply, outcome) = oneshot::channel();
        let pending = PendingTransaction {
            transaction,
            queued_at: Instant::now(),
            reply,
        };
        self.transactions.try_send(pending).map_err(|_| {
            StoreError::not_applied("write not sent: the queue of pending transactions is full")
        })?;
        outcome.await.unwrap_or_else(|_| {
            Err(StoreError::may_be_applied(
                "the store client stopped before the write completed",
            ))
        })
    }

    async fn read(&self, key: &Key) -> Result<Option<KeyValue>> {
        let response = self.range(&key_range(key)).await?;
        Ok(decode_key_values(response.kvs)?.into_iter().next())
    }

    async fn read_page(&self, prefix: &Key, after: Option<&Key>, limit: u32) -> Result<Page> {
        let first = after.map_or_else(|| JsonBytes::from(prefix), next_key);
        let range = WireRange {
            key: first,
            range_end: prefix_end(prefix),
            limit: JsonInt(i64::from(limit)),
            ..WireRange::default()
        };
        let response = self.range(&range).await?;
        Ok(Page {
            items: decode_key_values(response.kvs)?,
            more: response.more,
            revision: Revision(response.header.revision.0),
        })
    }

    async fn read_snapshot(&self, ranges: &[SnapshotRange]) -> Result<Snapshot> {
        let body = WireTxn {
            success: ranges.iter().map(encode_range).collect(),
            ..WireTxn::default()
        };
        let response: WireTxnResponse = self
            .gateway
            .call(CallKind::Snapshot, &body)
            .await
            .map_err(|error| error.to_read_error())?;
        decode_snapshot(response, ranges.len())
    }
}

impl EtcdStore {
    async fn range(&self, range: &WireRange) -> Result<WireRangeResponse> {
        let response = self.gateway.call(CallKind::Read, range).await;
        response.map_err(|error| error.to_read_error())
    }
}

fn encode_range(range: &SnapshotRange) -> WireRequestOp {
    WireRequestOp::Range(match range {
        SnapshotRange::KeyIfModifiedAfter { key, known } => WireRange {
            min_mod_revision: JsonInt(known.0.saturating_add(1)),
            ..key_range(key)
        },
        SnapshotRange::Prefix(prefix) => prefix_range(prefix),
    })
}

fn decode_snapshot(response: WireTxnResponse, ranges: usize) -> Result<Snapshot> {
    let parts = response.responses.into_iter().map(|op| match op {
        WireResponseOp::Range(range) => Ok(SnapshotPart {
            count: u64::try_from(range.count.0)
                .map_err(|_| unexpected_response("negative number of keys"))?,
            items: decode_key_values(range.kvs)?,
        }),
        _ => Err(unexpected_response(
            "response of another type, expected a range",
        )),
    });
    let parts = parts.collect::<Result<Vec<_>>>()?;
    if parts.len() != ranges {
        return Err(unexpected_response(
            "number of ranges differs from the request",
        ));
    }
    Ok(Snapshot {
        revision: Revision(response.header.revision.0),
        cluster: response.header.cluster_id.0,
        parts,
    })
}

fn decode_key_values(kvs: Vec<crate::wire::WireKeyValue>) -> Result<Vec<KeyValue>> {
    decode_items(kvs).map_err(|error| unexpected_response(&error))
}

/// Creates the error for a malformed response to a read.
fn unexpected_response(what: &str) -> StoreError {
    StoreError::not_applied(format!("unexpected response to a read: {what}"))
}

/// Returns the smallest key that is greater than the given one.
fn next_key(key: &Key) -> JsonBytes {
    let mut next = key.as_bytes().to_vec();
    next.push(0);
    JsonBytes::from(&*next)
}

/// Rejects transactions that the store would reject, since that would fail the whole group.
fn validate(transaction: &Transaction) -> Result<()> {
    let mut keys = BTreeSet::new();
    for write in &transaction.writes {
        let key = write_key(write);
        if !keys.insert(key) {
            let message = format!("transaction writes {key} twice, expected one write per key");
            return Err(StoreError::not_applied(message));
        }
        if let Write::Put { value, .. } = write
            && value.len() > MAX_VALUE_BYTES
        {
            return Err(StoreError::not_applied(format!(
                "value of {key} has {} bytes, expected at most {MAX_VALUE_BYTES}",
                value.len()
            )));
        }
    }
    Ok(())
}
