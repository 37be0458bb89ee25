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
use super::limits::FIRST_BACKOFF_MS;
use super::limits::LAST_BACKOFF_MS;

/// A job in whatever state, for the table of jobs.
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
    /// A rule about gangs that a job breaks.
    pub struct BrokenRule {
        /// The stable name of the rule, for logs and metric labels.
        pub rule: &'static str,
        /// The job.
        pub job: RequestKey,
    }
}

/// Starts, watches and ends the gangs of one availability zone.
///
/// It does no I/O: each input changes the state and may add actions, which
/// [`Self::take_actions`] hands over. All members of a gang are held; then the attempt is
/// committed in the store; only then are members released. An attempt that loses a member ends
/// as a whole, and the next one begins when no member of it can run any longer.
#[derive(Clone, Debug)]
pub struct GangCoordinator {
    pub(super) zone: ZoneName,
    pub(super) epoch: Epoch,
    pub(super) limits: GangLimits,
    pub(super) jobs: BTreeMap<RequestKey, AnyJob>,
    pub(super) actions: Vec<GangAction>,
    /// Whether silence of agents is put down to this process, so that a member counts as lost only
    /// after its task lease.
    pub(super) losses_suspended: bool,
    rng: ChaCha8Rng,
}

impl GangCoordinator {
    /// A coordinator without jobs; `seed` decides the jitter of its back-offs.
    #[must_use]
    pub fn new(zone: ZoneName, epoch: Epoch, limits: GangLimits, seed: u64) -> Self {
        Self {
            zone,
            epoch,
            limits,
            jobs: BTreeMap::new(),
            actions: Vec::new(),
            losses_suspended: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The decider's epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Obeys changed defaults from now on.
    pub const fn set_limits(&mut self, limits: GangLimits) {
        self.limits = limits;
    }

    /// Counts a member as lost only after its task lease while most agents of the zone are silent:
    /// then it is likely that this process is cut off.
    pub const fn set_loss_detection_suspended(&mut self, suspended: bool) {
        self.losses_suspended = suspended;
    }

    /// The actions since the last call, in the order in which they came up.
    #[must_use]
    pub fn take_actions(&mut self) -> Vec<GangAction> {
        std::mem::take(&mut self.actions)
    }

    /// Takes in a job that the store has at `revision`, unless it is known; false if it is.
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
                // A committed attempt may have ended before its release, which only the decider
                // of that time knew when it recorded the verdict.
                let not_run = outcome.as_ref().is_err_and(RequestError::is_not_run);
                job.core.may_have_run = !not_run;
                let mut job = job.finish(outcome, now);
                job.recorded(record, revision);
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

    /// The record of a job that waits, with its revision; `None` in any other state.
    #[must_use]
    pub fn queued_record(&self, key: &RequestKey) -> Option<(&JobRecord, Revision)> {
        match self.jobs.get(key) {
            Some(AnyJob::Queued(job)) => Some((&job.core.record, job.core.revision)),
            _ => None,
        }
    }

    /// The jobs that wait, for moving them out of a closed zone.
    pub fn queued_keys(&self) -> impl Iterator<Item = &RequestKey> {
        let queued = |(key, job): (_, &AnyJob)| matches!(job, AnyJob::Queued(_)).then_some(key);
        self.jobs.iter().filter_map(queued)
    }

    /// Drops a job that waits, after it was moved to another zone.
    pub fn remove_queued(&mut self, key: &RequestKey) {
        if let Some(AnyJob::Queued(_)) = self.jobs.get(key) {
            self.jobs.remove(key);
            let key = key.clone();
            self.actions.push(GangAction::Dequeue { key });
        }
    }

    /// Drops recorded jobs that finished longer than `keep` ago.
    pub fn drop_finished(&mut self, keep: Duration, now: Timestamp) {
        self.jobs.retain(|_, job| match job {
            AnyJob::Finished(job) => !job.stage.recorded || now.since(job.stage.at) <= keep,
            _ => true,
        });
    }

    /// What is known of a job; `queue_reason` says what a queued one waits for.
    #[must_use]
    pub fn status(&self, key: &RequestKey, queue_reason: Option<Arc<str>>) -> Option<JobStatus> {
        let job = self.jobs.get(key)?;
        let core = job.core();
        let state = match job {
            AnyJob::Queued(_) => JobState::Queued {
                reason: queue_reason
                    .or_else(|| core.reasons.back().map(|last| Arc::clone(&last.text)))
                    .unwrap_or_else(|| Arc::from("waits for its first decision")),
            },
            AnyJob::Holding(_) => JobState::Holding,
            AnyJob::Committed(job) => JobState::Running {
                since: job.stage.since,
            },
            AnyJob::Finished(job) if job.stage.recorded => JobState::Finished {
                outcome: job.stage.outcome.clone(),
            },
            AnyJob::Finished(_) => JobState::Queued {
                reason: Arc::from("has its outcome, which is being recorded"),
            },
        };
        Some(JobStatus {
            key: key.clone(),
            zone: self.zone.clone(),
            attempt: core.attempt,
            state,
        })
    }

    /// The decisions about a job, oldest first.
    #[must_use]
    pub fn explanations(&self, key: &RequestKey) -> Option<Vec<Explanation>> {
        let core = self.jobs.get(key)?.core();
        Some(core.reasons.iter().cloned().collect())
    }

    /// Keeps a decision that was made elsewhere about a job.
    pub fn record_explanation(&mut self, key: &RequestKey, text: &str, now: Timestamp) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.core_mut().record_explanation(text, now);
        }
    }

    /// Whether a member may still be wanted: its attempt is the latest of a job that is being
    /// held or is committed and doesn't end.
    pub(super) fn wants(&self, member: &MemberKey) -> bool {
        match self.jobs.get(&member.attempt.key) {
            Some(AnyJob::Holding(job)) => job.core.attempt == member.attempt.attempt,
            Some(AnyJob::Committed(job)) => {
                job.core.attempt == member.attempt.attempt && job.stage.ending.is_none()
            }
            _ => false,
        }
    }

    /// The time of the next try after so many failures in a row: doubled each time, with jitter
    /// of one half, so that gangs that refuse each other don't meet again.
    pub(super) fn backoff(&mut self, failures: u32, now: Timestamp) -> Timestamp {
        let doubled = FIRST_BACKOFF_MS.saturating_mul(1 << failures.min(10));
        let most = doubled.min(LAST_BACKOFF_MS);
        let wait = self.rng.random_range(most / 2..=most);
        now + Duration::from_millis(wait)
    }

    /// Whether a member belongs to an attempt whose commit the store has confirmed, so that it may
    /// be released; asked right before the release is sent.
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

    /// Checks what must hold at any time.
    ///
    /// # Errors
    ///
    /// The first rule that is broken, and the job that breaks it.
    pub fn check_invariants(&self) -> Result<(), BrokenRule> {
        self.jobs.iter().try_for_each(|(key, job)| {
            check(job).map_err(|rule| BrokenRule {
                rule,
                job: key.clone(),
            })
        })
    }
}

/// The stable name of the first rule that a job breaks.
fn check(job: &AnyJob) -> Result<(), &'static str> {
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
