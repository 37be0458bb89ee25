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
use super::LeaseKeeper;
use super::Pending;
use super::decode_items;
use super::key_of;
use super::prefix_end;
use super::range_of;
use super::range_of_prefix;
use crate::KeyValue;
use crate::Page;
use crate::ProcessLease;
use crate::Result;
use crate::Snapshot;
use crate::SnapshotPart;
use crate::SnapshotRange;
use crate::Store;
use crate::StoreError;
use crate::StoreSettings;
use crate::StoreView;
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

/// The largest value that the store takes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The transactions that may wait for the committer: ten seconds' worth of full calls.
const MAX_WAITING: usize = 6400;

/// The client of a store that speaks the etcd v3 JSON gateway.
///
/// Group commit, the budget of calls and the read-back of lost responses are as [`Store`] asks.
/// A read-back recognises a write by its bytes, so values tell who wrote them and in which attempt.
///
/// It is started within a tokio runtime. Dropping it stops its tasks and leaves the process's
/// lease to expire; [`EtcdStore::close`] ends the lease at once.
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
    leases: Arc<LeaseKeeper>,
    transactions: mpsc::Sender<Pending>,
    committing: JoinHandle<()>,
    renewal: JoinHandle<()>,
    _stop: DropGuard,
}

#[bon]
impl EtcdStore {
    /// Starts a client; it connects with the first call.
    ///
    /// `client_name` is sent with each call, so that the store's operators can tell clients apart.
    ///
    /// # Panics
    ///
    /// If `settings` has no endpoint, if `client_name` isn't a valid header value, or outside of
    /// a tokio runtime.
    #[builder(start_fn = builder, finish_fn = start)]
    pub fn new(
        settings: StoreSettings,
        #[builder(into)] client_name: Arc<str>,
        logger: Option<Logger>,
    ) -> Self {
        assert!(!settings.endpoints.is_empty(), "a store has an endpoint");
        let logger = logger.unwrap_or_else(|| Logger::root(slog::Discard, o!()));
        let gateway = Arc::new(Gateway::new(settings, client_name));
        let leases = Arc::new(LeaseKeeper::new(Arc::clone(&gateway), logger.clone()));
        let (transactions, incoming) = mpsc::channel(MAX_WAITING);
        let committer = Committer::new(Arc::clone(&gateway), Arc::clone(&leases), incoming, logger);
        let committing = tokio::spawn(committer.run());
        let stop = CancellationToken::new();
        let (stopped, keeper) = (stop.clone(), Arc::clone(&leases));
        let renewal = tokio::spawn(async move {
            stopped.run_until_cancelled(keeper.run()).await;
        });
        Self {
            gateway,
            leases,
            transactions,
            committing,
            renewal,
            _stop: stop.drop_guard(),
        }
    }

    /// The state of the process's lease and its changes. Whoever puts keys with
    /// [`crate::Retention::ProcessLease`] watches it and writes them again on each new lease.
    #[must_use]
    pub fn process_lease(&self) -> watch::Receiver<ProcessLease> {
        self.leases.subscribe()
    }

    /// What the responses so far have told of the store.
    #[must_use]
    pub fn view(&self) -> Option<StoreView> {
        self.gateway.view()
    }

    /// Sends the transactions that still wait, then ends the process's lease, which removes the
    /// keys that are attached to it.
    pub async fn close(self) {
        drop(self.transactions);
        // Each transaction waits and each call lasts for a limited time, so this ends. A panic of
        // the committer was told to the transactions that waited for it.
        let _ = self.committing.await;
        self.renewal.abort();
        self.leases.revoke().await;
    }
}

impl Store for EtcdStore {
    async fn transact(&self, transaction: Transaction) -> Result<TransactionOutcome> {
        check(&transaction)?;
        let (reply, outcome) = oneshot::channel();
        let pending = Pending {
            transaction,
            since: Instant::now(),
            reply,
        };
        self.transactions
            .try_send(pending)
            .map_err(|_| StoreError::not_applied("too many writes wait for the store"))?;
        outcome
            .await
            .unwrap_or_else(|_| Err(StoreError::may_be_applied("the client was stopped")))
    }

    async fn read(&self, key: &Key) -> Result<Option<KeyValue>> {
        let response = self.range(&range_of(key)).await?;
        Ok(items(response.kvs)?.into_iter().next())
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
            items: items(response.kvs)?,
            more: response.more,
            revision: Revision(response.header.revision.0),
        })
    }

    async fn read_snapshot(&self, ranges: &[SnapshotRange]) -> Result<Snapshot> {
        let body = WireTxn {
            success: ranges.iter().map(snapshot_range).collect(),
            ..WireTxn::default()
        };
        let response: WireTxnResponse = self
            .gateway
            .call(CallKind::Snapshot, &body)
            .await
            .map_err(|error| error.of_read())?;
        snapshot(response, ranges.len())
    }
}

impl EtcdStore {
    async fn range(&self, range: &WireRange) -> Result<WireRangeResponse> {
        let response = self.gateway.call(CallKind::Read, range).await;
        response.map_err(|error| error.of_read())
    }
}

fn snapshot_range(range: &SnapshotRange) -> WireRequestOp {
    WireRequestOp::Range(match range {
        SnapshotRange::KeyIfModifiedAfter { key, known } => WireRange {
            min_mod_revision: JsonInt(known.0.saturating_add(1)),
            ..range_of(key)
        },
        SnapshotRange::Prefix(prefix) => range_of_prefix(prefix),
    })
}

fn snapshot(response: WireTxnResponse, ranges: usize) -> Result<Snapshot> {
    let parts = response.responses.into_iter().map(|op| match op {
        WireResponseOp::Range(range) => Ok(SnapshotPart {
            count: u64::try_from(range.count.0)
                .map_err(|_| unexpected("a negative count of keys"))?,
            items: items(range.kvs)?,
        }),
        _ => Err(unexpected("a response that isn't of a range")),
    });
    let parts = parts.collect::<Result<Vec<_>>>()?;
    if parts.len() != ranges {
        return Err(unexpected("another number of ranges than asked for"));
    }
    Ok(Snapshot {
        revision: Revision(response.header.revision.0),
        cluster: response.header.cluster_id.0,
        parts,
    })
}

fn items(kvs: Vec<crate::wire::WireKeyValue>) -> Result<Vec<KeyValue>> {
    decode_items(kvs).map_err(|error| unexpected(&error))
}

/// Only reads get here, so nothing was applied.
fn unexpected(what: &str) -> StoreError {
    StoreError::not_applied(format!("response not as expected: {what}"))
}

/// The least key that is greater than the given one.
fn next_key(key: &Key) -> JsonBytes {
    let mut next = key.as_bytes().to_vec();
    next.push(0);
    JsonBytes::from(&*next)
}

/// The store refuses these as a part of a call that others share, so they are refused before.
fn check(transaction: &Transaction) -> Result<()> {
    let mut keys = BTreeSet::new();
    for write in &transaction.writes {
        let key = key_of(write);
        if !keys.insert(key) {
            let message = format!("two writes of {key} in one transaction");
            return Err(StoreError::not_applied(message));
        }
        if let Write::Put { value, .. } = write
            && value.len() > MAX_VALUE_BYTES
        {
            return Err(StoreError::not_applied(format!(
                "a value of {} bytes for {key}, expected at most {MAX_VALUE_BYTES}",
                value.len()
            )));
        }
    }
    Ok(())
}
