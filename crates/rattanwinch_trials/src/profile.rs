use std::time::Duration;

use clap::ValueEnum;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::Adjacency;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::FleetDefaults;
use rattanwinch_types::Guarantee;
use rattanwinch_types::Organisation;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::ZoneName;

/// A fleet and its workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Profile {
    /// Ladder design: long gangs, 11 workers in 3 availability zones; fragmentation matters most.
    Letrafa,
    /// Gait fitting: short small jobs, 11 workers in 3 availability zones; completion time
    /// matters most.
    Gait,
    /// One availability zone of a fleet of 5,700 workers in 11 zones.
    TwoYear,
}

/// A class of jobs within a profile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobClass {
    /// The relative frequency of the class.
    pub weight: u32,
    /// The minimum and maximum number of tasks; log-uniformly distributed.
    pub tasks: (u16, u16),
    /// The number of accelerators of each task.
    pub accelerators_per_task: u8,
    /// How close together the tasks must be placed.
    pub adjacency: Adjacency,
    /// The minimum and maximum run time; log-uniformly distributed.
    pub run_time: (Duration, Duration),
}

const fn job_class(
    weight: u32,
    tasks: (u16, u16),
    accelerators_per_task: u8,
    adjacency: Adjacency,
    minutes: (u64, u64),
) -> JobClass {
    let run_time = (
        Duration::from_secs(minutes.0 * 60),
        Duration::from_secs(minutes.1 * 60),
    );
    JobClass {
        weight,
        tasks,
        accelerators_per_task,
        adjacency,
        run_time,
    }
}

const LETRAFA: [JobClass; 6] = [
    job_class(25, (1, 1), 1, Adjacency::Zone, (5, 120)),
    job_class(20, (1, 1), 4, Adjacency::Zone, (10, 240)),
    job_class(20, (1, 1), 8, Adjacency::Worker, (10, 240)),
    job_class(15, (2, 4), 2, Adjacency::Worker, (10, 240)),
    job_class(12, (2, 2), 8, Adjacency::Rack, (30, 240)),
    job_class(8, (3, 3), 8, Adjacency::Rack, (30, 240)),
];

const GAIT: [JobClass; 5] = [
    job_class(55, (1, 1), 1, Adjacency::Zone, (1, 20)),
    job_class(20, (1, 1), 2, Adjacency::Zone, (1, 30)),
    job_class(15, (1, 4), 2, Adjacency::Worker, (2, 40)),
    job_class(7, (1, 1), 8, Adjacency::Worker, (5, 60)),
    job_class(3, (2, 3), 8, Adjacency::Rack, (10, 60)),
];

const TWO_YEAR: [JobClass; 5] = [
    job_class(35, (1, 16), 1, Adjacency::Zone, (60, 480)),
    job_class(25, (8, 64), 1, Adjacency::Zone, (60, 720)),
    job_class(15, (16, 128), 2, Adjacency::Zone, (60, 720)),
    job_class(15, (4, 16), 4, Adjacency::Racks, (60, 480)),
    job_class(10, (2, 32), 8, Adjacency::Racks, (60, 480)),
];

/// The owners of the jobs, with their share of the jobs in per cent.
pub(crate) const OWNERS: [(&str, u32); 4] =
    [("org-1", 40), ("org-2", 30), ("org-3", 20), ("org-4", 10)];

impl Profile {
    /// The stable text used on the command line and in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Letrafa => "letrafa",
            Self::Gait => "gait",
            Self::TwoYear => "two-year",
        }
    }

    /// The number of workers in each availability zone.
    pub(crate) fn zone_sizes(self) -> &'static [usize] {
        match self {
            Self::Letrafa | Self::Gait => &[4, 4, 3],
            Self::TwoYear => &[518],
        }
    }

    pub(crate) fn job_classes(self) -> &'static [JobClass] {
        match self {
            Self::Letrafa => &LETRAFA,
            Self::Gait => &GAIT,
            Self::TwoYear => &TWO_YEAR,
        }
    }

    /// The period during which jobs arrive.
    pub(crate) const fn arrival_period(self) -> Duration {
        match self {
            Self::Letrafa => Duration::from_secs(3 * 86_400),
            Self::Gait => Duration::from_secs(86_400),
            Self::TwoYear => Duration::from_secs(4 * 86_400),
        }
    }

    /// The weight of completion time that users of the profile configure, in per cent.
    const fn completion_weight_percent(self) -> u8 {
        match self {
            Self::Letrafa => 30,
            Self::Gait => 80,
            Self::TwoYear => 50,
        }
    }

    /// The blocks guaranteed to each owner in each availability zone, and the accelerators of each.
    /// They cover a quarter of the larger zones, so that the largest gangs fit beside them.
    fn guarantees(self) -> [(u32, u32); 4] {
        match self {
            Self::Letrafa => [(1, 4), (1, 2), (2, 1), (0, 0)],
            Self::Gait => [(1, 4), (1, 2), (2, 1), (0, 0)],
            Self::TwoYear => [(6, 64), (32, 8), (64, 4), (0, 0)],
        }
    }

    /// The availability zones.
    pub(crate) fn zones(self) -> Vec<ZoneName> {
        let names = 1..=self.zone_sizes().len();
        names.map(|n| name(&format!("zone-{n}"))).collect()
    }

    /// The workers of each availability zone, in the order of their racks of 3.
    pub(crate) fn workers(self) -> Vec<Vec<WorkerInfo>> {
        let sizes = self.zone_sizes().iter().enumerate();
        sizes
            .map(|(zone, count)| {
                let worker = |index: usize| WorkerInfo {
                    target: name(&format!("z{zone}-w{index}")),
                    rack: name(&format!("z{zone}-r{}", index / 3)),
                    accelerators: 8,
                };
                (0..*count).map(worker).collect()
            })
            .collect()
    }

    /// Returns the blocks guaranteed to the owner in each zone, and the accelerators of each.
    pub(crate) fn guarantee_of(self, owner: &Organisation) -> (u32, u32) {
        let position = OWNERS
            .iter()
            .position(|(known, _)| *known == owner.as_str());
        position.map_or((0, 0), |index| self.guarantees()[index])
    }

    /// The configuration of the whole fleet.
    pub(crate) fn config(self) -> FleetConfig {
        let owners = OWNERS.iter().map(|(owner, _)| OrganisationConfig {
            name: name(owner),
            quota_accelerators: None,
        });
        let organisations: Vec<OrganisationConfig> = owners.collect();
        let mut guarantees = Vec::new();
        for zone in self.zones() {
            for owner in &organisations {
                let (blocks, accelerators) = self.guarantee_of(&owner.name);
                guarantees.push(Guarantee {
                    organisation: owner.name.clone(),
                    zone: zone.clone(),
                    blocks,
                    accelerators,
                });
            }
        }
        let defaults = FleetDefaults::builder()
            .completion_weight_percent(self.completion_weight_percent())
            .build();
        FleetConfig {
            zones: self.zones(),
            organisations,
            guarantees,
            defaults,
            exceptions: Vec::new(),
        }
    }
}

/// Parses a name of the trial.
pub(crate) fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the names of trials are valid")
}
