use std::thread;

use clap::ValueEnum;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::ZoneName;

use crate::block_map::Fit;
use crate::driver::run_trial;
use crate::first_come_scheduler::FirstComeScheduler;
use crate::measures::Measures;
use crate::policy_scheduler::PolicyScheduler;
use crate::profile::Profile;
use crate::report::TrialReport;
use crate::workload::Workload;
use crate::zone_scheduler::ZoneScheduler;

/// The schedulers that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum SchedulerKind {
    /// First come, first served with first fit: the head of the queue blocks all other jobs.
    FirstFit,
    /// First come, first served with backfill by declared run times, and best fit.
    Backfill,
    /// The scheduling policy of rattanwinch.
    Policy,
}

impl SchedulerKind {
    /// All kinds; the first is the baseline of the ratios.
    pub const ALL: [Self; 3] = [Self::FirstFit, Self::Backfill, Self::Policy];

    /// The stable text used in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::FirstFit => "first-fit",
            Self::Backfill => "backfill",
            Self::Policy => "policy",
        }
    }

    pub(crate) fn build(
        self,
        profile: Profile,
        zone: &ZoneName,
        workers: &[WorkerInfo],
    ) -> Box<dyn ZoneScheduler> {
        match self {
            Self::FirstFit => Box::new(FirstComeScheduler::new(workers, Fit::First)),
            Self::Backfill => Box::new(FirstComeScheduler::new(workers, Fit::Best)),
            Self::Policy => Box::new(PolicyScheduler::new(zone.clone(), profile.config())),
        }
    }
}

/// Runs all schedulers on the events of each seed, on the given number of threads.
#[must_use]
pub fn compare(profile: Profile, seeds: u64, threads: u64) -> TrialReport {
    let run_seed = |seed| {
        let workload = Workload::generate(profile, seed);
        SchedulerKind::ALL.map(|kind| run_trial(profile, &workload, kind))
    };
    let threads = threads.clamp(1, seeds.max(1));
    let mut by_seed: Vec<(u64, [Measures; 3])> = thread::scope(|scope| {
        let share = |first| {
            move || {
                let own = (first..seeds).step_by(usize::try_from(threads).unwrap_or(1));
                own.map(|seed| (seed, run_seed(seed))).collect::<Vec<_>>()
            }
        };
        let handles: Vec<_> = (0..threads)
            .map(|first| scope.spawn(share(first)))
            .collect();
        let joined = handles
            .into_iter()
            .map(|handle| handle.join().expect("the thread of a seed does not panic"));
        joined.flatten().collect()
    });
    by_seed.sort_by_key(|(seed, _)| *seed);
    TrialReport::new(
        profile,
        by_seed.into_iter().map(|(_, measures)| measures).collect(),
    )
}
