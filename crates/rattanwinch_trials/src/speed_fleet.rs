use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rattanwinch_decisions::Decision;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_decisions::ZonePolicy;
use rattanwinch_types::Adjacency;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::GangShape;
use rattanwinch_types::Guarantee;
use rattanwinch_types::JobSpec;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use crate::profile::name;

/// Running tasks for each worker at the two-year size: 22,000 on 5,700.
const TASKS_PER_WORKER: f64 = 22_000.0 / 5_700.0;

/// Teams of the two-year fleet, each with a small guarantee.
const TEAMS: u32 = 160;

/// One zone with running tasks, for measuring the speed of decisions.
#[derive(Debug)]
pub(crate) struct SpeedFleet {
    /// The policy.
    pub policy: ZonePolicy,
    /// The current time; the zone has settled.
    pub now: Timestamp,
    /// The tasks that run.
    pub tasks: usize,
    /// How long it took to take in all workers, with a decision after each.
    pub adoption: Duration,
    rng: ChaCha8Rng,
    next_job: u64,
}

impl SpeedFleet {
    /// A zone of so many workers, loaded as at the two-year size.
    pub(crate) fn new(workers: u32) -> Self {
        let zone: ZoneName = name("zone-1");
        let mut policy = ZonePolicy::new(zone.clone());
        policy.set_config(&config(&zone, workers), Timestamp::ZERO);
        let start = Instant::now();
        for index in 0..workers {
            policy.worker_ready(worker(index), Timestamp::ZERO);
            policy.decide(Timestamp::ZERO);
        }
        let adoption = start.elapsed();
        let mut fleet = Self {
            policy,
            now: Timestamp::from_millis(60_000),
            tasks: 0,
            adoption,
            rng: ChaCha8Rng::seed_from_u64(1),
            next_job: 0,
        };
        fleet.fill((f64::from(workers) * TASKS_PER_WORKER) as usize);
        fleet
    }

    /// Starts jobs of 1 to 32 tasks until so many tasks run.
    fn fill(&mut self, wanted: usize) {
        while self.tasks < wanted {
            let tasks = self.rng.random_range(1..=32);
            let each = if self.rng.random_ratio(1, 5) { 2 } else { 1 };
            let shape = GangShape::new(tasks, each, Adjacency::Zone).expect("a valid shape");
            self.submit(shape);
            let started = self.decide();
            assert!(started > 0, "the fleet has room for its load");
            self.tasks += started;
        }
    }

    /// Submits a job of the shape for the next team, and answers its key.
    pub(crate) fn submit(&mut self, shape: GangShape) -> RequestKey {
        self.next_job += 1;
        let team = self.rng.random_range(0..TEAMS);
        let key = RequestKey {
            organisation: name(&format!("team-{team}")),
            id: name(&format!("j{}", self.next_job)),
        };
        let job = JobSpec::builder()
            .key(key.clone())
            .shape(shape)
            .idempotent(true)
            .deadline(Timestamp::from_millis(u64::MAX))
            .declared_run_time(Duration::from_secs(self.rng.random_range(600..36_000)))
            .payload("".into())
            .build();
        self.policy
            .submit(job, self.now)
            .expect("the shape fits the zone");
        key
    }

    /// Decides, lets the started jobs run, and answers the number of their tasks.
    pub(crate) fn decide(&mut self) -> usize {
        let decisions = self.policy.decide(self.now);
        let mut tasks = 0;
        for decision in &decisions {
            if let Decision::Start { key, placement, .. } = decision {
                self.policy.job_started(key, self.now);
                tasks += placement.tasks.len();
            }
        }
        tasks
    }

    /// A job of one to four tasks of one accelerator, as in a burst of small jobs.
    pub(crate) fn small_shape(&mut self) -> GangShape {
        let tasks = self.rng.random_range(1..=4);
        GangShape::new(tasks, 1, Adjacency::Zone).expect("a valid shape")
    }
}

fn worker(index: u32) -> WorkerInfo {
    WorkerInfo {
        target: name(&format!("w{index}")),
        rack: name(&format!("r{}", index / 3)),
        accelerators: 8,
    }
}

/// Guarantees of a sixth of the zone, spread over the teams in blocks of 8.
fn config(zone: &ZoneName, workers: u32) -> FleetConfig {
    let blocks = (workers / 6 / TEAMS).max(1);
    let teams = TEAMS.min(workers / 6);
    let guarantees = (0..teams).map(|team| Guarantee {
        organisation: name(&format!("team-{team}")),
        zone: zone.clone(),
        blocks,
        accelerators: 8,
    });
    FleetConfig {
        zones: vec![zone.clone()],
        guarantees: guarantees.collect(),
        ..FleetConfig::default()
    }
}
