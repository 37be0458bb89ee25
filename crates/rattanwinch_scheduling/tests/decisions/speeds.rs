//! Uneven targets: which work gets the fast ones, and how their speeds are learned.

use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::QueueName;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::Speed;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_types::TargetName;

use crate::fixture::Fixture;
use crate::fixture::step;
use crate::fixture::target;

/// Progress in a wait on slow, usual and fast targets, in per cent: run times of 1.6, 1 and 0.6.
const SLOW: u32 = 5;
const USUAL: u32 = 8;
const FAST: u32 = 13;

/// A site whose first targets are slow, the next ones usual and the last ones fast.
fn uneven_site(of_each: usize) -> Fixture {
    let mut site = Fixture::new(3 * of_each);
    for (priority, stretch_percent) in [(0, 150), (1, 300), (2, 300)] {
        let name = QueueName::from(format!("q{priority}").as_str());
        let rules = site.rules.queues.get_mut(&name);
        rules.expect("a queue").objective = Some(LatencyObjective {
            base: Duration::from_millis(300),
            stretch_percent,
        });
    }
    site.set_rules();
    for number in 0..3 * of_each {
        let progress = [SLOW, USUAL, FAST][number / of_each];
        site.progress.insert(target(number), progress);
    }
    site
}

/// Fills all targets with single tasks for long enough to learn their speeds, then ends them.
fn learn_speeds(site: &mut Fixture) {
    let tasks = u32::try_from(site.target_count() * 8).expect("a few");
    let batch = site.submit(2, "batch", &[step(tasks, 1)]);
    site.step();
    for _ in 0..5 {
        site.wait(400);
        site.step();
    }
    site.end_job(&batch, RunOutcome::Done);
    site.commit();
}

fn gang(count: u32, accelerators: u64) -> StepDescription {
    let mut gang = step(count, accelerators);
    gang.gang = true;
    gang
}

fn targets_of(site: &Fixture, job: &JobId) -> BTreeSet<TargetName> {
    site.running(job).into_iter().collect()
}

fn speed(site: &Fixture, number: usize) -> u32 {
    let mut unusual = site.scheduler.unusual_speeds();
    let found = unusual.find(|(name, _)| **name == target(number));
    found.map_or(100, |(_, speed)| speed.percent())
}

/// Answers urgent gangs on uneven targets. Guards against a gang that is late on an idle site since
/// one of its members is on a slow target.
#[test]
fn an_urgent_gang_gets_the_fastest_targets_that_hold_it() {
    let mut site = uneven_site(3);
    learn_speeds(&mut site);
    let small = site.submit(0, "a", &[gang(3, 8)]);
    site.step();
    assert_eq!(targets_of(&site, &small), [6, 7, 8].map(target).into());
    let next = site.submit(0, "a", &[gang(2, 8)]);
    site.step();
    assert_eq!(targets_of(&site, &next), [3, 4].map(target).into());
}

/// Guards against a gang that takes fast targets although a slow one holds it up anyway.
#[test]
fn a_gang_that_needs_a_slow_target_leaves_fast_ones_to_others() {
    let mut site = uneven_site(3);
    learn_speeds(&mut site);
    let wide = site.submit(0, "a", &[gang(7, 8)]);
    site.step();
    let left: BTreeSet<_> = (0..9).map(target).collect();
    let left: Vec<_> = left
        .difference(&targets_of(&site, &wide))
        .cloned()
        .collect();
    assert_eq!(left, [7, 8].map(target));
}

/// Answers batch work beside urgent gangs on uneven targets. Guards against batch tasks on fast
/// targets, which the next urgent gang finds taken.
#[test]
fn work_with_time_to_spare_goes_to_slow_targets() {
    let mut site = uneven_site(3);
    learn_speeds(&mut site);
    let batch = site.submit(2, "a", &[step(20, 1)]);
    site.step();
    assert_eq!(targets_of(&site, &batch), [0, 1, 2].map(target).into());
}

/// Guards against a target that counts as slow for one task that takes far longer than its
/// siblings, as few do.
#[test]
fn a_single_long_task_makes_no_target_slow() {
    let mut site = Fixture::new(8);
    site.submit(2, "batch", &[step(8, 8)]);
    site.step();
    for number in 0..8 {
        site.progress.insert(target(number), USUAL);
    }
    site.progress.insert(target(0), 2);
    for _ in 0..8 {
        site.wait(400);
        site.step();
    }
    assert_eq!(speed(&site, 0), 100);
}

/// Guards against speeds that outlive their target: one that starts again may be another machine.
#[test]
fn the_speed_of_a_replaced_target_is_forgotten() {
    let mut site = uneven_site(3);
    learn_speeds(&mut site);
    assert!(speed(&site, 0) < 80, "{}", speed(&site, 0));
    assert!(speed(&site, 8) > 130, "{}", speed(&site, 8));
    site.add_target(0, 1);
    assert_eq!(speed(&site, 0), Speed::USUAL.percent());
}

/// Guards against a target that stays slow for good after it was slow for a while.
#[test]
fn a_target_that_is_sound_again_is_found_to_be() {
    let mut site = uneven_site(3);
    learn_speeds(&mut site);
    assert!(speed(&site, 0) < 80);
    for number in 0..3 {
        site.progress.insert(target(number), USUAL);
    }
    for _ in 0..3 {
        learn_speeds(&mut site);
    }
    assert_eq!(speed(&site, 0), 100);
}

/// Answers batch work that its slack sends to slow targets alone. Guards against speeds that are
/// forgotten there, since the tasks on similar targets make equal progress.
#[test]
fn speeds_are_kept_while_each_kind_of_work_runs_on_similar_targets() {
    let mut site = uneven_site(3);
    learn_speeds(&mut site);
    for _ in 0..3 {
        let batch = site.submit(2, "a", &[step(20, 1)]);
        site.step();
        assert_eq!(targets_of(&site, &batch), [0, 1, 2].map(target).into());
        for _ in 0..6 {
            site.wait(400);
            site.step();
        }
        site.end_job(&batch, RunOutcome::Done);
        site.commit();
    }
    assert!(speed(&site, 0) < 80, "{}", speed(&site, 0));
}

/// Answers a target that turns slow for a while. Guards against a speed that follows only once runs
/// of minutes have ended.
#[test]
fn a_target_that_turns_slow_is_found_while_its_runs_go_on() {
    let mut site = Fixture::new(4);
    site.submit(2, "batch", &[step(32, 1)]);
    site.step();
    let mut play = |of_first: u32, waits: usize| {
        for number in 0..4 {
            site.progress.insert(target(number), 4);
        }
        site.progress.insert(target(0), of_first);
        for _ in 0..waits {
            site.wait(2_000);
            site.step();
        }
        speed(&site, 0)
    };
    assert_eq!(play(4, 11), 100);
    let slow = play(2, 6);
    assert!(slow < 70, "{slow}");
}
