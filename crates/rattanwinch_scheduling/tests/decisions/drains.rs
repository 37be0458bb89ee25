//! Targets that end shortly after they announce it: what becomes of the work on them.

use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_scheduling::Checkpoint;
use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StartOrder;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::fixture::Fixture;
use crate::fixture::step;
use crate::fixture::target;

/// The time from announcement to end in the users' heaviest days.
const SHORT_NOTICE: u64 = 1_600;

/// A step of 20 s, of which runs show no progress; they are judged by the estimate.
fn long_step(count: u32, accelerators: u64) -> StepDescription {
    StepDescription {
        estimated_run_time: Duration::from_secs(20),
        ..step(count, accelerators)
    }
}

fn saving(step: StepDescription) -> StepDescription {
    StepDescription {
        checkpointing: true,
        ..step
    }
}

/// A site on which the first target, and no other, will drain.
struct DrainingSite {
    site: Fixture,
    leaves_at: Timestamp,
}

impl DrainingSite {
    fn new(targets: usize) -> Self {
        let mut site = Fixture::new(targets);
        for number in 0..targets {
            site.progress.insert(target(number), 0);
        }
        let leaves_at = site.now;
        Self { site, leaves_at }
    }

    /// Keeps all targets but the first from getting tasks until `open`.
    fn cordon_others(&mut self) {
        let others = 1..self.site.target_count();
        self.site.scheduler.cordon(others.map(target).collect());
    }

    fn open(&mut self) {
        self.site.scheduler.cordon(BTreeSet::new());
    }

    /// Places the job on the first target, and lets it run for a second.
    fn run_on_first(&mut self, steps: &[StepDescription]) -> JobId {
        self.cordon_others();
        let job = self.site.submit(2, "b", steps);
        self.site.step();
        self.site.wait(1_000);
        self.open();
        assert!(
            self.site
                .running(&job)
                .iter()
                .all(|name| *name == target(0))
        );
        job
    }

    fn drain(&mut self, notice_ms: u64) {
        self.leaves_at = self.site.now + Duration::from_millis(notice_ms);
        self.site.report_mut(0).description.draining = true;
    }

    /// Lets time pass in short steps with a placement pass each; returns the starts.
    fn play(&mut self, millis: u64) -> Vec<(TargetName, StartOrder)> {
        let mut started = Vec::new();
        for _ in 0..millis / 20 {
            let left = self
                .leaves_at
                .since(self.site.now + Duration::from_millis(20));
            self.site.report_mut(0).leaves_in = Some(left);
            self.site.wait(20);
            started.extend(self.site.step());
        }
        started
    }

    fn running_on(&self, job: &JobId, number: usize) -> usize {
        let running = self.site.running(job);
        running
            .iter()
            .filter(|name| **name == target(number))
            .count()
    }
}

/// Answers targets that end 1.6 s after they announce it, under work that saves its state when it
/// is stopped. Guards against losing the work since the last checkpoint, and against a stop that is
/// earlier than needed, since nothing else uses the target.
#[test]
fn work_that_saves_its_state_is_moved_shortly_before_the_end() {
    let mut draining = DrainingSite::new(2);
    let job = draining.run_on_first(&[saving(long_step(1, 8))]);
    let saved = Checkpoint::from("saved");
    draining.site.report_mut(0).lists.running[0].checkpoint = Some(saved.clone());
    draining.drain(SHORT_NOTICE);
    // The longest stop takes 900 ms, and order and report 300 ms.
    draining.play(360);
    assert_eq!(draining.running_on(&job, 0), 1);
    let started = draining.play(100);
    assert_eq!(draining.running_on(&job, 1), 1);
    assert_eq!(started[0].1.checkpoint, Some(saved));
}

/// Answers the same targets under work that saves nothing. Guards against a run that goes on until
/// its target ends, though all that it still does is lost, beside one that ends in time.
#[test]
fn work_that_cannot_end_in_time_starts_elsewhere_at_once() {
    let mut draining = DrainingSite::new(2);
    let short = StepDescription {
        estimated_run_time: Duration::from_millis(3_400),
        ..step(1, 4)
    };
    let ending = draining.run_on_first(&[short]);
    let lost = draining.run_on_first(&[long_step(1, 4)]);
    draining.drain(SHORT_NOTICE);
    draining.play(40);
    assert_eq!(draining.running_on(&lost, 1), 1);
    draining.play(840);
    assert_eq!(draining.running_on(&ending, 0), 1);
    draining.site.end_job(&ending, RunOutcome::Done);
    let events = draining.site.scheduler.take_events();
    let moved = events
        .iter()
        .filter(|event| matches!(event, Event::Moved { .. }));
    assert_eq!(moved.count(), 1);
}

/// Guards against a run that waits to save its state when it has hardly any: restoring it would
/// take longer than the work did.
#[test]
fn a_run_that_has_just_started_is_moved_at_once() {
    let mut draining = DrainingSite::new(2);
    draining.cordon_others();
    let job = draining.site.submit(2, "b", &[saving(long_step(1, 8))]);
    draining.site.step();
    draining.open();
    draining.drain(SHORT_NOTICE);
    draining.play(40);
    assert_eq!(draining.running_on(&job, 1), 1);
}

/// Answers a drain under gangs. Guards against a gang of which some members are left to wait for
/// the others until the target ends.
#[test]
fn a_gang_is_moved_as_a_whole() {
    let mut draining = DrainingSite::new(3);
    let gang = StepDescription {
        gang: true,
        ..long_step(2, 8)
    };
    let job = draining.site.submit(1, "b", &[gang]);
    draining.site.step();
    draining.site.wait(1_000);
    assert_eq!(draining.running_on(&job, 0), 1);
    draining.drain(SHORT_NOTICE);
    draining.play(40);
    assert_eq!(draining.site.running(&job), [1, 2].map(target));
}

/// Answers a drain on a full site. Guards against a stop that leaves a run waiting where it could
/// have worked, and against one that comes too late for its state.
#[test]
fn work_that_fits_nowhere_else_goes_on_until_shortly_before_the_end() {
    for checkpointing in [false, true] {
        let mut draining = DrainingSite::new(2);
        let other = draining.site.submit(2, "b", &[long_step(2, 8)]);
        draining.site.step();
        draining.site.wait(1_000);
        let step = long_step(1, 8);
        let job = draining.site.submit(2, "b", &[step]);
        // One run is replaced by the one that is watched.
        let first = draining.site.report_mut(0).lists.running[0].run.clone();
        draining.site.end(&first, RunOutcome::Done);
        draining.site.step();
        draining.site.wait(1_000);
        assert_eq!(draining.running_on(&job, 0), 1);
        draining.drain(SHORT_NOTICE);
        draining.play(360);
        assert_eq!(draining.running_on(&job, 0), 1, "{checkpointing}");
        draining.play(100);
        assert!(draining.site.running(&job).is_empty(), "{checkpointing}");
        draining.site.end_job(&other, RunOutcome::Done);
        draining.play(40);
        assert_eq!(draining.running_on(&job, 1), 1, "{checkpointing}");
    }
}

/// Guards against several runs that are stopped for the same free room: those that do not get it
/// would wait where they could have worked.
#[test]
fn no_more_runs_are_moved_than_fit() {
    let mut draining = DrainingSite::new(2);
    let job = draining.run_on_first(&[long_step(4, 2)]);
    let other = draining.site.submit(2, "b", &[long_step(1, 4)]);
    draining.site.step();
    assert_eq!(draining.running_on(&other, 1), 1);
    draining.site.max_stop_time = Duration::from_millis(300);
    draining.drain(SHORT_NOTICE);
    draining.play(300);
    let events = draining.site.scheduler.take_events();
    let moved = events
        .iter()
        .filter(|event| matches!(event, Event::Moved { .. }));
    assert_eq!(moved.count(), 2);
    assert_eq!(draining.site.running(&job).len(), 4);
}

/// Answers a drain under serving tasks. Guards against a drain that makes more of them unavailable
/// than their step allows, and against none being moved.
#[test]
fn serving_tasks_are_moved_as_far_as_their_step_allows() {
    let mut draining = DrainingSite::new(2);
    let serving = StepDescription {
        long_running: true,
        max_unavailable: Some(1),
        ..long_step(4, 2)
    };
    draining.site.is_hung = true;
    let job = draining.run_on_first(&[serving]);
    for running in &mut draining.site.report_mut(0).lists.running {
        running.percent = 100;
    }
    draining.site.wait(20);
    draining.drain(SHORT_NOTICE);
    for moved in 1..4 {
        draining.play(200);
        assert_eq!(draining.running_on(&job, 0), 4 - moved);
        assert_eq!(draining.running_on(&job, 1), moved);
        for running in &mut draining.site.report_mut(1).lists.running {
            running.percent = 100;
        }
    }
}
