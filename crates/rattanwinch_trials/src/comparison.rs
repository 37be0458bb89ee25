use std::thread;

use clap::ValueEnum;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::ZoneName;

use crate::block_map::Fit;
use crate::driver::run_trial;
use crate::first_come::FirstCome;
use crate::measures::Measures;
use crate::policy_zone::PolicyZone;
use crate::profile::Profile;
use crate::report::TrialReport;
use crate::workload::Workload;
use crate::zone_scheduler::ZoneScheduler;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum SchedulerKind {
    /// First come, first fit: the first job in the queue blocks all others.
    FirstFit,
    /// First come with backfill by declared run times, and best fit.
    Backfill,
    /// The policy of this project.
    Policy,
}

impl SchedulerKind {
    /// All kinds; the first is the one that the others are compared with.
    pub const ALL: [Self; 3] = [Self::FirstFit, Self::Backfill, Self::Policy];

    /// The name in reports.
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
            Self::FirstFit => Box::new(FirstCome::new(workers, Fit::First)),
            Self::Backfill => Box::new(FirstCome::new(workers, Fit::Best)),
            Self::Policy => Box::new(PolicyZone::new(zone.clone(), profile.config())),
        }
    }
}

/// Runs all schedulers on the events of the seeds, on so many threads.
#[must_use]
pub fn compare(profile: Profile, seeds: u64, threads: u64) -> TrialReport {
    let run_seed = |seed| {
        let workload = Workload::draw(profile, seed);
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
            .map(|handle| handle.join().expect("a seed's run ends"));
        joined.flatten().collect()
    });
    by_seed.sort_by_key(|(seed, _)| *seed);
    TrialReport::new(
        profile,
        by_seed.into_iter().map(|(_, measures)| measures).collect(),
    )
}
