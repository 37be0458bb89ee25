//! Silence of targets that outlasts a change of scheduler.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SilentInstances;

use crate::fixture::Fixture;
use crate::fixture::limits;
use crate::fixture::step;

/// The wait for a target's leases.
const SILENCE: Duration = Duration::from_secs(16);

/// A site whose only target has a run and hasn't reported for so long; changes are durable.
fn silent_for(silence: Duration) -> (Fixture, JobId, SilentInstances) {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    let listed = look_for(&mut site, silence);
    (site, job, listed)
}

/// Lets time pass in which the scheduler is at work and no target reports; gives what was listed
/// last.
fn look_for(site: &mut Fixture, time: Duration) -> SilentInstances {
    let end = site.now + time;
    let mut listed = SilentInstances::new();
    while site.now < end {
        site.now = end.min(site.now + Duration::from_millis(150));
        let changes = site.scheduler.take_changes(site.now);
        site.scheduler.mark_committed(&changes);
        listed = changes.silent_instances.unwrap_or(listed);
    }
    listed
}

/// The scheduler after that one.
fn next(site: &Fixture, job: &JobId, listed: &SilentInstances) -> Scheduler {
    let record = site.scheduler.job_record(job).expect("a job");
    let mut next = Scheduler::restore(limits(), site.rules.clone(), [record], site.now);
    next.restore_silences(listed.clone());
    next
}

fn is_placed(scheduler: &Scheduler, job: &JobId) -> bool {
    let (_, progress) = scheduler.job_record(job).expect("a job");
    progress.tasks.iter().any(|task| task.placed_on.is_some())
}

/// A scheduler that begins the wait for a lost target's leases anew keeps its work from starting
/// again: with every change of scheduler 16 s more.
#[test]
fn the_next_scheduler_counts_the_silence_before_it() {
    let (site, job, listed) = silent_for(Duration::from_secs(13));
    let mut next = next(&site, &job, &listed);
    let known = Duration::from_secs(12);
    next.expire_silent_targets(site.now + (SILENCE - known));
    assert!(is_placed(&next, &job), "its leases may still hold");
    next.expire_silent_targets(site.now + (SILENCE - known) + Duration::from_millis(1));
    assert!(!is_placed(&next, &job), "the wait has begun anew");
}

/// Short pauses between two reports are no reason for a write to the store.
#[test]
fn a_short_silence_is_not_written() {
    let (_, _, listed) = silent_for(Duration::from_millis(3_900));
    assert!(listed.is_empty());
}

/// A target whose leases are renewed while it is listed as silent would be taken for gone too
/// early by the next scheduler, which would run its work twice.
#[test]
fn a_listed_target_is_confirmed_only_once_it_is_durably_off_the_list() {
    let (mut site, _, _) = silent_for(Duration::from_secs(5));
    assert!(!site.scheduler.may_renew_leases("vm0"));
    site.wait(0);
    assert!(
        !site.scheduler.may_renew_leases("vm0"),
        "still listed durably"
    );
    let changes = site.scheduler.take_changes(site.now);
    assert!(
        changes
            .silent_instances
            .as_ref()
            .is_some_and(BTreeMap::is_empty)
    );
    assert!(
        !site.scheduler.may_renew_leases("vm0"),
        "not known to be durable"
    );
    site.scheduler.mark_committed(&changes);
    assert!(site.scheduler.may_renew_leases("vm0"));
}

/// While it isn't known whether a list has been written, it may have been.
#[test]
fn a_target_that_is_heard_while_it_is_being_listed_is_not_confirmed() {
    let mut site = Fixture::new(1);
    site.submit(1, "a", &[step(1, 1)]);
    site.step();
    look_for(&mut site, Duration::from_millis(3_900));
    site.now = site.now + Duration::from_millis(300);
    let listing = site.scheduler.take_changes(site.now);
    assert!(listing.silent_instances.is_some());
    site.wait(0);
    assert!(!site.scheduler.may_renew_leases("vm0"));
    site.scheduler.mark_committed(&listing);
    assert!(!site.scheduler.may_renew_leases("vm0"));
}

/// A start sets a lease as a renewal does.
#[test]
fn nothing_is_started_on_a_target_that_is_listed_or_silent() {
    let mut site = Fixture::new(1);
    site.submit(1, "a", &[step(1, 1)]);
    site.scheduler.place_tasks(site.now, site.now);
    site.commit();
    look_for(&mut site, Duration::from_secs(5));
    assert!(
        site.scheduler.take_due_orders(site.now).is_empty(),
        "it is silent"
    );
    site.wait(0);
    assert!(
        site.scheduler.take_due_orders(site.now).is_empty(),
        "it is listed"
    );
    site.commit();
    assert_eq!(site.scheduler.take_due_orders(site.now).len(), 1);
}

/// While the store doesn't confirm the scheduler, and while it is frozen, no agent reports. To list
/// all of them as silent then held up each one's first report after it.
#[test]
fn silence_that_the_scheduler_brings_about_is_not_written() {
    for frozen in [true, false] {
        let mut site = Fixture::new(1);
        site.submit(1, "a", &[step(1, 1)]);
        site.step();
        if frozen {
            site.now = site.now + Duration::from_secs(8);
        } else {
            for _ in 0..54 {
                site.now = site.now + Duration::from_millis(150);
                site.scheduler.restart_silence_tracking(site.now);
                assert!(
                    site.scheduler
                        .take_changes(site.now)
                        .silent_instances
                        .is_none()
                );
            }
        }
        assert!(
            site.scheduler
                .take_changes(site.now)
                .silent_instances
                .is_none()
        );
        look_for(&mut site, Duration::from_millis(3_900));
        assert!(site.scheduler.may_renew_leases("vm0"));
        look_for(&mut site, Duration::from_millis(300));
        assert!(
            !site.scheduler.may_renew_leases("vm0"),
            "it is silent by itself"
        );
    }
}
