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
use super::ended::TaskLeft;

/// The executor's leases are extended only when they would gain this much, so that the two
/// heartbeats a second don't cost two calls a second. They are shorter than the agent's by that.
const RENEWAL_STEP: Duration = Duration::from_secs(2);

/// How soon an order to stop that the executor didn't accept is repeated.
const STOP_RETRY: Duration = Duration::from_secs(1);

/// How soon an order to stop is repeated that was accepted without the task having ended; a stop
/// is stated to take at most 5 s (design 4.6).
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// How long an ended member that never ran is reported without the decider's word to forget it.
/// The tombstone answers for it after that.
const REPORT_NOT_RUN: Duration = Duration::from_secs(30);

/// The same while there are many ended members: four heartbeats.
const REPORT_NOT_RUN_AMONG_MANY: Duration = Duration::from_secs(2);

/// The passing of time and the answers to heartbeats.
impl MemberTable {
    /// Takes in the response to a heartbeat that was sent at `sent_at`.
    ///
    /// Only the decider of the highest epoch is listened to. Its answer renews the leases of all
    /// running members from the moment of sending, except those that it orders to stop.
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
        self.tombstones.drop_retained(sent_at);
        actions.extend(self.renew(sent_at + TASK_LEASE));
        actions
    }

    /// Expires holds and task leases, and repeats orders to stop that had no effect.
    pub fn tick(&mut self, now: Timestamp) -> Actions {
        let keys: SmallVec<[MemberKey; 8]> = self.by_key.keys().cloned().collect();
        let ended = self.by_key.values().filter(|member| !member.is_live());
        let report_for = if ended.count() > MAX_ENDED_MEMBERS / 2 {
            REPORT_NOT_RUN_AMONG_MANY
        } else {
            REPORT_NOT_RUN
        };
        let mut actions = Actions::new();
        for key in keys {
            actions.extend(self.tick_member(&key, report_for, now));
        }
        actions
    }

    fn tick_member(&mut self, key: &MemberKey, report_for: Duration, now: Timestamp) -> Actions {
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
                let limit = if stopping.accepted {
                    STOP_LIMIT
                } else {
                    STOP_RETRY
                };
                repeat_stop(key, &mut stopping.asked_at, limit, now)
            }
            Some(MemberState::Ended(member)) => match &mut member.state.left {
                TaskLeft::Loaded(asked_at) => repeat_stop(key, asked_at, STOP_RETRY, now),
                TaskLeft::Loading => Actions::new(),
                TaskLeft::Nothing => {
                    let reported = now.since(member.ended_at()) >= report_for;
                    if reported && member.verdict() == Verdict::NotRun {
                        return self.forget(key, now);
                    }
                    Actions::new()
                }
            },
            _ => Actions::new(),
        }
    }

    /// Replaces an ended member by a tombstone; a live one stays.
    fn forget(&mut self, key: &MemberKey, now: Timestamp) -> Actions {
        let member = self.by_key.get(key);
        let Some(member) = member.filter(|member| !member.may_have_executor_task()) else {
            return Actions::new();
        };
        let verdict = member.verdict();
        self.by_key.remove(key);
        self.bar(key, verdict, now);
        SmallVec::from_iter([Action::Forget(key.clone())])
    }

    /// Renews the leases of the running members that needn't end.
    fn renew(&mut self, until: Timestamp) -> Actions {
        self.renewed = self.renewed.max(until);
        let mut members = SmallVec::new();
        for (key, state) in &mut self.by_key {
            if let MemberState::Running(member) = state
                && !member.is_ending()
            {
                *state = MemberState::Running(member.clone().with_lease(self.renewed));
                members.push(key.clone());
            }
        }
        let due = self.renewed >= self.renewed_at_executor + RENEWAL_STEP;
        if members.is_empty() || !due {
            return Actions::new();
        }
        self.renewed_at_executor = self.renewed;
        SmallVec::from_iter([Action::Renew {
            members,
            lease_until: self.renewed,
        }])
    }
}

fn repeat_stop(
    key: &MemberKey,
    asked_at: &mut Timestamp,
    limit: Duration,
    now: Timestamp,
) -> Actions {
    if now.since(*asked_at) < limit {
        return Actions::new();
    }
    *asked_at = now;
    SmallVec::from_iter([Action::Stop {
        member: key.clone(),
        mode: StopMode::Stop,
    }])
}
