use std::fmt;
use std::sync::Arc;

use rattanwinch_decisions::apply_change;
use rattanwinch_decisions::describe_effects;
use rattanwinch_platform::Condition;
use rattanwinch_platform::KeyValue;
use rattanwinch_platform::MAX_VALUE_BYTES;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store;
use rattanwinch_platform::StoreError;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::ChangeRecord;
use rattanwinch_platform::records::ConfigDocument;
use rattanwinch_platform::records::InvalidConfig;
use rattanwinch_types::ChangeId;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

use crate::AcceptedChange;
use crate::ChangeFailure;
use crate::ChangeRequest;
use crate::CurrentConfig;
use crate::HistoryPage;
use crate::StaleChange;
use crate::WireConfigChange;

/// The largest configuration document; a tenth of what the store takes is left for how it counts.
pub const MAX_DOCUMENT_BYTES: usize = MAX_VALUE_BYTES / 10 * 9;

/// The most changes in one page of the history. A record takes a few kilobytes at most, so a
/// page stays well under 1 MB.
pub const MAX_HISTORY_PAGE: u32 = 100;

type Result<T> = std::result::Result<T, ChangeFailure>;

/// Applies changes to the configuration in the store.
///
/// A change is one transaction: the document's revision is compared, the record of the change
/// must not exist, and both are written.
pub struct ConfigChanges<S> {
    store: Arc<S>,
    known: Option<KnownRevision>,
}

/// Gives the highest revision of the document that this process knows of, from its own reads or
/// from its peers.
pub type KnownRevision = Arc<dyn Fn() -> Revision + Send + Sync>;

impl<S> fmt::Debug for ConfigChanges<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ConfigChanges")
    }
}

/// A change that passed every check, and what it makes of the document.
struct Prepared {
    record: ChangeRecord,
    document: ConfigDocument,
    encoded: Vec<u8>,
}

/// What the store holds for a change: the document, read first, then the record. Read in this
/// order, a document that has moved past the base of the change proves that the record would be
/// there if the change had been applied.
struct Present {
    current: CurrentConfig,
    recorded: Option<KeyValue>,
}

impl<S: Store> ConfigChanges<S> {
    /// Uses the store.
    #[must_use]
    pub fn new(store: Arc<S>) -> Self {
        Self { store, known: None }
    }

    /// Refuses changes while the store's document is older than the one that is known, as after a
    /// store was restored from a copy: they would be based on a configuration that has reverted.
    #[must_use]
    pub fn with_known_revision(mut self, known: KnownRevision) -> Self {
        self.known = Some(known);
        self
    }

    /// The configuration in the store.
    ///
    /// # Errors
    ///
    /// With the verdict "not run" if the store can't be read or holds something else.
    pub async fn current(&self) -> std::result::Result<CurrentConfig, RequestError> {
        let found = self.store.read(&keys::config()).await?;
        found.as_ref().map_or_else(
            || Ok(CurrentConfig::absent()),
            |found| decode(found).map_err(unreadable),
        )
    }

    /// What a change would do, a sentence each; nothing is written.
    ///
    /// # Errors
    ///
    /// As [`Self::apply`], always with the verdict "not run".
    pub async fn dry_run(&self, req: &ChangeRequest, now: Timestamp) -> Result<Vec<Arc<str>>> {
        let current = self.unregressed().await?;
        Ok(prepare(&current, req, now)?.record.effects)
    }

    /// Applies a change, or finds that an earlier request with the same id did.
    ///
    /// # Errors
    ///
    /// [`ChangeFailure::Stale`] if the document is at another revision than the change was based
    /// on. [`ChangeFailure::Refused`] with the verdict "not run" if the change doesn't fit the
    /// configuration, its id belongs to another change or the store certainly didn't apply it;
    /// with "may have run" if the store can't tell, after which the same request may be sent
    /// again with the same id.
    pub async fn apply(&self, req: &ChangeRequest, now: Timestamp) -> Result<AcceptedChange> {
        let present = self.present(&req.id).await?;
        if let Some(recorded) = &present.recorded {
            return repeated(recorded, req, present.current);
        }
        let prepared = prepare(&present.current, req, now)?;
        let (effects, document) = (prepared.record.effects.clone(), prepared.document.clone());
        match self.store.transact(transaction(req, prepared)).await {
            Ok(TransactionOutcome::Applied(revision)) => Ok(AcceptedChange {
                revision,
                repeated: false,
                effects,
                current: CurrentConfig { revision, document },
            }),
            Ok(TransactionOutcome::Conflict(found)) => {
                let present = Present::from_conflict(&req.id, &found)?;
                let message = "the store reported a conflict but shows none; nothing was written";
                settle(req, present)
                    .unwrap_or_else(|| Err(unavailable(Verdict::NotRun, message).into()))
            }
            Err(error) if error.verdict == Verdict::NotRun => Err(RequestError::from(error).into()),
            Err(error) => self.resolve(req, &error).await,
        }
    }

    /// Finds out by reading whether a change whose answer was lost is in the store.
    async fn resolve(&self, req: &ChangeRequest, error: &StoreError) -> Result<AcceptedChange> {
        let present = self.present(&req.id).await;
        let settled = present.ok().and_then(|present| settle(req, present));
        settled.unwrap_or_else(|| {
            let message = format!("{error}; send the same change again with the id {}", req.id);
            Err(unavailable(Verdict::MayHaveRun, &message).into())
        })
    }

    /// Part of the history, in the order of the change ids.
    ///
    /// # Errors
    ///
    /// With the verdict "not run" if the store can't be read or holds something else.
    pub async fn history(
        &self,
        after: Option<&ChangeId>,
        limit: u32,
    ) -> std::result::Result<HistoryPage, RequestError> {
        let after = after.map(keys::change);
        let limit = limit.clamp(1, MAX_HISTORY_PAGE);
        let page = self
            .store
            .read_page(&keys::changes_prefix(), after.as_ref(), limit)
            .await?;
        let changes = page.items.iter().map(|item| {
            let record = ChangeRecord::from_json(&item.value).map_err(unreadable)?;
            Ok((item.revision, record))
        });
        Ok(HistoryPage {
            changes: changes.collect::<std::result::Result<_, RequestError>>()?,
            more: page.more,
        })
    }

    /// The configuration in the store, unless the store has gone back.
    async fn unregressed(&self) -> std::result::Result<CurrentConfig, RequestError> {
        let known = self.known.as_ref().map(|known| known());
        let current = self.current().await?;
        match known {
            Some(known) if current.revision < known => {
                let message = format!(
                    "store_regressed: the store's configuration is at revision {}, but revision \
                     {} was in force: expected an operator to restore the store",
                    current.revision.0, known.0
                );
                Err(unavailable(Verdict::NotRun, &message))
            }
            _ => Ok(current),
        }
    }

    async fn present(&self, id: &ChangeId) -> std::result::Result<Present, RequestError> {
        let current = self.unregressed().await?;
        let recorded = self.store.read(&keys::change(id)).await?;
        Ok(Present { current, recorded })
    }
}

impl Present {
    /// Takes the keys that a refused transaction found, all from one moment.
    fn from_conflict(id: &ChangeId, found: &[KeyValue]) -> std::result::Result<Self, RequestError> {
        let find = |key: &keys::Key| found.iter().find(|item| item.key == *key);
        let current = find(&keys::config()).map(decode).transpose();
        Ok(Self {
            current: current
                .map_err(unreadable)?
                .unwrap_or_else(CurrentConfig::absent),
            recorded: find(&keys::change(id)).cloned(),
        })
    }
}

/// What became of a change, if the store's contents tell.
fn settle(req: &ChangeRequest, present: Present) -> Option<Result<AcceptedChange>> {
    if let Some(recorded) = &present.recorded {
        return Some(repeated(recorded, req, present.current));
    }
    let moved = present.current.revision != req.based_on;
    moved.then(|| Err(stale(req.based_on, present.current)))
}

/// Checks a change against the present document and makes the next one.
fn prepare(current: &CurrentConfig, req: &ChangeRequest, now: Timestamp) -> Result<Prepared> {
    if current.revision != req.based_on {
        return Err(stale(req.based_on, current.clone()));
    }
    let before = &current.document;
    let after = apply_change(&before.config, &req.change, &req.author, &req.reason, now)?;
    let mut record = record_of(req, now)?;
    record.effects = describe_effects(&before.config, &after);
    let document = before.with_change(after, record.clone());
    let encoded = document.to_json();
    if encoded.len() > MAX_DOCUMENT_BYTES {
        let message = format!(
            "the configuration would take {} bytes: expected at most {MAX_DOCUMENT_BYTES}",
            encoded.len()
        );
        return Err(RequestError::not_run(ErrorKind::Invalid, message).into());
    }
    Ok(Prepared {
        record,
        document,
        encoded,
    })
}

fn transaction(req: &ChangeRequest, prepared: Prepared) -> Transaction {
    let unchanged = if req.based_on == CurrentConfig::NO_REVISION {
        Condition::Absent(keys::config())
    } else {
        Condition::ModifiedAt(keys::config(), req.based_on)
    };
    let record_key = keys::change(&req.id);
    Transaction::new()
        .with_condition(unchanged)
        .with_condition(Condition::Absent(Arc::clone(&record_key)))
        .with_put(keys::config(), prepared.encoded, Retention::Permanent)
        .with_put(record_key, prepared.record.to_json(), Retention::Permanent)
}

/// Answers a request whose id is in the store already.
fn repeated(
    recorded: &KeyValue,
    req: &ChangeRequest,
    current: CurrentConfig,
) -> Result<AcceptedChange> {
    let record = ChangeRecord::from_json(&recorded.value).map_err(unreadable)?;
    if !record.is_same_change(&record_of(req, record.at)?) {
        let message = format!(
            "change id {} was used by {} for another change: expected a new id",
            req.id, record.author
        );
        return Err(RequestError::not_run(ErrorKind::Conflict, message).into());
    }
    Ok(AcceptedChange {
        revision: recorded.revision,
        repeated: true,
        effects: record.effects,
        current,
    })
}

/// The record of a change, without its effects.
fn record_of(
    req: &ChangeRequest,
    now: Timestamp,
) -> std::result::Result<ChangeRecord, RequestError> {
    let change = serde_json::to_value(WireConfigChange::from(req.change.clone()));
    let change = change.map_err(|error| {
        let message = format!("the change has no JSON form: {error}");
        RequestError::not_run(ErrorKind::Invalid, message)
    })?;
    Ok(ChangeRecord {
        id: req.id.clone(),
        author: Arc::from(req.author.trim()),
        reason: Arc::from(req.reason.trim()),
        at: now,
        based_on: req.based_on,
        change,
        effects: Vec::new(),
    })
}

fn stale(based_on: Revision, current: CurrentConfig) -> ChangeFailure {
    ChangeFailure::Stale(Box::new(StaleChange::new(based_on, current)))
}

fn decode(found: &KeyValue) -> std::result::Result<CurrentConfig, InvalidConfig> {
    Ok(CurrentConfig {
        revision: found.revision,
        document: ConfigDocument::from_json(&found.value)?,
    })
}

fn unavailable(verdict: Verdict, message: &str) -> RequestError {
    RequestError::new(verdict, ErrorKind::Unavailable, message)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used with map_err, which gives the error away"
)]
fn unreadable(error: InvalidConfig) -> RequestError {
    RequestError::not_run(ErrorKind::Failed, error.to_string())
}
