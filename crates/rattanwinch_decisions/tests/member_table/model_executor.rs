use std::collections::BTreeMap;
use std::sync::Arc;

use rattanwinch_decisions::ObservedState;
use rattanwinch_decisions::ObservedTask;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;

pub type Outcome = Result<(), RequestError>;

struct Task {
    observed: ObservedTask,
    lease_until: Timestamp,
}

impl Task {
    fn is_live(&self) -> bool {
        self.observed.state.end().is_none()
    }
}

/// What `docs/executor-api.md` promises of an executor, without time of its own.
#[derive(Default)]
pub struct ModelExecutor {
    tasks: BTreeMap<MemberKey, Task>,
}

fn refused(kind: ErrorKind) -> Outcome {
    Err(RequestError::not_run(kind, "refused by the model"))
}

impl ModelExecutor {
    pub fn load(&mut self, order: &HoldOrder, lease_until: Timestamp, now: Timestamp) -> Outcome {
        self.expire(now);
        if self.tasks.contains_key(&order.member) {
            return refused(ErrorKind::Conflict);
        }
        let mut live = self.tasks.values().filter(|task| task.is_live());
        if live.any(|task| task.observed.accelerators.overlaps(order.accelerators)) {
            return refused(ErrorKind::Conflict);
        }
        let observed = ObservedTask {
            member: order.member.clone(),
            epoch: order.epoch,
            accelerators: order.accelerators,
            state: ObservedState::Loaded,
        };
        let task = Task {
            observed,
            lease_until,
        };
        self.tasks.insert(order.member.clone(), task);
        Ok(())
    }

    /// True in the answer means that the task started now.
    pub fn run(&mut self, member: &MemberKey, now: Timestamp) -> Result<bool, RequestError> {
        self.expire(now);
        let Some(task) = self.tasks.get_mut(member) else {
            return refused(ErrorKind::NotFound).map(|()| false);
        };
        match task.observed.state {
            ObservedState::Loaded => {
                task.observed.state = ObservedState::Running;
                Ok(true)
            }
            ObservedState::Running => Ok(false),
            _ => refused(ErrorKind::Conflict).map(|()| false),
        }
    }

    pub fn stop(&mut self, member: &MemberKey, mode: StopMode, now: Timestamp) -> Outcome {
        self.expire(now);
        let Some(task) = self.tasks.get_mut(member) else {
            return refused(ErrorKind::NotFound);
        };
        if task.is_live() && mode > StopMode::Throttle {
            task.observed.state = ObservedState::Stopped;
        }
        Ok(())
    }

    pub fn renew(&mut self, members: &[MemberKey], lease_until: Timestamp, now: Timestamp) {
        self.expire(now);
        for member in members {
            if let Some(task) = self.tasks.get_mut(member) {
                task.lease_until = lease_until;
            }
        }
    }

    pub fn forget(&mut self, member: &MemberKey, now: Timestamp) {
        self.expire(now);
        if self.tasks.get(member).is_some_and(|task| !task.is_live()) {
            self.tasks.remove(member);
        }
    }

    /// Ends a running task by itself.
    pub fn finish(&mut self, member: &MemberKey, succeeds: bool) {
        let task = self.tasks.get_mut(member);
        if let Some(task) = task.filter(|task| task.observed.state == ObservedState::Running) {
            task.observed.state = if succeeds {
                ObservedState::Succeeded
            } else {
                ObservedState::Failed(Arc::from("failed in the model"))
            };
        }
    }

    /// Loses everything, as an executor that was restarted.
    pub fn lose_all(&mut self) {
        self.tasks.clear();
    }

    pub fn list(&mut self, now: Timestamp) -> Vec<ObservedTask> {
        self.expire(now);
        self.tasks.values().map(|it| it.observed.clone()).collect()
    }

    /// The executor ends a task whose lease has expired by itself.
    fn expire(&mut self, now: Timestamp) {
        for task in self.tasks.values_mut() {
            if task.is_live() && task.lease_until <= now {
                task.observed.state = ObservedState::Expired;
            }
        }
    }
}
