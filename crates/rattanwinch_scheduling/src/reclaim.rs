//! The life of a reclaim: room that is made for a waiting step by stopping other runs.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::Event;
use crate::Resources;
use crate::RunId;
use crate::StepId;
use crate::placement::Loss;
use crate::room::Room;

value! {
    /// The waiting tasks of a step that are placed together.
    #[derive(PartialOrd, Ord)]
    pub(crate) struct TaskGroup {
        pub step: StepId,
        /// The failed task, if the group consists of one that is tried again.
        pub retried_task: Option<u32>,
    }
}

value! { copy
    /// Why the room of a reclaim is no longer held.
    pub enum ReclaimEnd {
        /// The step was placed elsewhere, has ended, or is no longer wanted.
        NotNeeded,
        /// The room went to a step within a guarantee.
        NeededForGuarantee,
        /// Targets were lost, and no other room can be made.
        RoomLost,
    }
}

impl ReclaimEnd {
    /// The stable text used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotNeeded => "the step needs no room any more",
            Self::NeededForGuarantee => "a step within a guarantee needs the room",
            Self::RoomLost => "targets were lost, and no other room can be made",
        }
    }
}

/// How long a target that gets no tasks for the moment is still held: a refused order excludes it for
/// 300 ms, and a late report until the next one.
const UNUSABLE_HOLD_TIME: Duration = Duration::from_millis(1000);

/// A reclaim that has been decided; nothing is stopped yet.
#[derive(Clone, Debug)]
pub(crate) struct Planned {
    /// The runs to stop at once.
    pub stopped: Vec<RunId>,
    /// The runs that are expected to end soon by themselves.
    pub awaited: Vec<RunId>,
}

/// A reclaim whose runs are being stopped, or have ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Underway {
    /// When the runs that were expected to end by themselves are stopped.
    awaited: BTreeMap<RunId, Timestamp>,
    /// Since when held targets have been unusable for a moment.
    unusable_since: BTreeMap<TargetName, Timestamp>,
}

/// Room that is made for a waiting step.
///
/// A `Reclaim<Planned>` becomes `Reclaim<Underway>` as its runs are stopped. That one is kept from
/// pass to pass, and its room held against all other steps, until the step is placed or the
/// reclaim is given up. So each run is stopped once, for one step.
#[derive(Clone, Debug)]
pub(crate) struct Reclaim<S> {
    /// The target for each task, one entry a task.
    holds: Vec<TargetName>,
    /// The resources of a task.
    resources: Resources,
    /// The step is covered by a guarantee.
    pub guaranteed: bool,
    /// What is lost by stopping the runs.
    pub loss: Loss,
    state: S,
}

impl Reclaim<Planned> {
    pub(crate) fn new(
        holds: Vec<TargetName>,
        resources: Resources,
        guaranteed: bool,
        loss: Loss,
        state: Planned,
    ) -> Self {
        Self {
            holds,
            resources,
            guaranteed,
            loss,
            state,
        }
    }

    /// Begins the reclaim; returns the runs to stop at once.
    pub(crate) fn begin(self, stop_awaited_at: Timestamp) -> (Reclaim<Underway>, Vec<RunId>) {
        let awaited = self.state.awaited.into_iter();
        let underway = Reclaim {
            holds: self.holds,
            resources: self.resources,
            guaranteed: self.guaranteed,
            loss: self.loss,
            state: Underway {
                awaited: awaited.map(|run| (run, stop_awaited_at)).collect(),
                unusable_since: BTreeMap::new(),
            },
        };
        (underway, self.state.stopped)
    }
}

impl Reclaim<Underway> {
    pub(crate) fn hold(&self, room: &mut Room) {
        for target in &self.holds {
            room.hold(target, self.resources);
        }
    }

    pub(crate) fn release(&self, room: &mut Room) {
        for target in &self.holds {
            room.release(target, self.resources);
        }
    }

    pub(crate) fn holds(&self) -> &[TargetName] {
        &self.holds
    }

    /// Returns the runs that are expected to end by themselves and still have time for it.
    pub(crate) fn awaited(&self, now: Timestamp) -> impl Iterator<Item = &RunId> {
        let awaited = self.state.awaited.iter();
        awaited
            .filter(move |(_, stop_at)| now < **stop_at)
            .map(|(run, _)| run)
    }

    /// Removes and returns the awaited runs whose time is over.
    pub(crate) fn take_overdue(&mut self, now: Timestamp) -> Vec<RunId> {
        let overdue = self
            .state
            .awaited
            .extract_if(.., |_, stop_at| now >= *stop_at);
        overdue.map(|(run, _)| run).collect()
    }

    /// Drops the holds of tasks that were placed, those on their targets first, so that `tasks`
    /// holds are left at most.
    pub(crate) fn drop_used_holds(&mut self, placed_on: &[TargetName], tasks: usize) {
        for target in placed_on {
            if self.holds.len() > tasks
                && let Some(position) = self.holds.iter().position(|held| held == target)
            {
                self.holds.swap_remove(position);
            }
        }
        self.holds.truncate(tasks);
    }

    /// Returns true if a held target that is unusable at `now` has been so only for a moment, after
    /// which it may be usable again.
    pub(crate) fn is_unusable_briefly(&mut self, target: &TargetName, now: Timestamp) -> bool {
        let since = self.state.unusable_since.entry(target.clone());
        now.since(*since.or_insert(now)) <= UNUSABLE_HOLD_TIME
    }

    /// Records that a held target is usable.
    pub(crate) fn mark_usable(&mut self, target: &TargetName) {
        self.state.unusable_since.remove(target);
    }

    /// Drops the holds that do not satisfy `is_usable`, which takes each target with the number of
    /// earlier holds on it.
    pub(crate) fn retain_usable(&mut self, mut is_usable: impl FnMut(&TargetName, usize) -> bool) {
        let mut earlier: BTreeMap<TargetName, usize> = BTreeMap::new();
        self.holds.retain(|target| {
            let count = earlier.entry(target.clone()).or_default();
            let usable = is_usable(target, *count);
            *count += usize::from(usable);
            usable
        });
    }

    /// Adds the room and the runs of a further reclaim for the same step.
    pub(crate) fn extend(&mut self, further: Self) {
        self.holds.extend(further.holds);
        self.loss = self.loss.plus(further.loss);
        self.state.awaited.extend(further.state.awaited);
        self.guaranteed = further.guaranteed;
    }

    /// Gives the room up.
    pub(crate) fn give_up(self, step: &StepId, end: ReclaimEnd) -> Event {
        Event::ReclaimGivenUp {
            step: step.clone(),
            end,
        }
    }
}
