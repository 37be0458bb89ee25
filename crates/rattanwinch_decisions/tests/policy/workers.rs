//! Closed zones, excluded and lost workers, quarantine.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_decisions::Decision;
use rattanwinch_decisions::JobEnd;
use rattanwinch_decisions::ZonePolicy;
use rattanwinch_types::Adjacency;
use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::FleetConfig;
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

fn with_exception(mut cfg: FleetConfig, effect: ExceptionEffect) -> FleetConfig {
    cfg.exceptions.push(Exception {
        id: "e1".parse().expect("a valid name"),
        effect,
        reason: "power maintenance".into(),
        author: "ops".into(),
        at: at(0),
    });
    cfg
}

/// Fills the zone with jobs of one worker each.
fn fill(policy: &mut ZonePolicy, owner: &str, jobs: usize, second: u64) {
    for id in 0..jobs {
        let spec = job(key(owner, &id.to_string()), shape(1, 8, Adjacency::Worker));
        policy.submit(spec, at(second)).expect("it fits the zone");
    }
    for key in starts(&policy.decide(at(second))) {
        policy.job_started(&key, at(second));
    }
}

/// Guards against starts in a closed zone, a drain that evicts guaranteed work first, and a
/// refill that starts the whole queue at once.
#[test]
fn a_closed_zone_is_drained_in_order_and_refilled_in_steps() {
    let guarantees = vec![guarantee("owner", 4, 8)];
    let mut policy = policy(12, guarantees.clone());
    fill(&mut policy, "owner", 4, 100);
    fill(&mut policy, "other", 8, 101);
    let open = config(guarantees);
    let closed = with_exception(open.clone(), ExceptionEffect::CloseZone(zone()));
    policy.set_config(&closed, at(200));
    let mut order = Vec::new();
    for step in 0..20 {
        let decisions = policy.decide(at(200 + step));
        assert_eq!(starts(&decisions), []);
        let evicted = evictions(&decisions);
        assert!(
            evicted.len() <= 3,
            "more than a quarter at once: {evicted:?}"
        );
        for key in &evicted {
            policy.job_ended(key, JobEnd::Evicted, at(200 + step));
            let spec = job(key.clone(), shape(1, 8, Adjacency::Worker));
            policy
                .submit(spec, at(200 + step))
                .expect("it fits the zone");
        }
        order.extend(evicted);
    }
    let owners: Vec<&str> = order.iter().map(|key| key.organisation.as_str()).collect();
    assert_eq!(owners, [["other"; 8].as_slice(), &["owner"; 4]].concat());
    let reason = policy.wait_reason(&order[0]).expect("it waits");
    assert!(
        reason.contains("power maintenance (ops, exception e1)"),
        "{reason}"
    );
    assert_eq!(policy.capacity().free_blocks, [0; 4]);

    policy.set_config(&open, at(300));
    let first = starts(&policy.decide(at(300))).len();
    assert!((1..=3).contains(&first), "{first} of 12 started at once");
    let mut started = first;
    let mut now = at(300);
    while started < 12 {
        now = policy
            .next_wakeup(now + Duration::from_millis(1))
            .expect("jobs wait");
        assert!(now < at(312), "the refill takes too long");
        started += starts(&policy.decide(now)).len();
    }
}

/// Guards against placements on workers that are silent, leaving, excluded or gone.
#[test]
fn nothing_is_placed_on_workers_that_cannot_take_it() {
    let mut policy = policy(5, Vec::new());
    policy.worker_unknown(&worker(0).target, at(100));
    policy.worker_leaving(&worker(1).target, at(100));
    policy.worker_lost(&worker(2).target, at(100));
    let excluded = ExceptionEffect::ExcludeTarget(worker(3).target);
    policy.set_config(&with_exception(config(Vec::new()), excluded), at(100));
    fill(&mut policy, "o", 5, 101);
    assert_eq!(policy.capacity().waiting, 4);
    assert_eq!(policy.capacity().accelerators, 8);
}

/// Guards against work that stays on a worker that operators exclude.
#[test]
fn work_leaves_an_excluded_worker() {
    let mut policy = policy(1, Vec::new());
    fill(&mut policy, "o", 1, 100);
    let excluded = ExceptionEffect::ExcludeTarget(worker(0).target);
    policy.set_config(&with_exception(config(Vec::new()), excluded), at(200));
    let decisions = policy.decide(at(200));
    assert!(matches!(&decisions[..], [Decision::Evict { reason, .. }]
        if reason.contains("w0") && reason.contains("power maintenance")));
}

/// Runs the job where the policy places it and reports that it failed there.
fn fail_once(policy: &mut ZonePolicy, id: &str, second: u64) -> Option<TargetName> {
    let spec = job(key("o", id), shape(1, 8, Adjacency::Worker));
    policy.submit(spec, at(second)).expect("it fits the zone");
    let decisions = policy.decide(at(second));
    let Some(Decision::Start { placement, .. }) = decisions.first() else {
        return None;
    };
    let target = placement.tasks[0].target.clone();
    policy.job_started(&key("o", id), at(second));
    let failed_workers = [target.clone()].into_iter().collect();
    policy.job_ended(&key("o", id), JobEnd::Failed { failed_workers }, at(second));
    Some(target)
}

/// Guards against a worker that fails everything and keeps getting jobs, and against blaming
/// the jobs for it.
#[test]
fn a_worker_that_fails_three_jobs_is_quarantined() {
    let mut policy = policy(2, Vec::new());
    policy.worker_unknown(&worker(1).target, at(100));
    for id in ["a", "b", "c"] {
        assert_eq!(fail_once(&mut policy, id, 101), Some(worker(0).target));
    }
    assert_eq!(fail_once(&mut policy, "d", 102), None);
    policy.worker_ready(worker(1), at(103));
    policy.decide(at(103));
    assert_eq!(policy.capacity().accelerators, 8, "the other worker only");
}

/// Guards against a burst of bad jobs that takes a whole availability zone out of service.
#[test]
fn at_most_half_of_the_workers_are_quarantined() {
    let mut policy = policy(4, Vec::new());
    let mut failed = BTreeMap::<TargetName, usize>::new();
    for id in 0..40 {
        let target = fail_once(&mut policy, &format!("job-{id}"), 101);
        *failed.entry(target.expect("a worker is left")).or_default() += 1;
    }
    let excluded = failed.values().filter(|&&jobs| jobs == 3).count();
    assert_eq!(excluded, 2, "{failed:?}");
    assert_eq!(policy.capacity().accelerators, 16);
}

/// Guards against a job that fails everywhere and takes the workers out of service one by one.
#[test]
fn a_job_that_fails_on_three_workers_is_refused_and_the_workers_stay() {
    let mut policy = policy(4, Vec::new());
    let mut targets = Vec::new();
    for second in [101, 102, 103] {
        targets.extend(fail_once(&mut policy, "bad", second));
    }
    targets.sort();
    targets.dedup();
    assert_eq!(targets.len(), 3, "each retry goes to another worker");
    let spec = job(key("o", "bad"), shape(1, 8, Adjacency::Worker));
    policy
        .submit(spec, at(104))
        .expect("it is refused by the decision");
    let decisions = policy.decide(at(104));
    assert!(matches!(&decisions[..], [Decision::Refuse { error, .. }]
        if error.message.contains("failed on 3 different workers") && !error.is_not_run()));
    assert_eq!(policy.capacity().accelerators, 32);
}

/// Guards against forgetting a worker whose accelerators are still kept for the head of the
/// queue, when no decision falls between the worker's loss and the end of its memory.
#[test]
fn a_gone_worker_is_not_forgotten_while_it_is_kept_for_the_head() {
    let mut policy = policy(1, Vec::new());
    fill(&mut policy, "o", 2, 100);
    policy.worker_lost(&worker(0).target, at(200));
    policy.job_ended(&key("o", "0"), JobEnd::WorkerLost, at(200));
    policy.decide(at(900));
    assert_eq!(policy.capacity().waiting, 1);
    policy.check_invariants().expect("the invariants hold");
}

/// Guards against a retry that avoids so many workers that it never fits, and holds up all jobs
/// behind it.
#[test]
fn a_retry_uses_workers_it_failed_on_if_it_fits_nowhere_else() {
    let mut policy = policy(3, Vec::new());
    let gang = job(key("o", "gang"), shape(2, 8, Adjacency::Rack));
    for second in [101, 102] {
        policy
            .submit(gang.clone(), at(second))
            .expect("it fits the zone");
        let decisions = policy.decide(at(second));
        let [Decision::Start { placement, .. }] = &decisions[..] else {
            panic!("expected one start, got {decisions:?}");
        };
        policy.job_started(&gang.key, at(second));
        let failed_workers = std::iter::once(placement.tasks[0].target.clone()).collect();
        policy.job_ended(&gang.key, JobEnd::Failed { failed_workers }, at(second));
    }
    policy
        .submit(gang.clone(), at(103))
        .expect("it fits the zone");
    assert_eq!(starts(&policy.decide(at(103))), [gang.key]);
}
