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
use super::store_calls::pointer_to;
use crate::entry_state::EntryState;

/// The longest wait for the store or for a zone with a decider before a submission is refused.
const SUBMIT_WAIT: Duration = Duration::from_secs(2);

/// The time between two tries to reach a zone's decider.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(100);

/// How long a recorded job is offered to its zone's decider; a decider that takes over later
/// finds its record.
const OFFER_FOR: Duration = Duration::from_secs(10);

/// What callers' jobs are handed to.
#[derive(Debug)]
pub(crate) struct Jobs<S>(pub Arc<EntryState<S>>);

impl<S: Store> JobBackend for Jobs<S> {
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
    RequestError::not_run(ErrorKind::NotFound, format!("no job {key} is known"))
}

fn not_decider(zone: &ZoneName) -> RequestError {
    let message = format!("availability zone {zone} isn't decided here");
    RequestError::not_run(ErrorKind::Unavailable, message)
}

/// What a record says of its job when no decider can be asked.
fn status_of(record: &JobRecord) -> JobStatus {
    let state = match &record.state {
        RecordedState::Queued => JobState::Queued {
            reason: Arc::from("it is recorded and waits for the decider of its availability zone"),
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
        for summary in peers.values().flat_map(|heard| &heard.state.zones) {
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

    /// The zones that have a decider, for the choice of one.
    pub(super) fn zone_offers(&self) -> Vec<ZoneCandidate> {
        let now = self.clock.now();
        let offer = |summary: ZoneSummary| ZoneCandidate {
            pending_accelerators: self.zones.sent_lately(&summary.zone, now),
            summary,
        };
        self.zone_summaries().into_iter().map(offer).collect()
    }

    async fn submit_job(self: &Arc<Self>, job: JobSpec) -> Result<JobStatus> {
        let now = self.clock.now();
        if now >= job.deadline {
            let message = "the deadline has passed";
            return Err(RequestError::not_run(ErrorKind::Deadline, message));
        }
        if self.control.load().confirmed_at.is_some() {
            self.check_job_organisation(&job)?;
        }
        let until = job.deadline.min(now + SUBMIT_WAIT);
        let zone = self.wait_for_zone(&job, until).await?;
        // An entry that has just started had no configuration before.
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
                self.zones.count_sent(&record.zone, accelerators, now);
                self.offer(record, revision).await
            }
            Err(existing) => self.known_job(&record, &existing).await,
        }
    }

    fn check_job_organisation(&self, job: &JobSpec) -> Result<()> {
        let organisation = &job.key.organisation;
        if self.control.load().config.has_organisation(organisation) {
            return Ok(());
        }
        let message = format!("organisation {organisation} isn't configured");
        Err(RequestError::not_run(ErrorKind::NotFound, message))
    }

    async fn wait_for_zone(&self, job: &JobSpec, until: Timestamp) -> Result<ZoneName> {
        loop {
            let control = self.control.load_full();
            let offers = self.zone_offers();
            let organisation = &job.key.organisation;
            let zone = choose_zone(&control.config, &offers, organisation, job.shape);
            let now = self.clock.now();
            // With a store that doesn't answer, a record that is sent may still arrive later, so
            // the job could no longer be refused as not run.
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
                    "the store can't be reached, so the job can't be recorded now"
                };
                return Err(RequestError::not_run(ErrorKind::Unavailable, message));
            }
            tokio::time::sleep(TRY_AGAIN_AFTER).await;
        }
    }

    /// Writes the pointer and the record of a new job; the pointer's value if its id was used.
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
                pointer_to(record).encode(),
                Retention::Permanent,
            )
            .with_put(job, StoredJob::encode(record), Retention::Permanent);
        let limit = self.clock.now().until(until);
        match tokio::time::timeout(limit, self.store.transact(transaction)).await {
            Ok(Ok(TransactionOutcome::Applied(revision))) => Ok(Ok(revision)),
            Ok(Ok(TransactionOutcome::Conflict(found))) => match found.into_iter().next() {
                Some(stored) => Ok(Err(stored)),
                None => {
                    let message = "the id was used and is free again; send the job again";
                    Err(RequestError::not_run(ErrorKind::Busy, message))
                }
            },
            Ok(Err(error)) if error.verdict == Verdict::NotRun => Err(error.into()),
            Ok(Err(_)) | Err(_) => {
                let message = "the store didn't confirm the job; ask for it by its id";
                Err(RequestError::may_have_run(ErrorKind::Unavailable, message))
            }
        }
    }

    /// A submission whose id was used before: a retry, or another job.
    async fn known_job(&self, record: &JobRecord, existing: &KeyValue) -> Result<JobStatus> {
        let key = &record.spec.key;
        let pointer = JobPointer::decode(&existing.value).ok();
        if pointer.is_some_and(|pointer| pointer.digest == record.spec.digest()) {
            return self.job_status(key, self.clock.now()).await;
        }
        let message = format!("the id {key} was used before with another body");
        Err(RequestError::not_run(ErrorKind::Conflict, message))
    }

    /// Hands a recorded job to the decider of its zone.
    async fn offer(self: &Arc<Self>, record: JobRecord, revision: Revision) -> Result<JobStatus> {
        let (zone, key) = (record.zone.clone(), record.spec.key.clone());
        let status = status_of(&record);
        if let Some(handle) = self.zones.own(&zone) {
            let (tx, rx) = oneshot::channel();
            let message = ZoneMessage::Submit(Box::new(record), revision, tx);
            if handle.messages.send(message).await.is_ok()
                && let Ok(Ok(status)) = tokio::time::timeout(TRY_AGAIN_AFTER, rx).await
            {
                return Ok(status);
            }
        }
        self.hand_to_decider(&zone, &key);
        Ok(status)
    }

    /// Tells the decider of a zone about a recorded job, until it answers.
    pub(super) fn hand_to_decider(self: &Arc<Self>, zone: &ZoneName, key: &RequestKey) {
        let (state, zone, key) = (Arc::clone(self), zone.clone(), key.clone());
        tokio::spawn(async move {
            let until = state.clock.now() + OFFER_FOR;
            while state.clock.now() < until {
                let told = if state.zones.own(&zone).is_some() {
                    state.take_submitted(&zone, &key).await.is_ok()
                } else {
                    state.tell_remote(&zone, &key).await
                };
                if told {
                    return;
                }
                tokio::time::sleep(TRY_AGAIN_AFTER).await;
            }
        });
    }

    async fn tell_remote(&self, zone: &ZoneName, key: &RequestKey) -> bool {
        let Some(client) = self.decider_client(zone) else {
            return false;
        };
        match self.read_record(zone, key).await {
            Some((record, _)) => client.submit_job(zone, record.spec).await.is_ok(),
            None => false,
        }
    }

    /// The client of the entry that decides a zone.
    pub(super) fn decider_client(&self, zone: &ZoneName) -> Option<rattanwinch_peers::EntryClient> {
        let peers = self.zones.peers();
        let heard = peers.values().filter_map(|heard| {
            let zones = heard.state.zones.iter();
            let epoch = zones
                .filter(|known| known.zone == *zone)
                .map(|known| known.epoch);
            Some((epoch.max()?, heard.state.address))
        });
        let (_, address) = heard.max_by_key(|(epoch, _)| *epoch)?;
        Some(self.zones.client(address))
    }

    /// Takes a recorded job into the queue of a zone that this entry decides.
    pub(super) async fn take_submitted(
        &self,
        zone: &ZoneName,
        key: &RequestKey,
    ) -> Result<JobStatus> {
        let handle = self.zones.own(zone).ok_or_else(|| not_decider(zone))?;
        let found = self.read_record(zone, key).await;
        let (record, revision) = found.ok_or_else(|| not_found(key))?;
        if matches!(record.state, RecordedState::Finished { .. }) {
            return Ok(status_of(&record));
        }
        let (tx, rx) = oneshot::channel();
        let message = ZoneMessage::Submit(record, revision, tx);
        let sent = handle.messages.send(message).await;
        sent.map_err(|_| not_decider(zone))?;
        rx.await.map_err(|_| not_decider(zone))
    }

    /// Where a job is, by its pointer.
    async fn zone_of(&self, key: &RequestKey) -> Result<ZoneName> {
        let stored = self.store.read(&keys::request_id(key)).await;
        let stored = stored.map_err(|error| {
            RequestError::may_have_run(ErrorKind::Unavailable, error.to_string())
        })?;
        let pointer = stored.and_then(|stored| JobPointer::decode(&stored.value).ok());
        Ok(pointer.ok_or_else(|| not_found(key))?.zone)
    }

    async fn job_status(&self, key: &RequestKey, until: Timestamp) -> Result<JobStatus> {
        loop {
            if let Some(status) = self.ask_own_zones(key, until).await {
                return Ok(status);
            }
            let zone = self.zone_of(key).await?;
            let found = self.read_record(&zone, key).await;
            let (record, _) = found.ok_or_else(|| not_found(key))?;
            let status = status_of(&record);
            let now = self.clock.now();
            if status.is_finished() {
                return Ok(status);
            }
            if self.zones.own(&zone).is_some() {
                // The decider doesn't know the job although it is recorded, for example because
                // it was recorded while the zone was taken over.
                let _ = self.take_submitted(&zone, key).await;
            } else if let Some(client) = self.decider_client(&zone) {
                let answer = client.job_status(key.clone(), now.until(until)).await;
                // A job that is moved or whose zone is taken over is answered before its end.
                if let Ok(status) = answer
                    && (status.is_finished() || self.clock.now() >= until)
                {
                    return Ok(status);
                }
            }
            if self.clock.now() >= until {
                return Ok(status);
            }
            tokio::time::sleep(TRY_AGAIN_AFTER).await;
        }
    }

    /// Asks the zones that are decided here; `None` if none of them knows the job.
    async fn ask_own_zones(&self, key: &RequestKey, until: Timestamp) -> Option<JobStatus> {
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

    /// The status of a job of a zone that is decided here.
    pub(super) async fn own_status(&self, key: &RequestKey, wait: Duration) -> Result<JobStatus> {
        let until = self.clock.now() + wait;
        if let Some(status) = self.ask_own_zones(key, until).await {
            return Ok(status);
        }
        let zone = self.zone_of(key).await?;
        let status = self.take_submitted(&zone, key).await?;
        if status.is_finished() {
            return Ok(status);
        }
        Ok(self.ask_own_zones(key, until).await.unwrap_or(status))
    }

    async fn cancel_job(&self, key: &RequestKey) -> Result<JobStatus> {
        if let Ok(status) = self.own_cancel(key).await {
            return Ok(status);
        }
        let zone = self.zone_of(key).await?;
        if self.zones.own(&zone).is_some() {
            return self.cancel_recorded(&zone, key).await;
        }
        match self.decider_client(&zone) {
            Some(client) => client.cancel_job(key.clone()).await,
            None => {
                let found = self.read_record(&zone, key).await;
                let (record, _) = found.ok_or_else(|| not_found(key))?;
                let status = status_of(&record);
                status
                    .is_finished()
                    .then_some(status)
                    .ok_or_else(|| not_decider(&zone))
            }
        }
    }

    /// Cancels a job for another entry.
    pub(super) async fn cancel_for_peer(&self, key: &RequestKey) -> Result<JobStatus> {
        if let Ok(status) = self.own_cancel(key).await {
            return Ok(status);
        }
        let zone = self.zone_of(key).await?;
        self.cancel_recorded(&zone, key).await
    }

    /// Cancels a job that is recorded but that the zone's task here hasn't taken in yet.
    async fn cancel_recorded(&self, zone: &ZoneName, key: &RequestKey) -> Result<JobStatus> {
        let status = self.take_submitted(zone, key).await?;
        if status.is_finished() {
            return Ok(status);
        }
        self.own_cancel(key).await
    }

    /// Cancels a job of a zone that is decided here.
    async fn own_cancel(&self, key: &RequestKey) -> Result<JobStatus> {
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
        if let Ok(explanations) = self.own_explain(key).await {
            return Ok(explanations);
        }
        let zone = self.zone_of(key).await?;
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

    /// The decisions about a job of a zone that is decided here.
    pub(super) async fn own_explain(&self, key: &RequestKey) -> Result<Vec<Explanation>> {
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
