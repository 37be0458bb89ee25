use std::collections::BTreeSet;

use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_scheduling::StepId;
use rattanwinch_scheduling::TaskId;

use super::MAX_ATTEMPTS;
use super::World;

impl World {
    pub(super) fn step(&self, step: &StepId) -> StepDescription {
        let record = self.stored.get(&step.job);
        let (accepted, _) = record.expect("nothing starts before its job is stored");
        accepted.description.steps[step.step as usize].clone()
    }

    pub(super) fn check_start(&self, run: &RunId, vm: usize) {
        let task = &run.task;
        let seed = self.seed;
        let step = self.step(&task.step);
        let elsewhere = self
            .targets
            .iter()
            .filter(|target| target.running.contains_key(task));
        assert_eq!(
            elsewhere.count(),
            0,
            "seed {seed}: {run:?} runs twice at {:?}",
            self.now
        );
        assert!(
            !self.noted_done.contains(task),
            "seed {seed}: {run:?} starts after its end was acknowledged"
        );
        let mut shared = task.clone();
        if step.gang {
            shared.index = 0;
        }
        let failures = self.noted_failures.get(&shared).map_or(0, BTreeSet::len);
        assert!(
            failures < MAX_ATTEMPTS as usize,
            "seed {seed}: {run:?} starts after {failures} failures"
        );
        let target = &self.targets[vm];
        let used = target.used().plus(step.resources);
        assert!(
            target.capacity.fits(used),
            "seed {seed}: {run:?} brings {:?} over its room",
            target.instance.target
        );
        for &earlier in &step.depends_on {
            let mut before = task.step.clone();
            before.step = earlier;
            let count = self.step(&before).count;
            let gang = self.step(&before).gang;
            let done = (0..count)
                .filter(|&index| self.is_done(&before, index))
                .count();
            let enough = if gang { 1 } else { count as usize };
            assert!(
                done >= enough,
                "seed {seed}: {run:?} starts before step {earlier} is done"
            );
        }
    }

    fn is_done(&self, step: &StepId, index: u32) -> bool {
        let task = TaskId {
            step: step.clone(),
            index,
        };
        let listed = self.targets.iter().flat_map(|target| &target.ended);
        self.noted_done.contains(&task)
            || listed
                .clone()
                .any(|ended| ended.run.task == task && ended.outcome == RunOutcome::Done)
            || self.stored.get(&step.job).is_some_and(|(_, progress)| {
                progress
                    .tasks
                    .iter()
                    .any(|saved| saved.task == task && saved.done)
            })
    }
}
