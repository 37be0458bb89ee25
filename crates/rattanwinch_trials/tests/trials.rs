//! Tests of the trials: the same seed gives the same results, and no job is lost.

use rattanwinch_trials::Measures;
use rattanwinch_trials::Profile;
use rattanwinch_trials::SchedulerKind;
use rattanwinch_trials::Workload;
use rattanwinch_trials::compare;
use rattanwinch_trials::measure_passes;
use rattanwinch_trials::run_trial;
use rattanwinch_trials::trace_waits;

fn text(measures: &Measures) -> String {
    serde_json::to_string(measures).expect("measures are plain values")
}

/// Guards against decisions that depend on anything but their input, such as the order of a
/// hash table, which would make results irreproducible.
#[test]
fn the_same_seed_gives_the_same_outcome() {
    for kind in SchedulerKind::ALL {
        let workload = Workload::generate(Profile::Gait, 7);
        let first = run_trial(Profile::Gait, &workload, kind);
        let again = run_trial(Profile::Gait, &Workload::generate(Profile::Gait, 7), kind);
        assert_eq!(text(&first), text(&again), "{}", kind.as_str());
    }
}

/// Guards against comparing schedulers on different jobs, against jobs that never end, and against
/// invariant violations in trials of several days.
#[test]
fn every_scheduler_accounts_for_all_jobs() {
    let report = compare(Profile::Letrafa, 2, 2);
    for seed in &report.by_seed {
        let jobs =
            |measures: &Measures| measures.succeeded + measures.not_completed + measures.unfinished;
        assert!(seed.iter().all(|measures| jobs(measures) == jobs(&seed[0])));
        assert!(seed.iter().all(|measures| measures.violations == 0));
        assert!(
            seed.iter()
                .all(|measures| measures.succeeded > jobs(measures) / 2)
        );
    }
}

/// Guards against waits within a guarantee beyond the checkpoint and stop limits. Retries of
/// failing jobs caused waits of up to 4,529 s with these seeds.
#[test]
fn no_wait_within_a_guarantee_exceeds_the_limit() {
    for (profile, seed) in [(Profile::Letrafa, 12), (Profile::Gait, 16)] {
        let over_limit = trace_waits(profile, &Workload::generate(profile, seed));
        let text: String = over_limit.iter().map(ToString::to_string).collect();
        assert!(over_limit.is_empty(), "{text}");
    }
}

/// Guards against measuring passes on a fleet that is not full: the waiting steps would start, and
/// the passes would be those of an idle site.
#[test]
fn passes_are_measured_on_a_full_fleet() {
    let report = measure_passes(&[3, 6], 12);
    let running: Vec<_> = report.rows.iter().map(|row| row.running).collect();
    assert_eq!(running, [24, 48]);
    assert!(report.rows.iter().all(|row| row.place_us > 0.0), "{report}");
}
