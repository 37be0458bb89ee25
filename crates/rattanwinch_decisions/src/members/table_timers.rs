use std::time::Duration;

use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;
use smallvec::SmallVec;

use super::Action;
use super::Actions;
use super::MAX_ENDED_MEMBERS;
use super::MemberState;
use super::MemberTable;
use super::TASK_LEASE;
use super::ended::ExecutorTask;

/// Minimum extension for which the executor's leases are renewed, so that two heartbeats a second
/// don't cost two calls a second. These leases are shorter than the agent's by up to this time.
const MIN_RENEWAL_EXTENSION: Duration = Duration::from_secs(2);

/// Retry interval of a stop order that the executor didn't accept.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Retry interval of an accepted stop order whose task has not ended; a stop is specified to take
/// at most 5 s (design 4.6).
const ACCEPTED_STOP_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// How long an ended member that never ran is reported if the decider doesn't confirm it.
/// Afterwards only its tombstone is kept.
const NOT_RUN_REPORT_DURATION: Duration = Duration::from_secs(30);

/// Replaces [`NOT_RUN_REPORT_DURATION`] while there are many ended members: four heartbeats.
const NOT_RUN_REPORT_DURATION_WHEN_MANY: Duration = Duration::from_secs(2);

/// Handling of timers and of heartbeat responses.
impl MemberTable {
    /// Handles the response to a heartbeat that was sent at `sent_at`.
    ///
    /// Only responses of the decider of the highest epoch count. They renew the leases of all
    /// running members from the time of sending, except of members they order to stop.
    pub fn handle_heartbeat_response(
        &mut self,
        sent_at: Timestamp,
        response: &HeartbeatResponse,
        now: Timestamp,
    ) -> Actions {
        let Some(epoch) = response.decider_epoch.filter(|_| !response.duplicate) else {
            return Actions::new();
        };
        if self.accept_epoch(epoch).is_err() {
            return Actions::new();
        }
        let mut actions = Actions::new();
        for order in &response.stop {
            let ordered = self.stop(order, epoch, now);
            actions.extend(ordered.unwrap_or_default());
        }
        for key in &response.forget {
            actions.extend(self.forget(key, now));
        }
        self.tombstones.drop_expired(sent_at);
        actions.extend(self.renew(sent_at + TASK_LEASE));
        actions
    }

    /// Expires holds and task leases, and repeats stop orders that had no effect.
    pub fn tick(&mut self, now: Timestamp) -> Actions {
        let keys: SmallVec<[MemberKey; 8]> = self.by_key.keys().cloned().collect();
        let ended = self.by_key.values().filter(|member| !member.is_live());
        let report_duration = if ended.count() > MAX_ENDED_MEMBERS / 2 {
            NOT_RUN_REPORT_DURATION_WHEN_MANY
        } else {
            NOT_RUN_REPORT_DURATION
        };
        let mut actions = Actions::new();
        for key in keys {
            actions.extend(self.tick_member(&key, report_duration, now));
        }
        actions
    }

    fn tick_member(
        &mut self,
        key: &MemberKey,
        report_duration: Duration,
        now: Timestamp,
    ) -> Actions {
        match self.by_key.get_mut(key) {
            Some(MemberState::Held(member)) if now >= member.expires_at() => {
                self.end_or_stop(key, StopMode::Stop, MemberOutcome::Lapsed, now)
            }
            Some(MemberState::Running(member)) if !member.is_ending() => {
                if now < member.lease_until() {
                    return Actions::new();
                }
                self.end_or_stop(key, StopMode::Stop, MemberOutcome::Lapsed, now)
            }
            Some(MemberState::Running(member)) => {
                let Some(stopping) = member.state.stopping.as_mut() else {
                    return Actions::new();
                };
                let interval = if stopping.accepted {
                    ACCEPTED_STOP_RETRY_INTERVAL
                } else {
                    STOP_RETRY_INTERVAL
                };
                repeat_stop_if_due(key, &mut stopping.stop_sent_at, interval, now)
            }
            Some(MemberState::Ended(member)) => match &mut member.state.executor_task {
                ExecutorTask::Loaded(stop_sent_at) => {
                    repeat_stop_if_due(key, stop_sent_at, STOP_RETRY_INTERVAL, now)
                }
                ExecutorTask::Loading => Actions::new(),
                ExecutorTask::Absent => {
                    let reported = now.since(member.ended_at()) >= report_duration;
                    if reported && member.verdict() == Verdict::NotRun {
                        return self.forget(key, now);
                    }
                    Actions::new()
                }
            },
            _ => Actions::new(),
        }
    }

    /// Replaces an ended member by a tombstone; has no effect on a live one.
    fn forget(&mut self, key: &MemberKey, now: Timestamp) -> Actions {
        let member = self.by_key.get(key);
        let Some(member) = member.filter(|member| !member.may_have_executor_task()) else {
            return Actions::new();
        };
        let verdict = member.verdict();
        self.by_key.remove(key);
        self.record_tombstone(key, verdict, now);
        SmallVec::from_iter([Action::Forget(key.clone())])
    }

    /// Renews the leases of running members that were not ordered to stop.
    fn renew(&mut self, until: Timestamp) -> Actions {
        self.renewed_until = self.renewed_until.max(until);
        let mut members = SmallVec::new();
        for (key, state) in &mut self.by_key {
            if let MemberState::Running(member) = state
                && !member.is_ending()
            {
                *state = MemberState::Running(member.clone().with_lease(self.renewed_until));
                members.push(key.clone());
            }
        }
        let due = self.renewed_until >= self.executor_renewed_until + MIN_RENEWAL_EXTENSION;
        if members.is_empty() || !due {
            return Actions::new();
        }
        self.executor_renewed_until = self.renewed_until;
        SmallVec::from_iter([Action::Renew {
            members,
            lease_until: self.renewed_until,
        }])
    }
}

fn repeat_stop_if_due(
    key: &MemberKey,
    stop_sent_at: &mut Timestamp,
    interval: Duration,
    now: Timestamp,
) -> Actions {
    if now.since(*stop_sent_at) < interval {
        return Actions::new();
    }
    *stop_sent_at = now;
    SmallVec::from_iter([Action::Stop {
        member: key.clone(),
        mode: StopMode::Stop,
    }])
}
