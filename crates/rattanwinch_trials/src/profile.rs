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

/// A fleet and the work it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Profile {
    /// Ladder design: long gangs, 11 workers in 3 availability zones; fragmentation counts most.
    Letrafa,
    /// Gait fitting: short small jobs, 11 workers in 3 availability zones; completion time
    /// counts most.
    Gait,
    /// One availability zone's share of 5,700 workers in 11 zones.
    TwoYear,
}

/// One kind of jobs within a profile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobMix {
    /// How often it comes, relative to the other kinds.
    pub weight: u32,
    /// The fewest and the most tasks; drawn evenly on a logarithmic scale.
    pub tasks: (u16, u16),
    /// Accelerators of each task.
    pub each: u8,
    /// How close together.
    pub adjacency: Adjacency,
    /// The shortest and the longest run time; drawn evenly on a logarithmic scale.
    pub run_time: (Duration, Duration),
}

const fn mix(
    weight: u32,
    tasks: (u16, u16),
    each: u8,
    adjacency: Adjacency,
    minutes: (u64, u64),
) -> JobMix {
    let run_time = (
        Duration::from_secs(minutes.0 * 60),
        Duration::from_secs(minutes.1 * 60),
    );
    JobMix {
        weight,
        tasks,
        each,
        adjacency,
        run_time,
    }
}

const LETRAFA: [JobMix; 6] = [
    mix(25, (1, 1), 1, Adjacency::Zone, (5, 120)),
    mix(20, (1, 1), 4, Adjacency::Zone, (10, 240)),
    mix(20, (1, 1), 8, Adjacency::Worker, (10, 240)),
    mix(15, (2, 4), 2, Adjacency::Worker, (10, 240)),
    mix(12, (2, 2), 8, Adjacency::Rack, (30, 240)),
    mix(8, (3, 3), 8, Adjacency::Rack, (30, 240)),
];

const GAIT: [JobMix; 5] = [
    mix(55, (1, 1), 1, Adjacency::Zone, (1, 20)),
    mix(20, (1, 1), 2, Adjacency::Zone, (1, 30)),
    mix(15, (1, 4), 2, Adjacency::Worker, (2, 40)),
    mix(7, (1, 1), 8, Adjacency::Worker, (5, 60)),
    mix(3, (2, 3), 8, Adjacency::Rack, (10, 60)),
];

const TWO_YEAR: [JobMix; 5] = [
    mix(35, (1, 16), 1, Adjacency::Zone, (60, 480)),
    mix(25, (8, 64), 1, Adjacency::Zone, (60, 720)),
    mix(15, (16, 128), 2, Adjacency::Zone, (60, 720)),
    mix(15, (4, 16), 4, Adjacency::Racks, (60, 480)),
    mix(10, (2, 32), 8, Adjacency::Racks, (60, 480)),
];

/// The owners, by size: the first has 40% of the jobs.
pub(crate) const OWNERS: [(&str, u32); 4] =
    [("org-1", 40), ("org-2", 30), ("org-3", 20), ("org-4", 10)];

impl Profile {
    /// The name on the command line and in reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Letrafa => "letrafa",
            Self::Gait => "gait",
            Self::TwoYear => "two-year",
        }
    }

    /// The workers in each availability zone.
    pub(crate) fn zone_sizes(self) -> &'static [usize] {
        match self {
            Self::Letrafa | Self::Gait => &[4, 4, 3],
            Self::TwoYear => &[518],
        }
    }

    pub(crate) fn mixes(self) -> &'static [JobMix] {
        match self {
            Self::Letrafa => &LETRAFA,
            Self::Gait => &GAIT,
            Self::TwoYear => &TWO_YEAR,
        }
    }

    /// How long jobs arrive.
    pub(crate) const fn span(self) -> Duration {
        match self {
            Self::Letrafa => Duration::from_secs(3 * 86_400),
            Self::Gait => Duration::from_secs(86_400),
            Self::TwoYear => Duration::from_secs(4 * 86_400),
        }
    }

    /// The weight of completion time that the users of the profile set.
    const fn completion_weight_percent(self) -> u8 {
        match self {
            Self::Letrafa => 30,
            Self::Gait => 80,
            Self::TwoYear => 50,
        }
    }

    /// Blocks and accelerators that are guaranteed to each owner in each availability zone. They
    /// are a quarter of the larger zones, so that the largest gangs fit beside them.
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

    /// The blocks guaranteed to the owner in each zone, and the accelerators of each.
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

/// A name of the trial.
pub(crate) fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the trial's names are valid")
}
