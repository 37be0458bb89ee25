//! How long a site is without a scheduler, by what happens to the one that it has.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_site_standins::FaultMode;

use crate::harness::Site;
use crate::harness::SiteOptions;

const SOON: Duration = Duration::from_secs(20);

/// The goal for the time from the event to the first start that the successor orders, while the
/// store answers.
const GOAL: Duration = Duration::from_secs(1);

/// Trials of each cause in a test run; the variable `RATTANWINCH_FAILOVERS` sets another number.
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
            Self::StoreRefuses => front.door.set_mode(FaultMode::Refuse),
            Self::StoreSilent => front.door.set_mode(FaultMode::Silent),
            Self::StoreSlow => front
                .door
                .set_mode(FaultMode::Slow(Duration::from_millis(1_300))),
        }
    }

    async fn end(self, site: &mut Site, front: usize) {
        match self {
            Self::Killed => site.restart_front(front).await,
            Self::Frozen => site.fronts[front].signal("-CONT"),
            Self::StoreRefuses | Self::StoreSilent | Self::StoreSlow => {
                site.fronts[front].door.set_mode(FaultMode::Serve);
            }
        }
    }
}

async fn scheduling(site: &Site) -> usize {
    let asked = Instant::now();
    while site.store.value("rattanwinch/leader").is_none() {
        assert!(asked.elapsed() < SOON, "no front schedules");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    site.scheduling()
}

/// One change of scheduler: the time from the event to the successor's first start.
async fn trial(site: &mut Site, cause: Cause, number: usize) -> Duration {
    let id = |part: &str| format!("{part}{:08x}{number:06x}", cause as u32);
    let first = scheduling(site).await;
    let other = (first + 1) % site.fronts.len();
    let (before, across, after) = (id("a1"), id("b2"), id("c3"));
    site.submit_until_accepted(other, &across, 2_000, 2).await;
    site.wait_for(other, &across, "running", SOON).await;
    site.submit_until_accepted(other, &before, 10, 1).await;
    site.wait_for(other, &before, "completed", SOON).await;
    let began = Instant::now();
    cause.begin(site, first);
    site.submit_until_accepted(other, &after, 10, 1).await;
    site.wait_for(other, &after, "completed", SOON).await;
    let started = site.runs(&after)[0].began;
    cause.end(site, first).await;
    site.wait_for(other, &across, "completed", SOON).await;
    for id in [&across, &after] {
        site.assert_nothing_runs_twice(id);
        let stopped = site.runs(id);
        assert!(
            stopped
                .iter()
                .all(|run| run.ended.is_some_and(|(_, how)| how == "done")),
            "{cause:?}: healthy work was stopped: {stopped:?}"
        );
    }
    started - began
}

/// While nobody schedules, urgent work waits and ends aren't seen; callers notice a second.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_orders_within_the_goal() {
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
            "{cause:?}: half within {:?}, worst {worst:?} of {trials}",
            times[trials / 2]
        );
        if worst > GOAL {
            late.push((cause, worst));
        }
    }
    assert!(late.is_empty(), "over {GOAL:?}: {late:?}");
}
