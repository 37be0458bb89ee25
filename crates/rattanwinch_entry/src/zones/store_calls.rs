use std::sync::Arc;

use rattanwinch_decisions::WriteOutcome;
use rattanwinch_platform::Condition;
use rattanwinch_platform::KeyValue;
use rattanwinch_platform::MAX_VALUE_BYTES;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::JobPointer;
use rattanwinch_platform::records::StoredJob;
use rattanwinch_types::Epoch;
use rattanwinch_types::JobRecord;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::Verdict;
use rattanwinch_types::ZoneName;
use slog::error;
use slog::warn;

use super::message::StoredRecord;
use crate::entry_state::EntryState;

/// The pointer to a job record.
pub(super) fn job_pointer(record: &JobRecord) -> JobPointer {
    JobPointer {
        digest: record.spec.digest(),
        zone: record.zone.clone(),
    }
}

impl<S: Store> EntryState<S> {
    /// Replaces a job's record at `expected` if this entry still decides the zone. The record and
    /// pointer of a finished job are kept for a day.
    pub(super) async fn write_record(
        &self,
        epoch: Epoch,
        expected: Revision,
        record: &JobRecord,
    ) -> WriteOutcome {
        let key = keys::job(&record.zone, &record.spec.key);
        let decider = keys::decider(&record.zone);
        let finished = matches!(record.state, RecordedState::Finished { .. });
        let mut transaction = Transaction::new()
            .with_condition(Condition::ModifiedAt(Arc::clone(&key), expected))
            .with_condition(Condition::ModifiedAt(
                Arc::clone(&decider),
                Revision(epoch.0),
            ));
        let value = StoredJob::encode(record);
        if value.len() > MAX_VALUE_BYTES {
            return WriteOutcome::TooLarge;
        }
        if finished {
            let pointer = job_pointer(record).encode();
            transaction = transaction
                .with_put(Arc::clone(&key), value, Retention::Day)
                .with_put(keys::request_id(&record.spec.key), pointer, Retention::Day);
        } else {
            transaction = transaction.with_put(Arc::clone(&key), value, Retention::Permanent);
        }
        match self.store.transact(transaction).await {
            Ok(TransactionOutcome::Applied(revision)) => WriteOutcome::Applied(revision),
            Ok(TransactionOutcome::Conflict(found)) => {
                let decides = |stored: &KeyValue| {
                    stored.key == decider && stored.revision == Revision(epoch.0)
                };
                if !found.iter().any(decides) {
                    return WriteOutcome::Deposed;
                }
                let stored = found.into_iter().find(|stored| stored.key == key);
                WriteOutcome::Conflict(stored.and_then(|stored| self.decode_stored_job(&stored)))
            }
            Err(error) => {
                warn!(self.logger, "failed to write the job record to the store";
                    "job" => %record.spec.key,
                    "error" => %error);
                match error.verdict {
                    Verdict::NotRun => WriteOutcome::NotApplied,
                    Verdict::MayHaveRun | Verdict::Ran => WriteOutcome::Unknown,
                }
            }
        }
    }

    /// Reads a job's record; a failed read is logged and returns `None`.
    pub(super) async fn read_record(&self, zone: &ZoneName, key: &RequestKey) -> StoredRecord {
        let stored = self.store.read(&keys::job(zone, key)).await;
        let stored = stored.inspect_err(|error| {
            warn!(self.logger, "failed to read the job record from the store";
                "job" => %key, "error" => %error);
        });
        self.decode_stored_job(&stored.ok()??)
    }

    /// Decodes a job's record from a stored value; an invalid one is logged and returns `None`.
    pub(super) fn decode_stored_job(&self, stored: &KeyValue) -> StoredRecord {
        match StoredJob::decode(&stored.value) {
            Ok(record) => Some((Box::new(record), stored.revision)),
            Err(error) => {
                error!(self.logger, "invalid job record in the store; ignoring it";
                    "key" => &*stored.key,
                    "error" => %error);
                None
            }
        }
    }
}
