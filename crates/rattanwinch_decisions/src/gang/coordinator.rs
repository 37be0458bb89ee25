use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rattanwinch_types::Epoch;
use rattanwinch_types::Explanation;
use rattanwinch_types::JobRecord;
use rattanwinch_types::JobState;
use rattanwinch_types::JobStatus;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;
use rattanwinch_types::ZoneName;

use super::Committed;
use super::Finished;
use super::GangAction;
use super::GangLimits;
use super::Holding;
use super::Job;
use super::Queued;
use super::job::JobCore;
use super::limits::MAX_BACKOFF_MS;
use super::limits::MIN_BACKOFF_MS;

/// A job in any state.
#[derive(Clone, Debug)]
pub(super) enum AnyJob {
    Queued(Job<Queued>),
    Holding(Job<Holding>),
    Committed(Job<Committed>),
    Finished(Job<Finished>),
}

impl AnyJob {
    pub const fn core(&self) -> &JobCore {
        match self {
            Self::Queued(job) => &job.core,
            Self::Holding(job) => &job.core,
            Self::Committed(job) => &job.core,
            Self::Finished(job) => &job.core,
        }
    }

    pub const fn core_mut(&mut self) -> &mut JobCore {
        match self {
            Self::Queued(job) => &mut job.core,
            Self::Holding(job) => &mut job.core,
            Self::Committed(job) => &mut job.core,
            Self::Finished(job) => &mut job.core,
        }
    }
}

rattanwinch_types::value! {
    /// A violation of a gang invariant.
    pub struct GangInvariantViolation {
        /// Stable name of the invariant, for logs and metric labels.
        pub rule: &'static str,
        /// The job.
        pub job: RequestKey,
    }
}

/// Starts, monitors and ends the gangs of one availability zone.
///
/// The coordinator does no I/O: each input changes the state and may add actions, which
/// [`Self::take_actions`] returns. All members of a gang are held first; then the attempt is
/// committed in the store; only then are members released. An attempt that loses a member ends as a
/// whole, and the next one begins once no member of it can run.
#[derive(Clone, Debug)]
pub struct GangCoordinator {
    pub(super) zone: ZoneName,
    pub(super) epoch: Epoch,
    pub(super) limits: GangLimits,
    pub(super) jobs: BTreeMap<RequestKey, AnyJob>,
    pub(super) actions: Vec<GangAction>,
    /// Whether silence of agents is attributed to this process, so that a member counts as lost
    /// only after its task lease.
    pub(super) loss_detection_suspended: bool,
    rng: ChaCha8Rng,
}

impl GangCoordinator {
    /// Creates a coordinator without jobs; `seed` determines the jitter of its backoffs.
    #[must_use]
    pub fn new(zone: ZoneName, epoch: Epoch, limits: GangLimits, seed: u64) -> Self {
        Self {
            zone,
            epoch,
            limits,
            jobs: BTreeMap::new(),
            actions: Vec::new(),
            loss_detection_suspended: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The decider's epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Sets the limits for later decisions.
    pub const fn set_limits(&mut self, limits: GangLimits) {
        self.limits = limits;
    }

    /// Sets whether a member counts as lost only after its task lease. This is for times when most
    /// agents of the zone are silent, which suggests a network partition around this process.
    pub const fn set_loss_detection_suspended(&mut self, suspended: bool) {
        self.loss_detection_suspended = suspended;
    }

    /// Returns the actions since the last call, in order.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<GangAction> {
        std::mem::take(&mut self.actions)
    }

    /// Adds a job that the store has at `revision`; returns false if the job is already known.
    pub fn restore(&mut self, record: JobRecord, revision: Revision, now: Timestamp) -> bool {
        let key = record.spec.key.clone();
        if self.jobs.contains_key(&key) {
            return false;
        }
        let state = record.state.clone();
        let job = match state {
            RecordedState::Queued => AnyJob::Queued(Job::new(record, revision)),
            RecordedState::Committed { .. } => match Job::restore(record, revision, now) {
                Ok(job) => AnyJob::Committed(job),
                Err(record) => AnyJob::Queued(Job::new(*record, revision)),
            },
            RecordedState::Finished { outcome, .. } => {
                let mut job = Job::<Queued>::new(record.clone(), revision);
                // A committed attempt may have ended before its release; only the decider that
                // recorded the verdict knew that, so the verdict determines `may_have_run`.
                let not_run = outcome.as_ref().is_err_and(RequestError::is_not_run);
                job.core.may_have_run = !not_run;
                let mut job = job.finish(outcome, now);
                job.mark_recorded(record, revision);
                AnyJob::Finished(job)
            }
        };
        self.jobs.insert(key, job);
        true
    }

    /// Whether the job is known.
    #[must_use]
    pub fn contains(&self, key: &RequestKey) -> bool {
        self.jobs.contains_key(key)
    }

    /// Returns the record of a queued job with its revision; `None` in any other state.
    #[must_use]
    pub fn queued_record(&self, key: &RequestKey) -> Option<(&JobRecord, Revision)> {
        match self.jobs.get(key) {
            Some(AnyJob::Queued(job)) => Some((&job.core.record, job.core.revision)),
            _ => None,
        }
    }

    /// Keys of the queued jobs, for moving them out of a closed zone.
    pub fn queued_keys(&self) -> impl Iterator<Item = &RequestKey> {
        let queued = |(key, job): (_, &AnyJob)| matches!(job, AnyJob::Queued(_)).then_some(key);
        self.jobs.iter().filter_map(queued)
    }

    /// Removes a queued job after it was moved to another zone.
    pub fn remove_queued(&mut self, key: &RequestKey) {
        if let Some(AnyJob::Queued(_)) = self.jobs.get(key) {
            self.jobs.remove(key);
            let key = key.clone();
            self.actions.push(GangAction::Dequeue { key });
        }
    }

    /// Removes recorded jobs that finished longer than `keep` ago.
    pub fn drop_finished(&mut self, keep: Duration, now: Timestamp) {
        self.jobs.retain(|_, job| match job {
            AnyJob::Finished(job) => !job.stage.recorded || now.since(job.stage.at) <= keep,
            _ => true,
        });
    }

    /// Status of a job; `queue_reason` says what a queued one waits for.
    #[must_use]
    pub fn status(&self, key: &RequestKey, queue_reason: Option<Arc<str>>) -> Option<JobStatus> {
        let job = self.jobs.get(key)?;
        let core = job.core();
        let state = match job {
            AnyJob::Queued(_) => JobState::Queued {
                reason: queue_reason
                    .or_else(|| core.explanations.back().map(|last| Arc::clone(&last.text)))
                    .unwrap_or_else(|| Arc::from("waits for its first scheduling decision")),
            },
            AnyJob::Holding(_) => JobState::Holding,
            AnyJob::Committed(job) => JobState::Running {
                since: job.stage.since,
            },
            AnyJob::Finished(job) if job.stage.recorded => JobState::Finished {
                outcome: job.stage.outcome.clone(),
            },
            AnyJob::Finished(_) => JobState::Queued {
                reason: Arc::from("has an outcome, which is being recorded"),
            },
        };
        Some(JobStatus {
            key: key.clone(),
            zone: self.zone.clone(),
            attempt: core.attempt,
            state,
        })
    }

    /// Explanations of the decisions about a job, oldest first.
    #[must_use]
    pub fn explanations(&self, key: &RequestKey) -> Option<Vec<Explanation>> {
        let core = self.jobs.get(key)?.core();
        Some(core.explanations.iter().cloned().collect())
    }

    /// Records an explanation of a decision that was made elsewhere about a job.
    pub fn record_explanation(&mut self, key: &RequestKey, text: &str, now: Timestamp) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.core_mut().record_explanation(text, now);
        }
    }

    /// Whether the member belongs to the latest attempt of a job that is being held or is committed
    /// and isn't ending.
    pub(super) fn is_current_member(&self, member: &MemberKey) -> bool {
        match self.jobs.get(&member.attempt.key) {
            Some(AnyJob::Holding(job)) => job.core.attempt == member.attempt.attempt,
            Some(AnyJob::Committed(job)) => {
                job.core.attempt == member.attempt.attempt && job.stage.ending.is_none()
            }
            _ => false,
        }
    }

    /// Time of the next try after consecutive failed holds. The backoff doubles each time and has a
    /// jitter of one half, so that gangs that block each other don't collide again.
    pub(super) fn backoff(&mut self, hold_failures: u32, now: Timestamp) -> Timestamp {
        let doubled = MIN_BACKOFF_MS.saturating_mul(1 << hold_failures.min(10));
        let max_wait_ms = doubled.min(MAX_BACKOFF_MS);
        let wait = self.rng.random_range(max_wait_ms / 2..=max_wait_ms);
        now + Duration::from_millis(wait)
    }

    /// Whether the store has confirmed the commit of the member's attempt, so that the member may
    /// be released; checked right before the release is sent.
    #[must_use]
    pub fn is_committed(&self, member: &MemberKey) -> bool {
        match self.jobs.get(&member.attempt.key) {
            Some(AnyJob::Committed(job)) => {
                let record = &job.core.record;
                let committed = matches!(record.state, RecordedState::Committed { .. });
                committed && record.attempt == member.attempt.attempt
            }
            // The attempt ended after its release was decided.
            Some(AnyJob::Queued(job)) => job.core.record.attempt >= member.attempt.attempt,
            Some(AnyJob::Finished(job)) => job.core.record.runs > 0,
            Some(AnyJob::Holding(_)) | None => false,
        }
    }

    /// Checks the invariants of all jobs.
    ///
    /// # Errors
    ///
    /// The first violated invariant and the job that violates it.
    pub fn check_invariants(&self) -> Result<(), GangInvariantViolation> {
        self.jobs.iter().try_for_each(|(key, job)| {
            check_job_invariants(job).map_err(|rule| GangInvariantViolation {
                rule,
                job: key.clone(),
            })
        })
    }
}

/// Checks the invariants of a job; an error is the stable name of the first violated one.
fn check_job_invariants(job: &AnyJob) -> Result<(), &'static str> {
    let core = job.core();
    if core.attempt < core.record.attempt {
        return Err("attempts_only_rise");
    }
    if core.record.runs > core.attempt {
        return Err("commits_within_attempts");
    }
    match job {
        AnyJob::Committed(job) => {
            let committed = matches!(job.core.record.state, RecordedState::Committed { .. });
            if !committed || job.core.record.attempt != job.core.attempt {
                return Err("release_after_commit");
            }
        }
        AnyJob::Holding(job) => {
            if !job.core.record.spec.idempotent && job.core.may_have_run {
                return Err("non_idempotent_starts_once");
            }
        }
        AnyJob::Finished(job) => {
            let verdict = job.stage.outcome.as_ref().map_err(|error| error.verdict);
            if verdict.err() == Some(Verdict::NotRun) && job.core.may_have_run {
                return Err("verdict_not_better_than_truth");
            }
        }
        AnyJob::Queued(_) => {}
    }
    Ok(())
}
