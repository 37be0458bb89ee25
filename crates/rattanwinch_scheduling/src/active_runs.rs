mod active_run;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Deref;

use rattanwinch_types::TargetName;

use crate::JobId;
use crate::RunId;
use crate::StepId;
use crate::TargetInstance;
use crate::TaskId;
use crate::step_visits::count_step_visits;

pub(crate) use active_run::ActiveRun;
pub(crate) use active_run::DesiredState;

/// The runs that may occupy resources: by run, by target instance, and those that may need an order.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveRuns {
    runs: BTreeMap<RunId, ActiveRun>,
    by_instance: BTreeMap<TargetInstance, BTreeSet<RunId>>,
    /// The runs that are not known to have started or that should stop, and some that have started
    /// since the last [`Self::settle`].
    unsettled: BTreeSet<RunId>,
    /// The run numbers of gangs of which all members should stop.
    stopped_gangs: BTreeMap<StepId, u32>,
}

impl ActiveRuns {
    pub(crate) fn insert(&mut self, run: RunId, active: ActiveRun) {
        self.by_instance
            .entry(active.target.clone())
            .or_default()
            .insert(run.clone());
        self.unsettled.insert(run.clone());
        self.runs.insert(run, active);
    }

    pub(crate) fn remove(&mut self, run: &RunId) -> Option<ActiveRun> {
        let active = self.runs.remove(run)?;
        self.unsettled.remove(run);
        let step = &run.task.step;
        if self.stopped_gangs.contains_key(step) && self.of_step(step).next().is_none() {
            self.stopped_gangs.remove(step);
        }
        if let Some(runs) = self.by_instance.get_mut(&active.target) {
            runs.remove(run);
            if runs.is_empty() {
                self.by_instance.remove(&active.target);
            }
        }
        Some(active)
    }

    pub(crate) fn get_mut(&mut self, run: &RunId) -> Option<&mut ActiveRun> {
        self.runs.get_mut(run)
    }

    /// Decides that a run should stop; returns true if it is active.
    pub(crate) fn stop(&mut self, run: &RunId) -> bool {
        let Some(active) = self.runs.get_mut(run) else {
            return false;
        };
        active.stop();
        self.unsettled.insert(run.clone());
        true
    }

    /// Decides that all runs of a job should stop.
    pub(crate) fn stop_job(&mut self, job: &JobId) {
        let runs = self.of_job(job).map(|(run, _)| run.clone());
        for run in runs.collect::<Vec<_>>() {
            self.stop(&run);
        }
    }

    /// Returns true if a run of the job is active.
    pub(crate) fn has_runs_of(&self, job: &JobId) -> bool {
        self.of_job(job).next().is_some()
    }

    fn of_job(&self, job: &JobId) -> impl Iterator<Item = (&RunId, &ActiveRun)> {
        let first = StepId {
            job: job.clone(),
            occurrence: 0,
            step: 0,
        };
        let runs = self.runs.range(first_run(&first)..);
        runs.take_while(move |(run, _)| run.task.step.job == *job)
    }

    /// Decides that the runs of a gang with one run number should stop.
    pub(crate) fn stop_gang(&mut self, step: &StepId, number: u32) {
        // Each member's end asks for this.
        if self.stopped_gangs.get(step) == Some(&number) {
            return;
        }
        let members = self.of_step(step).map(|(run, _)| run);
        let members: Vec<_> = members
            .filter(|run| run.number == number)
            .cloned()
            .collect();
        count_step_visits(members.len());
        for run in &members {
            self.stop(run);
        }
        if !members.is_empty() {
            self.stopped_gangs.insert(step.clone(), number);
        }
    }

    /// Forgets which runs were unsettled and are no longer.
    pub(crate) fn settle(&mut self) {
        count_step_visits(self.unsettled.len());
        let runs = &self.runs;
        self.unsettled
            .retain(|run| runs.get(run).is_some_and(ActiveRun::is_unsettled));
    }

    /// Returns all runs that are not known to have started or that should stop, and others that have
    /// started since the last [`Self::settle`].
    pub(crate) fn unsettled(&self) -> impl Iterator<Item = (&RunId, &ActiveRun)> {
        let unsettled = self.unsettled.iter();
        unsettled.filter_map(|run| self.runs.get_key_value(run))
    }

    /// Returns the runs of a step.
    pub(crate) fn of_step(&self, step: &StepId) -> impl Iterator<Item = (&RunId, &ActiveRun)> {
        let runs = self.runs.range(first_run(step)..);
        runs.take_while(move |(run, _)| run.task.step == *step)
    }

    /// Returns the runs on a target, of any of its instances.
    pub(crate) fn on_target(
        &self,
        target: &TargetName,
    ) -> impl Iterator<Item = (&RunId, &ActiveRun)> {
        let instances = self.by_instance.iter();
        let here = instances.filter(move |(instance, _)| instance.target == *target);
        here.flat_map(|(_, runs)| runs)
            .filter_map(|run| self.runs.get_key_value(run))
    }

    /// Returns the runs on a target instance.
    pub(crate) fn on_instance(
        &self,
        instance: &TargetInstance,
    ) -> impl Iterator<Item = (&RunId, &ActiveRun)> {
        let runs = self.by_instance.get(instance).into_iter().flatten();
        runs.filter_map(|run| self.runs.get_key_value(run))
    }

    /// Returns the target instances with runs.
    pub(crate) fn instances(&self) -> impl Iterator<Item = &TargetInstance> {
        self.by_instance.keys()
    }

    /// Changes all runs on a target instance.
    pub(crate) fn update_on(
        &mut self,
        instance: &TargetInstance,
        mut change: impl FnMut(&mut ActiveRun),
    ) {
        for run in self.by_instance.get(instance).into_iter().flatten() {
            if let Some(active) = self.runs.get_mut(run) {
                change(active);
            }
        }
    }
}

/// Runs are read as a map; they are added and removed by the methods above alone.
impl Deref for ActiveRuns {
    type Target = BTreeMap<RunId, ActiveRun>;

    fn deref(&self) -> &Self::Target {
        &self.runs
    }
}

/// Returns the first of all possible runs of a step and those after it.
fn first_run(step: &StepId) -> RunId {
    RunId {
        task: TaskId {
            step: step.clone(),
            index: 0,
        },
        number: 0,
    }
}
