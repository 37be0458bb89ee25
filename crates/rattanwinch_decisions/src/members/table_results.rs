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
use super::ended::TaskLeft;

rattanwinch_types::value! { copy
    /// Marks the moment at which a list of the executor's tasks was asked for.
    pub struct TaskListRequest(u64);
}

fn stop(member: &MemberKey) -> Actions {
    smallvec![Action::Stop {
        member: member.clone(),
        mode: StopMode::Stop,
    }]
}

fn failed(error: &RequestError) -> MemberOutcome {
    MemberOutcome::Failed(Arc::clone(&error.message))
}

/// The results of actions and the executor's lists.
impl MemberTable {
    /// Takes in the result of [`Action::Load`].
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
                clear_after_load(member.end(failed(error), now), result, now)
            }
            (MemberState::Ended(member), _) if member.state.left == TaskLeft::Loading => {
                clear_after_load(member, result, now)
            }
            (other, _) => (other, Actions::new()),
        };
        self.by_key.insert(key.clone(), member);
        actions
    }

    /// Takes in the result of [`Action::Run`].
    ///
    /// A member whose start failed is ended, so that no gang runs without it unnoticed.
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
                    failed(error)
                };
                (member.refuse_start(end, now).into(), stop(key))
            }
            Err(_) => {
                let member = member.with_stop(StopMode::Stop, false, now);
                (MemberState::Running(member), stop(key))
            }
        };
        self.by_key.insert(key.clone(), member);
        actions
    }

    /// Takes in the result of [`Action::Stop`]; the executor answers [`ErrorKind::NotFound`] if
    /// it has no such task.
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
                if let Some(stopping) = stopping.filter(|it| it.mode <= mode) {
                    stopping.accepted = result.is_ok();
                }
                // The answer may be to a call that was made before this member was held, so an
                // absent task ends it only by the next list.
                MemberState::Running(member)
            }
            MemberState::Ended(member) if result.is_ok() || absent => {
                MemberState::Ended(match member.state.left {
                    TaskLeft::Loaded(_) => member.with_left(TaskLeft::Nothing),
                    _ => member,
                })
            }
            other => other,
        };
        self.by_key.insert(key.clone(), member);
    }

    /// Marks that a list of the executor's tasks is being asked for.
    pub const fn begin_task_list(&mut self) -> TaskListRequest {
        TaskListRequest(self.next_step())
    }

    /// Takes in a list of the executor's tasks.
    pub fn handle_task_list(
        &mut self,
        request: TaskListRequest,
        tasks: &[ObservedTask],
        now: Timestamp,
    ) -> Actions {
        let mut actions = Actions::new();
        for task in tasks {
            actions.extend(self.observe(task, now));
        }
        let missing = self.by_key.iter().filter(|(key, member)| {
            let expected = member.loaded_step().is_some_and(|step| step <= request.0);
            expected && !tasks.iter().any(|task| task.member == **key)
        });
        let missing: Vec<_> = missing.map(|(key, _)| key.clone()).collect();
        for key in missing {
            self.lose(&key, now);
        }
        actions
    }

    /// Takes over the tasks that an executor has when the agent starts.
    ///
    /// A loaded task is stopped, because it isn't known when its hold expires; until the
    /// executor has dropped it, it may still run on a call of the previous agent.
    pub fn adopt(&mut self, tasks: &[ObservedTask], now: Timestamp) -> Actions {
        let mut actions = Actions::new();
        for task in tasks {
            self.highest = self.highest.max(task.epoch);
            let lease_until = now + TASK_LEASE;
            let state = match task.state.end() {
                Some(end) => {
                    let ran = matches!(end, MemberOutcome::Succeeded | MemberOutcome::Failed(_));
                    adopted(task, Running::adopted(now, ran))
                        .end(end, now)
                        .into()
                }
                None if task.state == ObservedState::Loaded => {
                    let member = adopted(task, Running::adopted(lease_until, false));
                    actions.extend(stop(&task.member));
                    MemberState::Running(member.with_stop(StopMode::Stop, true, now))
                }
                None => MemberState::Running(adopted(task, Running::adopted(lease_until, true))),
            };
            self.by_key.insert(task.member.clone(), state);
        }
        actions
    }

    /// Compares one task in the executor's list with the member.
    fn observe(&mut self, task: &ObservedTask, now: Timestamp) -> Actions {
        let key = &task.member;
        let Some(member) = self.by_key.remove(key) else {
            // A task that no decider asks for any longer: its end was to be forgotten, or it was
            // loaded by a call that arrived after it had been given up.
            return match task.state.end() {
                Some(_) => smallvec![Action::Forget(key.clone())],
                None => stop(key),
            };
        };
        let (member, actions) = match (member, task.state.end()) {
            (MemberState::Held(member), Some(end)) if member.state.loaded.is_some() => {
                let ended = member.end(held_end(end), now);
                (ended.with_left(TaskLeft::Nothing).into(), Actions::new())
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
            (MemberState::Ended(member), None) if member.is_cleared() => {
                // The executor's list was made before it dropped the task, or a call that loads
                // it arrived late.
                (MemberState::Ended(member), stop(key))
            }
            (MemberState::Ended(member), Some(_)) => {
                let left = match member.state.left {
                    TaskLeft::Loading => TaskLeft::Loading,
                    _ => TaskLeft::Nothing,
                };
                (member.with_left(left).into(), Actions::new())
            }
            (other, _) => (other, Actions::new()),
        };
        self.by_key.insert(key.clone(), member);
        actions
    }

    /// Ends a member whose task the executor has lost.
    fn lose(&mut self, key: &MemberKey, now: Timestamp) {
        let lost = || MemberOutcome::Failed(Arc::from("the executor no longer has the task"));
        let Some(member) = self.by_key.remove(key) else {
            return;
        };
        let member = match member {
            MemberState::Held(member) => {
                let ended = member.end(MemberOutcome::Lapsed, now);
                ended.with_left(TaskLeft::Nothing).into()
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

/// The end of a task that never ran: whatever the executor calls it, it didn't succeed.
fn held_end(end: MemberOutcome) -> MemberOutcome {
    match end {
        MemberOutcome::Succeeded => {
            MemberOutcome::Failed(Arc::from("ended without having been run"))
        }
        end => end,
    }
}

/// After a load's answer, an ended member's task is dropped if it may be there.
fn clear_after_load(
    member: Member<Ended>,
    result: &Result<(), RequestError>,
    now: Timestamp,
) -> (MemberState, Actions) {
    if matches!(result, Err(error) if error.is_not_run()) {
        return (member.with_left(TaskLeft::Nothing).into(), Actions::new());
    }
    let actions = stop(member.key());
    (member.with_left(TaskLeft::Loaded(now)).into(), actions)
}

fn adopted(task: &ObservedTask, state: Running) -> Member<Running> {
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
