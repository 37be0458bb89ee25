use std::sync::Arc;

use rattanwinch_types::ErrorKind;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;
use smallvec::smallvec;

use super::Action;
use super::Actions;
use super::Ended;
use super::Member;
use super::MemberState;
use super::MemberTable;
use super::ObservedState;
use super::ObservedTask;
use super::Running;
use super::TASK_LEASE;
use super::ended::ExecutorTask;

rattanwinch_types::value! { copy
    /// Marks when a list of the executor's tasks was requested.
    pub struct TaskListRequest(u64);
}

fn stop_actions(member: &MemberKey) -> Actions {
    smallvec![Action::Stop {
        member: member.clone(),
        mode: StopMode::Stop,
    }]
}

fn failed_outcome(error: &RequestError) -> MemberOutcome {
    MemberOutcome::Failed(Arc::clone(&error.message))
}

/// Handling of action results and of the executor's task lists.
impl MemberTable {
    /// Handles the result of [`Action::Load`].
    pub fn handle_load_result(
        &mut self,
        key: &MemberKey,
        result: &Result<(), RequestError>,
        now: Timestamp,
    ) -> Actions {
        let step = self.next_step();
        let Some(member) = self.by_key.remove(key) else {
            return Actions::new();
        };
        let (member, actions) = match (member, result) {
            (MemberState::Held(member), Ok(())) => {
                let member = member.with_load_confirmed(step);
                (MemberState::Held(member), Actions::new())
            }
            (MemberState::Held(member), Err(error)) => {
                drop_after_load(member.end(failed_outcome(error), now), result, now)
            }
            (MemberState::Ended(member), _)
                if member.state.executor_task == ExecutorTask::Loading =>
            {
                drop_after_load(member, result, now)
            }
            (other, _) => (other, Actions::new()),
        };
        self.by_key.insert(key.clone(), member);
        actions
    }

    /// Handles the result of [`Action::Run`].
    ///
    /// A member whose start failed is ended, so that no gang continues without it unnoticed.
    pub fn handle_run_result(
        &mut self,
        key: &MemberKey,
        result: &Result<(), RequestError>,
        now: Timestamp,
    ) -> Actions {
        self.next_step();
        let member = match self.by_key.remove(key) {
            Some(MemberState::Running(member)) => member,
            Some(other) => {
                self.by_key.insert(key.clone(), other);
                return Actions::new();
            }
            None => return Actions::new(),
        };
        let (member, actions) = match result {
            Ok(()) => {
                let renew = Action::Renew {
                    members: smallvec![key.clone()],
                    lease_until: member.lease_until(),
                };
                let ending = member.is_ending();
                let member = MemberState::Running(member.with_start_confirmed());
                let actions = if ending {
                    Actions::new()
                } else {
                    smallvec![renew]
                };
                (member, actions)
            }
            Err(error) if error.is_not_run() => {
                let ending = member.is_ending();
                let end = if ending {
                    MemberOutcome::Stopped
                } else {
                    failed_outcome(error)
                };
                (member.refuse_start(end, now).into(), stop_actions(key))
            }
            Err(_) => {
                let member = member.with_stop(StopMode::Stop, false, now);
                (MemberState::Running(member), stop_actions(key))
            }
        };
        self.by_key.insert(key.clone(), member);
        actions
    }

    /// Handles the result of [`Action::Stop`]; the executor responds [`ErrorKind::NotFound`] if it
    /// has no such task.
    pub fn handle_stop_result(
        &mut self,
        key: &MemberKey,
        mode: StopMode,
        result: &Result<(), RequestError>,
    ) {
        self.next_step();
        let absent = matches!(result, Err(error) if error.kind == ErrorKind::NotFound);
        let Some(member) = self.by_key.remove(key) else {
            return;
        };
        let member = match member {
            MemberState::Running(mut member) => {
                let stopping = member.state.stopping.as_mut();
                if let Some(stopping) = stopping.filter(|stopping| stopping.mode <= mode) {
                    stopping.accepted = result.is_ok();
                }
                // The response may belong to a call made before this member was held, so an absent
                // task ends the member only through the next list.
                MemberState::Running(member)
            }
            MemberState::Ended(member) if result.is_ok() || absent => {
                MemberState::Ended(match member.state.executor_task {
                    ExecutorTask::Loaded(_) => member.with_executor_task(ExecutorTask::Absent),
                    _ => member,
                })
            }
            other => other,
        };
        self.by_key.insert(key.clone(), member);
    }

    /// Records that a list of the executor's tasks is being requested.
    pub const fn begin_task_list(&mut self) -> TaskListRequest {
        TaskListRequest(self.next_step())
    }

    /// Handles a list of the executor's tasks.
    pub fn handle_task_list(
        &mut self,
        request: TaskListRequest,
        tasks: &[ObservedTask],
        now: Timestamp,
    ) -> Actions {
        let mut actions = Actions::new();
        for task in tasks {
            actions.extend(self.reconcile_task(task, now));
        }
        let missing = self.by_key.iter().filter(|(key, member)| {
            let expected = member.loaded_step().is_some_and(|step| step <= request.0);
            expected && !tasks.iter().any(|task| task.member == **key)
        });
        let missing: Vec<_> = missing.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.end_missing_task(&key, now);
        }
        actions
    }

    /// Adopts the tasks that an executor has when the agent starts.
    ///
    /// A loaded task is stopped, because the expiry of its hold is unknown. Until the executor has
    /// dropped it, a call of the previous agent may still run it.
    pub fn adopt(&mut self, tasks: &[ObservedTask], now: Timestamp) -> Actions {
        let mut actions = Actions::new();
        for task in tasks {
            self.highest_epoch = self.highest_epoch.max(task.epoch);
            let lease_until = now + TASK_LEASE;
            let state = match task.state.end() {
                Some(end) => {
                    let ran = matches!(end, MemberOutcome::Succeeded | MemberOutcome::Failed(_));
                    adopted_member(task, Running::adopted(now, ran))
                        .end(end, now)
                        .into()
                }
                None if task.state == ObservedState::Loaded => {
                    let member = adopted_member(task, Running::adopted(lease_until, false));
                    actions.extend(stop_actions(&task.member));
                    MemberState::Running(member.with_stop(StopMode::Stop, true, now))
                }
                None => {
                    MemberState::Running(adopted_member(task, Running::adopted(lease_until, true)))
                }
            };
            self.by_key.insert(task.member.clone(), state);
        }
        actions
    }

    /// Reconciles a task in the executor's list with the member.
    fn reconcile_task(&mut self, task: &ObservedTask, now: Timestamp) -> Actions {
        let key = &task.member;
        let Some(member) = self.by_key.remove(key) else {
            // No decider needs the task any longer: its end was already confirmed, or it was loaded
            // by a call that arrived after the hold had ended.
            return match task.state.end() {
                Some(_) => smallvec![Action::Forget(key.clone())],
                None => stop_actions(key),
            };
        };
        let (member, actions) = match (member, task.state.end()) {
            (MemberState::Held(member), Some(end)) if member.state.loaded_step.is_some() => {
                let ended = member.end(unstarted_outcome(end), now);
                (
                    ended.with_executor_task(ExecutorTask::Absent).into(),
                    Actions::new(),
                )
            }
            (MemberState::Running(member), Some(end)) => {
                let ran = matches!(end, MemberOutcome::Succeeded | MemberOutcome::Failed(_));
                let member = if ran {
                    member.with_start_confirmed()
                } else {
                    member
                };
                (member.end(end, now).into(), Actions::new())
            }
            (MemberState::Ended(member), None) if member.has_freed_accelerators() => {
                // The list was made before the executor dropped the task, or a load call arrived
                // late.
                (MemberState::Ended(member), stop_actions(key))
            }
            (MemberState::Ended(member), Some(_)) => {
                let executor_task = match member.state.executor_task {
                    ExecutorTask::Loading => ExecutorTask::Loading,
                    _ => ExecutorTask::Absent,
                };
                (
                    member.with_executor_task(executor_task).into(),
                    Actions::new(),
                )
            }
            (other, _) => (other, Actions::new()),
        };
        self.by_key.insert(key.clone(), member);
        actions
    }

    /// Ends a member whose task is missing in the executor's list.
    fn end_missing_task(&mut self, key: &MemberKey, now: Timestamp) {
        let lost = || MemberOutcome::Failed(Arc::from("the executor no longer has the task"));
        let Some(member) = self.by_key.remove(key) else {
            return;
        };
        let member = match member {
            MemberState::Held(member) => {
                let ended = member.end(MemberOutcome::Lapsed, now);
                ended.with_executor_task(ExecutorTask::Absent).into()
            }
            MemberState::Running(member) if member.is_ending() => {
                member.end(MemberOutcome::Stopped, now).into()
            }
            MemberState::Running(member) => member.end(lost(), now).into(),
            MemberState::Ended(member) => MemberState::Ended(member),
        };
        self.by_key.insert(key.clone(), member);
    }

    const fn next_step(&mut self) -> u64 {
        self.step += 1;
        self.step
    }
}

impl From<Member<Ended>> for MemberState {
    fn from(member: Member<Ended>) -> Self {
        Self::Ended(member)
    }
}

/// Converts the end of a task that never ran, which can't be a success.
fn unstarted_outcome(end: MemberOutcome) -> MemberOutcome {
    match end {
        MemberOutcome::Succeeded => {
            MemberOutcome::Failed(Arc::from("the task ended without having been run"))
        }
        end => end,
    }
}

/// Drops the task of an ended member after a load call that may have succeeded.
fn drop_after_load(
    member: Member<Ended>,
    result: &Result<(), RequestError>,
    now: Timestamp,
) -> (MemberState, Actions) {
    if matches!(result, Err(error) if error.is_not_run()) {
        return (
            member.with_executor_task(ExecutorTask::Absent).into(),
            Actions::new(),
        );
    }
    let actions = stop_actions(member.key());
    (
        member.with_executor_task(ExecutorTask::Loaded(now)).into(),
        actions,
    )
}

fn adopted_member(task: &ObservedTask, state: Running) -> Member<Running> {
    Member {
        identity: super::member::Identity {
            key: task.member.clone(),
            epoch: task.epoch,
            accelerators: task.accelerators,
            payload: None,
        },
        state,
    }
}
