use std::time::Duration;

use rattanwinch_site_standins::AdvisorTiming;

use crate::harness::Site;
use crate::harness::SiteOptions;

const JOB_TIMEOUT: Duration = Duration::from_secs(15);

async fn site(validity: Duration) -> Site {
    let times = AdvisorTiming {
        base: Duration::from_millis(20),
        per_executor: Duration::from_millis(5),
        validity,
    };
    Site::start_with(SiteOptions {
        fronts: 1,
        workers: 3,
        advisor: Some(times),
        ..SiteOptions::default()
    })
    .await
}

/// Guards against starts on targets that the advisor doesn't allow, which are refused and delay the
/// job.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_start_only_where_the_advisor_allows_them() {
    let site = site(Duration::from_secs(3)).await;
    let advisor = site.advisor.as_ref().expect("an advisor");
    let allowed = site.workers[1].id().to_owned();
    advisor.allow(&allowed);
    site.submit_until_accepted(0, "00000000000000a1", 100, 6)
        .await;
    site.wait_for(0, "00000000000000a1", "completed", JOB_TIMEOUT)
        .await;
    assert_eq!(site.workers[1].executor.runs().len(), 6);
    assert_eq!(advisor.ticket_registry().refused(), 0);
}

/// An advisor that fails for a while must delay its queue's jobs no longer than that.
#[tokio::test(flavor = "multi_thread")]
async fn an_advisor_that_fails_is_asked_again() {
    let site = site(Duration::from_secs(3)).await;
    let advisor = site.advisor.as_ref().expect("an advisor");
    advisor.fail(3);
    for worker in &site.workers {
        advisor.allow(worker.id());
    }
    site.submit_until_accepted(0, "00000000000000b1", 100, 4)
        .await;
    site.wait_for(0, "00000000000000b1", "completed", JOB_TIMEOUT)
        .await;
    assert_eq!(advisor.ticket_registry().refused(), 0);
}

/// A ticket that expired while its step waited for capacity must be replaced before the start.
#[tokio::test(flavor = "multi_thread")]
async fn tickets_that_ran_out_are_renewed() {
    let site = site(Duration::from_millis(900)).await;
    let advisor = site.advisor.as_ref().expect("an advisor");
    advisor.allow(site.workers[0].id());
    site.submit_until_accepted(0, "00000000000000c1", 2_000, 8)
        .await;
    site.wait_for(0, "00000000000000c1", "running", JOB_TIMEOUT)
        .await;
    site.submit_until_accepted(0, "00000000000000c2", 100, 8)
        .await;
    site.wait_for(0, "00000000000000c2", "completed", JOB_TIMEOUT)
        .await;
    assert_eq!(site.runs("00000000000000c2").len(), 8);
    assert_eq!(advisor.ticket_registry().refused(), 0);
}
