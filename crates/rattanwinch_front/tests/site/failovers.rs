//! Measures how long a site is without a leader, for each kind of failure.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_site_standins::FaultMode;

use crate::harness::Site;
use crate::harness::SiteOptions;

const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time from the failure to the first start ordered by the new leader, while the store
/// answers.
const MAX_FAILOVER_TIME: Duration = Duration::from_secs(1);

/// Default number of trials per kind of failure; the variable `RATTANWINCH_FAILOVERS` overrides it.
const TRIALS: usize = 2;

#[derive(Clone, Copy, Debug)]
enum Cause {
    Killed,
    Frozen,
    StoreRefuses,
    StoreSilent,
    StoreSlow,
}

impl Cause {
    fn begin(self, site: &Site, front: usize) {
        let front = &site.fronts[front];
        match self {
            Self::Killed => front.signal("-KILL"),
            Self::Frozen => front.signal("-STOP"),
            Self::StoreRefuses => front.store_endpoint.set_mode(FaultMode::Refuse),
            Self::StoreSilent => front.store_endpoint.set_mode(FaultMode::Silent),
            Self::StoreSlow => front
                .store_endpoint
                .set_mode(FaultMode::Slow(Duration::from_millis(1_300))),
        }
    }

    async fn end(self, site: &mut Site, front: usize) {
        match self {
            Self::Killed => site.restart_front(front).await,
            Self::Frozen => site.fronts[front].signal("-CONT"),
            Self::StoreRefuses | Self::StoreSilent | Self::StoreSlow => {
                site.fronts[front].store_endpoint.set_mode(FaultMode::Serve);
            }
        }
    }
}

async fn wait_for_leader(site: &Site) -> usize {
    let poll_started = Instant::now();
    while site.store.value("rattanwinch/leader").is_none() {
        assert!(poll_started.elapsed() < JOB_TIMEOUT, "no front schedules");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    site.leader_index()
}

/// One change of leader; returns the time from the failure to the first start ordered by the new
/// leader.
async fn trial(site: &mut Site, cause: Cause, number: usize) -> Duration {
    let id = |part: &str| format!("{part}{:08x}{number:06x}", cause as u32);
    let first = wait_for_leader(site).await;
    let other = (first + 1) % site.fronts.len();
    let (before, across, after) = (id("a1"), id("b2"), id("c3"));
    site.submit_until_accepted(other, &across, 2_000, 2).await;
    site.wait_for(other, &across, "running", JOB_TIMEOUT).await;
    site.submit_until_accepted(other, &before, 10, 1).await;
    site.wait_for(other, &before, "completed", JOB_TIMEOUT)
        .await;
    let failed_at = Instant::now();
    cause.begin(site, first);
    site.submit_until_accepted(other, &after, 10, 1).await;
    site.wait_for(other, &after, "completed", JOB_TIMEOUT).await;
    let started = site.runs(&after)[0].started_at;
    cause.end(site, first).await;
    site.wait_for(other, &across, "completed", JOB_TIMEOUT)
        .await;
    for id in [&across, &after] {
        site.assert_no_task_ran_twice(id);
        let stopped = site.runs(id);
        assert!(
            stopped
                .iter()
                .all(|run| run.ended.is_some_and(|(_, how)| how == "done")),
            "{cause:?}: a run on a healthy target was stopped: {stopped:?}"
        );
    }
    started - failed_at
}

/// Without a leader, urgent work waits and ended runs aren't noticed; callers notice an outage of
/// one second.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_leader_gives_orders_within_the_limit() {
    let trials = std::env::var("RATTANWINCH_FAILOVERS").ok();
    let trials = trials
        .and_then(|trials| trials.parse().ok())
        .unwrap_or(TRIALS);
    let mut site = Site::start_with(SiteOptions {
        fronts: 3,
        workers: 2,
        front_processes: true,
        ..SiteOptions::default()
    })
    .await;
    let mut late = Vec::new();
    for cause in [
        Cause::Killed,
        Cause::Frozen,
        Cause::StoreRefuses,
        Cause::StoreSilent,
        Cause::StoreSlow,
    ] {
        let mut times = Vec::new();
        for number in 0..trials {
            times.push(trial(&mut site, cause, number).await);
        }
        times.sort_unstable();
        let worst = times.last().copied().unwrap_or_default();
        println!(
            "{cause:?}: half of the failovers within {:?}, worst {worst:?} of {trials}",
            times[trials / 2]
        );
        if worst > MAX_FAILOVER_TIME {
            late.push((cause, worst));
        }
    }
    assert!(
        late.is_empty(),
        "failovers over {MAX_FAILOVER_TIME:?}: {late:?}"
    );
}
