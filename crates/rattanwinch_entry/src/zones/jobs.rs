use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rattanwinch_callers::JobBackend;
use rattanwinch_callers::Result;
use rattanwinch_decisions::ZoneCandidate;
use rattanwinch_decisions::choose_zone;
use rattanwinch_platform::Condition;
use rattanwinch_platform::KeyValue;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::JobPointer;
use rattanwinch_platform::records::StoredJob;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Explanation;
use rattanwinch_types::JobRecord;
use rattanwinch_types::JobSpec;
use rattanwinch_types::JobState;
use rattanwinch_types::JobStatus;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;
use tokio::sync::oneshot;

use super::message::ZoneMessage;
use super::store_calls::job_pointer;
use crate::entry_state::EntryState;

/// The time that a submission waits for the store or for a zone with a decider before it fails.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval between attempts to reach a zone's decider.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How long this entry tries to enqueue a recorded job at its zone's decider. A decider that takes
/// the zone over later reads the job's record.
const ENQUEUE_TIMEOUT: Duration = Duration::from_secs(10);

/// Submits, queries and cancels callers' jobs.
#[derive(Debug)]
pub(crate) struct EntryJobBackend<S>(pub Arc<EntryState<S>>);

impl<S: Store> JobBackend for EntryJobBackend<S> {
    async fn submit(&self, job: JobSpec) -> Result<JobStatus> {
        let _in_flight = self.0.count_in_flight();
        counter!("jobs_submitted_total").increment(1);
        self.0.submit_job(job).await
    }

    async fn status(&self, key: RequestKey, wait: Duration) -> Result<JobStatus> {
        let until = self.0.clock.now() + wait;
        self.0.job_status(&key, until).await
    }

    async fn cancel(&self, key: RequestKey) -> Result<JobStatus> {
        self.0.cancel_job(&key).await
    }

    async fn explain(&self, key: RequestKey) -> Result<Vec<Explanation>> {
        self.0.explain_job(&key).await
    }
}

fn not_found(key: &RequestKey) -> RequestError {
    RequestError::not_run(ErrorKind::NotFound, format!("job {key} not found"))
}

fn not_decider(zone: &ZoneName) -> RequestError {
    let message = format!("availability zone {zone} is not decided by this entry");
    RequestError::not_run(ErrorKind::Unavailable, message)
}

/// The status of a job as its record shows it, for when no decider can be reached.
fn status_from_record(record: &JobRecord) -> JobStatus {
    let state = match &record.state {
        RecordedState::Queued => JobState::Queued {
            reason: Arc::from("recorded; waiting for the decider of its availability zone"),
        },
        RecordedState::Committed { since, .. } => JobState::Running { since: *since },
        RecordedState::Finished { outcome, .. } => JobState::Finished {
            outcome: outcome.clone(),
        },
    };
    JobStatus {
        key: record.spec.key.clone(),
        zone: record.zone.clone(),
        attempt: record.attempt,
        state,
    }
}

impl<S: Store> EntryState<S> {
    /// The summaries of all zones that have a decider.
    pub(crate) fn zone_summaries(&self) -> Vec<ZoneSummary> {
        let mut summaries = self.zones.summaries();
        let peers = self.zones.peers();
        for summary in peers.values().flat_map(|peer| &peer.state.zones) {
            let known = summaries
                .iter_mut()
                .find(|known| known.zone == summary.zone);
            match known {
                Some(known) if known.epoch < summary.epoch => *known = summary.clone(),
                Some(_) => {}
                None => summaries.push(summary.clone()),
            }
        }
        summaries
    }

    /// The summaries of all zones that have a decider, with the accelerators of jobs sent there
    /// recently.
    pub(super) fn zone_candidates(&self) -> Vec<ZoneCandidate> {
        let now = self.clock.now();
        let candidate = |summary: ZoneSummary| ZoneCandidate {
            pending_accelerators: self.zones.recently_sent_accelerators(&summary.zone, now),
            summary,
        };
        self.zone_summaries().into_iter().map(candidate).collect()
    }

    async fn submit_job(self: &Arc<Self>, job: JobSpec) -> Result<JobStatus> {
        let now = self.clock.now();
        if now >= job.deadline {
            let message = "the deadline passed before the job was recorded";
            return Err(RequestError::not_run(ErrorKind::Deadline, message));
        }
        if self.control.load().confirmed_at.is_some() {
            self.check_job_organisation(&job)?;
        }
        let until = job.deadline.min(now + SUBMIT_TIMEOUT);
        let zone = self.wait_for_zone(&job, until).await?;
        // An entry that has just started may have had no configuration at the first check.
        self.check_job_organisation(&job)?;
        let record = JobRecord {
            spec: job,
            zone,
            attempt: 0,
            runs: 0,
            state: RecordedState::Queued,
            reason: None,
        };
        match self.record_job(&record, until).await? {
            Ok(revision) => {
                let accelerators = record.spec.shape.accelerators();
                let now = self.clock.now();
                self.zones.record_sent_job(&record.zone, accelerators, now);
                self.enqueue_new_job(record, revision).await
            }
            Err(existing) => self.handle_duplicate_submission(&record, &existing).await,
        }
    }

    fn check_job_organisation(&self, job: &JobSpec) -> Result<()> {
        let organisation = &job.key.organisation;
        if self.control.load().config.has_organisation(organisation) {
            return Ok(());
        }
        let message = format!("organisation {organisation} is not configured");
        Err(RequestError::not_run(ErrorKind::NotFound, message))
    }

    async fn wait_for_zone(&self, job: &JobSpec, until: Timestamp) -> Result<ZoneName> {
        loop {
            let control = self.control.load_full();
            let candidates = self.zone_candidates();
            let organisation = &job.key.organisation;
            let zone = choose_zone(&control.config, &candidates, organisation, job.shape);
            let now = self.clock.now();
            // If the store does not respond, a record that was sent may still arrive later, and the
            // job could no longer be refused as not run.
            let fresh = control.is_fresh(now);
            if let Some(zone) = zone
                && fresh
            {
                return Ok(zone);
            }
            if now >= until {
                let message = if fresh {
                    "no open availability zone has a decider now"
                } else {
                    "the store does not respond, so the job cannot be recorded now"
                };
                return Err(RequestError::not_run(ErrorKind::Unavailable, message));
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Writes the pointer and the record of a new job; returns the existing pointer if the id was
    /// used before.
    async fn record_job(
        &self,
        record: &JobRecord,
        until: Timestamp,
    ) -> Result<std::result::Result<Revision, KeyValue>> {
        let key = &record.spec.key;
        let pointer = keys::request_id(key);
        let job = keys::job(&record.zone, key);
        let transaction = Transaction::new()
            .with_condition(Condition::Absent(Arc::clone(&pointer)))
            .with_put(
                Arc::clone(&pointer),
                job_pointer(record).encode(),
                Retention::Permanent,
            )
            .with_put(job, StoredJob::encode(record), Retention::Permanent);
        let limit = self.clock.now().until(until);
        match tokio::time::timeout(limit, self.store.transact(transaction)).await {
            Ok(Ok(TransactionOutcome::Applied(revision))) => Ok(Ok(revision)),
            Ok(Ok(TransactionOutcome::Conflict(found))) => match found.into_iter().next() {
                Some(stored) => Ok(Err(stored)),
                None => {
                    let message = "the job id was in use but has become free; submit the job again";
                    Err(RequestError::not_run(ErrorKind::Busy, message))
                }
            },
            Ok(Err(error)) if error.verdict == Verdict::NotRun => Err(error.into()),
            Ok(Err(_)) | Err(_) => {
                let message = "the store did not confirm the job; query its status by its id";
                Err(RequestError::may_have_run(ErrorKind::Unavailable, message))
            }
        }
    }

    /// Handles a submission whose id was used before, by a retry or by another job.
    async fn handle_duplicate_submission(
        &self,
        record: &JobRecord,
        existing: &KeyValue,
    ) -> Result<JobStatus> {
        let key = &record.spec.key;
        let pointer = JobPointer::decode(&existing.value).ok();
        if pointer.is_some_and(|pointer| pointer.digest == record.spec.digest()) {
            return self.job_status(key, self.clock.now()).await;
        }
        let message = format!("job id {key} was already used with a different body");
        Err(RequestError::not_run(ErrorKind::Conflict, message))
    }

    /// Enqueues a newly recorded job at the decider of its zone.
    async fn enqueue_new_job(
        self: &Arc<Self>,
        record: JobRecord,
        revision: Revision,
    ) -> Result<JobStatus> {
        let (zone, key) = (record.zone.clone(), record.spec.key.clone());
        let status = status_from_record(&record);
        if let Some(handle) = self.zones.own_zone(&zone) {
            let (tx, rx) = oneshot::channel();
            let message = ZoneMessage::Submit(Box::new(record), revision, tx);
            if handle.messages.send(message).await.is_ok()
                && let Ok(Ok(status)) = tokio::time::timeout(RETRY_INTERVAL, rx).await
            {
                return Ok(status);
            }
        }
        self.spawn_enqueue(&zone, &key);
        Ok(status)
    }

    /// Enqueues a recorded job at the decider of its zone in the background, with retries.
    pub(super) fn spawn_enqueue(self: &Arc<Self>, zone: &ZoneName, key: &RequestKey) {
        let (state, zone, key) = (Arc::clone(self), zone.clone(), key.clone());
        tokio::spawn(async move {
            let until = state.clock.now() + ENQUEUE_TIMEOUT;
            while state.clock.now() < until {
                let enqueued = if state.zones.own_zone(&zone).is_some() {
                    state.enqueue_recorded_job(&zone, &key).await.is_ok()
                } else {
                    state.enqueue_at_peer(&zone, &key).await
                };
                if enqueued {
                    return;
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        });
    }

    async fn enqueue_at_peer(&self, zone: &ZoneName, key: &RequestKey) -> bool {
        let Some(client) = self.decider_client(zone) else {
            return false;
        };
        match self.read_record(zone, key).await {
            Some((record, _)) => client.submit_job(zone, record.spec).await.is_ok(),
            None => false,
        }
    }

    /// Returns the client of the entry that decides a zone.
    pub(super) fn decider_client(&self, zone: &ZoneName) -> Option<rattanwinch_peers::EntryClient> {
        let peers = self.zones.peers();
        let deciders = peers.values().filter_map(|peer| {
            let zones = peer.state.zones.iter();
            let epoch = zones
                .filter(|known| known.zone == *zone)
                .map(|known| known.epoch);
            Some((epoch.max()?, peer.state.address))
        });
        let (_, address) = deciders.max_by_key(|(epoch, _)| *epoch)?;
        Some(self.zones.client(address))
    }

    /// Adds a recorded job to the queue of a zone that this entry decides.
    pub(super) async fn enqueue_recorded_job(
        &self,
        zone: &ZoneName,
        key: &RequestKey,
    ) -> Result<JobStatus> {
        let handle = self.zones.own_zone(zone).ok_or_else(|| not_decider(zone))?;
        let found = self.read_record(zone, key).await;
        let (record, revision) = found.ok_or_else(|| not_found(key))?;
        if matches!(record.state, RecordedState::Finished { .. }) {
            return Ok(status_from_record(&record));
        }
        let (tx, rx) = oneshot::channel();
        let message = ZoneMessage::Submit(record, revision, tx);
        let sent = handle.messages.send(message).await;
        sent.map_err(|_| not_decider(zone))?;
        rx.await.map_err(|_| not_decider(zone))
    }

    /// Returns the zone of a job according to its pointer.
    async fn recorded_zone(&self, key: &RequestKey) -> Result<ZoneName> {
        let stored = self.store.read(&keys::request_id(key)).await;
        let stored = stored.map_err(|error| {
            RequestError::may_have_run(ErrorKind::Unavailable, error.to_string())
        })?;
        let pointer = stored.and_then(|stored| JobPointer::decode(&stored.value).ok());
        Ok(pointer.ok_or_else(|| not_found(key))?.zone)
    }

    async fn job_status(&self, key: &RequestKey, until: Timestamp) -> Result<JobStatus> {
        loop {
            if let Some(status) = self.query_own_zones(key, until).await {
                return Ok(status);
            }
            let zone = self.recorded_zone(key).await?;
            let found = self.read_record(&zone, key).await;
            let (record, _) = found.ok_or_else(|| not_found(key))?;
            let status = status_from_record(&record);
            let now = self.clock.now();
            if status.is_finished() {
                return Ok(status);
            }
            if self.zones.own_zone(&zone).is_some() {
                // The decider does not know the job although it is recorded, for example because it
                // was recorded while the zone was being taken over.
                let _ = self.enqueue_recorded_job(&zone, key).await;
            } else if let Some(client) = self.decider_client(&zone) {
                let answer = client.job_status(key.clone(), now.until(until)).await;
                // If the job is being moved or its zone taken over, the decider responds before the
                // job ends.
                if let Ok(status) = answer
                    && (status.is_finished() || self.clock.now() >= until)
                {
                    return Ok(status);
                }
            }
            if self.clock.now() >= until {
                return Ok(status);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Queries the zones that this entry decides; `None` if none of them knows the job.
    async fn query_own_zones(&self, key: &RequestKey, until: Timestamp) -> Option<JobStatus> {
        for handle in self.zones.own_zones().values() {
            let (tx, rx) = oneshot::channel();
            let message = ZoneMessage::Status(key.clone(), until, tx);
            if handle.messages.send(message).await.is_ok()
                && let Ok(Some(status)) = rx.await
            {
                return Some(status);
            }
        }
        None
    }

    /// The status of a job in a zone that this entry decides.
    pub(super) async fn local_status(&self, key: &RequestKey, wait: Duration) -> Result<JobStatus> {
        let until = self.clock.now() + wait;
        if let Some(status) = self.query_own_zones(key, until).await {
            return Ok(status);
        }
        let zone = self.recorded_zone(key).await?;
        let status = self.enqueue_recorded_job(&zone, key).await?;
        if status.is_finished() {
            return Ok(status);
        }
        Ok(self.query_own_zones(key, until).await.unwrap_or(status))
    }

    async fn cancel_job(&self, key: &RequestKey) -> Result<JobStatus> {
        if let Ok(status) = self.cancel_local_job(key).await {
            return Ok(status);
        }
        let zone = self.recorded_zone(key).await?;
        if self.zones.own_zone(&zone).is_some() {
            return self.cancel_recorded(&zone, key).await;
        }
        match self.decider_client(&zone) {
            Some(client) => client.cancel_job(key.clone()).await,
            None => {
                let found = self.read_record(&zone, key).await;
                let (record, _) = found.ok_or_else(|| not_found(key))?;
                let status = status_from_record(&record);
                status
                    .is_finished()
                    .then_some(status)
                    .ok_or_else(|| not_decider(&zone))
            }
        }
    }

    /// Cancels a job on behalf of another entry.
    pub(super) async fn cancel_for_peer(&self, key: &RequestKey) -> Result<JobStatus> {
        if let Ok(status) = self.cancel_local_job(key).await {
            return Ok(status);
        }
        let zone = self.recorded_zone(key).await?;
        self.cancel_recorded(&zone, key).await
    }

    /// Cancels a recorded job that the decider task of this entry has not enqueued yet.
    async fn cancel_recorded(&self, zone: &ZoneName, key: &RequestKey) -> Result<JobStatus> {
        let status = self.enqueue_recorded_job(zone, key).await?;
        if status.is_finished() {
            return Ok(status);
        }
        self.cancel_local_job(key).await
    }

    /// Cancels a job in a zone that this entry decides.
    async fn cancel_local_job(&self, key: &RequestKey) -> Result<JobStatus> {
        for handle in self.zones.own_zones().values() {
            let (tx, rx) = oneshot::channel();
            let message = ZoneMessage::Cancel(key.clone(), tx);
            if handle.messages.send(message).await.is_ok()
                && let Ok(Some(status)) = rx.await
            {
                return Ok(status);
            }
        }
        Err(not_found(key))
    }

    async fn explain_job(&self, key: &RequestKey) -> Result<Vec<Explanation>> {
        if let Ok(explanations) = self.local_explanations(key).await {
            return Ok(explanations);
        }
        let zone = self.recorded_zone(key).await?;
        if let Some(client) = self.decider_client(&zone)
            && let Ok(explanations) = client.explain_job(key.clone()).await
        {
            return Ok(explanations);
        }
        let found = self.read_record(&zone, key).await;
        let (record, _) = found.ok_or_else(|| not_found(key))?;
        let at = match record.state {
            RecordedState::Finished { at, .. } => at,
            RecordedState::Committed { since, .. } => since,
            RecordedState::Queued => Timestamp::ZERO,
        };
        let last = record.reason.map(|text| Explanation { at, text });
        Ok(last.into_iter().collect())
    }

    /// The decisions about a job in a zone that this entry decides.
    pub(super) async fn local_explanations(&self, key: &RequestKey) -> Result<Vec<Explanation>> {
        for handle in self.zones.own_zones().values() {
            let (tx, rx) = oneshot::channel();
            let message = ZoneMessage::Explain(key.clone(), tx);
            if handle.messages.send(message).await.is_ok()
                && let Ok(Some(explanations)) = rx.await
            {
                return Ok(explanations);
            }
        }
        Err(not_found(key))
    }
}
