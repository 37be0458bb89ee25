use std::collections::BTreeMap;
use std::time::Duration;

use poem::http::StatusCode;
use rattanwinch_targets::TaskOrder;
use rattanwinch_targets::TaskReport;
use rattanwinch_targets::TaskState;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Answer;
use rattanwinch_types::MemberKey;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;

use super::SimulatedWork;

/// An error response: the HTTP status and the message.
pub type TaskError = (StatusCode, &'static str);

/// The result of a call of the task API.
pub type Result<T> = std::result::Result<T, TaskError>;

/// The factor by which throttling extends the remaining run time of a task.
const THROTTLE_FACTOR: u32 = 4;

const UNKNOWN_TASK: TaskError = (StatusCode::NOT_FOUND, "no such task");

/// A task with its state as of the last update.
#[derive(Debug)]
struct Task {
    order: TaskOrder,
    state: TaskState,
    lease_until: Timestamp,
    /// When the work completes, once the task runs.
    done_at: Timestamp,
    /// When the requested checkpoint completes.
    checkpoint_at: Option<Timestamp>,
    /// Whether the task fails when its work completes.
    fails: bool,
    throttled: bool,
    /// When the task ended.
    ended_at: Option<Timestamp>,
}

impl Task {
    const fn is_live(&self) -> bool {
        matches!(self.state, TaskState::Loaded | TaskState::Running)
    }

    /// Updates the state to the time `now`, at which the task may have completed or its lease
    /// expired.
    fn advance(&mut self, now: Timestamp) {
        if !self.is_live() {
            return;
        }
        let running = self.state == TaskState::Running;
        let checkpoint_at = self.checkpoint_at.filter(|at| *at < self.done_at);
        if let Some(at) = checkpoint_at.filter(|at| *at <= now.min(self.lease_until)) {
            self.state = TaskState::Stopped;
            self.ended_at = Some(at);
        } else if running && self.done_at <= now.min(self.lease_until) {
            self.state = if self.fails {
                TaskState::Failed("the work failed".into())
            } else {
                TaskState::Succeeded
            };
            self.ended_at = Some(self.done_at);
        } else if self.lease_until <= now {
            self.state = TaskState::Expired;
            self.ended_at = Some(self.lease_until);
        }
    }
}

rattanwinch_types::value! {
    /// One run of a task, kept after the task is deleted.
    pub struct RecordedRun {
        /// The member that ran.
        pub member: MemberKey,
        /// When the task was started.
        pub started_at: Timestamp,
        /// When the task ended, for any reason; `None` while it runs.
        pub ended_at: Option<Timestamp>,
    }
}

/// The gang tasks of the stand-in executor, with the accelerators that they use.
///
/// Completion of work and expiry of leases are computed from the time passed with each call, so
/// that property tests without a clock can use the same code as the HTTP API.
#[derive(Debug, Default)]
pub struct StandinTasks {
    tasks: BTreeMap<MemberKey, Task>,
    runs: Vec<RecordedRun>,
}

impl StandinTasks {
    /// Loads a task; repeating the load of a live task has no effect.
    ///
    /// # Errors
    ///
    /// Conflict if the task has ended or was loaded with another order, or if an accelerator is in
    /// use.
    pub fn load(&mut self, order: &TaskOrder, now: Timestamp) -> Result<()> {
        self.advance(now);
        if let Some(known) = self.tasks.get(&order.member) {
            let mut same = known.order.clone();
            same.lease = order.lease;
            let message = "the task has ended or was loaded with another order";
            return (same == *order && known.is_live())
                .then_some(())
                .ok_or((StatusCode::CONFLICT, message));
        }
        if order.accelerators.is_empty() {
            return Err((StatusCode::BAD_REQUEST, "no accelerators"));
        }
        let mut live = self.tasks.values().filter(|task| task.is_live());
        if live.any(|task| task.order.accelerators.overlaps(order.accelerators)) {
            return Err((StatusCode::CONFLICT, "another task uses these accelerators"));
        }
        let task = Task {
            lease_until: now + order.lease,
            state: TaskState::Loaded,
            done_at: now,
            checkpoint_at: None,
            fails: false,
            throttled: false,
            ended_at: None,
            order: order.clone(),
        };
        self.tasks.insert(order.member.clone(), task);
        Ok(())
    }

    /// Starts a loaded task; with `fails` it fails when its work completes. Returns false if the
    /// task was already running.
    ///
    /// # Errors
    ///
    /// Not found for an unknown task, conflict for a task that has ended.
    pub fn run(&mut self, member: &MemberKey, fails: bool, now: Timestamp) -> Result<bool> {
        let task = self.find(member, now)?;
        match task.state {
            TaskState::Running => return Ok(false),
            TaskState::Loaded => {}
            _ => return Err((StatusCode::CONFLICT, "the task has ended")),
        }
        let work = SimulatedWork::parse(&task.order.payload);
        task.state = TaskState::Running;
        task.done_at = now + work.run_time;
        task.fails = fails || work.fail;
        self.runs.push(RecordedRun {
            member: member.clone(),
            started_at: now,
            ended_at: None,
        });
        Ok(true)
    }

    /// Throttles, checkpoints or stops a task. The payload specifies the duration of a checkpoint;
    /// the default is zero.
    ///
    /// # Errors
    ///
    /// Not found for an unknown task.
    pub fn stop(&mut self, member: &MemberKey, mode: StopMode, now: Timestamp) -> Result<()> {
        let task = self.find(member, now)?;
        if !task.is_live() {
            return Ok(());
        }
        let checkpoint = SimulatedWork::parse(&task.order.payload).checkpoint;
        match mode {
            StopMode::Throttle => {
                if task.state == TaskState::Running && !task.throttled {
                    task.throttled = true;
                    task.done_at = now + now.until(task.done_at) * THROTTLE_FACTOR;
                }
            }
            StopMode::Checkpoint if task.state == TaskState::Running => {
                if let Some(span) = checkpoint {
                    task.checkpoint_at.get_or_insert(now + span);
                    task.advance(now);
                }
            }
            StopMode::Checkpoint | StopMode::Stop => {
                task.state = TaskState::Stopped;
                task.ended_at = Some(now);
            }
        }
        Ok(())
    }

    /// Renews the leases of those given tasks that are live.
    pub fn renew(&mut self, members: &[MemberKey], lease: Duration, now: Timestamp) {
        self.advance(now);
        for member in members {
            if let Some(task) = self.tasks.get_mut(member).filter(|task| task.is_live()) {
                task.lease_until = now + lease;
            }
        }
    }

    /// Lists all tasks.
    pub fn list(&mut self, now: Timestamp) -> Vec<TaskReport> {
        self.advance(now);
        let report = |(member, task): (&MemberKey, &Task)| TaskReport {
            member: member.clone(),
            epoch: task.order.epoch,
            accelerators: task.order.accelerators,
            gang_tasks: task.order.gang_tasks,
            state: task.state.clone(),
        };
        self.tasks.iter().map(report).collect()
    }

    /// Returns the output of a task that succeeded.
    ///
    /// # Errors
    ///
    /// Not found for an unknown task, conflict for a task without output.
    pub fn output(&mut self, member: &MemberKey, now: Timestamp) -> Result<Answer> {
        let task = self.find(member, now)?;
        if task.state != TaskState::Succeeded {
            return Err((StatusCode::CONFLICT, "the task has no output"));
        }
        let bytes = SimulatedWork::parse(&task.order.payload).answer_bytes;
        let mut text = format!("done {member}: {}", task.order.payload);
        let missing = bytes.saturating_sub(text.len());
        text.extend(std::iter::repeat_n('.', missing));
        Ok(Answer::new(text))
    }

    /// Deletes a task that has ended.
    ///
    /// # Errors
    ///
    /// Not found for an unknown task, conflict for a live task.
    pub fn delete(&mut self, member: &MemberKey, now: Timestamp) -> Result<()> {
        if self.find(member, now)?.is_live() {
            return Err((StatusCode::CONFLICT, "the task has not ended"));
        }
        self.record_ends();
        self.tasks.remove(member);
        Ok(())
    }

    /// Returns every run, in the order of their starts.
    pub fn runs(&mut self, now: Timestamp) -> &[RecordedRun] {
        self.advance(now);
        self.record_ends();
        &self.runs
    }

    /// Returns the accelerators in use by loaded and running tasks.
    pub fn used_accelerators(&mut self, now: Timestamp) -> AcceleratorSet {
        self.advance(now);
        let live = self.tasks.values().filter(|task| task.is_live());
        live.fold(AcceleratorSet::EMPTY, |used, task| {
            used.union(task.order.accelerators)
        })
    }

    fn record_ends(&mut self) {
        for run in self.runs.iter_mut().filter(|run| run.ended_at.is_none()) {
            let task = self.tasks.get(&run.member);
            run.ended_at = task.and_then(|task| task.ended_at);
        }
    }

    fn advance(&mut self, now: Timestamp) {
        for task in self.tasks.values_mut() {
            task.advance(now);
        }
    }

    fn find(&mut self, member: &MemberKey, now: Timestamp) -> Result<&mut Task> {
        let task = self.tasks.get_mut(member).ok_or(UNKNOWN_TASK)?;
        task.advance(now);
        Ok(task)
    }
}
