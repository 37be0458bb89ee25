//! An availability zone that fails as a whole: its agents and the entry that decides it.

use std::time::Duration;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::until;
use serde_json::json;

const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 4,
    slots: 2,
    entries: 3,
};

/// The time in which a job that fits starts.
const START_BOUND: Duration = Duration::from_secs(20);

/// The task lease of 30 s, 6 s that the next decider adds to it, and the start elsewhere.
const MOVED_BOUND: Duration = Duration::from_secs(30 + 6 + 5);

/// The numbers of the zones in which a job has started tasks.
fn zones_of(site: &ProcessSite, id: &str) -> Vec<usize> {
    let executors = site.executors.iter().enumerate();
    let started = executors.filter(|(_, executor)| {
        let mut runs = executor.task_runs().into_iter();
        runs.any(|run| run.member.attempt.key.id.as_str() == id)
    });
    started.map(|(index, _)| index % SIZE.zones).collect()
}

/// Guards against gangs that are stranded in a lost zone, that run there and elsewhere at once,
/// non-idempotent ones that run again, and work that is doubled when the zone comes back.
#[tokio::test(flavor = "multi_thread")]
async fn the_gangs_of_a_lost_zone_run_elsewhere_after_their_leases() {
    let mut site = ProcessSite::start("lost-zone", SIZE)
        .await
        .expect("site starts");
    let mut ids = Vec::new();
    // A job goes to the zone with the most room, so that each zone gets gangs of both kinds.
    for n in 0..4 {
        let id = format!("job-{n}");
        let mut body = gang_body(&id, 2, "work_ms=45000");
        body["accelerators_per_task"] = json!(2);
        body["idempotent"] = json!(n < 2);
        assert_eq!(site.submit_job(0, &body).await.status, 202);
        let started = || AttemptLog::read(&site.executors).starts(&id) == 2;
        until(START_BOUND, "the gang runs", started).await;
        ids.push(id);
    }
    let lost = zones_of(&site, "job-0")[0];
    let zone = format!("az-{}", lost + 1);
    let decider = site.decider(&zone).await.expect("it has a decider");
    for index in (0..SIZE.targets).filter(|index| index % SIZE.zones == lost) {
        site.agents[index].signal(Signal::Kill).expect("it runs");
    }
    site.entries[decider].signal(Signal::Kill).expect("it runs");
    let here = |id: &String| zones_of(&site, id).contains(&lost);
    let (caught, _): (Vec<_>, Vec<_>) = ids.iter().cloned().partition(here);
    println!("{zone} lost with {caught:?}");
    let once = caught.iter().any(|id| id == "job-2" || id == "job-3");
    assert!(once, "a gang of each kind was to run in the lost zone");
    let moved = || {
        let zones = zones_of(&site, "job-0");
        zones.iter().any(|zone| *zone != lost)
    };
    until(MOVED_BOUND, "the idempotent gang runs elsewhere", moved).await;
    let asked = (0..SIZE.entries).find(|index| *index != decider);
    let asked = asked.expect("another entry");
    for index in (0..SIZE.targets).filter(|index| index % SIZE.zones == lost) {
        site.agents[index] = site.start_agent(index).expect("a new agent starts");
    }
    for (n, id) in ids.iter().enumerate() {
        let answer = site.finished_job(asked, id, Duration::from_secs(70)).await;
        let was_lost = caught.contains(id);
        if n < 2 || !was_lost {
            assert_eq!(answer["answers"].as_array().map(Vec::len), Some(2));
        } else {
            assert_eq!(answer["error"]["verdict"], json!("may_have_run"));
        }
        let log = AttemptLog::read(&site.executors);
        log.check(id, 2, Duration::ZERO);
        assert_eq!(log.attempts(id).len(), 1 + usize::from(was_lost && n < 2));
    }
    site.check_faults();
}
