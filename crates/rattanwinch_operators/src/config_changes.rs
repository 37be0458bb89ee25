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

/// The maximum size of a configuration document, in bytes. The last tenth of the store's limit is
/// left for the store's own overhead.
pub const MAX_DOCUMENT_BYTES: usize = MAX_VALUE_BYTES / 10 * 9;

/// The maximum number of changes in one page of the history. A record takes a few kilobytes at
/// most, so a page stays well under 1 MB.
pub const MAX_HISTORY_PAGE_SIZE: u32 = 100;

type Result<T> = std::result::Result<T, ChangeFailure>;

/// Applies changes to the configuration in the store.
///
/// A change is one transaction, which writes the document and the record of the change if the
/// document's revision has not changed and the record does not exist.
pub struct ConfigChanges<S> {
    store: Arc<S>,
    known_revision: Option<KnownRevisionFn>,
}

/// Returns the highest revision of the document that this process knows of, from its own reads or
/// from its peers.
pub type KnownRevisionFn = Arc<dyn Fn() -> Revision + Send + Sync>;

impl<S> fmt::Debug for ConfigChanges<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ConfigChanges")
    }
}

/// A validated change and the document that results from it.
struct PreparedChange {
    record: ChangeRecord,
    document: ConfigDocument,
    encoded: Vec<u8>,
}

/// The state of the store for a change: the document, which is read first, and then the record.
/// Because of this order, a document newer than the base of the change proves that the record would
/// be there if the change had been applied.
struct StoredState {
    current: CurrentConfig,
    recorded: Option<KeyValue>,
}

impl<S: Store> ConfigChanges<S> {
    /// Creates an instance that uses the given store.
    #[must_use]
    pub fn new(store: Arc<S>) -> Self {
        Self {
            store,
            known_revision: None,
        }
    }

    /// Refuses changes while the store's document is older than the known revision, for example
    /// after the store was restored from a copy: they would be based on a configuration that has
    /// reverted.
    #[must_use]
    pub fn with_known_revision(mut self, known_revision: KnownRevisionFn) -> Self {
        self.known_revision = Some(known_revision);
        self
    }

    /// Reads the configuration from the store.
    ///
    /// # Errors
    ///
    /// With the verdict "not run" if the store cannot be read or its content is invalid.
    pub async fn current(&self) -> std::result::Result<CurrentConfig, RequestError> {
        let found = self.store.read(&keys::config()).await?;
        found.as_ref().map_or_else(
            || Ok(CurrentConfig::absent()),
            |found| decode(found).map_err(invalid_config),
        )
    }

    /// Returns the effects that a change would have, one sentence each; nothing is written.
    ///
    /// # Errors
    ///
    /// As [`Self::apply`], always with the verdict "not run".
    pub async fn dry_run(&self, req: &ChangeRequest, now: Timestamp) -> Result<Vec<Arc<str>>> {
        let current = self.current_unless_reverted().await?;
        Ok(prepare(&current, req, now)?.record.effects)
    }

    /// Applies a change, or reports that an earlier request with the same id applied it.
    ///
    /// # Errors
    ///
    /// [`ChangeFailure::Stale`] if the document is at a revision other than the base of the change.
    /// [`ChangeFailure::Refused`] with the verdict "not run" if the change does not fit the
    /// configuration, its id belongs to another change or the store certainly did not apply it;
    /// with "may have run" if it is unknown whether the store applied it, after which the same
    /// request may be retried with the same id.
    pub async fn apply(&self, req: &ChangeRequest, now: Timestamp) -> Result<AcceptedChange> {
        let stored_state = self.read_state(&req.id).await?;
        if let Some(recorded) = &stored_state.recorded {
            return accept_repeated(recorded, req, stored_state.current);
        }
        let prepared = prepare(&stored_state.current, req, now)?;
        let (effects, document) = (prepared.record.effects.clone(), prepared.document.clone());
        match self.store.transact(transaction(req, prepared)).await {
            Ok(TransactionOutcome::Applied(revision)) => Ok(AcceptedChange {
                revision,
                repeated: false,
                effects,
                current: CurrentConfig { revision, document },
            }),
            Ok(TransactionOutcome::Conflict(found)) => {
                let stored_state = StoredState::from_conflict(&req.id, &found)?;
                let message =
                    "the store reported a conflict but no key that differs; nothing was written";
                outcome_from_state(req, stored_state)
                    .unwrap_or_else(|| Err(unavailable(Verdict::NotRun, message).into()))
            }
            Err(error) if error.verdict == Verdict::NotRun => Err(RequestError::from(error).into()),
            Err(error) => self.resolve(req, &error).await,
        }
    }

    /// Determines by reading whether a change whose response was lost is in the store.
    async fn resolve(&self, req: &ChangeRequest, error: &StoreError) -> Result<AcceptedChange> {
        let stored_state = self.read_state(&req.id).await;
        let outcome = stored_state
            .ok()
            .and_then(|stored_state| outcome_from_state(req, stored_state));
        outcome.unwrap_or_else(|| {
            let message = format!(
                "{error}; the change may have been applied: retry it with the same id {}",
                req.id
            );
            Err(unavailable(Verdict::MayHaveRun, &message).into())
        })
    }

    /// Reads a page of the history, ordered by change id.
    ///
    /// # Errors
    ///
    /// With the verdict "not run" if the store cannot be read or its content is invalid.
    pub async fn history(
        &self,
        after: Option<&ChangeId>,
        limit: u32,
    ) -> std::result::Result<HistoryPage, RequestError> {
        let after = after.map(keys::change);
        let limit = limit.clamp(1, MAX_HISTORY_PAGE_SIZE);
        let page = self
            .store
            .read_page(&keys::changes_prefix(), after.as_ref(), limit)
            .await?;
        let changes = page.items.iter().map(|item| {
            let record = ChangeRecord::from_json(&item.value).map_err(invalid_config)?;
            Ok((item.revision, record))
        });
        Ok(HistoryPage {
            changes: changes.collect::<std::result::Result<_, RequestError>>()?,
            more: page.more,
        })
    }

    /// Reads the configuration from the store; fails if the store has reverted to an older
    /// revision.
    async fn current_unless_reverted(&self) -> std::result::Result<CurrentConfig, RequestError> {
        let known_revision = self
            .known_revision
            .as_ref()
            .map(|known_revision| known_revision());
        let current = self.current().await?;
        match known_revision {
            Some(known_revision) if current.revision < known_revision => {
                let message = format!(
                    "store_regressed: the store's configuration is at revision {}, but revision \
                     {} was already applied: expected an operator to restore the store",
                    current.revision.0, known_revision.0
                );
                Err(unavailable(Verdict::NotRun, &message))
            }
            _ => Ok(current),
        }
    }

    async fn read_state(&self, id: &ChangeId) -> std::result::Result<StoredState, RequestError> {
        let current = self.current_unless_reverted().await?;
        let recorded = self.store.read(&keys::change(id)).await?;
        Ok(StoredState { current, recorded })
    }
}

impl StoredState {
    /// Builds the state from the keys that a refused transaction found, all at one revision.
    fn from_conflict(id: &ChangeId, found: &[KeyValue]) -> std::result::Result<Self, RequestError> {
        let find = |key: &keys::Key| found.iter().find(|item| item.key == *key);
        let current = find(&keys::config()).map(decode).transpose();
        Ok(Self {
            current: current
                .map_err(invalid_config)?
                .unwrap_or_else(CurrentConfig::absent),
            recorded: find(&keys::change(id)).cloned(),
        })
    }
}

/// Returns the outcome of a change if the state of the store determines it.
fn outcome_from_state(
    req: &ChangeRequest,
    stored_state: StoredState,
) -> Option<Result<AcceptedChange>> {
    if let Some(recorded) = &stored_state.recorded {
        return Some(accept_repeated(recorded, req, stored_state.current));
    }
    let changed = stored_state.current.revision != req.based_on;
    changed.then(|| Err(stale(req.based_on, stored_state.current)))
}

/// Validates a change against the current document and creates the next document.
fn prepare(current: &CurrentConfig, req: &ChangeRequest, now: Timestamp) -> Result<PreparedChange> {
    if current.revision != req.based_on {
        return Err(stale(req.based_on, current.clone()));
    }
    let before = &current.document;
    let after = apply_change(&before.config, &req.change, &req.author, &req.reason, now)?;
    let mut record = change_record(req, now)?;
    record.effects = describe_effects(&before.config, &after);
    let document = before.with_change(after, record.clone());
    let encoded = document.to_json();
    if encoded.len() > MAX_DOCUMENT_BYTES {
        let message = format!(
            "configuration too large: {} bytes, expected at most {MAX_DOCUMENT_BYTES}",
            encoded.len()
        );
        return Err(RequestError::not_run(ErrorKind::Invalid, message).into());
    }
    Ok(PreparedChange {
        record,
        document,
        encoded,
    })
}

fn transaction(req: &ChangeRequest, prepared: PreparedChange) -> Transaction {
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

/// Handles a request whose id is already in the store.
fn accept_repeated(
    recorded: &KeyValue,
    req: &ChangeRequest,
    current: CurrentConfig,
) -> Result<AcceptedChange> {
    let record = ChangeRecord::from_json(&recorded.value).map_err(invalid_config)?;
    if !record.is_same_change(&change_record(req, record.at)?) {
        let message = format!(
            "change id {} was already used by {} for a different change: expected a new id",
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

/// Creates the record of a change, without its effects.
fn change_record(
    req: &ChangeRequest,
    now: Timestamp,
) -> std::result::Result<ChangeRecord, RequestError> {
    let change = serde_json::to_value(WireConfigChange::from(req.change.clone()));
    let change = change.map_err(|error| {
        let message = format!("failed to encode the change as JSON: {error}");
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
    reason = "used with map_err, which passes the error by value"
)]
fn invalid_config(error: InvalidConfig) -> RequestError {
    RequestError::not_run(ErrorKind::Failed, error.to_string())
}
