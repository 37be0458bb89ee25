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
use super::ended::TaskLeft;
use super::tombstones::Tombstone;
use super::tombstones::Tombstones;
use crate::AdmissionGate;

/// What a command to the table returns; an error says whether the member ran.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Ended members that wait for the decider's word. More would make heartbeats exceed the 23 KB/s
/// of a node: each costs about 150 bytes, twice a second and to each entry.
pub const MAX_ENDED_MEMBERS: usize = 32;

rattanwinch_types::value! {
    /// What became of a hold that wasn't refused.
    pub enum HoldOutcome {
        /// It is new; it counts as held once the action has succeeded.
        Load(Action),
        /// It is known and its task is being loaded.
        Loading,
        /// It is known and its task is loaded or has run.
        Held,
        /// It is refused until members of an older attempt at the job have ended; the actions
        /// stop them.
        WaitForOlderAttempt(Actions),
    }
}

rattanwinch_types::value! {
    /// What became of a release that wasn't refused.
    pub enum ReleaseOutcome {
        /// The member may start; it counts as started once the action has succeeded.
        Run(Action),
        /// A call to run it was made and hasn't been answered.
        Starting,
        /// It runs.
        Running,
    }
}

/// The members at one agent, and what bars others from starting.
///
/// The table only decides. Commands come in with the time; the actions that it returns have to be
/// carried out at the executor, and their results brought back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberTable {
    /// The worker's accelerators.
    pub(super) accelerators: AcceleratorSet,
    /// The highest epoch known.
    pub(super) highest: Epoch,
    /// The end of the lease that the decider's latest answer gave.
    pub(super) renewed: Timestamp,
    /// The lease that the executor was last asked to keep.
    pub(super) renewed_at_executor: Timestamp,
    /// The members that are known.
    pub(super) by_key: BTreeMap<MemberKey, MemberState>,
    /// The attempts that never start here again.
    pub(super) tombstones: Tombstones,
    /// Counts results and lists, so that a list can be told from what happened after it was
    /// asked for.
    pub(super) step: u64,
}

impl MemberTable {
    /// An empty table for a worker with these accelerators.
    #[must_use]
    pub fn new(accelerators: AcceleratorSet) -> Self {
        Self {
            accelerators,
            highest: Epoch(0),
            renewed: Timestamp::ZERO,
            renewed_at_executor: Timestamp::ZERO,
            by_key: BTreeMap::new(),
            tombstones: Tombstones::default(),
            step: 0,
        }
    }

    /// The highest epoch known.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.highest
    }

    /// Every member that is known, in the order of keys.
    pub fn members(&self) -> impl Iterator<Item = (&MemberKey, &MemberState)> {
        self.by_key.iter()
    }

    /// One member.
    #[must_use]
    pub fn member(&self, key: &MemberKey) -> Option<&MemberState> {
        self.by_key.get(key)
    }

    /// True while the executor may have something of a member, so that its tasks have to be
    /// listed and time has to be followed.
    #[must_use]
    pub fn may_have_executor_tasks(&self) -> bool {
        self.by_key
            .values()
            .any(MemberState::may_have_executor_task)
    }

    /// What a heartbeat reports.
    #[must_use]
    pub fn reports(&self) -> Vec<MemberReport> {
        self.by_key.values().map(MemberState::report).collect()
    }

    /// The number of attempts that are recorded as never to start.
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
        if epoch < self.highest {
            let message = format!(
                "epoch {} is fenced: a decider of epoch {} has taken over",
                epoch.0, self.highest.0
            );
            return Err(RequestError::not_run(ErrorKind::Fenced, message));
        }
        self.highest = epoch;
        Ok(())
    }

    /// Holds accelerators for a member. A repeated hold is answered as the first one and doesn't
    /// prolong it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] for an old epoch, [`ErrorKind::Cancelled`] for an attempt with a
    /// tombstone or below one that is here, [`ErrorKind::Conflict`] for a member that is held
    /// with another order, [`ErrorKind::Invalid`] for accelerators that the worker lacks,
    /// [`ErrorKind::Busy`] if they are taken or there is no room for the record, and what the
    /// gate answers. A newer attempt at a job ends an older one here before it is held. Nothing
    /// has run on account of a refused hold.
    pub fn hold(
        &mut self,
        order: HoldOrder,
        gate: &AdmissionGate,
        now: Timestamp,
    ) -> Result<HoldOutcome> {
        let key = &order.member;
        self.accept_epoch(order.epoch)
            .map_err(|error| self.with_verdict(error, key))?;
        self.check_barred(key)?;
        if let Some(known) = self.by_key.get(key) {
            return repeated_hold(known, &order);
        }
        self.check_attempts(key)?;
        if self.has_older(&key.attempt) {
            return Ok(HoldOutcome::WaitForOlderAttempt(
                self.end_older(&key.attempt, now),
            ));
        }
        self.check_free(&order)?;
        gate.check_gang_start(now)?;
        self.make_room()?;
        let member = Member::<Held>::hold(&order, now);
        let lease_until = member.load_until();
        self.by_key
            .insert(order.member.clone(), MemberState::Held(member));
        Ok(HoldOutcome::Load(Action::Load { order, lease_until }))
    }

    /// Releases a held member, so that its task runs. A repeated release changes nothing.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] for an old epoch, [`ErrorKind::Cancelled`] for an attempt with a
    /// tombstone or a member that has ended, [`ErrorKind::NotFound`] for one that isn't here,
    /// [`ErrorKind::Deadline`] if its hold has expired, and what the gate answers. The verdict
    /// is "not run" unless an earlier release had run it.
    pub fn release(
        &mut self,
        key: &MemberKey,
        epoch: Epoch,
        gate: &AdmissionGate,
        now: Timestamp,
    ) -> Result<ReleaseOutcome> {
        self.accept_epoch(epoch)
            .map_err(|error| self.with_verdict(error, key))?;
        self.check_barred(key)?;
        let member = match self.by_key.remove(key) {
            Some(MemberState::Held(member)) => member,
            Some(other) => {
                let answer = repeated_release(&other);
                self.by_key.insert(key.clone(), other);
                return answer;
            }
            None => return Err(unknown(key)),
        };
        let hold_expires_at = member.expires_at();
        let released = member.release(epoch, self.highest, gate, self.renewed, now);
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

    /// Ends a member in whatever phase and bars its attempt, known or not, from starting here.
    ///
    /// A running member has ended only when the executor says so.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] for an old epoch, or [`ErrorKind::Busy`] if there is no room for
    /// the tombstone; the member may run then.
    pub fn abort(&mut self, key: &MemberKey, epoch: Epoch, now: Timestamp) -> Result<Actions> {
        self.accept_epoch(epoch)
            .map_err(|error| self.with_verdict(error, key))?;
        let verdict = self.by_key.get(key).map(MemberState::verdict);
        let known = verdict.is_some() || self.tombstones.covering(&key.attempt).is_some();
        if !known
            && !self
                .tombstones
                .make_room(1 + self.by_key.len(), self.highest)
        {
            let message = format!("no room to record that {key} must not start");
            return Err(RequestError::may_have_run(ErrorKind::Busy, message));
        }
        self.bar(key, verdict.unwrap_or(Verdict::NotRun), now);
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
            return Err(unknown(key));
        }
        Ok(self.end_or_stop(key, order.mode, MemberOutcome::Stopped, now))
    }

    /// Whether the output of a member can be read.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotFound`] for a member that isn't here, [`ErrorKind::Busy`] while it is
    /// live, [`ErrorKind::Failed`] if it ended in another way; with the member's verdict.
    pub fn check_output(&self, key: &MemberKey) -> Result<()> {
        let member = self.by_key.get(key).ok_or_else(|| unknown(key))?;
        let (kind, what) = match member {
            MemberState::Held(_) => (ErrorKind::Busy, "is held and hasn't run"),
            MemberState::Running(_) => (ErrorKind::Busy, "hasn't ended"),
            MemberState::Ended(ended) => match ended.how() {
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

    /// Whether a member of an older attempt at the same job may run or be released here.
    fn has_older(&self, attempt: &AttemptKey) -> bool {
        let older = |key: &MemberKey| {
            key.attempt.key == attempt.key && key.attempt.attempt < attempt.attempt
        };
        self.by_key
            .iter()
            .any(|(key, member)| member.is_live() && older(key))
    }

    /// Ends the members of older attempts at the same job.
    fn end_older(&mut self, attempt: &AttemptKey, now: Timestamp) -> Actions {
        let older = self
            .by_key
            .keys()
            .filter(|key| key.attempt.key == attempt.key && key.attempt.attempt < attempt.attempt);
        let older: Vec<MemberKey> = older.cloned().collect();
        let end =
            |key: &MemberKey| self.end_or_stop(key, StopMode::Stop, MemberOutcome::Stopped, now);
        older.iter().flat_map(end).collect()
    }

    /// Ends a held member, or orders a running one to stop unless that was ordered before.
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
        let (member, asks) = match member {
            MemberState::Held(member) if mode > StopMode::Throttle => {
                let ended = member.end(end, now);
                let asks = ended.state.left != TaskLeft::Loading;
                (MemberState::Ended(ended), asks.then_some(StopMode::Stop))
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
        asks.map_or_else(Actions::new, |mode| {
            smallvec![Action::Stop {
                member: key.clone(),
                mode,
            }]
        })
    }

    /// Records that an attempt never starts here again.
    pub(super) fn bar(&mut self, key: &MemberKey, verdict: Verdict, now: Timestamp) {
        let tombstone = Tombstone {
            attempt: key.attempt.attempt,
            verdict,
            epoch: self.highest,
            recorded_at: now,
        };
        self.tombstones.record(&key.attempt, tombstone);
    }

    /// Gives an error about a member the verdict that is known of it.
    fn with_verdict(&self, error: RequestError, key: &MemberKey) -> RequestError {
        let known = self.by_key.get(key).map(MemberState::verdict);
        let verdict = known.or_else(|| self.tombstones.verdict(&key.attempt));
        error.with_verdict_at_least(verdict.unwrap_or(Verdict::NotRun))
    }

    fn check_barred(&self, key: &MemberKey) -> Result<()> {
        if self.tombstones.covering(&key.attempt).is_none() {
            return Ok(());
        }
        let message = format!("{} was recorded as never to start here", key.attempt);
        let error = RequestError::not_run(ErrorKind::Cancelled, message);
        Err(self.with_verdict(error, key))
    }

    fn check_attempts(&self, key: &MemberKey) -> Result<()> {
        let mut others = self.by_key.keys().map(|other| &other.attempt);
        let attempt = &key.attempt;
        let higher =
            others.find(|other| other.key == attempt.key && other.attempt > attempt.attempt);
        higher.map_or(Ok(()), |higher| {
            let message = format!("{attempt} is older than {higher}, which is here");
            Err(RequestError::not_run(ErrorKind::Cancelled, message))
        })
    }

    fn check_free(&self, order: &HoldOrder) -> Result<()> {
        let asked = order.accelerators;
        if asked.is_empty() || !asked.difference(self.accelerators).is_empty() {
            let message = format!(
                "accelerators {asked} were asked for, and the worker has {}",
                self.accelerators
            );
            return Err(RequestError::not_run(ErrorKind::Invalid, message));
        }
        let holder = self
            .by_key
            .iter()
            .find(|(_, it)| it.taken().overlaps(asked));
        holder.map_or(Ok(()), |(holder, _)| {
            let message = format!("accelerators {asked} are taken, at least one by {holder}");
            Err(RequestError::not_run(ErrorKind::Busy, message))
        })
    }

    /// Makes sure that the end of one more member can be reported and barred.
    fn make_room(&mut self) -> Result<()> {
        let ended = self.by_key.values().filter(|member| !member.is_live());
        if ended.count() >= MAX_ENDED_MEMBERS {
            let message =
                format!("{MAX_ENDED_MEMBERS} ended members wait for the decider's word to forget");
            return Err(RequestError::not_run(ErrorKind::Busy, message));
        }
        let needed = self.by_key.len() + 1;
        if !self.tombstones.make_room(needed, self.highest) {
            let message = "no room to record one more ended member; each record still matters";
            return Err(RequestError::not_run(ErrorKind::Busy, message));
        }
        Ok(())
    }
}

fn repeated_hold(known: &MemberState, order: &HoldOrder) -> Result<HoldOutcome> {
    let identity = known.identity();
    let payload = Some(Digest::of(order.payload.as_bytes()));
    let same_payload = identity.payload.is_none() || identity.payload == payload;
    if identity.accelerators != order.accelerators || !same_payload {
        let message = format!("{} is here with another order", order.member);
        let error = RequestError::new(known.verdict(), ErrorKind::Conflict, message);
        return Err(error);
    }
    match known {
        MemberState::Held(member) if member.state.loaded.is_none() => Ok(HoldOutcome::Loading),
        MemberState::Held(_) | MemberState::Running(_) => Ok(HoldOutcome::Held),
        MemberState::Ended(_) => Err(ended(known, order.member.to_string())),
    }
}

fn repeated_release(known: &MemberState) -> Result<ReleaseOutcome> {
    match known {
        MemberState::Running(member) if member.is_ending() => {
            Err(ended(known, member.key().to_string()))
        }
        MemberState::Running(member) if member.is_confirmed() => Ok(ReleaseOutcome::Running),
        MemberState::Held(_) | MemberState::Running(_) => Ok(ReleaseOutcome::Starting),
        MemberState::Ended(member) => Err(ended(known, member.key().to_string())),
    }
}

fn ended(known: &MemberState, key: String) -> RequestError {
    let message = key + " has ended or is being stopped";
    RequestError::new(known.verdict(), ErrorKind::Cancelled, message)
}

fn unknown(key: &MemberKey) -> RequestError {
    let message = format!("{key} isn't held here and doesn't run here");
    RequestError::not_run(ErrorKind::NotFound, message)
}
