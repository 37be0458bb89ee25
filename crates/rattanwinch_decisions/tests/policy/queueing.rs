//! The order of the queue, placement, limits and refusals.

use std::time::Duration;

use rattanwinch_decisions::Decision;
use rattanwinch_decisions::JobEnd;
use rattanwinch_decisions::ZonePolicy;
use rattanwinch_types::Adjacency;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::Urgency;

use crate::fixtures::at;
use crate::fixtures::config;
use crate::fixtures::evictions;
use crate::fixtures::job;
use crate::fixtures::key;
use crate::fixtures::policy;
use crate::fixtures::shape;
use crate::fixtures::starts;

/// Submits a job of one task of so many accelerators.
fn submit(policy: &mut ZonePolicy, id: &str, each: u8, second: u64) {
    let spec = job(key("o", id), shape(1, each, Adjacency::Zone));
    policy.submit(spec, at(second)).expect("it fits the zone");
}

/// Guards against small jobs that split a whole worker although a split one has room.
#[test]
fn small_jobs_fill_split_blocks_first() {
    let mut policy = policy(3, Vec::new());
    for id in ["1", "2", "3", "4"] {
        submit(&mut policy, id, 1, 100);
        policy.decide(at(100));
    }
    submit(&mut policy, "5", 4, 101);
    policy.decide(at(101));
    assert_eq!(policy.capacity().free_blocks, [0, 0, 0, 2]);
}

/// Guards against a large job that starves behind small ones that keep arriving and run far
/// longer than they declare.
#[test]
fn a_large_job_is_not_starved_by_small_jobs_with_wrong_run_times() {
    let mut policy = policy(3, Vec::new());
    let small = |id: u64| {
        let mut spec = job(key("small", &id.to_string()), shape(1, 4, Adjacency::Zone));
        spec.declared_run_time = Duration::from_secs(60);
        spec
    };
    let mut running = Vec::new();
    let large = key("large", "l");
    for step in 0..400_u64 {
        let now = at(100 + step * 60);
        if step == 10 {
            let spec = job(large.clone(), shape(3, 8, Adjacency::Rack));
            policy.submit(spec, now).expect("it fits the zone");
        }
        policy.submit(small(step), now).expect("it fits the zone");
        running.retain(|(key, since)| {
            let is_over = now.since(*since) >= Duration::from_secs(600);
            if is_over {
                policy.job_ended(key, JobEnd::Succeeded, now);
            }
            !is_over
        });
        let decisions = policy.decide(now);
        for key in evictions(&decisions) {
            policy.job_ended(&key, JobEnd::Evicted, now);
            running.retain(|(other, _)| *other != key);
        }
        for key in starts(&decisions) {
            policy.job_started(&key, now);
            if key == large {
                assert!(step < 60, "it waited for {step} minutes");
                return;
            }
            running.push((key, now));
        }
    }
    panic!(
        "the large job never started: {:?}",
        policy.wait_reason(&large)
    );
}

/// Guards against urgent work behind a queue of normal work.
#[test]
fn urgent_jobs_come_first() {
    let mut policy = policy(1, Vec::new());
    submit(&mut policy, "running", 8, 100);
    policy.decide(at(100));
    submit(&mut policy, "normal", 8, 101);
    let mut spec = job(key("o", "urgent"), shape(1, 8, Adjacency::Zone));
    spec.urgency = Urgency::Urgent;
    policy.submit(spec, at(150)).expect("it fits the zone");
    policy.decide(at(150));
    policy.job_ended(&key("o", "running"), JobEnd::Succeeded, at(200));
    assert_eq!(starts(&policy.decide(at(200))), [key("o", "urgent")]);
}

/// Guards against an organisation that uses more than its limit.
#[test]
fn a_quota_is_kept_and_named_as_the_reason() {
    let mut policy = policy(3, Vec::new());
    let mut cfg = config(Vec::new());
    cfg.organisations.push(OrganisationConfig {
        name: "o".parse().expect("a valid name"),
        quota_accelerators: Some(10),
    });
    policy.set_config(&cfg, at(100));
    submit(&mut policy, "1", 8, 100);
    submit(&mut policy, "2", 8, 100);
    assert_eq!(starts(&policy.decide(at(100))).len(), 1);
    let reason = policy.wait_reason(&key("o", "2")).expect("it waits");
    assert_eq!(
        &*reason,
        "o uses 8 of the 10 accelerators that it may use at once."
    );
}

/// Guards against a job that waits for ever although it fits not even the empty zone, and
/// against refusing it before the workers have reported.
#[test]
fn impossible_shapes_are_refused_once_the_zone_is_known() {
    let mut policy = policy(3, Vec::new());
    let spec = job(key("o", "early"), shape(4, 8, Adjacency::Zone));
    policy
        .submit(spec, at(5))
        .expect("workers may still report");
    policy.decide(at(5));
    let decisions = policy.decide(at(20));
    let [Decision::Refuse { error, .. }] = &decisions[..] else {
        panic!("expected a refusal, got {decisions:?}");
    };
    assert!(error.kind == ErrorKind::Impossible && error.is_not_run());
    let spec = job(key("o", "late"), shape(4, 8, Adjacency::Zone));
    let error = policy.submit(spec, at(21)).expect_err("it can't fit");
    assert!(
        error.message.contains("4 tasks of 8 accelerators"),
        "{error}"
    );
}

/// Guards against jobs that stay queued past their deadline.
#[test]
fn a_deadline_in_the_queue_is_refused_as_not_run() {
    let mut policy = policy(1, Vec::new());
    submit(&mut policy, "running", 8, 100);
    policy.decide(at(100));
    let mut spec = job(key("o", "late"), shape(1, 8, Adjacency::Zone));
    spec.deadline = at(160);
    policy.submit(spec, at(110)).expect("it fits the zone");
    policy.decide(at(110));
    assert_eq!(policy.next_wakeup(at(110)), Some(at(160)));
    let decisions = policy.decide(at(160));
    assert!(matches!(&decisions[..], [Decision::Refuse { error, .. }]
        if error.kind == ErrorKind::Deadline && error.is_not_run()));
    assert_eq!(policy.capacity().waiting, 0);
}

/// Guards against losing a job whose start failed, and against trying it without a pause.
#[test]
fn a_failed_start_is_tried_again_after_a_back_off() {
    let mut policy = policy(1, Vec::new());
    submit(&mut policy, "1", 8, 100);
    policy.decide(at(100));
    policy.job_start_failed(&key("o", "1"), &[], at(101));
    assert_eq!(policy.decide(at(101)), []);
    assert!(
        policy
            .next_wakeup(at(101))
            .is_some_and(|next| next < at(102))
    );
    assert_eq!(starts(&policy.decide(at(102))), [key("o", "1")]);
}

/// Guards against an evicted job that goes to the end of the queue.
#[test]
fn an_evicted_job_keeps_its_turn() {
    let mut policy = policy(1, Vec::new());
    submit(&mut policy, "first", 8, 100);
    policy.decide(at(100));
    policy.job_started(&key("o", "first"), at(100));
    submit(&mut policy, "second", 8, 200);
    policy.job_ended(&key("o", "first"), JobEnd::WorkerLost, at(300));
    submit(&mut policy, "first", 8, 300);
    assert_eq!(starts(&policy.decide(at(300))), [key("o", "first")]);
    assert!(
        !policy.cancel(&key("o", "first"), at(301)),
        "it has started"
    );
    assert!(policy.cancel(&key("o", "second"), at(301)));
}

/// Guards against jobs at the head of the queue that evict each other in turn: a job that starts
/// in the decision that makes the next one the head was taken for a job that was let in.
#[test]
fn a_job_that_was_the_head_is_not_evicted_for_the_next_head() {
    let mut policy = policy(1, Vec::new());
    for (id, second) in [("a", 100), ("b", 101), ("c", 102)] {
        submit(&mut policy, id, 8, second);
        policy.decide(at(second));
    }
    policy.job_started(&key("o", "a"), at(102));
    policy.job_ended(&key("o", "a"), JobEnd::Succeeded, at(200));
    assert_eq!(starts(&policy.decide(at(200))), [key("o", "b")]);
    policy.job_started(&key("o", "b"), at(200));
    for second in [201, 300, 2000] {
        assert_eq!(policy.decide(at(second)), []);
    }
}

/// Guards against an urgent job that takes the accelerators kept for a normal one, is evicted for
/// it, and takes them again without end.
#[test]
fn an_urgent_job_on_kept_accelerators_is_not_evicted_for_the_head() {
    let mut policy = policy(1, Vec::new());
    submit(&mut policy, "running", 4, 100);
    policy.decide(at(100));
    policy.job_started(&key("o", "running"), at(100));
    submit(&mut policy, "head", 8, 101);
    policy.decide(at(101));
    let mut spec = job(key("o", "urgent"), shape(1, 4, Adjacency::Zone));
    spec.urgency = Urgency::Urgent;
    policy.submit(spec, at(102)).expect("it fits the zone");
    assert_eq!(starts(&policy.decide(at(102))), [key("o", "urgent")]);
    policy.job_started(&key("o", "urgent"), at(102));
    policy.job_ended(&key("o", "running"), JobEnd::Succeeded, at(110));
    for second in [110, 200, 1000] {
        assert_eq!(policy.decide(at(second)), []);
    }
}

/// Guards against a job that needs a whole worker and waits for hours, although enough
/// accelerators are free on two workers, and against moving the same borrower again and again.
#[test]
fn a_borrower_is_moved_once_to_make_room_for_the_head_of_the_queue() {
    let mut policy = policy(2, vec![]);
    for (id, second) in [("a", 100), ("b", 101), ("c", 102)] {
        let spec = job(key("o", id), shape(1, 4, Adjacency::Worker));
        policy.submit(spec, at(second)).expect("it fits the zone");
        assert_eq!(starts(&policy.decide(at(second))), [key("o", id)]);
        policy.job_started(&key("o", id), at(second));
    }
    policy.job_ended(&key("o", "a"), JobEnd::Succeeded, at(110));
    let spec = job(key("o", "head"), shape(1, 8, Adjacency::Worker));
    policy.submit(spec, at(120)).expect("it fits the zone");
    assert_eq!(policy.decide(at(120)), []);
    assert_eq!(policy.next_wakeup(at(121)), Some(at(130)));
    let moved = evictions(&policy.decide(at(130)));
    assert_eq!(moved.len(), 1, "one borrower is checkpointed");
    policy.job_ended(&moved[0], JobEnd::Evicted, at(140));
    let spec = job(moved[0].clone(), shape(1, 4, Adjacency::Worker));
    policy.submit(spec, at(140)).expect("it fits the zone");
    let started = starts(&policy.decide(at(140)));
    assert!(started.contains(&moved[0]), "{started:?}");
    assert!(started.contains(&key("o", "head")), "{started:?}");
}
