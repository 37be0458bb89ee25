use std::collections::BTreeMap;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::Digest;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::MemberReport;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::StopOrder;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;
use smallvec::smallvec;

use super::Action;
use super::Actions;
use super::Held;
use super::Member;
use super::MemberState;
use super::ended::ExecutorTask;
use super::tombstones::Tombstone;
use super::tombstones::Tombstones;
use crate::AdmissionGate;

/// Result of a command to the table; an error says whether the member ran.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Maximum number of ended members that the decider has not yet confirmed. More would make
/// heartbeats exceed the 23 KB/s of a node: each costs about 150 bytes, twice a second and to each
/// entry.
pub const MAX_ENDED_MEMBERS: usize = 32;

rattanwinch_types::value! {
    /// Result of a hold that was not refused.
    pub enum HoldOutcome {
        /// The hold is new; the member is held once the action has succeeded.
        Load(Action),
        /// The member is known and its task is being loaded.
        Loading,
        /// The member is known and its task is loaded or has run.
        Held,
        /// The hold is refused until members of an older attempt at the job have ended; the actions
        /// stop them.
        WaitForOlderAttempt(Actions),
    }
}

rattanwinch_types::value! {
    /// Result of a release that was not refused.
    pub enum ReleaseOutcome {
        /// The member may start; it has started once the action has succeeded.
        Run(Action),
        /// A run call was made and has not been answered.
        Starting,
        /// The member runs.
        Running,
    }
}

/// Members at one agent, and the tombstones of attempts that must not start.
///
/// The table does no I/O. Commands come with the current time; the returned actions have to be
/// carried out at the executor, and their results passed back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberTable {
    /// The worker's accelerators.
    pub(super) accelerators: AcceleratorSet,
    /// Highest known epoch.
    pub(super) highest_epoch: Epoch,
    /// End of the lease granted by the decider's latest heartbeat response.
    pub(super) renewed_until: Timestamp,
    /// End of the lease in the last renewal sent to the executor.
    pub(super) executor_renewed_until: Timestamp,
    /// Known members.
    pub(super) by_key: BTreeMap<MemberKey, MemberState>,
    /// Attempts that never start here again.
    pub(super) tombstones: Tombstones,
    /// Logical clock of call results and task list requests. A list says nothing about results that
    /// arrived after its request.
    pub(super) step: u64,
}

impl MemberTable {
    /// Creates an empty table for a worker with these accelerators.
    #[must_use]
    pub fn new(accelerators: AcceleratorSet) -> Self {
        Self {
            accelerators,
            highest_epoch: Epoch(0),
            renewed_until: Timestamp::ZERO,
            executor_renewed_until: Timestamp::ZERO,
            by_key: BTreeMap::new(),
            tombstones: Tombstones::default(),
            step: 0,
        }
    }

    /// Highest known epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.highest_epoch
    }

    /// Known members, ordered by key.
    pub fn members(&self) -> impl Iterator<Item = (&MemberKey, &MemberState)> {
        self.by_key.iter()
    }

    /// Returns a member by its key.
    #[must_use]
    pub fn member(&self, key: &MemberKey) -> Option<&MemberState> {
        self.by_key.get(key)
    }

    /// Whether the executor may hold a task of a member, so that its tasks have to be listed and
    /// [`Self::tick`] has to be called.
    #[must_use]
    pub fn may_have_executor_tasks(&self) -> bool {
        self.by_key
            .values()
            .any(MemberState::may_have_executor_task)
    }

    /// Reports of all members for a heartbeat.
    #[must_use]
    pub fn reports(&self) -> Vec<MemberReport> {
        self.by_key.values().map(MemberState::report).collect()
    }

    /// Number of tombstones.
    #[must_use]
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Accepts a decider's epoch.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] if a higher one is known.
    pub fn accept_epoch(&mut self, epoch: Epoch) -> Result<()> {
        if epoch < self.highest_epoch {
            let message = format!(
                "epoch {} is fenced: a decider of epoch {} has taken over",
                epoch.0, self.highest_epoch.0
            );
            return Err(RequestError::not_run(ErrorKind::Fenced, message));
        }
        self.highest_epoch = epoch;
        Ok(())
    }

    /// Holds accelerators for a member. A repeated hold gets the same response as the first one and
    /// doesn't extend it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] for an old epoch, [`ErrorKind::Cancelled`] for an attempt with a
    /// tombstone or older than one that is here, [`ErrorKind::Conflict`] for a member that is held
    /// by a different order, [`ErrorKind::Invalid`] for accelerators that the worker lacks,
    /// [`ErrorKind::Busy`] if they are occupied or there is no space for the record, and the gate's
    /// error. A newer attempt at a job ends an older one here before it is held. Nothing has run
    /// because of a refused hold.
    pub fn hold(
        &mut self,
        order: HoldOrder,
        gate: &AdmissionGate,
        now: Timestamp,
    ) -> Result<HoldOutcome> {
        let key = &order.member;
        self.accept_epoch(order.epoch)
            .map_err(|error| self.with_verdict(error, key))?;
        self.check_tombstone(key)?;
        if let Some(known) = self.by_key.get(key) {
            return repeated_hold_outcome(known, &order);
        }
        self.check_newer_attempt(key)?;
        if self.has_older_attempt(&key.attempt) {
            return Ok(HoldOutcome::WaitForOlderAttempt(
                self.end_older_attempts(&key.attempt, now),
            ));
        }
        self.check_accelerators_free(&order)?;
        gate.check_gang_start(now)?;
        self.ensure_capacity()?;
        let member = Member::<Held>::hold(&order, now);
        let lease_until = member.load_lease_until();
        self.by_key
            .insert(order.member.clone(), MemberState::Held(member));
        Ok(HoldOutcome::Load(Action::Load { order, lease_until }))
    }

    /// Releases a held member, so that its task runs. A repeated release has no effect.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] for an old epoch, [`ErrorKind::Cancelled`] for an attempt with a
    /// tombstone or a member that has ended, [`ErrorKind::NotFound`] for one that isn't here,
    /// [`ErrorKind::Deadline`] if its hold has expired, and the gate's error. The verdict is "not
    /// run" unless an earlier release ran the member.
    pub fn release(
        &mut self,
        key: &MemberKey,
        epoch: Epoch,
        gate: &AdmissionGate,
        now: Timestamp,
    ) -> Result<ReleaseOutcome> {
        self.accept_epoch(epoch)
            .map_err(|error| self.with_verdict(error, key))?;
        self.check_tombstone(key)?;
        let member = match self.by_key.remove(key) {
            Some(MemberState::Held(member)) => member,
            Some(other) => {
                let outcome = repeated_release_outcome(&other);
                self.by_key.insert(key.clone(), other);
                return outcome;
            }
            None => return Err(unknown_member_error(key)),
        };
        let hold_expires_at = member.expires_at();
        let released = member.release(epoch, self.highest_epoch, gate, self.renewed_until, now);
        let member = match released {
            Ok(member) => member,
            Err(refused) => {
                let held = MemberState::Held(refused.member);
                self.by_key.insert(key.clone(), held);
                return Err(refused.error);
            }
        };
        self.by_key
            .insert(key.clone(), MemberState::Running(member));
        Ok(ReleaseOutcome::Run(Action::Run {
            member: key.clone(),
            start_before: hold_expires_at.min(gate.fresh_until),
        }))
    }

    /// Ends a member in any phase and bars its attempt, known or not, from starting here.
    ///
    /// A running member has ended only once the executor reports it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] for an old epoch, or [`ErrorKind::Busy`] if there is no space for the
    /// tombstone; the member may run in that case.
    pub fn abort(&mut self, key: &MemberKey, epoch: Epoch, now: Timestamp) -> Result<Actions> {
        self.accept_epoch(epoch)
            .map_err(|error| self.with_verdict(error, key))?;
        let verdict = self.by_key.get(key).map(MemberState::verdict);
        let known = verdict.is_some() || self.tombstones.covering(&key.attempt).is_some();
        if !known
            && !self
                .tombstones
                .ensure_capacity(1 + self.by_key.len(), self.highest_epoch)
        {
            let message = format!(
                "the tombstone table is full: no space to record that {key} must not start"
            );
            return Err(RequestError::may_have_run(ErrorKind::Busy, message));
        }
        self.record_tombstone(key, verdict.unwrap_or(Verdict::NotRun), now);
        Ok(self.end_or_stop(key, StopMode::Stop, MemberOutcome::Stopped, now))
    }

    /// Throttles, checkpoints or stops a member. A held member ends, unless it is only throttled.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] for an old epoch, [`ErrorKind::NotFound`] for a member that isn't
    /// here.
    pub fn stop(&mut self, order: &StopOrder, epoch: Epoch, now: Timestamp) -> Result<Actions> {
        let key = &order.member;
        self.accept_epoch(epoch)
            .map_err(|error| self.with_verdict(error, key))?;
        if !self.by_key.contains_key(key) {
            return Err(unknown_member_error(key));
        }
        Ok(self.end_or_stop(key, order.mode, MemberOutcome::Stopped, now))
    }

    /// Checks that the output of a member can be read.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] for a member that isn't here, [`ErrorKind::Busy`] while it is live,
    /// [`ErrorKind::Failed`] if it ended without success; with the member's verdict.
    pub fn check_output(&self, key: &MemberKey) -> Result<()> {
        let member = self
            .by_key
            .get(key)
            .ok_or_else(|| unknown_member_error(key))?;
        let (kind, what) = match member {
            MemberState::Held(_) => (ErrorKind::Busy, "is held and hasn't run"),
            MemberState::Running(_) => (ErrorKind::Busy, "hasn't ended"),
            MemberState::Ended(ended) => match ended.outcome() {
                MemberOutcome::Succeeded => return Ok(()),
                _ => (ErrorKind::Failed, "ended without an output"),
            },
        };
        Err(RequestError::new(
            member.verdict(),
            kind,
            format!("{key} {what}"),
        ))
    }

    /// Whether a live member of an older attempt at the same job is here.
    fn has_older_attempt(&self, attempt: &AttemptKey) -> bool {
        let older = |key: &MemberKey| {
            key.attempt.key == attempt.key && key.attempt.attempt < attempt.attempt
        };
        self.by_key
            .iter()
            .any(|(key, member)| member.is_live() && older(key))
    }

    /// Ends the members of older attempts at the same job.
    fn end_older_attempts(&mut self, attempt: &AttemptKey, now: Timestamp) -> Actions {
        let older = self
            .by_key
            .keys()
            .filter(|key| key.attempt.key == attempt.key && key.attempt.attempt < attempt.attempt);
        let older: Vec<MemberKey> = older.cloned().collect();
        let end =
            |key: &MemberKey| self.end_or_stop(key, StopMode::Stop, MemberOutcome::Stopped, now);
        older.iter().flat_map(end).collect()
    }

    /// Ends a held member, or orders a running one to stop unless the same or a stronger order was
    /// given before.
    pub(super) fn end_or_stop(
        &mut self,
        key: &MemberKey,
        mode: StopMode,
        end: MemberOutcome,
        now: Timestamp,
    ) -> Actions {
        let Some(member) = self.by_key.remove(key) else {
            return Actions::new();
        };
        let lapsed = end == MemberOutcome::Lapsed;
        let (member, stop_request) = match member {
            MemberState::Held(member) if mode > StopMode::Throttle => {
                let ended = member.end(end, now);
                let stop_request = ended.state.executor_task != ExecutorTask::Loading;
                (
                    MemberState::Ended(ended),
                    stop_request.then_some(StopMode::Stop),
                )
            }
            MemberState::Running(member) => {
                let ordered = member.state.stopping.map(|stopping| stopping.mode);
                if ordered.is_some_and(|ordered| ordered >= mode) {
                    (MemberState::Running(member), None)
                } else {
                    let member = member.with_stop(mode, lapsed, now);
                    (MemberState::Running(member), Some(mode))
                }
            }
            other => (other, None),
        };
        self.by_key.insert(key.clone(), member);
        stop_request.map_or_else(Actions::new, |mode| {
            smallvec![Action::Stop {
                member: key.clone(),
                mode,
            }]
        })
    }

    /// Records that an attempt never starts here again.
    pub(super) fn record_tombstone(&mut self, key: &MemberKey, verdict: Verdict, now: Timestamp) {
        let tombstone = Tombstone {
            attempt: key.attempt.attempt,
            verdict,
            epoch: self.highest_epoch,
            recorded_at: now,
        };
        self.tombstones.record(&key.attempt, tombstone);
    }

    /// Raises the verdict of an error to what is known about the member.
    fn with_verdict(&self, error: RequestError, key: &MemberKey) -> RequestError {
        let known = self.by_key.get(key).map(MemberState::verdict);
        let verdict = known.or_else(|| self.tombstones.verdict(&key.attempt));
        error.with_verdict_at_least(verdict.unwrap_or(Verdict::NotRun))
    }

    fn check_tombstone(&self, key: &MemberKey) -> Result<()> {
        if self.tombstones.covering(&key.attempt).is_none() {
            return Ok(());
        }
        let message = format!(
            "{} has a tombstone: it must not start on this worker",
            key.attempt
        );
        let error = RequestError::not_run(ErrorKind::Cancelled, message);
        Err(self.with_verdict(error, key))
    }

    fn check_newer_attempt(&self, key: &MemberKey) -> Result<()> {
        let mut others = self.by_key.keys().map(|other| &other.attempt);
        let attempt = &key.attempt;
        let higher =
            others.find(|other| other.key == attempt.key && other.attempt > attempt.attempt);
        higher.map_or(Ok(()), |higher| {
            let message = format!("{attempt} is older than {higher}, which is on this worker");
            Err(RequestError::not_run(ErrorKind::Cancelled, message))
        })
    }

    fn check_accelerators_free(&self, order: &HoldOrder) -> Result<()> {
        let requested = order.accelerators;
        if requested.is_empty() || !requested.difference(self.accelerators).is_empty() {
            let message = format!(
                "the hold requests accelerators {requested}, but the worker has {}",
                self.accelerators
            );
            return Err(RequestError::not_run(ErrorKind::Invalid, message));
        }
        let holder = self
            .by_key
            .iter()
            .find(|(_, member)| member.occupied_accelerators().overlaps(requested));
        holder.map_or(Ok(()), |(holder, _)| {
            let message =
                format!("accelerators {requested} are occupied, at least one by {holder}");
            Err(RequestError::not_run(ErrorKind::Busy, message))
        })
    }

    /// Ensures that the end of one more member can be reported and recorded as a tombstone.
    fn ensure_capacity(&mut self) -> Result<()> {
        let ended = self.by_key.values().filter(|member| !member.is_live());
        if ended.count() >= MAX_ENDED_MEMBERS {
            let message = format!(
                "{MAX_ENDED_MEMBERS} ended members wait for the decider to confirm their end"
            );
            return Err(RequestError::not_run(ErrorKind::Busy, message));
        }
        let needed = self.by_key.len() + 1;
        if !self.tombstones.ensure_capacity(needed, self.highest_epoch) {
            let message = "the tombstone table is full and its tombstones are still needed: no space to \
                           record one more ended member";
            return Err(RequestError::not_run(ErrorKind::Busy, message));
        }
        Ok(())
    }
}

fn repeated_hold_outcome(known: &MemberState, order: &HoldOrder) -> Result<HoldOutcome> {
    let identity = known.identity();
    let payload = Some(Digest::of(order.payload.as_bytes()));
    let same_payload = identity.payload.is_none() || identity.payload == payload;
    if identity.accelerators != order.accelerators || !same_payload {
        let message = format!(
            "{} is already on this worker with different accelerators or another payload",
            order.member
        );
        let error = RequestError::new(known.verdict(), ErrorKind::Conflict, message);
        return Err(error);
    }
    match known {
        MemberState::Held(member) if member.state.loaded_step.is_none() => Ok(HoldOutcome::Loading),
        MemberState::Held(_) | MemberState::Running(_) => Ok(HoldOutcome::Held),
        MemberState::Ended(_) => Err(ended_error(known, order.member.to_string())),
    }
}

fn repeated_release_outcome(known: &MemberState) -> Result<ReleaseOutcome> {
    match known {
        MemberState::Running(member) if member.is_ending() => {
            Err(ended_error(known, member.key().to_string()))
        }
        MemberState::Running(member) if member.is_confirmed() => Ok(ReleaseOutcome::Running),
        MemberState::Held(_) | MemberState::Running(_) => Ok(ReleaseOutcome::Starting),
        MemberState::Ended(member) => Err(ended_error(known, member.key().to_string())),
    }
}

fn ended_error(known: &MemberState, key: String) -> RequestError {
    let message = key + " has ended or is being stopped";
    RequestError::new(known.verdict(), ErrorKind::Cancelled, message)
}

fn unknown_member_error(key: &MemberKey) -> RequestError {
    let message = format!("{key} is neither held nor running on this worker");
    RequestError::not_run(ErrorKind::NotFound, message)
}
