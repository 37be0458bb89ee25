//! Inaccurate estimates: how run times are learned, and which decisions use them.

use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::QueueName;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_types::TargetName;

use crate::fixture::Fixture;
use crate::fixture::limits;
use crate::fixture::step;
use crate::fixture::target;

/// Progress in a wait of 400 ms, in per cent: tasks take 5 s on a usual target.
const USUAL: u32 = 8;
const RUN_TIME_MS: u64 = 5_000;

fn site_with_objectives(targets: usize) -> Fixture {
    let mut site = Fixture::new(targets);
    for rules in site.rules.queues.values_mut() {
        rules.objective = Some(LatencyObjective {
            base: Duration::from_millis(300),
            stretch_percent: 300,
        });
    }
    site.set_rules();
    for number in 0..targets {
        site.progress.insert(target(number), USUAL);
    }
    site
}

fn estimated(count: u32, accelerators: u64, estimate_ms: u64) -> StepDescription {
    StepDescription {
        estimated_run_time: Duration::from_millis(estimate_ms),
        ..step(count, accelerators)
    }
}

fn play(site: &mut Fixture, waits: usize) {
    for _ in 0..waits {
        site.wait(400);
        site.step();
    }
}

fn ratio(site: &Fixture) -> Option<f64> {
    let queue = QueueName::from("q2");
    let mut ratios = site.scheduler.run_time_ratios();
    ratios
        .find(|(name, _)| **name == queue)
        .map(|(_, ratio)| ratio)
}

/// Ends the runs of a job that work now.
fn end_running(site: &mut Fixture, job: &JobId) {
    site.end_job(job, RunOutcome::Done);
    site.commit();
}

/// Answers estimates that are off by 0.9 of their value. Guards against a gang whose reserved room
/// is expected far too early, so that its reservation lapses.
#[test]
fn the_runs_of_a_step_tell_how_long_its_other_tasks_take() {
    for estimate_ms in [RUN_TIME_MS / 10, RUN_TIME_MS * 19 / 10] {
        let mut site = site_with_objectives(2);
        let batch = site.submit(2, "a", &[estimated(32, 1, estimate_ms)]);
        site.step();
        play(&mut site, 6);
        end_running(&mut site, &batch);
        assert_eq!(site.step().len(), 16);
        site.submit(
            2,
            "a",
            &[StepDescription {
                gang: true,
                ..estimated(2, 8, 2_000)
            }],
        );
        site.step();
        play(&mut site, 2);
        let events = site.scheduler.take_events();
        let expected = events.iter().find_map(|event| match event {
            Event::RoomReserved { expected_in_ms, .. } => Some(*expected_in_ms),
            _ => None,
        });
        let expected = expected.expect("a reservation");
        assert!((3_500..=5_500).contains(&expected), "{expected} ms");
    }
}

/// Answers a queue whose estimates are all too short. Guards against fresh steps that are expected
/// to take as long as estimated, also after a new leader has started without samples.
#[test]
fn a_queue_has_its_ratio_and_a_new_leader_learns_it_within_seconds() {
    let mut site = site_with_objectives(6);
    for _ in 0..6 {
        site.submit(2, "a", &[estimated(8, 1, RUN_TIME_MS / 4)]);
    }
    site.step();
    assert_eq!(ratio(&site), None);
    play(&mut site, 5);
    let learned = ratio(&site).expect("a ratio");
    assert!((3.5..4.5).contains(&learned), "{learned}");

    let ids: Vec<_> = site
        .scheduler
        .job_states()
        .map(|(id, ..)| id.clone())
        .collect();
    let records = ids.iter().filter_map(|id| site.scheduler.job_record(id));
    let records: Vec<_> = records.collect();
    site.scheduler = Scheduler::restore(limits(), site.rules.clone(), records, site.now);
    assert_eq!(ratio(&site), None);
    play(&mut site, 5);
    let learned = ratio(&site).expect("a ratio");
    assert!((3.5..4.5).contains(&learned), "{learned}");
}

/// Answers short gangs on uneven targets, which end before they show a rate. Guards against run
/// times that stay unknown, or that are those of a slow target.
#[test]
fn gangs_too_short_for_a_rate_count_by_their_end_on_their_slowest_target() {
    let mut site = site_with_objectives(9);
    for number in 0..9 {
        site.progress
            .insert(target(number), [13, USUAL, 5][number / 3]);
    }
    let fill = site.submit(2, "a", &[estimated(72, 1, RUN_TIME_MS)]);
    site.step();
    play(&mut site, 5);
    end_running(&mut site, &fill);
    site.is_hung = true;
    for _ in 0..6 {
        // Of nine targets it takes all, three of which are slow.
        let gang = StepDescription {
            gang: true,
            ..estimated(9, 8, 800)
        };
        let gang = site.submit(2, "a", &[gang]);
        site.step();
        assert_eq!(site.running(&gang).len(), 9);
        // 1.6 times a run time that is twice the estimate.
        site.wait(2_560);
        end_running(&mut site, &gang);
        site.step();
    }
    site.wait(600);
    site.step();
    let learned = ratio(&site).expect("a ratio");
    assert!((1.7..2.3).contains(&learned), "{learned}");
}

/// Answers stragglers: a task of each step takes 7 times as long. Guards against a mean that it
/// shifts.
#[test]
fn stragglers_change_no_ratio() {
    let mut site = site_with_objectives(8);
    site.is_hung = true;
    for _ in 0..8 {
        site.submit(2, "a", &[estimated(8, 1, RUN_TIME_MS)]);
    }
    site.step();
    for percent in (0..90).step_by(USUAL as usize) {
        for number in 0..8 {
            for running in &mut site.report_mut(number).lists.running {
                let is_straggler = running.run.task.index == 0;
                running.percent = if is_straggler { percent / 7 } else { percent };
            }
        }
        play(&mut site, 1);
    }
    assert_eq!(ratio(&site), Some(1.0));
}

/// Answers speeds of 0.6, 1 and 1.6. Guards against work with time to spare, which slow targets get,
/// that counts as work with short estimates.
#[test]
fn the_speeds_of_targets_change_no_ratio() {
    let mut site = site_with_objectives(9);
    for number in 0..9 {
        site.progress
            .insert(target(number), [5, USUAL, 13][number / 3]);
    }
    let fill = site.submit(2, "a", &[estimated(72, 1, RUN_TIME_MS)]);
    site.step();
    play(&mut site, 5);
    end_running(&mut site, &fill);
    let jobs: Vec<_> = (0..6)
        .map(|_| site.submit(2, "a", &[estimated(4, 1, RUN_TIME_MS)]))
        .collect();
    site.step();
    let slow: Vec<TargetName> = (0..3).map(target).collect();
    for job in &jobs {
        assert!(site.running(job).iter().all(|target| slow.contains(target)));
    }
    play(&mut site, 6);
    assert_eq!(ratio(&site), Some(1.0));
}

/// Answers an estimate of a tenth. Guards against a job that counts as late, and waits for others,
/// since its estimate makes its objective far too short.
#[test]
fn a_job_with_a_short_estimate_keeps_its_turn_once_its_runs_show_it() {
    let mut site = site_with_objectives(1);
    let first = site.submit(2, "a", &[estimated(16, 1, RUN_TIME_MS / 10)]);
    site.step();
    play(&mut site, 6);
    let second = site.submit(2, "a", &[estimated(8, 1, RUN_TIME_MS)]);
    play(&mut site, 2);
    end_running(&mut site, &first);
    site.step();
    assert_eq!(site.running(&first).len(), 8);
    assert!(site.running(&second).is_empty());
}

/// Answers estimates that are off by 0.9 on uneven targets. Guards against batch tasks that take
/// fast targets though their job has time to spare.
#[test]
fn the_other_tasks_of_a_step_with_a_poor_estimate_leave_fast_targets_free() {
    for estimate_ms in [RUN_TIME_MS / 10, RUN_TIME_MS * 19 / 10] {
        let mut site = site_with_objectives(9);
        for number in 0..9 {
            site.progress
                .insert(target(number), [5, USUAL, 13][number / 3]);
        }
        let batch = site.submit(2, "a", &[estimated(80, 1, estimate_ms)]);
        site.step();
        play(&mut site, 5);
        end_running(&mut site, &batch);
        site.step();
        let others: BTreeSet<_> = site.running(&batch).into_iter().collect();
        assert_eq!(others, [target(0)].into(), "{estimate_ms} ms");
    }
}

/// Plays a target on which each of the runs makes a per cent of progress in `percent_ms`; returns
/// how often one was stopped because it stood still.
fn count_stalls(site: &mut Fixture, percent_ms: u64, millis: u64) -> usize {
    let begun = site.now;
    while site.now.since(begun) < Duration::from_millis(millis) {
        let worked = site.now.since(begun).as_millis();
        for running in &mut site.report_mut(0).lists.running {
            let percent = worked / u128::from(percent_ms);
            running.percent = u32::try_from(percent).expect("a small number");
        }
        site.wait(200);
        site.step();
    }
    let events = site.scheduler.take_events();
    let stalled = events.iter();
    stalled
        .filter(|event| matches!(event, Event::Stalled { .. }))
        .count()
}

/// Answers a straggler of a step whose estimate is a tenth of its run time. Guards against a sound
/// run that is stopped for its slow progress, and against one that stands still and is never stopped.
#[test]
fn a_step_that_is_known_to_be_long_has_more_time_without_progress() {
    let mut site = site_with_objectives(1);
    site.is_hung = true;
    let job = site.submit(2, "a", &[estimated(16, 1, 20_000)]);
    site.step();
    assert_eq!(count_stalls(&mut site, 2_000, 40_000), 0);
    end_running(&mut site, &job);
    site.step();
    assert_eq!(count_stalls(&mut site, 14_000, 60_000), 0);
    let hung = count_stalls(&mut site, u64::MAX, 60_000);
    assert!(hung > 0, "{hung}");
}
