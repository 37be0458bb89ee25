use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Deref;

use crate::RunId;
use crate::TargetInstance;
use crate::active_run::ActiveRun;

/// The runs that may occupy resources, by run and by target instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveRuns {
    runs: BTreeMap<RunId, ActiveRun>,
    by_instance: BTreeMap<TargetInstance, BTreeSet<RunId>>,
}

impl ActiveRuns {
    pub(crate) fn insert(&mut self, run: RunId, active: ActiveRun) {
        self.by_instance
            .entry(active.target.clone())
            .or_default()
            .insert(run.clone());
        self.runs.insert(run, active);
    }

    pub(crate) fn remove(&mut self, run: &RunId) -> Option<ActiveRun> {
        let active = self.runs.remove(run)?;
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

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&RunId, &mut ActiveRun)> {
        self.runs.iter_mut()
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
