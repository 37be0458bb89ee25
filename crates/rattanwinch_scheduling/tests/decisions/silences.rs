//! Tracking of silent targets across a change of scheduler.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SilentInstances;

use crate::fixture::Fixture;
use crate::fixture::limits;
use crate::fixture::step;

/// The silence after which all leases of a target have expired.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(16);

/// Creates a site whose only target has a run and has not reported for `silence`.
fn site_with_silent_target(silence: Duration) -> (Fixture, JobId, SilentInstances) {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    let listed = track_silence(&mut site, silence);
    (site, job, listed)
}

/// Advances the time while the scheduler commits changes and no target reports; returns the last
/// list of silent instances.
fn track_silence(site: &mut Fixture, time: Duration) -> SilentInstances {
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

/// Restores the next scheduler from the durable state.
fn restore_next_scheduler(site: &Fixture, job: &JobId, listed: &SilentInstances) -> Scheduler {
    let record = site.scheduler.job_record(job).expect("a job");
    let mut next = Scheduler::restore(limits(), site.rules.clone(), [record], site.now);
    next.restore_silences(listed.clone());
    next
}

fn is_placed(scheduler: &Scheduler, job: &JobId) -> bool {
    let (_, progress) = scheduler.job_record(job).expect("a job");
    progress.tasks.iter().any(|task| task.placed_on.is_some())
}

/// Guards against a scheduler that restarts the wait for a lost target's leases: each change of
/// scheduler delayed the restart of its tasks by another 16 s.
#[test]
fn the_next_scheduler_counts_the_silence_before_it() {
    let (site, job, listed) = site_with_silent_target(Duration::from_secs(13));
    let mut next = restore_next_scheduler(&site, &job, &listed);
    let known = Duration::from_secs(12);
    next.expire_silent_targets(site.now + (SILENCE_TIMEOUT - known));
    assert!(is_placed(&next, &job), "its leases may still be valid");
    next.expire_silent_targets(site.now + (SILENCE_TIMEOUT - known) + Duration::from_millis(1));
    assert!(!is_placed(&next, &job), "the wait has restarted");
}

/// Guards against store writes for short pauses between two reports.
#[test]
fn a_short_silence_is_not_written() {
    let (_, _, listed) = site_with_silent_target(Duration::from_millis(3_900));
    assert!(listed.is_empty());
}

/// Guards against renewing the leases of a target that is listed as silent: the next scheduler
/// would remove it too early and run its tasks twice.
#[test]
fn leases_of_a_listed_target_are_renewed_only_once_it_is_durably_unlisted() {
    let (mut site, _, _) = site_with_silent_target(Duration::from_secs(5));
    assert!(!site.scheduler.may_renew_leases("vm0"));
    site.wait(0);
    assert!(
        !site.scheduler.may_renew_leases("vm0"),
        "still in the durable list"
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

/// Guards against renewing leases while the write of a list may have succeeded.
#[test]
fn leases_are_not_renewed_while_the_list_is_being_written() {
    let mut site = Fixture::new(1);
    site.submit(1, "a", &[step(1, 1)]);
    site.step();
    track_silence(&mut site, Duration::from_millis(3_900));
    site.now = site.now + Duration::from_millis(300);
    let listing = site.scheduler.take_changes(site.now);
    assert!(listing.silent_instances.is_some());
    site.wait(0);
    assert!(!site.scheduler.may_renew_leases("vm0"));
    site.scheduler.mark_committed(&listing);
    assert!(!site.scheduler.may_renew_leases("vm0"));
}

/// Guards against starts on a silent target, since a start grants a lease as a renewal does.
#[test]
fn nothing_is_started_on_a_target_that_is_listed_or_silent() {
    let mut site = Fixture::new(1);
    site.submit(1, "a", &[step(1, 1)]);
    site.scheduler.place_tasks(site.now, site.now);
    site.commit();
    track_silence(&mut site, Duration::from_secs(5));
    assert!(
        site.scheduler.take_due_orders(site.now).is_empty(),
        "the target is silent"
    );
    site.wait(0);
    assert!(
        site.scheduler.take_due_orders(site.now).is_empty(),
        "the target is listed"
    );
    site.commit();
    assert_eq!(site.scheduler.take_due_orders(site.now).len(), 1);
}

/// Guards against listing all targets as silent after the scheduler was suspended or not confirmed
/// by the store, when no agent reports. That delayed the first lease renewal of each.
#[test]
fn silence_caused_by_the_scheduler_is_not_written() {
    for suspended in [true, false] {
        let mut site = Fixture::new(1);
        site.submit(1, "a", &[step(1, 1)]);
        site.step();
        if suspended {
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
        track_silence(&mut site, Duration::from_millis(3_900));
        assert!(site.scheduler.may_renew_leases("vm0"));
        track_silence(&mut site, Duration::from_millis(300));
        assert!(
            !site.scheduler.may_renew_leases("vm0"),
            "the target itself is silent"
        );
    }
}

/// Guards against a wait of 16 s for leases that the agent of a removed VM has said to end sooner:
/// the work of executors that were taken away with their VMs was lost at the end of a day.
#[test]
fn the_runs_of_an_agent_that_has_stopped_lapse_with_the_leases_that_it_stated() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    site.report_mut(0).leases_end_in = Some(Duration::from_secs(6));
    site.wait(0);
    site.now = site.now + Duration::from_secs(6);
    site.scheduler.expire_silent_targets(site.now);
    assert!(is_placed(&site.scheduler, &job), "the lease may last");
    site.now = site.now + Duration::from_millis(1);
    site.scheduler.expire_silent_targets(site.now);
    assert!(!is_placed(&site.scheduler, &job));
}

/// Guards against runs that are given up beside an agent that has started again and renews leases.
#[test]
fn a_report_of_the_next_agent_withdraws_the_stated_end_of_leases() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    site.report_mut(0).leases_end_in = Some(Duration::from_secs(6));
    site.wait(0);
    site.report_mut(0).leases_end_in = None;
    site.wait(4_000);
    site.now = site.now + Duration::from_secs(10);
    site.scheduler.expire_silent_targets(site.now);
    assert!(is_placed(&site.scheduler, &job));
}
