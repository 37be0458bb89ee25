//! Which jobs are refused when there is more work than the capacity takes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::Admission;
use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::Recurrence;
use rattanwinch_scheduling::RefusalReason;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use crate::fixture::Fixture;
use crate::fixture::limits;
use crate::fixture::step;

/// The latency objective of the users' middle queues. By it a job of 1 s is of use for 12 s.
const OBJECTIVE: LatencyObjective = LatencyObjective {
    base: Duration::from_secs(1),
    stretch_percent: 300,
};

/// A new scheduler refuses nothing for this time.
const LEARNING_MS: u64 = 5_000;

fn site(targets: usize) -> Fixture {
    let mut site = Fixture::new(targets);
    for rules in site.rules.queues.values_mut() {
        rules.objective = Some(OBJECTIVE);
    }
    site.set_rules();
    site.play(LEARNING_MS);
    site
}

fn tasks(count: u32, accelerators: u64, millis: u64) -> StepDescription {
    let mut step = step(count, accelerators);
    step.estimated_run_time = Duration::from_millis(millis);
    step
}

fn description(steps: &[StepDescription]) -> JobDescription {
    JobDescription {
        payload: Arc::from("work"),
        steps: steps.into(),
        recurrence: None,
    }
}

/// Submits jobs of 1 s that take a whole target each, all at once.
fn flood(site: &mut Fixture, priority: u32, organisation: &str, jobs: usize) -> Vec<JobId> {
    let jobs = (0..jobs).map(|_| site.submit(priority, organisation, &[tasks(1, 8, 1_000)]));
    let jobs = jobs.collect();
    site.step();
    jobs
}

fn admit_described(
    site: &mut Fixture,
    priority: u32,
    organisation: &str,
    description: JobDescription,
) -> Admission {
    let job = site.new_job(priority, organisation, description);
    site.scheduler.admit(&job, site.now, site.now)
}

fn admit(site: &mut Fixture, priority: u32, organisation: &str, millis: u64) -> Admission {
    let description = description(&[tasks(1, 8, millis)]);
    admit_described(site, priority, organisation, description)
}

fn is_refused(admission: Admission) -> bool {
    matches!(admission, Admission::Refused { .. })
}

/// Load: too much urgent work at once. Guards against a job that is taken though it cannot be of
/// use any more, and against accepted ones that are dropped for it.
#[test]
fn a_job_is_refused_if_the_work_ahead_takes_longer_than_it_is_of_use() {
    let mut site = site(1);
    let accepted = flood(&mut site, 0, "a", 12);
    assert_eq!(admit(&mut site, 0, "a", 1_000), Admission::Accepted);
    let mut all = accepted;
    all.extend(flood(&mut site, 0, "a", 3));
    let Admission::Refused {
        retry_after,
        reason,
    } = admit(&mut site, 0, "a", 1_000)
    else {
        panic!("accepted");
    };
    assert_eq!(reason, RefusalReason::Overload);
    // 14 s of work wait, and the job has to end within 12 s.
    assert!(retry_after >= Duration::from_secs(3) && retry_after <= Duration::from_secs(4));
    for _ in 0..all.len() {
        site.play(1_000);
        for job in &all {
            if !site.running(job).is_empty() {
                site.end_job(job, RunOutcome::Done);
            }
        }
        site.step();
    }
    for job in &all {
        assert_eq!(site.scheduler.job_state(job), Some(JobState::Completed));
    }
    assert_eq!(admit(&mut site, 0, "a", 1_000), Admission::Accepted);
}

/// Load: too much urgent work at once. Guards against refusing what an organisation is guaranteed.
#[test]
fn a_job_within_a_guarantee_is_never_refused() {
    let mut site = site(1);
    site.guarantee("guaranteed", 8);
    flood(&mut site, 0, "a", 20);
    assert!(is_refused(admit(&mut site, 0, "a", 1_000)));
    assert_eq!(
        admit(&mut site, 0, "guaranteed", 1_000),
        Admission::Accepted
    );
    site.submit(0, "guaranteed", &[tasks(1, 8, 1_000)]);
    assert!(is_refused(admit(&mut site, 0, "guaranteed", 1_000)));
}

/// Load: wide gangs among single tasks. Guards against refusing a job that takes little and would
/// go before those that wait.
#[test]
fn a_small_job_is_accepted_where_a_large_one_is_refused() {
    let mut site = site(1);
    flood(&mut site, 1, "a", 20);
    assert!(is_refused(admit(&mut site, 1, "a", 1_000)));
    assert_eq!(admit(&mut site, 1, "a", 500), Admission::Accepted);
}

/// Load: a batch flood of one organisation. Guards against refusing the jobs of the others for it.
#[test]
fn a_flood_of_one_organisation_refuses_its_own_jobs() {
    let mut site = site(1);
    flood(&mut site, 2, "a", 2);
    flood(&mut site, 2, "flooding", 20);
    let Admission::Refused { reason, .. } = admit(&mut site, 2, "flooding", 1_000) else {
        panic!("accepted");
    };
    assert_eq!(reason, RefusalReason::OverShare);
    assert_eq!(admit(&mut site, 2, "a", 1_000), Admission::Accepted);
}

/// Load: a third of the capacity lost. Guards against promising capacity that takes no new tasks.
#[test]
fn jobs_are_refused_for_the_capacity_that_is_left() {
    let mut site = site(3);
    flood(&mut site, 1, "a", 33);
    assert_eq!(admit(&mut site, 1, "a", 1_000), Admission::Accepted);
    let zone = ZoneName::new("az-1").expect("a name");
    site.rules.closed_zones.insert(zone);
    site.set_rules();
    site.step();
    assert!(is_refused(admit(&mut site, 1, "a", 1_000)));
}

/// Load: too much urgent work at once. Guards against refusing work that has no deadline, whose
/// end is not near, or that has room now.
#[test]
fn jobs_without_a_deadline_or_with_room_are_never_refused() {
    let mut site = site(1);
    let rules = site.rules.queues.values_mut().nth(2);
    rules.expect("a queue").objective = None;
    site.set_rules();
    site.submit(0, "a", &[tasks(1, 6, 60_000)]);
    site.step();
    flood(&mut site, 0, "a", 20);
    assert!(is_refused(admit(&mut site, 1, "a", 1_000)));
    assert_eq!(admit(&mut site, 2, "a", 1_000), Admission::Accepted);
    let mut recurring = description(&[tasks(1, 8, 1_000)]);
    recurring.recurrence = Some(Recurrence {
        first_due_at: site.now,
        interval: Duration::from_secs(60),
        count: 3,
    });
    let admission = admit_described(&mut site, 1, "a", recurring);
    assert_eq!(admission, Admission::Accepted);
    let mut lasting = tasks(1, 8, 1_000);
    lasting.long_running = true;
    let admission = admit_described(&mut site, 1, "a", description(&[lasting]));
    assert_eq!(admission, Admission::Accepted);
    let fitting = description(&[tasks(1, 2, 1_000)]);
    let admission = admit_described(&mut site, 1, "a", fitting);
    assert_eq!(admission, Admission::Accepted, "two accelerators are free");
}

/// Load: work that no target can run. Guards against counting it as work ahead, by which all jobs
/// after it would be refused for as long as it waits.
#[test]
fn work_that_cannot_run_does_not_count_as_ahead() {
    let mut site = site(1);
    site.submit(0, "a", &[tasks(1, 8, 1_000)]);
    let mut impossible = tasks(20, 8, 1_000);
    impossible.required_label = Some("absent".into());
    site.submit(0, "a", &[impossible]);
    site.step();
    assert_eq!(admit(&mut site, 1, "a", 1_000), Admission::Accepted);
}

/// Load: a change of leader under too much work. Guards against refusals by a scheduler that knows
/// only a part of the capacity.
#[test]
fn a_new_scheduler_refuses_nothing_before_it_knows_half_of_its_targets() {
    let mut site = site(3);
    flood(&mut site, 1, "a", 90);
    assert!(is_refused(admit(&mut site, 1, "a", 1_000)));
    let ids: Vec<_> = site
        .scheduler
        .job_states()
        .map(|(id, ..)| id.clone())
        .collect();
    let jobs = ids.iter().filter_map(|id| site.scheduler.job_record(id));
    let jobs: Vec<_> = jobs.collect();
    let started_at = site.now;
    site.scheduler = Scheduler::restore(limits(), site.rules.clone(), jobs, started_at);
    let mut admit_at = |known: usize, after_ms: u64| {
        let now: Timestamp = started_at + Duration::from_millis(after_ms);
        for number in 0..known {
            let report = site.report_mut(number).clone();
            site.scheduler.handle_report(&report, now);
        }
        site.scheduler.place_tasks(now, now);
        site.now = now;
        admit(&mut site, 1, "a", 1_000)
    };
    assert_eq!(admit_at(1, LEARNING_MS + 100), Admission::Accepted);
    assert!(is_refused(admit_at(2, LEARNING_MS + 200)));
}

/// Load: too much urgent work at once. Guards against refused callers that all return at the same
/// time, and against times outside the bounds.
#[test]
fn refused_callers_return_at_different_times_within_the_bounds() {
    let mut site = site(1);
    flood(&mut site, 0, "a", 300);
    let mut times = BTreeSet::new();
    for _ in 0..30 {
        if let Admission::Refused { retry_after, .. } = admit(&mut site, 0, "a", 1_000) {
            assert!(retry_after >= Duration::from_secs(1));
            assert!(retry_after <= Duration::from_secs(30));
            times.insert(retry_after.as_millis() / 500);
        }
    }
    assert!(times.len() >= 8, "{times:?}");
}
