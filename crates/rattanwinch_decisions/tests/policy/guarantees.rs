//! Guarantees: borrowing, reclaiming, and what a takeover keeps.

use std::time::Duration;

use rattanwinch_decisions::Decision;
use rattanwinch_decisions::JobEnd;
use rattanwinch_decisions::ZonePolicy;
use rattanwinch_types::Adjacency;
use rattanwinch_types::JobSpec;
use rattanwinch_types::RequestKey;
use rattanwinch_types::StopMode;
use rattanwinch_types::TargetName;

use crate::fixtures::at;
use crate::fixtures::config;
use crate::fixtures::evictions;
use crate::fixtures::guarantee;
use crate::fixtures::job;
use crate::fixtures::key;
use crate::fixtures::policy;
use crate::fixtures::shape;
use crate::fixtures::starts;
use crate::fixtures::worker;
use crate::fixtures::zone;

/// Submits a job of whole workers, lets it start, and answers its key.
fn run_whole(
    policy: &mut ZonePolicy,
    owner: &str,
    id: &str,
    tasks: u16,
    second: u64,
) -> RequestKey {
    let key = key(owner, id);
    let spec = job(key.clone(), shape(tasks, 8, Adjacency::Zone));
    policy.submit(spec, at(second)).expect("it fits the zone");
    let started = starts(&policy.decide(at(second)));
    assert_eq!(started, std::slice::from_ref(&key));
    policy.job_started(&key, at(second));
    key
}

/// Guards against a reclaim that stops without a checkpoint, never stops a borrower whose
/// checkpoint hangs, or exceeds its stated time.
#[test]
fn a_reclaim_checkpoints_first_and_stops_after_the_limit() {
    let mut policy = policy(3, vec![guarantee("owner", 1, 8)]);
    let borrower = run_whole(&mut policy, "other", "b", 3, 100);
    let claimant = key("owner", "o");
    let spec = job(claimant.clone(), shape(1, 8, Adjacency::Worker));
    policy.submit(spec, at(200)).expect("it fits the zone");
    let decisions = policy.decide(at(200));
    let is_checkpoint = |decision: &Decision| {
        matches!(decision, Decision::Evict { key, mode: StopMode::Checkpoint, reason }
            if *key == borrower && reason.contains("owner reclaims its guarantee"))
    };
    assert!(
        decisions.len() == 1 && is_checkpoint(&decisions[0]),
        "{decisions:?}"
    );
    assert_eq!(policy.decide(at(229)), []);
    assert_eq!(policy.next_wakeup(at(229)), Some(at(230)));
    let decisions = policy.decide(at(230));
    assert!(matches!(
        &decisions[..],
        [Decision::Evict {
            mode: StopMode::Stop,
            ..
        }]
    ));
    policy.job_ended(&borrower, JobEnd::Evicted, at(232));
    assert_eq!(starts(&policy.decide(at(232))), [claimant]);
}

/// Guards against evicting work within a guarantee for another organisation's work.
#[test]
fn work_within_a_guarantee_stays() {
    let guarantees = vec![guarantee("a", 1, 8), guarantee("b", 2, 8)];
    let mut policy = policy(3, guarantees);
    run_whole(&mut policy, "a", "own", 1, 100);
    let borrowed = run_whole(&mut policy, "a", "borrowed", 1, 101);
    let spec = job(key("b", "both"), shape(2, 8, Adjacency::Zone));
    policy.submit(spec, at(300)).expect("it fits the zone");
    assert_eq!(evictions(&policy.decide(at(300))), [borrowed]);
}

/// Guards against choosing a victim with more to lose when a cheaper one would do.
#[test]
fn the_borrower_with_the_least_to_lose_is_evicted() {
    let mut policy = policy(3, vec![guarantee("owner", 1, 8)]);
    run_whole(&mut policy, "other", "old", 1, 100);
    run_whole(&mut policy, "other", "older", 1, 90);
    let young = run_whole(&mut policy, "other", "young", 1, 900);
    let spec = job(key("owner", "o"), shape(2, 4, Adjacency::Worker));
    policy.submit(spec, at(1000)).expect("it fits the zone");
    assert_eq!(evictions(&policy.decide(at(1000))), [young]);
}

/// Guards against an eviction where an unused guarantee could be met on free accelerators.
#[test]
fn a_home_moves_to_free_accelerators_instead_of_evicting() {
    let mut policy = policy(2, vec![guarantee("owner", 1, 8)]);
    run_whole(&mut policy, "other", "first", 1, 100);
    let second = run_whole(&mut policy, "other", "second", 1, 101);
    policy.job_ended(&key("other", "first"), JobEnd::Succeeded, at(150));
    let spec = job(key("owner", "o"), shape(1, 8, Adjacency::Worker));
    policy.submit(spec, at(200)).expect("it fits the zone");
    let decisions = policy.decide(at(200));
    assert_eq!(evictions(&decisions), []);
    assert_eq!(starts(&decisions), [key("owner", "o")]);
    assert_eq!(policy.wait_reason(&second), None);
}

/// Guards against counting free accelerators only: a guaranteed rack has to stay reclaimable
/// although guaranteed work of others is spread over the zone.
#[test]
fn a_guaranteed_rack_can_always_be_reclaimed() {
    let mut policy = policy(
        6,
        vec![guarantee("racks", 1, 24), guarantee("small", 12, 2)],
    );
    for id in 0..12 {
        let spec = job(key("small", &id.to_string()), shape(1, 2, Adjacency::Zone));
        policy.submit(spec, at(100)).expect("it fits the zone");
    }
    let decisions = policy.decide(at(100));
    assert_eq!(starts(&decisions).len(), 12);
    let spec = job(key("racks", "r"), shape(3, 8, Adjacency::Rack));
    policy.submit(spec, at(101)).expect("it fits the zone");
    assert_eq!(starts(&policy.decide(at(101))), [key("racks", "r")]);
}

/// Guards against a takeover after which guaranteed work counts as borrowed and is evicted.
#[test]
fn restored_work_keeps_its_guarantee() {
    let guarantees = vec![guarantee("a", 1, 16), guarantee("b", 1, 8)];
    let mut before = policy(3, guarantees.clone());
    let spec = job(key("a", "gang"), shape(2, 8, Adjacency::Rack));
    before
        .submit(spec.clone(), at(100))
        .expect("it fits the zone");
    let decisions = before.decide(at(100));
    let [Decision::Start { placement, .. }] = &decisions[..] else {
        panic!("expected one start, got {decisions:?}");
    };
    let mut after = ZonePolicy::new(zone());
    after.restore_running(spec, placement.clone(), at(100));
    after.set_config(&config(guarantees), at(200));
    for index in 0..3 {
        after.worker_ready(worker(index), at(200));
    }
    assert_eq!(after.decide(at(200)), []);
    let report = after.capacity().guarantees;
    assert_eq!(
        (report[0].used, report[0].borrowed, report[0].unmet),
        (16, 0, 0)
    );
    let spec = job(key("b", "one"), shape(1, 8, Adjacency::Worker));
    after.submit(spec, at(201)).expect("it fits the zone");
    assert_eq!(starts(&after.decide(at(201))), [key("b", "one")]);
}

/// Guards against silently dropping a guarantee that lost workers made impossible.
#[test]
fn a_guarantee_that_cannot_be_met_is_reported_with_its_cause() {
    let mut policy = policy(3, vec![guarantee("owner", 1, 24)]);
    policy.worker_lost(&worker(0).target, at(200));
    policy.decide(at(200));
    let report = policy.capacity().guarantees.remove(0);
    assert_eq!((report.guaranteed, report.unmet), (24, 24));
    assert!(report.cause.expect("a cause").contains("block of 24"));
    policy.worker_ready(worker(0), at(260));
    policy.decide(at(260));
    assert_eq!(policy.capacity().guarantees[0].unmet, 0);
}

/// Guards against a job that is longer than declared and keeps an owner waiting for ever.
#[test]
fn a_reclaim_does_not_depend_on_declared_run_times() {
    let mut policy = policy(1, vec![guarantee("owner", 1, 8)]);
    let key = key("other", "endless");
    let mut spec = job(key.clone(), shape(1, 1, Adjacency::Zone));
    spec.declared_run_time = Duration::from_secs(1);
    policy.submit(spec, at(100)).expect("it fits the zone");
    policy.decide(at(100));
    policy.job_started(&key, at(100));
    let spec = job(
        crate::fixtures::key("owner", "o"),
        shape(1, 8, Adjacency::Worker),
    );
    policy.submit(spec, at(5000)).expect("it fits the zone");
    assert_eq!(evictions(&policy.decide(at(5000))), [key]);
}

/// Runs the job to a failure on the worker where the policy places it, and submits it again.
fn fail_and_retry(policy: &mut ZonePolicy, spec: &JobSpec, second: u64) -> TargetName {
    policy
        .submit(spec.clone(), at(second))
        .expect("it fits the zone");
    let decisions = policy.decide(at(second));
    let Some(Decision::Start { placement, .. }) = decisions.first() else {
        panic!("it starts on free accelerators: {decisions:?}");
    };
    let target = placement.tasks[0].target.clone();
    policy.job_started(&spec.key, at(second));
    let failed_workers = [target.clone()].into_iter().collect();
    policy.job_ended(&spec.key, JobEnd::Failed { failed_workers }, at(second));
    target
}

/// Guards against a retry that waits without a bound within its owner's guarantee, because the
/// only accelerators of the guarantee are on a worker that the job failed on.
#[test]
fn a_retry_uses_the_worker_it_failed_on_if_its_guarantee_lies_only_there() {
    let mut policy = policy(2, vec![guarantee("owner", 1, 8), guarantee("other", 1, 8)]);
    run_whole(&mut policy, "other", "b", 1, 100);
    let spec = job(key("owner", "o"), shape(1, 8, Adjacency::Worker));
    let failed_on = fail_and_retry(&mut policy, &spec, 200);
    policy
        .submit(spec.clone(), at(201))
        .expect("it fits the zone");
    let decisions = policy.decide(at(201));
    let is_there = |decision: &Decision| {
        matches!(decision, Decision::Start { placement, .. }
            if placement.tasks[0].target == failed_on)
    };
    assert!(
        decisions.len() == 1 && is_there(&decisions[0]),
        "{decisions:?}"
    );
}

/// Guards against a home that moves off a borrower onto a free worker which the retry avoids, so
/// that the retry finds nothing within its owner's guarantee.
#[test]
fn a_home_does_not_move_onto_a_worker_that_the_retry_avoids() {
    let mut policy = policy(3, vec![guarantee("owner", 1, 4)]);
    let spec = job(key("owner", "o"), shape(1, 4, Adjacency::Worker));
    fail_and_retry(&mut policy, &spec, 100);
    let first = run_whole(&mut policy, "other", "first", 1, 101);
    let second = run_whole(&mut policy, "other", "second", 1, 102);
    policy.submit(spec, at(103)).expect("it fits the zone");
    let evicted = evictions(&policy.decide(at(103)));
    assert!(
        evicted == [first] || evicted == [second],
        "one borrower is evicted: {evicted:?}"
    );
}
